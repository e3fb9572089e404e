// Corrects the estimate of a worker's load by what this VM knows more recently
// than its peers' loads: refusals for lack of capacity, counts that workers
// state with their responses, and the rate at which peers have been adding
// requests.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "chervilpass/core/time.h"
#include "chervilpass/placement/load_tracker.h"

namespace chervilpass::placement {

/// Settings of a LoadCorrection.
struct LoadCorrectionSettings {
  /// Utilisation to which refusals and growth raise an estimate at most, and
  /// the one that a further typical request may then reach. Both are below the
  /// 0.95 from which PathChooserSettings uses no worker: such a worker is the
  /// last choice, but no request is refused because of an extrapolation.
  double nearly_full_utilisation = 0.85;
  double further_request_utilisation = 0.9;
  /// Time in which that evidence decays to nothing, linearly. Shorter than a
  /// stream, since a tenth of the worker's requests end in it.
  Duration full_lifetime = seconds(2);
  /// Counts that a worker stated longer ago are ignored.
  Duration statement_lifetime = seconds(2);
  /// Growth is not derived from two datagrams of a peer that are closer.
  Duration min_growth_interval = milliseconds(200);
  /// Growth is extrapolated over this time at most: bursts are short.
  Duration max_growth_time = seconds(1);
  /// Bounds of the requests added for growth: a share of those known, and a
  /// number that is allowed in any case.
  double max_growth_share = 1;
  double min_growth_bound = 2;
  /// Peers whose last loads are older do not count.
  Duration peer_lifetime = seconds(3);

  bool operator==(const LoadCorrectionSettings&) const = default;
};

/// The worker whose load is corrected, and its capacity.
struct CorrectedWorker {
  std::uint32_t key = 0;     ///< WorkerKey of its id
  bool first_stage = false;  ///< it holds the first layer
  double layers = 0;         ///< held
  double slots = 0;
  double kv_capacity = 0;     ///< token-layers
  double typical_tokens = 0;  ///< of a request, for which KV is reserved

  bool operator==(const CorrectedWorker&) const = default;
};

/// This VM's requests on a worker.
struct LocalRequests {
  WorkerLoad load;
  double first_stage = 0;  ///< those whose path begins there

  bool operator==(const LocalRequests&) const = default;
};

/// What corrections have done since the start.
struct LoadCorrectionCounts {
  std::uint64_t refusals = 0;    ///< refusals recorded, of this VM and of peers
  std::uint64_t statements = 0;  ///< counts stated by workers
  /// Estimates that were changed, by the reason.
  std::uint64_t raised_as_full = 0;
  std::uint64_t by_statement = 0;
  std::uint64_t by_growth = 0;

  bool operator==(const LoadCorrectionCounts&) const = default;
};

/// Not thread-safe.
/// Invariant: `growth` holds the sums over `peers` of the rates of RatesOf.
class LoadCorrection {
 public:
  explicit LoadCorrection(LoadCorrectionSettings settings)
      : settings(settings) {}

  /// A worker has refused a request for lack of capacity.
  void OnFull(std::uint32_t worker, Instant now);

  /// A worker has stated the number of its requests whose path begins there, of
  /// which `local` are from this VM.
  void OnStated(std::uint32_t worker,
                double requests,
                double local,
                Instant now);

  /// Records the loads of a peer, by worker.
  void OnPeerLoads(const std::string& peer,
                   const LoadsByKey& loads,
                   Instant now);

  /// Corrects the estimate of the load of all VMs on a worker. The result has
  /// at least the requests of this VM. `peer_scale` is the number of peers for
  /// each one whose loads are recent.
  WorkerLoad Correct(const CorrectedWorker& worker,
                     const WorkerLoad& estimate,
                     const LocalRequests& local,
                     double peer_scale,
                     Instant now) const;

  /// Number of workers with evidence of a lack of capacity.
  std::size_t FullWorkers(Instant now) const;

  const LoadCorrectionCounts& Counts() const { return this->counts; }

  /// Removes expired records.
  void Expire(Instant now);

 private:
  using Sequences = std::vector<std::pair<std::uint32_t, double>>;  ///< sorted

  struct Stated {
    double from_peers = 0;
    Instant at{};
  };

  /// The latest loads of a peer, and earlier ones that growth is derived from.
  struct Peer {
    Sequences baseline;
    Instant baseline_at{};
    Sequences latest;
    Instant latest_at{};
  };

  /// Sums over peers of requests per second, and of these times the time of the
  /// peer's latest loads, in seconds.
  struct Growth {
    double rate = 0;
    double rate_time = 0;
    int peers = 0;
  };

  Sequences RatesOf(const Peer& peer) const;
  void AddRates(const Peer& peer, double sign);
  std::optional<Duration> GossipAge(Instant now) const;
  double GrowthOf(std::uint32_t worker,
                  std::optional<Duration> age,
                  Instant now) const;
  double NearlyFull(double capacity, double request) const;
  double BoundedGrowth(const CorrectedWorker& worker,
                       double grown,
                       const WorkerLoad& load) const;
  void RaiseToFull(const CorrectedWorker& worker,
                   WorkerLoad* load,
                   Instant now) const;

  LoadCorrectionSettings settings;
  std::unordered_map<std::uint32_t, Instant> refused;  ///< latest, by worker
  std::unordered_map<std::uint32_t, Stated> stated;    ///< by worker
  std::map<std::string, Peer> peers;
  double latest_times = 0;  ///< sum over `peers`, in seconds
  std::unordered_map<std::uint32_t, Growth> growth;  ///< by worker
  mutable LoadCorrectionCounts counts;
};

}  // namespace chervilpass::placement
