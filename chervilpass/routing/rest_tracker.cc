#include "chervilpass/routing/rest_tracker.h"

#include <algorithm>

namespace chervilpass::routing {

bool RestTracker::Record(const std::string& incarnation,
                         Duration rest,
                         Instant now) {
  if (rest <= Duration::zero()) {
    return false;
  }
  const auto [known, added] = this->ends.try_emplace(incarnation, now);
  const bool begins = added || known->second <= now;
  known->second = std::max(known->second, now + rest);
  return begins;
}

Duration RestTracker::Left(const std::string& incarnation, Instant now) const {
  const auto found = this->ends.find(incarnation);
  return found == this->ends.end()
             ? Duration::zero()
             : std::max(Duration::zero(), Duration(found->second - now));
}

void RestTracker::Expire(Instant now) {
  std::erase_if(this->ends,
                [now](const auto& entry) { return entry.second <= now; });
}

}  // namespace chervilpass::routing
