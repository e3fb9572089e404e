// Quarantines requests that crash the backend servers which run them.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "chervilpass/core/time.h"
#include "chervilpass/quarantine/strike.h"

namespace chervilpass::quarantine {

/// Settings of a StrikeTracker.
struct StrikeTrackerSettings {
  std::uint32_t strikes_to_quarantine = 2;  ///< from distinct backend servers
  Duration strike_lifetime = std::chrono::minutes(10);

  bool operator==(const StrikeTrackerSettings&) const = default;
};

/// State of a request by its strikes that have not expired.
enum class QuarantineState {
  kClear,        ///< No strikes.
  kSuspect,      ///< At least one strike: it runs apart from other suspects.
  kQuarantined,  ///< Enough strikes: it is refused.
};

/// Counts strikes by request fingerprint. Not thread-safe.
/// Invariant: at most one strike for each pair of fingerprint and worker.
class StrikeTracker {
 public:
  explicit StrikeTracker(StrikeTrackerSettings settings) : settings(settings) {}

  /// Adds a strike; false if it is a duplicate or has expired.
  bool Add(const Strike& strike, WallTime now);

  /// The state of a request at `now`.
  QuarantineState StateOf(std::uint64_t fingerprint, WallTime now) const;

  /// Time until the oldest strike of a quarantined request expires; zero for
  /// an unknown request.
  Duration RetryAfter(std::uint64_t fingerprint, WallTime now) const;

  /// Removes all strikes of a request that has completed.
  void Clear(std::uint64_t fingerprint) { this->strikes.erase(fingerprint); }

  /// Removes strikes that have expired.
  void Expire(WallTime now);

 private:
  bool Expired(WallTime at, WallTime now) const;

  StrikeTrackerSettings settings;
  /// Times of strikes by fingerprint, then worker.
  std::map<std::uint64_t, std::map<std::string, WallTime>> strikes;
};

/// A request that was running on a worker when the worker crashed.
struct RunningRequest {
  std::uint64_t fingerprint = 0;
  bool suspect = false;

  auto operator<=>(const RunningRequest&) const = default;
};

/// Fingerprints of the requests that get a strike for a crash: the suspect if
/// one was running, since suspects run apart from each other; otherwise all,
/// since none can be ruled out.
std::vector<std::uint64_t> BlameForCrash(
    const std::vector<RunningRequest>& running);

}  // namespace chervilpass::quarantine
