// Estimates how long a new request would wait, so that it can be refused at
// once if its deadline cannot be met.
#pragma once

#include "chervilpass/core/time.h"

namespace chervilpass::admission {

/// Moving average of the time that a request occupies a slot. Not thread-safe.
class WaitEstimator {
 public:
  /// Records a request that ran for `run_time`.
  void OnFinished(Duration run_time) {
    const double sample = ToSeconds(run_time);
    this->mean_run_seconds =
        this->has_sample ? this->mean_run_seconds +
                               kSmoothing * (sample - this->mean_run_seconds)
                         : sample;
    this->has_sample = true;
  }

  /// Expected wait behind `ahead` requests when `capacity` run concurrently;
  /// zero before the first sample. By Little's law a slot becomes free every
  /// run time / capacity on average.
  Duration Estimate(std::uint32_t ahead, std::uint32_t capacity) const {
    if (!this->has_sample || capacity == 0) {
      return Duration(0);
    }
    return duration_cast<Duration>(std::chrono::duration<double>(
        this->mean_run_seconds * ahead / static_cast<double>(capacity)));
  }

 private:
  static constexpr double kSmoothing = 0.05;  // weight of a new sample

  bool has_sample = false;
  double mean_run_seconds = 0;
};

}  // namespace chervilpass::admission
