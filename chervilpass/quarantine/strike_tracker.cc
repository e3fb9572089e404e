#include "chervilpass/quarantine/strike_tracker.h"

#include <algorithm>

namespace chervilpass::quarantine {

bool StrikeTracker::Expired(WallTime at, WallTime now) const {
  return now.milliseconds - at.milliseconds >
         ToMilliseconds(this->settings.strike_lifetime);
}

bool StrikeTracker::Add(const Strike& strike, WallTime now) {
  if (this->Expired(strike.at, now)) {
    return false;
  }
  return this->strikes[strike.fingerprint]
      .emplace(strike.worker, strike.at)
      .second;
}

QuarantineState StrikeTracker::StateOf(std::uint64_t fingerprint,
                                       WallTime now) const {
  const auto found = this->strikes.find(fingerprint);
  if (found == this->strikes.end()) {
    return QuarantineState::kClear;
  }
  const auto live = std::count_if(
      found->second.begin(), found->second.end(),
      [&](const auto& item) { return !this->Expired(item.second, now); });
  if (live >= this->settings.strikes_to_quarantine) {
    return QuarantineState::kQuarantined;
  }
  return live > 0 ? QuarantineState::kSuspect : QuarantineState::kClear;
}

Duration StrikeTracker::RetryAfter(std::uint64_t fingerprint,
                                   WallTime now) const {
  const auto found = this->strikes.find(fingerprint);
  if (found == this->strikes.end()) {
    return Duration(0);
  }
  std::int64_t oldest = now.milliseconds;
  for (const auto& [worker, at] : found->second) {
    if (!this->Expired(at, now)) {
      oldest = std::min(oldest, at.milliseconds);
    }
  }
  return milliseconds(oldest - now.milliseconds) +
         this->settings.strike_lifetime;
}

void StrikeTracker::Expire(WallTime now) {
  for (auto& [fingerprint, workers] : this->strikes) {
    std::erase_if(workers, [&](const auto& item) {
      return this->Expired(item.second, now);
    });
  }
  std::erase_if(this->strikes,
                [](const auto& item) { return item.second.empty(); });
}

std::vector<std::uint64_t> BlameForCrash(
    const std::vector<RunningRequest>& running) {
  std::set<std::uint64_t> suspects;
  std::set<std::uint64_t> all;
  for (const RunningRequest& request : running) {
    all.insert(request.fingerprint);
    if (request.suspect) {
      suspects.insert(request.fingerprint);
    }
  }
  const std::set<std::uint64_t>& blamed = suspects.empty() ? all : suspects;
  return {blamed.begin(), blamed.end()};
}

}  // namespace chervilpass::quarantine
