#include "chervilpass/serving/server_pacing.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "chervilpass/placement/paced_path.h"
#include "chervilpass/routing/pace_parts.h"
#include "chervilpass/serving/routing_state.h"

namespace chervilpass::serving {
namespace {

using routing::PaceEvidence;

constexpr Duration kListInterval = seconds(30);
// Refused requests are answered within this time: those that were sent before a
// share shrank do not shrink it again.
constexpr Duration kRefusalTime = milliseconds(100);
// Events whose mean interval is one observation: the intervals between single
// events vary.
constexpr std::uint64_t kEventsPerObservation = 8;
constexpr double kBaselineWeight = 0.05;
// One of this many runs without paced workers contributes to the baseline: the
// loads of all workers are summed for it.
constexpr std::uint64_t kRunsPerBaseline = 16;

// Median of the times of the service's servers that are not paced; zero if none
// are known.
Duration TypicalCallTime(RoutingState& state, const std::string& service) {
  std::vector<Duration> times;
  for (const routing::BackendServer* server : state.Servers().Usable(service)) {
    const Duration time = state.ServerHealth().StepTime(server->id);
    if (time > Duration::zero() && state.PaceShareOf(server->id) >= 1) {
      times.push_back(time);
    }
  }
  if (times.empty()) {
    return Duration::zero();
  }
  const auto middle =
      times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

// Mean utilisation of the service's servers that are not paced; 1 without any.
double TypicalUtilisation(RoutingState& state, const std::string& service) {
  double sum = 0;
  int servers = 0;
  for (const routing::BackendServer* server : state.Servers().Usable(service)) {
    if (state.PaceShareOf(server->id) < 1) {
      continue;
    }
    const auto found = state.ServerLoads().find(server->id);
    if (found != state.ServerLoads().end()) {
      sum +=
          static_cast<double>(found->second.local + found->second.from_peers) /
          std::max(1U, server->slots);
    }
    ++servers;
  }
  return servers == 0 ? 1 : sum / servers;
}

}  // namespace

ServerPacing::ServerPacing(routing::ServerPaceSettings settings,
                           const std::string& vm)
    : pace(settings, routing::PaceVmKey(vm)) {}

void ServerPacing::Update(const RoutingState& state, Instant now) {
  const routing::ServerRegistry& servers = state.Servers();
  const bool list = servers.Generation() != this->generation ||
                    now - this->listed >= kListInterval;
  std::vector<routing::PacedStart> starts;
  for (const routing::BackendServer* server : servers.All()) {
    if (server->leaving) {
      continue;
    }
    const std::string start = state.Incarnation(server->id);
    const bool is_away = state.IsAway(server->id, now);
    if (is_away && this->away.insert(start).second) {
      this->pace.OnOutage(start, now);
    } else if (!is_away) {
      this->away.erase(start);
    }
    if (list) {
      starts.push_back({start, server->warm_up_left});
    }
  }
  if (list) {
    this->generation = servers.Generation();
    this->listed = now;
    std::set<std::string> registered;
    for (const routing::PacedStart& seen : starts) {
      registered.insert(seen.start);
    }
    std::erase_if(this->away, [&registered](const std::string& start) {
      return !registered.contains(start);
    });
    this->pace.OnStarts(starts, now);
  }
  this->pace.Tick(now);
}

void ServerPacing::OnLinksRegained(Instant now) {
  this->away.clear();
  this->pace.ClearOutages(now);
}

void ServerPacing::Limit(const RoutingState& state,
                         const placement::ModelProfile& model,
                         placement::PathCandidate* candidate) const {
  const std::string start = state.Incarnation(candidate->worker);
  if (!this->pace.IsPaced(start)) {
    return;
  }
  const double slots =
      placement::RequestSlots(model, candidate->kind, candidate->layers);
  candidate->capacity_share =
      placement::PacedCapacityShare(this->pace.ShareOf(start), slots);
  // Before the loads of other VMs are added the load is this VM's own.
  candidate->over_own_part =
      candidate->load.sequences >= this->pace.OwnPartOf(start, slots);
}

bool ServerPacing::MayCall(const std::string& start,
                           std::uint32_t slots,
                           std::uint32_t in_flight) const {
  return in_flight < this->pace.OwnPartOf(start, slots);
}

void ServerPacing::RecordCall(RoutingState& state,
                              const routing::BackendServer& server,
                              PaceEvidence evidence,
                              Duration elapsed,
                              Instant now) {
  const std::string start = state.Incarnation(server.id);
  if (!this->Active() || !this->pace.IsPaced(start)) {
    return;
  }
  routing::PaceObservation observation;
  observation.evidence = evidence;
  observation.sent = now - elapsed;
  observation.slots = std::max(1U, server.slots);
  observation.demand = TypicalUtilisation(state, server.service);
  const Duration typical = TypicalCallTime(state, server.service);
  if (typical > Duration::zero()) {
    observation.ratio = ToSeconds(elapsed) / ToSeconds(typical);
  }
  this->pace.OnAnswer(start, observation, now);
}

void ServerPacing::RecordRefusal(const std::string& start,
                                 double slots,
                                 Instant now) {
  routing::PaceObservation observation;
  observation.evidence = PaceEvidence::kRefused;
  observation.sent = now - kRefusalTime;
  observation.slots = slots;
  this->pace.OnAnswer(start, observation, now);
}

void StreamPaceRecorder::OnRunBegun(const std::string& new_service,
                                    const placement::ModelProfile& model,
                                    const placement::Path& path,
                                    double prompt_tokens,
                                    Instant now) {
  this->recording = false;
  ServerPacing* pacing = this->state->Pacing();
  if (pacing == nullptr || path.empty()) {
    return;
  }
  const bool any_paced =
      pacing->Active() &&
      std::any_of(path.begin(), path.end(), [&](const auto& stage) {
        return pacing->Pace().IsPaced(this->state->Incarnation(stage.worker));
      });
  if (!any_paced && ++pacing->runs % kRunsPerBaseline != 0) {
    return;
  }
  this->service = new_service;
  this->paced.clear();
  const auto& totals = this->state->Loads().TotalsExcludingLocal(now);
  std::vector<placement::StageLoad> all;
  std::vector<placement::StageLoad> others;  // that are not paced
  std::vector<std::size_t> paced_stages;
  double utilisation = 0;
  double sequences = 0;
  for (const placement::PathStage& stage : path) {
    const auto* server = this->state->Servers().Find(stage.worker);
    const auto kind =
        server == nullptr
            ? model.accelerator_kinds.end()
            : model.accelerator_kinds.find(server->accelerator_kind);
    if (kind == model.accelerator_kinds.end()) {
      return;
    }
    placement::WorkerLoad load = this->state->Loads().LocalLoad(stage.worker);
    const std::uint32_t key = placement::WorkerKey(stage.worker);
    placement::WorkerLoad of_others =
        this->state->Loads().RestLoad(key, server->data_centre, now);
    if (const auto total = totals.find(key); total != totals.end()) {
      of_others.sequences += total->second.sequences;
      of_others.kv_token_layers += total->second.kv_token_layers;
    }
    load.sequences += of_others.sequences;
    load.context_tokens +=
        of_others.kv_token_layers / std::max(1U, server->layers.Size());
    const double slots =
        placement::RequestSlots(model, kind->second, server->layers);
    const std::string start = this->state->Incarnation(stage.worker);
    if (pacing->Pace().IsPaced(start)) {
      this->paced.push_back({start, slots});
      paced_stages.push_back(all.size());
    } else {
      others.push_back({kind->second, stage.layers, load});
      utilisation += load.sequences / slots;
      sequences += load.sequences;
    }
    all.push_back({kind->second, stage.layers, load});
  }
  const auto count = static_cast<double>(others.size());
  this->demand = others.empty() ? 1 : utilisation / count;
  // Of a paced worker the times at the load of the others are expected.
  for (const std::size_t index : paced_stages) {
    placement::WorkerLoad& load = all[index].load;
    load.sequences =
        std::max(load.sequences, others.empty() ? 0 : sequences / count);
  }
  this->predicted = placement::PredictStreamTimes(model, all, prompt_tokens);
  const auto rest = placement::PredictStreamTimes(model, others, prompt_tokens);
  this->weight = 1 - ToSeconds(rest.first_event) /
                         std::max(1e-6, ToSeconds(this->predicted.first_event));
  this->begun = now;
  this->first_seen = false;
  this->events = 0;
  this->recording = true;
}

void StreamPaceRecorder::OnEvents(std::uint64_t new_events,
                                  bool moved,
                                  Instant now) {
  if (!this->recording || moved) {
    this->recording = false;
    return;
  }
  ServerPacing::Baseline& baseline =
      this->state->Pacing()->baselines[this->service];
  if (!this->first_seen) {
    this->first_seen = true;
    this->interval_begun = now;
    this->Record(ToSeconds(now - this->begun),
                 ToSeconds(this->predicted.first_event), &baseline.first_event,
                 this->begun, now);
    return;
  }
  this->events += new_events;
  if (this->events >= kEventsPerObservation) {
    this->Record(ToSeconds(now - this->interval_begun) /
                     static_cast<double>(this->events),
                 ToSeconds(this->predicted.event_interval),
                 &baseline.event_interval, this->interval_begun, now);
    this->interval_begun = now;
    this->events = 0;
  }
}

void StreamPaceRecorder::OnRunEnded(const placement::Path& path,
                                    bool failed,
                                    Instant now) {
  const bool was_recording = std::exchange(this->recording, false);
  if (!failed || !was_recording || path.empty()) {
    return;
  }
  const std::string first = this->state->Incarnation(path.front().worker);
  for (const PacedStage& stage : this->paced) {
    if (stage.start == first) {
      routing::PaceObservation observation;
      observation.evidence = PaceEvidence::kFailed;
      observation.sent = this->begun;
      observation.slots = stage.slots;
      this->state->Pacing()->Pace().OnAnswer(first, observation, now);
    }
  }
}

void StreamPaceRecorder::Record(double observed,
                                double expected,
                                double* baseline,
                                Instant sent,
                                Instant now) {
  if (expected <= 0) {
    return;
  }
  const double ratio = observed / expected;
  if (this->paced.empty()) {
    *baseline = *baseline == 0
                    ? ratio
                    : *baseline + kBaselineWeight * (ratio - *baseline);
    return;
  }
  for (const PacedStage& stage : this->paced) {
    routing::PaceObservation observation;
    observation.sent = sent;
    observation.ratio = *baseline == 0 ? ratio : ratio / *baseline;
    observation.weight = this->weight;
    observation.demand = this->demand;
    observation.slots = stage.slots;
    this->state->Pacing()->Pace().OnAnswer(stage.start, observation, now);
  }
}

}  // namespace chervilpass::serving
