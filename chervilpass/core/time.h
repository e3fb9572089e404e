// Time types. Code without I/O never reads a clock; its callers pass
// `Instant`s.
#pragma once

#include <chrono>
#include <cstdint>

namespace chervilpass {

/// A duration in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// A time of the monotonic clock of one process.
using Instant = std::chrono::steady_clock::time_point;

/// Wall-clock time in milliseconds since 1970-01-01 UTC. The only time type
/// that is stored or sent between VMs.
struct WallTime {
  std::int64_t milliseconds = 0;

  auto operator<=>(const WallTime&) const = default;
};

using std::chrono::duration_cast;
using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// `duration` in milliseconds, truncated.
inline std::int64_t ToMilliseconds(Duration duration) {
  return duration_cast<milliseconds>(duration).count();
}

/// `duration` in seconds, with fraction.
inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace chervilpass
