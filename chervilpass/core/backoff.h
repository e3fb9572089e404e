// Exponential backoff with full jitter, so that clients that failed at the same
// time do not retry at the same time.
#pragma once

#include <algorithm>

#include "chervilpass/core/random.h"
#include "chervilpass/core/time.h"

namespace chervilpass {

/// Computes the delays between retries. Not thread-safe. Invariant: each delay
/// is below `max_ceiling`.
class Backoff {
 public:
  Backoff(Duration min_ceiling, Duration max_ceiling)
      : min_ceiling(min_ceiling),
        max_ceiling(max_ceiling),
        ceiling(min_ceiling) {}

  /// Returns the next delay: uniformly distributed below a ceiling that doubles
  /// with each call.
  Duration Next(Random* random) {
    this->ceiling = std::min(this->max_ceiling, this->ceiling * 2);
    return duration_cast<Duration>(
        random->Unit() *
        std::chrono::duration<double>(ToSeconds(this->ceiling)));
  }

  /// Resets the ceiling after a success.
  void Reset() { this->ceiling = this->min_ceiling; }

 private:
  Duration min_ceiling;
  Duration max_ceiling;
  Duration ceiling;
};

}  // namespace chervilpass
