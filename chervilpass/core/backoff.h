// Exponential backoff with full jitter, so that clients that failed at the same
// time do not retry at the same time.
#pragma once

#include <algorithm>

#include "chervilpass/core/random.h"
#include "chervilpass/core/time.h"

namespace chervilpass {

/// Computes the delays between retries. Not thread-safe. Invariant: each delay
/// is below `max_delay`.
class Backoff {
 public:
  Backoff(Duration min_delay, Duration max_delay)
      : min_delay(min_delay), max_delay(max_delay), ceiling(min_delay) {}

  /// Returns the next delay: uniformly distributed below a ceiling that doubles
  /// with each call.
  Duration Next(Random* random) {
    this->ceiling = std::min(this->max_delay, this->ceiling * 2);
    return duration_cast<Duration>(
        random->Unit() *
        std::chrono::duration<double>(ToSeconds(this->ceiling)));
  }

  /// Resets the ceiling after a success.
  void Reset() { this->ceiling = this->min_delay; }

 private:
  Duration min_delay;
  Duration max_delay;
  Duration ceiling;
};

}  // namespace chervilpass
