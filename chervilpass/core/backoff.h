// Exponential backoff with full jitter, so that clients which failed together
// do not come back together.
#pragma once

#include <algorithm>

#include "chervilpass/core/random.h"
#include "chervilpass/core/time.h"

namespace chervilpass {

/// Not thread-safe. Invariant: a wait is below `longest`.
class Backoff {
 public:
  Backoff(Duration least, Duration longest)
      : least(least), longest(longest), ceiling(least) {}

  /// The next wait: uniform below a ceiling that doubles each time.
  Duration Next(Random* random) {
    this->ceiling = std::min(this->longest, this->ceiling * 2);
    return duration_cast<Duration>(
        random->Unit() *
        std::chrono::duration<double>(ToSeconds(this->ceiling)));
  }

  /// After a success.
  void Reset() { this->ceiling = this->least; }

 private:
  Duration least;
  Duration longest;
  Duration ceiling;
};

}  // namespace chervilpass
