// Judges requests that crash the backend servers which run them.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "chervilpass/core/time.h"
#include "chervilpass/quarantine/strike.h"

namespace chervilpass::quarantine {

/// Describes a StrikeTracker.
struct StrikeTrackerSettings {
  std::uint32_t strikes_to_quarantine = 2;  ///< on as many backend servers
  Duration strike_lifetime = std::chrono::minutes(10);

  bool operator==(const StrikeTrackerSettings&) const = default;
};

enum class QuarantineState {
  kClear,        ///< Nothing is known against the request.
  kSuspect,      ///< One strike: it runs apart from other suspects.
  kQuarantined,  ///< It is refused.
};

/// Counts strikes by request fingerprint. Not thread-safe.
/// Invariant: at most one strike for each pair of fingerprint and worker.
class StrikeTracker {
 public:
  explicit StrikeTracker(StrikeTrackerSettings settings) : settings(settings) {}

  /// Adds a strike; false if it was known or has expired.
  bool Add(const Strike& strike, WallTime now);

  /// What is to be done with a request.
  QuarantineState StateOf(std::uint64_t fingerprint, WallTime now) const;

  /// Time until the first strike of a quarantined request expires.
  Duration RetryAfter(std::uint64_t fingerprint, WallTime now) const;

  /// Takes back all strikes of a request that has run to its end.
  void Clear(std::uint64_t fingerprint) { this->strikes.erase(fingerprint); }

  /// Drops strikes that have expired.
  void Expire(WallTime now);

 private:
  bool Expired(WallTime at, WallTime now) const;

  StrikeTrackerSettings settings;
  /// By fingerprint, then worker.
  std::map<std::uint64_t, std::map<std::string, WallTime>> strikes;
};

/// One request running on a worker when it crashed.
struct RunningRequest {
  std::uint64_t fingerprint = 0;
  bool suspect = false;

  auto operator<=>(const RunningRequest&) const = default;
};

/// Who is to get a strike for a crash: the suspect if one was running, since
/// it runs apart from other suspects; else everyone, since nobody is cleared.
std::vector<std::uint64_t> BlameForCrash(
    const std::vector<RunningRequest>& running);

}  // namespace chervilpass::quarantine
