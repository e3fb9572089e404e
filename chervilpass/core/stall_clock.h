// How late this process itself was: a time-out during which its fibers did not
// run in time proves nothing about the other side, whose answer may wait in a
// socket.
#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include "chervilpass/core/time.h"

namespace chervilpass {

/// Not thread-safe. Without ticks no stall is known.
class StallClock {
 public:
  /// A longer time than `threshold` between two ticks is a stall.
  explicit StallClock(Duration threshold) : threshold(threshold) {}

  void OnTick(Instant now) {
    if (this->IsLate(now)) {
      this->stalls[this->next++ % kKept] = {now, now - *this->last_tick};
    }
    this->last_tick = now;
  }

  /// Total length of the stalls that ended from `since` to `now`, as far as
  /// they are kept. The tick that ends a stall may be handled after the fiber
  /// that asks, so one in progress counts too.
  Duration StalledSince(Instant since, Instant now) const {
    Duration total =
        this->IsLate(now) ? now - *this->last_tick : Duration::zero();
    for (const Stall& stall : this->stalls) {
      if (stall.length > Duration::zero() && stall.end >= since) {
        total += stall.length;
      }
    }
    return total;
  }

  /// True if a wait of `timeout`, begun at `start`, without an answer by `now`
  /// proves nothing: the process stalled for a third of it or more.
  bool VoidsTimeout(Instant start, Instant now, Duration timeout) const {
    return kShare * this->StalledSince(start, now) >= timeout;
  }

 private:
  static constexpr std::size_t kKept = 8;
  static constexpr int kShare = 3;

  struct Stall {
    Instant end{};
    Duration length{0};
  };

  bool IsLate(Instant now) const {
    return this->last_tick && now - *this->last_tick > this->threshold;
  }

  Duration threshold;
  std::optional<Instant> last_tick;
  std::array<Stall, kKept> stalls;
  std::size_t next = 0;
};

}  // namespace chervilpass
