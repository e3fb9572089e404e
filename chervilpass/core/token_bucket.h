// Token-bucket rate limiter: fills at a constant rate up to a burst (Turner,
// "New directions in communications", 1986).
#pragma once

#include <algorithm>

#include "chervilpass/core/time.h"

namespace chervilpass {

/// Limits a rate. Invariant: 0 <= level <= burst. Not thread-safe.
class TokenBucket {
 public:
  /// `rate` is in units per second. The bucket starts full.
  TokenBucket(double rate, double burst, Instant now)
      : rate(rate), burst(burst), level(burst), updated(now) {}

  /// Takes `amount` if the level suffices; returns whether it did.
  bool TryTake(Instant now, double amount = 1) {
    this->Refill(now);
    if (this->level < amount) {
      return false;
    }
    this->level -= amount;
    return true;
  }

  /// Time until the level reaches `amount`.
  Duration TimeUntil(Instant now, double amount = 1) {
    this->Refill(now);
    const double missing = std::max(0.0, amount - this->level);
    return duration_cast<Duration>(
        std::chrono::duration<double>(missing / this->rate));
  }

  /// Adds `amount` to the level, up to the burst.
  void Deposit(double amount) {
    this->level = std::min(this->burst, this->level + amount);
  }

  double Level() const { return this->level; }

 private:
  void Refill(Instant now) {
    if (now > this->updated) {
      this->Deposit(this->rate * ToSeconds(now - this->updated));
      this->updated = now;
    }
  }

  double rate;
  double burst;
  double level;
  Instant updated;
};

}  // namespace chervilpass
