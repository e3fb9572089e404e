// Spaces the calls of the decider to workers with open orders. While a fleet of
// thousands of workers starts, all have open orders: unbounded, each is asked
// four times a second, calls time out before they are sent, and hardly an order
// arrives.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "chervilpass/core/time.h"

namespace chervilpass::placement {

/// Settings of a CallPace.
struct CallPaceSettings {
  /// 100 workers with open orders are asked four times a second.
  double calls_per_second = 400;
  /// Calls that may be made at once.
  double burst = 400;

  bool operator==(const CallPaceSettings&) const = default;
};

enum class CallKind : std::uint8_t {
  kRepair,  ///< does not wait for its turn, but delays later calls
  kOther,
};

/// Gives calls their turns in the order of the reservations (GCRA, ITU-T
/// I.371). Not thread-safe.
class CallPace {
 public:
  CallPace(CallPaceSettings settings, Instant now)
      : interval(duration_cast<Duration>(std::chrono::duration<double>(
            1 / std::max(1.0, settings.calls_per_second)))),
        burst_time(duration_cast<Duration>(settings.burst * this->interval)),
        next(now - this->burst_time) {}

  /// Reserves a turn for so many calls; returns how long to wait for it.
  Duration Reserve(CallKind kind, int calls, Instant now) {
    const Instant turn = std::max(this->next, now - this->burst_time);
    this->next = turn + calls * this->interval;
    return kind == CallKind::kRepair ? Duration::zero()
                                     : std::max(Duration::zero(), turn - now);
  }

 private:
  Duration interval;
  Duration burst_time;
  Instant next;  ///< turn of the next call
};

}  // namespace chervilpass::placement
