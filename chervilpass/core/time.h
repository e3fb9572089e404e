// Time as a value: the core never reads a clock, callers pass `Instant`s in.
#pragma once

#include <chrono>
#include <cstdint>

namespace chervilpass {

/// A span of time, in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// A point on the monotonic clock of one process.
using Instant = std::chrono::steady_clock::time_point;

/// A point in civil time, in milliseconds since 1970-01-01 UTC; the only kind
/// of time that is stored or sent between VMs.
struct WallTime {
  std::int64_t milliseconds = 0;

  auto operator<=>(const WallTime&) const = default;
};

using std::chrono::duration_cast;
using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Whole milliseconds in `duration`.
inline std::int64_t ToMilliseconds(Duration duration) {
  return duration_cast<milliseconds>(duration).count();
}

/// Seconds in `duration`, with fraction.
inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace chervilpass
