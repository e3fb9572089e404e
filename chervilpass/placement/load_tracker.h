// Tracks the load that this entry has in flight on each worker, and estimates
// the load of other entries.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "chervilpass/core/time.h"
#include "chervilpass/placement/path.h"

namespace chervilpass::placement {

/// Load of the requests that pass through one worker.
struct WorkerLoad {
  double sequences = 0;
  double context_tokens = 0;   ///< over all sequences
  double kv_token_layers = 0;  ///< KV cache reserved, tokens x layers

  bool operator==(const WorkerLoad&) const = default;
};

/// Returns the key of a worker in the loads that entries exchange.
std::uint32_t WorkerKey(const std::string& worker);

using LoadsByKey = std::unordered_map<std::uint32_t, WorkerLoad>;

/// Tracks loads of this entry, its peers and other data centres. Not
/// thread-safe.
/// Invariant: local loads are the sums over the paths that were added and not
/// yet removed.
class LoadTracker {
 public:
  /// Adds a request on `path`. `tokens` counts prompt and expected answer.
  void Add(const Path& path, double tokens);

  /// Removes a request that has ended or left this path.
  void Remove(const Path& path, double tokens);

  /// Records a worker's report of how many requests, from all entries, it is
  /// running as the first stage of their paths.
  void OnReportedRunning(const std::string& worker,
                         const std::string& data_centre,
                         std::uint32_t running,
                         Instant now);

  /// Returns this entry's load on a worker; zero if it has none.
  WorkerLoad LocalLoad(const std::string& worker) const;

  /// Returns the number of this entry's requests whose path begins at a worker.
  double LocalFirstStageRequests(const std::string& worker) const;

  /// Returns this entry's loads on all workers that it uses.
  LoadsByKey LocalLoadsByKey() const;

  /// Replaces the loads received from another entry of this data centre, by
  /// worker key. They hold no context tokens.
  void OnPeerLoads(const std::string& peer, LoadsByKey peer_loads, Instant now);

  /// Replaces the summed loads of all entries of another data centre.
  void OnDataCentreLoads(const std::string& data_centre,
                         LoadsByKey loads,
                         Instant now);

  /// Sets the average load of the workers of another data centre that its last
  /// loads do not list.
  void OnRestOfDataCentreLoads(const std::string& data_centre,
                               const WorkerLoad& rest);

  /// Sets the number of other entries of this data centre that are alive.
  void SetDataCentrePeerCount(std::size_t count) {
    if (this->data_centre_peer_count != count) {
      this->excluding_local.reset();
    }
    this->data_centre_peer_count = count;
  }

  /// Returns the load of this data centre's entries, this one included. Peers
  /// without recent loads count with the average of the others.
  LoadsByKey DataCentreTotals(Instant now) const;

  /// Returns the known load of all other entries, without RestLoad, valid until
  /// the next call of a method. Summed again only after loads have arrived or
  /// expired.
  const LoadsByKey& TotalsExcludingLocal(Instant now) const;

  /// Returns the average load to add to TotalsExcludingLocal for a worker that
  /// the recent partial loads of its data centre do not list; zero for others.
  WorkerLoad RestLoad(std::uint32_t worker,
                      const std::string& data_centre,
                      Instant now) const;

  /// True if the recent loads of any data centre are partial.
  bool HasRestLoads(Instant now) const;

  /// Returns the known load of all other entries on one worker, as
  /// TotalsExcludingLocal with RestLoad, up to rounding. Its cost does not
  /// depend on the number of workers or entries. Call DropExpired before.
  WorkerLoad LoadExcludingLocal(std::uint32_t worker,
                                const std::string& data_centre,
                                Instant now) const;

  /// Drops the loads of entries that have not been heard for a while.
  void DropExpired(Instant now);

  /// Returns the number of this data centre's peers for each one whose loads
  /// are recent; 0 if there are none.
  double PeerScale(Instant now) const;

  /// True if the loads of any other entry or data centre are recent.
  bool HasRecentPeerLoads(Instant now) const;

  /// Returns the number of requests of other entries in a data centre,
  /// according to recent reports of its workers.
  double PeerRequestsIn(const std::string& data_centre, Instant now) const;

 private:
  struct Record {
    WorkerLoad load;
    double first_stage_requests = 0;
  };
  struct ReportedRequests {
    std::string data_centre;
    double from_peers = 0;  ///< requests
    Instant at;
  };

  struct ReceivedLoads {
    LoadsByKey loads;
    Instant at;
    WorkerLoad rest{};  ///< of each worker of the data centre without a load
  };

  // Sums of other entries; valid in [since, until].
  struct CachedTotals {
    LoadsByKey totals;
    Instant since{};
    Instant until{};
  };

  void AddPeerLoads(LoadsByKey* totals, Instant now) const;
  void SubtractFromSums(const LoadsByKey& loads);

  std::map<std::string, Record> records;       ///< of this entry, by worker
  std::map<std::string, ReceivedLoads> peers;  ///< by VM, of this data centre
  std::map<std::string, ReceivedLoads> data_centres;  ///< other ones, by name
  /// Sums over `peers`. Exact, since the loads in datagrams are integers.
  LoadsByKey peer_sums;
  std::size_t data_centre_peer_count = 0;
  mutable std::optional<CachedTotals> excluding_local;
  std::map<std::string, ReportedRequests> reported;  ///< by worker
  Instant reported_pruned{};
};

}  // namespace chervilpass::placement
