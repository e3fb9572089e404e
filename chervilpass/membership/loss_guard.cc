#include "chervilpass/membership/loss_guard.h"

#include <algorithm>

namespace chervilpass::membership {

std::set<std::string> LossGuard::HeldMembers(std::size_t members, Instant now) {
  std::erase_if(this->dead, [&](const auto& item) {
    return now - item.second > this->settings.hold_time;
  });
  // Maximum number of deaths within one window.
  std::size_t max_deaths = 0;
  for (const auto& item : this->dead) {
    const Instant start = item.second;
    const auto count = static_cast<std::size_t>(std::count_if(
        this->dead.begin(), this->dead.end(), [&](const auto& other) {
          return other.second >= start &&
                 other.second - start <= this->settings.window;
        }));
    max_deaths = std::max(max_deaths, count);
  }
  const bool sudden = max_deaths >= this->settings.min_lost_members &&
                      static_cast<double>(max_deaths) >
                          this->settings.share * static_cast<double>(members);
  std::set<std::string> held;
  if (sudden) {
    for (const auto& [vm, at] : this->dead) {
      held.insert(vm);
    }
  }
  return held;
}

}  // namespace chervilpass::membership
