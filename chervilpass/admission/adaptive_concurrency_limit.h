// Limits the sessions of a cell so that the time between two tokens stays at a
// target: additive increase, multiplicative decrease (Chiu and Jain, "Analysis
// of the increase and decrease algorithms for congestion avoidance in computer
// networks", 1989).
#pragma once

#include <algorithm>
#include <cstdint>

#include "chervilpass/core/time.h"

namespace chervilpass::admission {

/// Settings of an AdaptiveConcurrencyLimit.
struct AdaptiveConcurrencyLimitSettings {
  Duration target_token_interval =
      milliseconds(25);  ///< smoothed time between two tokens
  Duration update_interval =
      milliseconds(100);                ///< between two changes of the limit
  std::uint32_t min_sessions = 8;       ///< lower bound of the limit
  std::uint32_t initial_sessions = 64;  ///< limit before the first update
  double decrease = 0.9;                ///< factor, above the target interval
  std::uint32_t increase_sessions = 2;  ///< added in an update
  double smoothing = 0.05;              ///< weight of a new sample

  bool operator==(const AdaptiveConcurrencyLimitSettings&) const = default;
};

/// Limit of concurrent sessions, adjusted to the measured time between tokens.
/// Not thread-safe. Invariant: the limit is at least `min_sessions`.
class AdaptiveConcurrencyLimit {
 public:
  explicit AdaptiveConcurrencyLimit(AdaptiveConcurrencyLimitSettings settings)
      : settings(settings), limit(settings.initial_sessions) {}

  /// Records a token that came `interval` after the previous one while
  /// `running` sessions ran; updates the limit once per `update_interval`.
  void OnTokenInterval(Duration interval, std::uint32_t running, Instant now) {
    const double sample = ToSeconds(interval);
    this->smoothed_seconds =
        this->has_sample
            ? this->smoothed_seconds +
                  this->settings.smoothing * (sample - this->smoothed_seconds)
            : sample;
    this->has_sample = true;
    if (now - this->last_update < this->settings.update_interval) {
      return;
    }
    this->last_update = now;
    if (this->smoothed_seconds >
        ToSeconds(this->settings.target_token_interval)) {
      // Starts from the running sessions: a higher limit has no effect.
      const std::uint32_t base = std::min(this->limit, running);
      this->limit =
          std::max(this->settings.min_sessions,
                   static_cast<std::uint32_t>(base * this->settings.decrease));
    } else if (running + this->settings.increase_sessions >= this->limit) {
      this->limit += this->settings.increase_sessions;
    }
  }

  /// Sessions that may run concurrently.
  std::uint32_t Limit() const { return this->limit; }

 private:
  AdaptiveConcurrencyLimitSettings settings;
  std::uint32_t limit;
  bool has_sample = false;
  double smoothed_seconds = 0;
  Instant last_update{};
};

}  // namespace chervilpass::admission
