// What the router believes at a moment: configuration, backend servers, their
// load, whom to avoid. Shared by all requests of a process; fiber thread only.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chervilpass/core/log.h"
#include "chervilpass/core/metrics.h"
#include "chervilpass/core/random.h"
#include "chervilpass/placement/load_tracker.h"
#include "chervilpass/placement/path_chooser.h"
#include "chervilpass/quarantine/strike_tracker.h"
#include "chervilpass/routing/cooldown_tracker.h"
#include "chervilpass/routing/retry_budget.h"
#include "chervilpass/routing/route_table.h"
#include "chervilpass/routing/server_registry.h"
#include "chervilpass/routing/worker_health.h"

namespace chervilpass::serving {

/// Describes a RoutingState.
struct RoutingStateSettings {
  std::string vm;
  std::string data_centre;
  routing::RetryBudgetSettings retries;
  placement::PathChooserSettings paths;
  quarantine::StrikeTrackerSettings strikes{3, std::chrono::minutes(10)};

  bool operator==(const RoutingStateSettings&) const = default;
};

/// What is in flight on a plain backend server.
struct ServerLoad {
  std::uint32_t local = 0;
  std::uint32_t from_peers = 0;  ///< when it last stated its load
  Instant reported_at{};

  bool operator==(const ServerLoad&) const = default;
};

/// The router's beliefs. State machines inside are pure; this class joins them.
class RoutingState {
 public:
  RoutingState(RoutingStateSettings settings, std::uint64_t seed);

  /// Takes a configuration if it is newer than the one in force; true if so.
  bool ApplyConfig(std::shared_ptr<const routing::RouteTable> table);

  const std::shared_ptr<const routing::RouteTable>& Table() const {
    return this->table;
  }

  /// A path for a request of that size, avoiding what is known to be unusable.
  Result<placement::ChosenPath, placement::NoPathReason> FindPath(
      const std::string& service,
      const placement::ModelProfile& model,
      const placement::PathQuery& query,
      Instant now);

  /// Workers for parts of paths, with estimated load.
  std::vector<placement::PathCandidate> PathCandidates(
      const std::string& service,
      const placement::ModelProfile& model,
      Instant now) const;

  /// A server of a plain service; empty if there is none.
  std::optional<routing::BackendServer> PickServer(
      const std::string& service,
      const std::set<std::string>& excluded,
      Instant now);

  /// Marks a worker; true if that is news.
  bool StartCooldown(const std::string& worker,
                     routing::CooldownReason reason,
                     Instant now);

  /// A worker has refused a request that it did not run. True if it goes on
  /// doing so though, as far as is known, it has room: others should be told.
  bool NoteRefusal(const std::string& worker,
                   const placement::ModelProfile& model,
                   Instant now);

  /// A worker holds other layers than before.
  void OnLayersChanged(const std::string& worker);

  bool InCooldown(const std::string& worker, Instant now) const;
  bool IsRefusing(const std::string& worker, Instant now) const;
  bool IsUnreachable(const std::string& worker, Instant now) const;

  /// A worker has carried a request to its end.
  void OnServed(const std::string& worker);

  routing::ServerRegistry& Servers() { return this->servers; }
  const routing::ServerRegistry& Servers() const { return this->servers; }
  placement::LoadTracker& Loads() { return this->loads; }
  std::map<std::string, ServerLoad>& ServerLoads() { return this->plain_loads; }
  routing::WorkerHealth& ServerHealth() { return this->plain_health; }
  routing::RetryBudget& Retries() { return this->retries; }
  quarantine::StrikeTracker& Strikes() { return this->strikes; }
  Random& Rng() { return this->random; }
  const RoutingStateSettings& Settings() const { return this->settings; }

  /// To be called a few times a second.
  void Expire(Instant now, WallTime wall);

 private:
  std::string Incarnation(const std::string& worker) const;

  // By the loads that entries tell each other.
  bool LooksFull(const std::string& worker,
                 const placement::ModelProfile& model,
                 Instant now) const;

  RoutingStateSettings settings;
  std::shared_ptr<const routing::RouteTable> table;  ///< null until known
  routing::ServerRegistry servers{routing::ServerRegistrySettings{}};
  routing::CooldownTracker avoid{routing::CooldownTrackerSettings{}};
  placement::LoadTracker loads;
  std::map<std::string, ServerLoad> plain_loads;
  routing::WorkerHealth plain_health{routing::WorkerHealthSettings{}};
  routing::RetryBudget retries;
  quarantine::StrikeTracker strikes;
  Random random;
};

}  // namespace chervilpass::serving
