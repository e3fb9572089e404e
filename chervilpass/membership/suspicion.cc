#include "chervilpass/membership/suspicion.h"

#include <algorithm>
#include <cmath>

namespace chervilpass::membership {

Suspicion::Suspicion(SuspicionSettings settings,
                     std::size_t confirmations,
                     std::uint32_t by,
                     Instant now)
    : settings(settings),
      needed(std::min<std::size_t>(settings.confirmations, confirmations)),
      since(now),
      suspectors({by}) {}

bool Suspicion::Confirm(std::uint32_t by) {
  if (by == 0 || this->suspectors.size() > this->needed ||
      std::find(this->suspectors.begin(), this->suspectors.end(), by) !=
          this->suspectors.end()) {
    return false;
  }
  this->suspectors.push_back(by);
  return true;
}

Instant Suspicion::Deadline() const {
  if (this->needed == 0) {
    return this->since + this->settings.min_timeout;
  }
  const auto confirmed = static_cast<double>(this->suspectors.size() - 1);
  const double share =
      std::log(confirmed + 1) / std::log(static_cast<double>(this->needed) + 1);
  const Duration range =
      this->settings.max_timeout - this->settings.min_timeout;
  return this->since + std::max(this->settings.min_timeout,
                                this->settings.max_timeout -
                                    duration_cast<Duration>(share * range));
}

std::uint32_t Suspicion::NextSuspector() {
  return this->suspectors[this->next++ % this->suspectors.size()];
}

}  // namespace chervilpass::membership
