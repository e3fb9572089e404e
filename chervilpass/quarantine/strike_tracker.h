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
  std::uint32_t strikes_to_quarantine = 2;  ///< independent ones
  Duration strike_lifetime = std::chrono::minutes(10);
  /// Strikes of concurrent runs that are closer to each other than this are
  /// attributed to one incident, such as the loss of a rack. Zero: each crash
  /// is independent.
  Duration incident_window{0};
  /// A request that completed this recently gets no strike: servers end beside
  /// a popular request for other reasons.
  Duration completion_memory{0};

  bool operator==(const StrikeTrackerSettings&) const = default;
};

/// State of a request by its strikes that have not expired.
enum class QuarantineState {
  kClear,        ///< No strikes.
  kSuspect,      ///< At least one strike: it runs apart from other suspects.
  kQuarantined,  ///< Enough strikes: it is refused.
};

/// Counts independent strikes by request fingerprint. A strike is independent
/// of the earlier ones if its run began when they were known, or if it comes
/// later than the incident window. Not thread-safe.
/// Invariant: at most one strike for each pair of fingerprint and worker.
class StrikeTracker {
 public:
  explicit StrikeTracker(StrikeTrackerSettings settings) : settings(settings) {}

  /// Adds a strike; false if it is a duplicate or has expired, or if the
  /// request has completed recently.
  bool Add(const Strike& strike, WallTime now);

  /// Raises the number of independent strikes to `count`, as known to another
  /// VM or an earlier process; false if that changes nothing.
  bool Restore(std::uint64_t fingerprint,
               std::uint32_t count,
               WallTime at,
               WallTime now);

  /// Number of independent strikes of a request.
  std::uint32_t Count(std::uint64_t fingerprint, WallTime now) const;

  /// The state of a request at `now`.
  QuarantineState StateOf(std::uint64_t fingerprint, WallTime now) const;

  /// Time until enough strikes of a quarantined request have expired; zero for
  /// a request that is not quarantined.
  Duration RetryAfter(std::uint64_t fingerprint, WallTime now) const;

  /// Time until fewer than `count` strikes are left; zero if there are
  /// fewer already.
  Duration TimeUntilFewerThan(std::uint32_t count,
                              std::uint64_t fingerprint,
                              WallTime now) const;

  /// Clears the strikes of a request that has completed. Their crashes stay
  /// known, so that late duplicates do not count. False if there were none.
  bool Clear(std::uint64_t fingerprint);

  /// Clears the strikes of a request that has completed and remembers that;
  /// false if there were none.
  bool OnCompleted(std::uint64_t fingerprint, WallTime now);

  /// True if the request completed within the completion memory.
  bool CompletedRecently(std::uint64_t fingerprint, WallTime now) const;

  /// Removes strikes that have expired.
  void Expire(WallTime now);

 private:
  struct Record {
    std::map<std::string, WallTime> crashes;  ///< by worker
    std::vector<WallTime> independent;        ///< strikes that count
  };

  bool Expired(WallTime at, WallTime now) const;
  void CountUpTo(Record* record,
                 std::uint32_t count,
                 WallTime at,
                 WallTime now) const;
  std::uint32_t CountOf(const Record& record, WallTime now) const;

  StrikeTrackerSettings settings;
  std::map<std::uint64_t, Record> records;        ///< by fingerprint
  std::map<std::uint64_t, WallTime> completions;  ///< by fingerprint
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
