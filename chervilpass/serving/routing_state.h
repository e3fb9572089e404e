// The router's current state: configuration, backend servers, their load and
// cooldowns. Shared by all requests of a process; fiber thread only.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chervilpass/admission/capacity_policy.h"
#include "chervilpass/core/log.h"
#include "chervilpass/core/metrics.h"
#include "chervilpass/core/random.h"
#include "chervilpass/core/stall_clock.h"
#include "chervilpass/placement/candidate_sampler.h"
#include "chervilpass/placement/load_correction.h"
#include "chervilpass/placement/load_tracker.h"
#include "chervilpass/placement/loss_cost.h"
#include "chervilpass/placement/objective_cost.h"
#include "chervilpass/placement/path_chooser.h"
#include "chervilpass/quarantine/prompt_part_evidence.h"
#include "chervilpass/quarantine/strike_tracker.h"
#include "chervilpass/routing/cooldown_tracker.h"
#include "chervilpass/routing/rate_limit_tracker.h"
#include "chervilpass/routing/rest_tracker.h"
#include "chervilpass/routing/retry_budget.h"
#include "chervilpass/routing/route_table.h"
#include "chervilpass/routing/server_registry.h"
#include "chervilpass/routing/worker_health.h"
#include "chervilpass/serving/server_pacing.h"

namespace chervilpass::serving {

/// Time without a tick of RoutingState::Stalls that counts as a stall.
inline constexpr Duration kStallThreshold = milliseconds(60);

/// Settings of a RoutingState.
struct RoutingStateSettings {
  std::string vm;
  std::string data_centre;
  routing::RetryBudgetSettings retries;
  placement::PathChooserSettings paths;
  admission::CapacityPolicySettings capacity;
  placement::CandidateSamplerSettings samples;
  /// One more than the three ends after which retries are limited: a harmless
  /// request may be beside three ends in a row, and a few retries are allowed.
  quarantine::StrikeTrackerSettings strikes{4, std::chrono::minutes(10),
                                            seconds(1), seconds(2)};
  quarantine::PromptPartEvidenceSettings prompt_parts;
  /// True if strikes are restored from the store after the start.
  bool strikes_are_stored = false;
  /// True if estimates of loads are corrected and full workers are announced.
  bool load_correction = false;
  /// True if paths take the cost of losses of workers into account.
  bool loss_cost = false;
  /// Paths are chosen by objective; none: by cost alone.
  std::optional<placement::ObjectiveCostSettings> objective_paths;

  routing::CooldownTrackerSettings cooldowns;
  /// Paces servers that start or come back; none: they get all load at once.
  std::optional<routing::ServerPaceSettings> server_pacing;

  bool operator==(const RoutingStateSettings&) const = default;
};

/// Requests in flight on a plain backend server.
struct ServerLoad {
  std::uint32_t local = 0;       ///< sent by this VM
  std::uint32_t from_peers = 0;  ///< sent by peers, as of `reported_at`
  Instant reported_at{};

  bool operator==(const ServerLoad&) const = default;
};

/// Combines the state machines that routing depends on; they do no I/O.
class RoutingState {
 public:
  RoutingState(RoutingStateSettings settings, std::uint64_t seed);

  /// Applies a configuration if it is newer than the current one; true if so.
  bool ApplyConfig(std::shared_ptr<const routing::RouteTable> table);

  const std::shared_ptr<const routing::RouteTable>& Table() const {
    return this->table;
  }

  /// The store or a relay has said that no configuration was newer at `at`.
  void OnConfigConfirmed(Instant at) { this->config_confirmed = at; }

  /// Time since that; none if it has not been said yet.
  std::optional<Duration> ConfigUnconfirmedFor(Instant now) const {
    return this->config_confirmed
               ? std::optional<Duration>(now - *this->config_confirmed)
               : std::nullopt;
  }

  /// Which requests may use how much of the workers' capacity.
  admission::CapacityPolicy& Capacity() { return this->capacity; }
  const admission::CapacityPolicy& Capacity() const { return this->capacity; }
  /// The store or a relay has stated the servers that were registered at `at`.
  void OnServersConfirmed(Instant at) { this->servers_confirmed = at; }

  /// Time since that; none if it has not been said yet.
  std::optional<Duration> ServersUnconfirmedFor(Instant now) const {
    return this->servers_confirmed
               ? std::optional<Duration>(now - *this->servers_confirmed)
               : std::nullopt;
  }

  /// Delays of this process, which make its own time-outs worthless.
  StallClock& Stalls() { return this->stalls; }

  /// Turns early recovery and the correction of loads on or off.
  void SetProtection(bool early, bool corrected) {
    this->early_recovery = early;
    this->settings.load_correction = corrected;
    this->cooldowns.SetProofTime(early ? this->settings.cooldowns.proof_time
                                       : Duration::zero());
  }
  bool EarlyRecovery() const { return this->early_recovery; }
  bool LoadCorrection() const { return this->settings.load_correction; }

  /// Finds a path for the query without workers in cooldown; fails with the
  /// reason why there is none.
  Result<placement::ChosenPath, placement::NoPathReason> FindPath(
      const std::string& service,
      const placement::ModelProfile& model,
      const placement::PathQuery& query,
      Instant now);

  /// As FindPath, with what the path was chosen by.
  Result<placement::ObjectiveChoice, placement::NoPathReason>
  FindPathByObjective(const std::string& service,
                      const placement::ModelProfile& model,
                      const placement::PathQuery& query,
                      Instant now);

  /// Usable workers for the stages of paths, with their estimated load and the
  /// wait that their rate limits and rests require.
  std::vector<placement::PathCandidate> PathCandidates(
      const std::string& service,
      const placement::ModelProfile& model,
      Instant now) const;

  /// Number of paths that were chosen from a sample of the workers, and of
  /// those that needed a wider sample.
  std::uint64_t SampledPaths() const { return this->sampled_paths; }
  std::uint64_t WidelySampledPaths() const {
    return this->widely_sampled_paths;
  }

  /// Chooses a server of a plain service; empty if none is usable. A request
  /// may wait for `max_send_wait` until the server's rate limit and rest let it
  /// be sent.
  std::optional<routing::BackendServer> PickServer(
      const std::string& service,
      const std::set<std::string>& excluded,
      Instant now,
      Duration max_send_wait = Duration::zero());

  /// Cost by which PickServer compares servers, in shares of their slots.
  double CallCost(const routing::BackendServer& server, Instant now) const;

  /// Starts a cooldown of a worker; false if one for this reason is in
  /// progress.
  bool StartCooldown(const std::string& worker,
                     routing::CooldownReason reason,
                     Instant now);

  /// Records that a worker refused a request without running it. Returns true
  /// if peers should be informed: it refuses repeatedly although, as far as is
  /// known, it has capacity.
  bool RecordRefusal(const std::string& worker,
                     const placement::ModelProfile& model,
                     Instant now);

  /// Records the number of requests, from all VMs, that a worker states with a
  /// response: those whose path begins there.
  void RecordStatedLoad(const std::string& worker,
                        std::uint32_t running,
                        std::uint32_t waiting,
                        Instant now);

  /// Records the loads received from another VM of this data centre.
  void OnPeerLoads(const std::string& peer,
                   placement::LoadsByKey peer_loads,
                   Instant now);

  /// Time until the cooldown of a worker for lack of capacity ends; zero if
  /// there is none.
  Duration FullCooldownLeft(const std::string& worker, Instant now) const;

  /// Another VM reports that a worker has refused a request for lack of
  /// capacity and should get none for `left`.
  void OnFullNotice(const std::string& worker, Duration left, Instant now);

  /// A worker of a model has ended or does not respond.
  void RecordLoss(const std::string& worker, Instant now) {
    // A peer may name a worker that is gone.
    if (this->servers.Find(worker) == nullptr) {
      return;
    }
    this->losses.OnLost(worker, now);
  }

  /// Cost of each stage of a path for the losses of its worker; zero if the
  /// settings do not say so. `objective` is that of the route for pauses.
  Duration StageLossCost(const placement::ModelProfile& model,
                         double answer_tokens,
                         Duration objective,
                         Instant now) const;

  /// A worker holds other layers than before: clears its earlier refusals.
  void OnLayersChanged(const std::string& worker);

  bool InCooldown(const std::string& worker, Instant now) const;
  bool IsRefusing(const std::string& worker, Instant now) const;
  bool IsUnreachable(const std::string& worker, Instant now) const;

  /// Registered workers that have to answer a probe before they get requests
  /// again: their cooldown after a loss has ended.
  std::vector<routing::BackendServer> WorkersToProve(Instant now) const;

  /// True if this VM cannot reach some worker of the service.
  bool HasUnreachable(const std::string& service, Instant now) const;

  /// True if some worker of the service is in cooldown for lack of capacity.
  bool HasFull(const std::string& service, Instant now) const;

  /// Forgets which servers could not be reached.
  void ClearUnreachable(Instant now);

  /// A worker has completed a request or answered a probe: ends its unreachable
  /// cooldown.
  void OnAnswered(const std::string& worker);

  /// The start of a server; zero if it is unknown.
  WallTime StartedOf(const std::string& server) const;

  /// Records what is known of a server's rate limit; true if it has changed.
  bool RecordRateLimit(const std::string& server,
                       const routing::RateLimit& limit);

  /// The rate limit of a server; none if it takes any number of requests.
  std::optional<double> RateLimitOf(const std::string& server) const;

  /// The latest statement about a server's rate limit, if there is one.
  std::optional<routing::RateLimit> RateLimitRecord(
      const std::string& server) const;

  /// Statements about rate limits made at `since` or later, by server.
  std::vector<std::pair<std::string, routing::RateLimit>> RateLimitsSince(
      Instant since) const;

  /// Records that no request may be sent to a server before `next`.
  void SetNextSend(const std::string& server, Instant next);

  /// Records that a request was refused because of rate limits. Returns when
  /// its caller should retry: the callers that are refused by all VMs are
  /// spread over the time in which they can be served. Zero if no server of
  /// the service has a limit.
  Duration OnRefusedByRateLimit(const std::string& service, Instant now);

  /// Records that `server`, started at `started`, wants no requests from this
  /// VM for `rest`. Returns true if it was not resting.
  bool RecordRest(const std::string& server,
                  WallTime started,
                  Duration rest,
                  Instant now);

  /// Time until the rest of a server ends; zero if it does not rest.
  Duration RestLeft(const std::string& server, Instant now) const;

  /// Time until a server's rate limit and rest let a request be sent to it.
  Duration SendWait(const std::string& server, Instant now) const;

  /// When callers should retry a request to a service whose servers all rest:
  /// spread over some time after the first one is back. Zero if any server that
  /// takes requests from VMs does not rest.
  Duration RetryAfterRests(const std::string& service, Instant now);

  /// Number of VMs of the fleet that are alive.
  void SetFleetSize(std::size_t vms) { this->fleet_size = vms; }

  routing::ServerRegistry& Servers() { return this->servers; }
  const routing::ServerRegistry& Servers() const { return this->servers; }
  placement::LoadTracker& Loads() { return this->loads; }
  const placement::LoadCorrection& Correction() const {
    return this->correction;
  }
  const placement::LossCost& Losses() const { return this->losses; }
  std::map<std::string, ServerLoad>& ServerLoads() {
    return this->server_loads;
  }
  const std::map<std::string, ServerLoad>& ServerLoads() const {
    return this->server_loads;
  }
  routing::WorkerHealth& ServerHealth() { return this->server_health; }
  const routing::WorkerHealth& ServerHealth() const {
    return this->server_health;
  }
  routing::RetryBudget& Retries() { return this->retries; }
  quarantine::StrikeTracker& Strikes() { return this->strikes; }
  quarantine::PromptPartEvidence& PromptParts() { return this->prompt_parts; }
  /// Records the end of a backend server, named "START" or "START#N" after its
  /// start and the N ends of that start that were known before.
  void OnServerEnded(const std::string& start);

  /// Known ends of a start of a backend server.
  std::uint32_t EndsOf(const std::string& start) const;

  /// False until the strikes in the store are known.
  bool StrikesLoaded() const { return this->strikes_loaded; }
  void SetStrikesLoaded() { this->strikes_loaded = true; }
  Random& Rng() { return this->random; }
  const RoutingStateSettings& Settings() const { return this->settings; }

  /// Null unless servers are paced.
  ServerPacing* Pacing() { return this->pacing ? &*this->pacing : nullptr; }
  const ServerPacing* Pacing() const {
    return this->pacing ? &*this->pacing : nullptr;
  }

  /// Share of its full load that a server is given.
  double PaceShareOf(const std::string& server) const;

  /// True during an outage of a server: it is ejected, rests or cannot be
  /// reached.
  bool IsAway(const std::string& server, Instant now) const;

  /// Id and start time of the worker: a restarted worker has no cooldowns.
  std::string Incarnation(const std::string& worker) const;

  /// Removes expired records; to be called a few times a second.
  void Expire(Instant now, WallTime wall);

 private:
  Result<placement::ChosenPath, placement::NoPathReason> ChooseAmong(
      const placement::ModelProfile& model,
      const std::vector<placement::PathCandidate>& candidates,
      const placement::PathQuery& query);

  // Chooses by the objective of the query, if the settings say so, among the
  // candidates from which `cheapest` was chosen last.
  placement::ObjectiveChoice ApplyObjective(
      const placement::ModelProfile& model,
      const std::vector<placement::PathCandidate>& candidates,
      const placement::ChosenPath& cheapest,
      const placement::PathQuery& query) const;

  // Sets what a candidate may get while it is paced.
  void LimitByPace(const placement::ModelProfile& model,
                   placement::PathCandidate* candidate) const;

  // Corrects the loads of candidates, if the settings say so.
  void CorrectLoads(const placement::ModelProfile& model,
                    Instant now,
                    std::vector<placement::PathCandidate>* candidates) const;

  // True if the worker is nearly full by the loads of this VM and those that
  // other entry VMs report. Drop expired loads before.
  bool LooksFull(const std::string& worker,
                 const placement::ModelProfile& model,
                 Instant now) const;

  std::vector<std::string> WithinPace(std::vector<std::string> ids);
  // The workers of a service that hold layers, as of a generation of the
  // registry.
  struct Workers {
    std::uint64_t generation = 0;
    placement::ModelProfile model;
    /// With their layers, and with the load of an earlier request.
    std::vector<placement::PathCandidate> candidates;
    std::vector<placement::LayerRange> layers;
    std::vector<std::string> incarnations;
    std::vector<std::uint32_t> keys;  ///< WorkerKey of each
    /// Layers that the workers of each data centre hold together.
    std::map<std::string, double> layers_in;
    placement::CandidateSampler sampler{{}, 0, {}};
    /// Reused, so that a request copies no strings into new memory.
    std::vector<placement::PathCandidate> sample;
    /// The sample of the own data centre, while all are searched.
    std::vector<placement::PathCandidate> own_sample;
  };

  // Built anew only if the registry or the model has changed.
  Workers& WorkersOf(const std::string& service,
                     const placement::ModelProfile& model) const;

  // Sets the loads and waits of all candidates. Those in cooldown have no
  // layers then.
  void Estimate(Workers* workers, Instant now) const;

  // Adds the requests of other VMs, without recent reports of theirs: they are
  // assumed to be spread evenly over the workers that hold a layer.
  void AddAssumedLoads(const placement::ModelProfile& model,
                       const std::map<std::string, double>& layers_in,
                       Instant now,
                       std::vector<placement::PathCandidate>* candidates) const;

  // Copies the candidates of `indices`, with their loads, to `sample`.
  void EstimateSample(Workers* workers,
                      const std::vector<std::uint32_t>& indices,
                      Instant now) const;

  Result<placement::ChosenPath, placement::NoPathReason> FindSampledPath(
      Workers* workers,
      const placement::PathQuery& query,
      Instant now);

  // True if some stage of the path is on a worker of high utilisation.
  bool IsCrowded(const Workers& workers, const placement::Path& path) const;

  RoutingStateSettings settings;
  std::shared_ptr<const routing::RouteTable> table;
  std::optional<Instant> config_confirmed;  ///< null until known
  admission::CapacityPolicy capacity;
  std::optional<Instant> servers_confirmed;
  StallClock stalls{kStallThreshold};
  routing::ServerRegistry servers{routing::ServerRegistrySettings{}};
  bool early_recovery = true;
  routing::CooldownTracker cooldowns;
  routing::RateLimitTracker rate_limits{routing::RateLimitTrackerSettings{}};
  routing::RestTracker rests;
  placement::LoadTracker loads;
  placement::LoadCorrection correction{placement::LoadCorrectionSettings{}};
  placement::LossCost losses{placement::LossCostSettings{}};
  /// Times of recent refusals because of rate limits, by service.
  std::map<std::string, std::deque<Instant>> rate_limit_refusals;
  std::size_t fleet_size = 1;
  std::map<std::string, ServerLoad> server_loads;
  routing::WorkerHealth server_health{routing::WorkerHealthSettings{}};
  routing::RetryBudget retries;
  quarantine::StrikeTracker strikes;
  quarantine::PromptPartEvidence prompt_parts;
  bool strikes_loaded = false;
  std::map<std::string, std::uint32_t> server_ends;  ///< by start
  Random random;
  Random last_search_random;  ///< `random` at the last search for a path
  std::optional<ServerPacing> pacing;
  mutable std::map<std::string, Workers> workers;  ///< by service
  std::uint64_t sampled_paths = 0;
  std::uint64_t widely_sampled_paths = 0;
};

}  // namespace chervilpass::serving
