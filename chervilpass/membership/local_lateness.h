// How late this VM handles its own timers: a VM that lags takes answers for
// missing which wait in its socket. Cf. the local health multiplier of Dadgar,
// Phillips and Currey, "Lifeguard", DSN-W 2018.
#pragma once

#include <algorithm>
#include <optional>

#include "chervilpass/core/time.h"

namespace chervilpass::membership {

/// Not thread-safe.
class LocalLateness {
 public:
  /// `tick_interval` is the longest expected time between two ticks.
  explicit LocalLateness(Duration tick_interval)
      : tick_interval(tick_interval) {}

  /// Records a tick. Returns by how much it is late.
  Duration OnTick(Instant now) {
    const Duration elapsed =
        this->last_tick ? now - *this->last_tick : Duration::zero();
    this->last_tick = now;
    const Duration late =
        std::max(Duration::zero(), elapsed - this->tick_interval);
    this->recent =
        std::max({Duration::zero(), late, this->recent - elapsed / kDecay});
    return late;
  }

  /// The latest lateness, or an earlier larger one less a quarter of the time
  /// since.
  Duration Recent() const { return this->recent; }

 private:
  static constexpr int kDecay = 4;

  Duration tick_interval;
  std::optional<Instant> last_tick;
  Duration recent{0};
};

}  // namespace chervilpass::membership
