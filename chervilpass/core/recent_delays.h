// Tells lasting delays from a single one.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>

#include "chervilpass/core/time.h"

namespace chervilpass {

/// The latest delays of an activity that is repeated. Not thread-safe.
class RecentDelays {
 public:
  /// Records the delay of one repetition.
  void Add(Duration delay) {
    this->delays[this->next] = delay;
    this->next = (this->next + 1) % this->delays.size();
  }

  /// What half of the latest repetitions exceed; zero until there were as many.
  Duration Lasting() const {
    auto sorted = this->delays;
    std::sort(sorted.begin(), sorted.end());
    return sorted[kRepetitions / 2];
  }

 private:
  static constexpr std::size_t kRepetitions = 8;

  std::array<Duration, kRepetitions> delays{};
  std::size_t next = 0;
};

}  // namespace chervilpass
