// Limits the sessions of a cell so that the time between two tokens stays at a
// target: additive increase, multiplicative decrease (Chiu and Jain, "Analysis
// of the increase and decrease algorithms for congestion avoidance in computer
// networks", 1989).
#pragma once

#include <algorithm>
#include <cstdint>

#include "chervilpass/core/time.h"

namespace chervilpass::admission {

/// Describes an AdaptiveConcurrencyLimit.
struct AdaptiveConcurrencyLimitSettings {
  Duration target_token_interval =
      milliseconds(25);  ///< smoothed time between two tokens
  Duration update_interval =
      milliseconds(100);                ///< between two changes of the limit
  std::uint32_t min_sessions = 8;       ///< sessions
  std::uint32_t initial_sessions = 64;  ///< sessions, before anything is known
  double decrease = 0.9;                ///< factor
  std::uint32_t increase_sessions = 2;  ///< sessions
  double smoothing = 0.05;              ///< weight of a new sample

  bool operator==(const AdaptiveConcurrencyLimitSettings&) const = default;
};

/// Not thread-safe. Invariant: the limit is at least `min_sessions`.
class AdaptiveConcurrencyLimit {
 public:
  explicit AdaptiveConcurrencyLimit(AdaptiveConcurrencyLimitSettings settings)
      : settings(settings), limit(settings.initial_sessions) {}

  /// A token came `gap` after the one before it, while `running` sessions ran.
  void OnTokenInterval(Duration gap, std::uint32_t running, Instant now) {
    const double sample = ToSeconds(gap);
    this->smoothed = this->known
                         ? this->smoothed + this->settings.smoothing *
                                                (sample - this->smoothed)
                         : sample;
    this->known = true;
    if (now - this->changed < this->settings.update_interval) {
      return;
    }
    this->changed = now;
    if (this->smoothed > ToSeconds(this->settings.target_token_interval)) {
      // Counted from what runs: a limit that nobody reaches limits nothing.
      const std::uint32_t base = std::min(this->limit, running);
      this->limit =
          std::max(this->settings.min_sessions,
                   static_cast<std::uint32_t>(base * this->settings.decrease));
    } else if (running + this->settings.increase_sessions >= this->limit) {
      this->limit += this->settings.increase_sessions;
    }
  }

  /// Sessions that may run at once.
  std::uint32_t Limit() const { return this->limit; }

 private:
  AdaptiveConcurrencyLimitSettings settings;
  std::uint32_t limit;
  bool known = false;
  double smoothed = 0;  ///< seconds
  Instant changed{};
};

}  // namespace chervilpass::admission
