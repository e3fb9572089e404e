// What this entry has in flight on each worker, and an estimate of what other
// entries have there.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "chervilpass/core/time.h"
#include "chervilpass/placement/path.h"

namespace chervilpass::placement {

/// Requests that pass through one worker.
struct WorkerLoad {
  double sequences = 0;
  double context_tokens = 0;   ///< over all sequences
  double kv_token_layers = 0;  ///< reserved

  bool operator==(const WorkerLoad&) const = default;
};

/// Key of a worker in what entries tell each other.
std::uint32_t WorkerKey(const std::string& worker);

using LoadsByKey = std::unordered_map<std::uint32_t, WorkerLoad>;

/// Not thread-safe. Invariant: the counts are the sums over the paths added and
/// not yet removed.
class LoadTracker {
 public:
  /// A request of `tokens` in all, prompt and expected answer, takes `path`.
  void Add(const Path& path, double tokens);

  /// The request has ended, or left this path.
  void Remove(const Path& path, double tokens);

  /// A worker states how many requests it runs as first of their paths, from
  /// all entries.
  void OnReportedRunning(const std::string& worker,
                         const std::string& data_centre,
                         std::uint32_t running,
                         Instant now);

  /// This entry's own load on a worker.
  WorkerLoad LocalLoad(const std::string& worker) const;

  /// Own loads of all workers that have any.
  LoadsByKey LocalLoadsByKey() const;

  /// What another entry of this data centre has in flight, by key of the
  /// worker, without contexts; replaces what it has said before.
  void OnPeerLoads(const std::string& peer, LoadsByKey peer_loads, Instant now);

  /// The same of all entries of another data centre.
  void OnDataCentreLoads(const std::string& data_centre,
                         LoadsByKey loads,
                         Instant now);

  /// Other entries of this data centre that are alive.
  void SetDataCentrePeerCount(std::size_t count) { this->local_peers = count; }

  /// Load of this data centre's entries, this one included. Those that have
  /// told theirs of late stand for those that have not.
  LoadsByKey DataCentreTotals(Instant now) const;

  /// Load of all other entries, as far as it is known.
  LoadsByKey TotalsExcludingLocal(Instant now) const;

  /// True if any entry has told its load of late.
  bool HasRecentPeerLoads(Instant now) const;

  /// Requests of other entries that run in a data centre, as far as its workers
  /// have stated of late.
  double PeerRequestsIn(const std::string& data_centre, Instant now) const;

 private:
  struct Record {
    WorkerLoad load;
    double as_first = 0;  ///< requests
  };
  struct Stated {
    std::string data_centre;
    double others = 0;  ///< requests
    Instant at;
  };

  struct ToldLoads {
    LoadsByKey loads;
    Instant at;
  };

  void AddPeers(LoadsByKey* totals, Instant now) const;

  std::map<std::string, Record> records;
  std::map<std::string, ToldLoads> peers;         ///< of this data centre
  std::map<std::string, ToldLoads> data_centres;  ///< the other ones
  std::size_t local_peers = 0;
  std::map<std::string, Stated> stated;
};

}  // namespace chervilpass::placement
