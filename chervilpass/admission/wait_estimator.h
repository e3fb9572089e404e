// Estimates how long a new request would wait, so that it can be refused at
// once when its deadline cannot be met.
#pragma once

#include "chervilpass/core/time.h"

namespace chervilpass::admission {

/// Smooths the time that a request holds its place. Not thread-safe.
class WaitEstimator {
 public:
  /// A request ran for `held`.
  void OnFinished(Duration held) {
    const double sample = ToSeconds(held);
    this->held_seconds =
        this->known
            ? this->held_seconds + kSmoothing * (sample - this->held_seconds)
            : sample;
    this->known = true;
  }

  /// Expected wait behind `ahead` requests when `capacity` run at once; zero
  /// while nothing is known. By Little's law a place frees up every
  /// held / capacity on average.
  Duration Estimate(std::uint32_t ahead, std::uint32_t capacity) const {
    if (!this->known || capacity == 0) {
      return Duration(0);
    }
    return duration_cast<Duration>(std::chrono::duration<double>(
        this->held_seconds * ahead / static_cast<double>(capacity)));
  }

 private:
  static constexpr double kSmoothing = 0.05;  // weight of a new sample

  bool known = false;
  double held_seconds = 0;
};

}  // namespace chervilpass::admission
