#include "chervilpass/serving/routing_state.h"

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <limits>

#include "chervilpass/placement/paced_path.h"

namespace chervilpass::serving {
namespace {

// A reported load is outdated once the requests of that time have ended.
constexpr Duration kReportedLoadLifetime = seconds(2);
// A server in another data centre is chosen once the utilisation of the servers
// in this data centre is higher by this share of their slots.
constexpr double kRemoteServerPenalty = 0.3;
// Cost of a second of waiting for a server's rate limit, in shares of its
// slots.
constexpr double kSendWaitWeight = 10;
// Utilisation of slots or KV capacity from which a refusal is attributed to a
// lack of capacity: loads are reported with a delay, and requests vary in
// length.
constexpr double kFullUtilisation = 0.7;
// Refusals because of rate limits that count towards the time to retry.
constexpr Duration kRateLimitRefusalWindow = seconds(2);
constexpr Duration kMinRateLimitRetrySpread = milliseconds(300);
constexpr Duration kMaxRateLimitRetryAfter = seconds(10);
constexpr double kMinRetryRate = 0.1;  // requests per second
// Callers that are refused during a rest come back over this share of the rest
// that is left.
constexpr double kRestRetrySpreadShare = 0.5;
constexpr Duration kMinRestRetrySpread = milliseconds(300);
constexpr Duration kMaxRestRetrySpread = milliseconds(1400);
constexpr Duration kMaxRestRetryAfter = seconds(10);  // without the spread
constexpr std::size_t kMaxServerEnds = 4096;  // starts whose ends are known

bool IsPaced(const std::vector<placement::PathCandidate>& candidates) {
  // The share of a worker with a single slot is rounded up to 1.
  return std::any_of(
      candidates.begin(), candidates.end(), [](const auto& candidate) {
        return candidate.capacity_share < 1 || candidate.over_own_part;
      });
}

Result<placement::ChosenPath, placement::NoPathReason> SearchPath(
    const placement::ModelProfile& model,
    const std::vector<placement::PathCandidate>& candidates,
    const placement::PathQuery& query,
    const placement::PathChooserSettings& settings,
    Random* random) {
  return IsPaced(candidates) ? placement::ChoosePacedPath(
                                   model, candidates, query, settings, random)
                             : placement::ChoosePath(model, candidates, query,
                                                     settings, random);
}

std::string IncarnationOf(const std::string& server, WallTime started) {
  return server + "@" + std::to_string(started.milliseconds);
}

// True if requests are sent to the server itself. Workers without the first
// layer get theirs from other workers only.
bool TakesRequests(const routing::BackendServer& server) {
  const bool plain = server.model.empty() && server.accelerator_kind.empty();
  return plain || (!server.layers.Empty() && server.layers.from == 0);
}

void AddPeerLoad(const placement::WorkerLoad& load,
                 placement::PathCandidate* candidate) {
  if (candidate->layers.Empty()) {
    return;
  }
  candidate->load.sequences += load.sequences;
  candidate->load.kv_token_layers += load.kv_token_layers;
  // Entry VMs do not report contexts to each other, so the length of a context
  // is estimated from the KV capacity that is reserved for it.
  candidate->load.context_tokens +=
      load.kv_token_layers / candidate->layers.Size();
}

}  // namespace

RoutingState::RoutingState(RoutingStateSettings settings, std::uint64_t seed)
    : settings(std::move(settings)),
      capacity(this->settings.capacity),
      cooldowns(this->settings.cooldowns),
      retries(this->settings.retries),
      strikes(this->settings.strikes),
      prompt_parts(this->settings.prompt_parts),
      strikes_loaded(!this->settings.strikes_are_stored),
      random(seed),
      last_search_random(seed) {
  if (this->settings.server_pacing) {
    this->pacing.emplace(*this->settings.server_pacing, this->settings.vm);
  }
}

bool RoutingState::ApplyConfig(
    std::shared_ptr<const routing::RouteTable> newer) {
  if (this->table && newer->Version() <= this->table->Version()) {
    return false;
  }
  this->table = std::move(newer);
  std::set<std::string> services;
  for (const routing::ServiceProfile& service : this->table->Data().services) {
    services.insert(service.name);
  }
  for (const routing::Route& route : this->table->Data().routes) {
    for (const routing::ServiceShare& share : route.shares) {
      services.insert(share.service);
    }
  }
  this->servers.SetServices(std::move(services));
  this->capacity.ApplyConfig(*this->table);
  return true;
}

std::string RoutingState::Incarnation(const std::string& worker) const {
  const routing::BackendServer* server = this->servers.Find(worker);
  return server == nullptr ? worker : IncarnationOf(worker, server->started);
}

bool RoutingState::StartCooldown(const std::string& worker,
                                 routing::CooldownReason reason,
                                 Instant now) {
  return this->cooldowns.StartCooldown(this->Incarnation(worker), reason, now);
}

bool RoutingState::InCooldown(const std::string& worker, Instant now) const {
  return this->cooldowns.InCooldown(this->Incarnation(worker), now);
}

bool RoutingState::RecordRefusal(const std::string& worker,
                                 const placement::ModelProfile& model,
                                 Instant now) {
  this->StartCooldown(worker, routing::CooldownReason::kFull, now);
  if (this->settings.load_correction) {
    this->correction.OnFull(placement::WorkerKey(worker), now);
  }
  if (const auto* server = this->servers.Find(worker);
      this->pacing && server != nullptr) {
    const auto kind = model.accelerator_kinds.find(server->accelerator_kind);
    if (kind != model.accelerator_kinds.end()) {
      this->pacing->RecordRefusal(
          this->Incarnation(worker),
          placement::RequestSlots(model, kind->second, server->layers), now);
    }
  }
  this->loads.DropExpired(now);
  return this->cooldowns.RefusedRepeatedly(this->Incarnation(worker)) &&
         !this->LooksFull(worker, model, now) &&
         this->StartCooldown(worker, routing::CooldownReason::kRefusing, now);
}

void RoutingState::RecordStatedLoad(const std::string& worker,
                                    std::uint32_t running,
                                    std::uint32_t waiting,
                                    Instant now) {
  const routing::BackendServer* server = this->servers.Find(worker);
  if (server == nullptr) {
    return;
  }
  this->loads.OnReportedRunning(server->id, server->data_centre, running, now);
  if (this->settings.load_correction) {
    this->correction.OnStated(placement::WorkerKey(worker),
                              static_cast<double>(running) + waiting,
                              this->loads.LocalFirstStageRequests(worker), now);
  }
}

void RoutingState::OnPeerLoads(const std::string& peer,
                               placement::LoadsByKey peer_loads,
                               Instant now) {
  if (this->settings.load_correction) {
    this->correction.OnPeerLoads(peer, peer_loads, now);
  }
  this->loads.OnPeerLoads(peer, std::move(peer_loads), now);
}

Duration RoutingState::FullCooldownLeft(const std::string& worker,
                                        Instant now) const {
  return this->cooldowns.FullLeft(this->Incarnation(worker), now);
}

void RoutingState::OnFullNotice(const std::string& worker,
                                Duration left,
                                Instant now) {
  this->cooldowns.OnFullElsewhere(this->Incarnation(worker), left, now);
  this->correction.OnFull(placement::WorkerKey(worker), now);
}

Duration RoutingState::StageLossCost(const placement::ModelProfile& model,
                                     double answer_tokens,
                                     Duration objective,
                                     Instant now) const {
  return this->settings.loss_cost
             ? this->losses.StageCost(
                   placement::StreamExposure(model, answer_tokens), objective,
                   now)
             : Duration::zero();
}

bool RoutingState::LooksFull(const std::string& worker,
                             const placement::ModelProfile& model,
                             Instant now) const {
  const routing::BackendServer* server = this->servers.Find(worker);
  if (server == nullptr) {
    return false;
  }
  placement::WorkerLoad load = this->loads.LocalLoad(worker);
  const placement::WorkerLoad of_others = this->loads.LoadExcludingLocal(
      placement::WorkerKey(worker), server->data_centre, now);
  load.sequences += of_others.sequences;
  load.kv_token_layers += of_others.kv_token_layers;
  const auto kind = model.accelerator_kinds.find(server->accelerator_kind);
  const double kv_capacity =
      kind == model.accelerator_kinds.end()
          ? 0
          : model.KvCapacityTokenLayers(kind->second, server->layers.Size());
  return load.sequences > kFullUtilisation * model.batch_limit ||
         load.kv_token_layers > kFullUtilisation * kv_capacity;
}

void RoutingState::OnLayersChanged(const std::string& worker) {
  this->cooldowns.ClearRefusals(this->Incarnation(worker));
}

bool RoutingState::IsRefusing(const std::string& worker, Instant now) const {
  return this->cooldowns.IsRefusing(this->Incarnation(worker), now);
}

bool RoutingState::IsUnreachable(const std::string& worker, Instant now) const {
  return this->cooldowns.IsUnreachable(this->Incarnation(worker), now);
}

std::vector<routing::BackendServer> RoutingState::WorkersToProve(
    Instant now) const {
  std::vector<routing::BackendServer> workers;
  for (const std::string& incarnation : this->cooldowns.ToProve(now)) {
    const std::string id = incarnation.substr(0, incarnation.rfind('@'));
    const routing::BackendServer* server = this->servers.Find(id);
    if (server != nullptr && this->Incarnation(id) == incarnation) {
      workers.push_back(*server);
    }
  }
  return workers;
}

bool RoutingState::HasUnreachable(const std::string& service,
                                  Instant now) const {
  const auto usable = this->servers.Usable(service);
  return std::any_of(usable.begin(), usable.end(),
                     [&](const routing::BackendServer* server) {
                       return this->IsUnreachable(server->id, now);
                     });
}

bool RoutingState::HasFull(const std::string& service, Instant now) const {
  const auto usable = this->servers.Usable(service);
  return std::any_of(
      usable.begin(), usable.end(), [&](const routing::BackendServer* server) {
        return this->FullCooldownLeft(server->id, now) > Duration::zero();
      });
}

void RoutingState::ClearUnreachable(Instant now) {
  if (this->pacing) {
    this->pacing->OnLinksRegained(now);
  }
  this->cooldowns.ClearAllUnreachable();
  this->server_health.ClearRefusedConnections();
}

void RoutingState::OnAnswered(const std::string& worker) {
  this->cooldowns.ClearUnreachable(this->Incarnation(worker));
}

WallTime RoutingState::StartedOf(const std::string& server) const {
  return this->servers.StartOf(server);
}

bool RoutingState::RecordRateLimit(const std::string& server,
                                   const routing::RateLimit& limit) {
  return this->rate_limits.Record(this->Incarnation(server), limit);
}

std::optional<double> RoutingState::RateLimitOf(
    const std::string& server) const {
  return this->rate_limits.LimitOf(this->Incarnation(server));
}

std::optional<routing::RateLimit> RoutingState::RateLimitRecord(
    const std::string& server) const {
  return this->rate_limits.Latest(this->Incarnation(server));
}

std::vector<std::pair<std::string, routing::RateLimit>>
RoutingState::RateLimitsSince(Instant since) const {
  auto recent = this->rate_limits.Since(since);
  for (auto& [server, limit] : recent) {
    server = server.substr(0, server.rfind('@'));
  }
  return recent;
}

Duration RoutingState::SendWait(const std::string& server, Instant now) const {
  if (this->rate_limits.Empty() && this->rests.Empty()) {
    return Duration::zero();
  }
  const std::string incarnation = this->Incarnation(server);
  return std::max(this->rate_limits.WaitFor(incarnation, now),
                  this->rests.Left(incarnation, now));
}

bool RoutingState::RecordRest(const std::string& server,
                              WallTime started,
                              Duration rest,
                              Instant now) {
  return this->rests.Record(IncarnationOf(server, started), rest, now);
}

Duration RoutingState::RestLeft(const std::string& server, Instant now) const {
  return this->rests.Empty() ? Duration::zero()
                             : this->rests.Left(this->Incarnation(server), now);
}

Duration RoutingState::RetryAfterRests(const std::string& service,
                                       Instant now) {
  std::optional<Duration> first_back;
  for (const routing::BackendServer* server : this->servers.Usable(service)) {
    if (!TakesRequests(*server)) {
      continue;
    }
    const Duration left = this->RestLeft(server->id, now);
    if (left == Duration::zero()) {
      return Duration::zero();
    }
    first_back = std::min(first_back.value_or(left), left);
  }
  if (!first_back) {
    return Duration::zero();
  }
  const Duration wait = std::min(*first_back, kMaxRestRetryAfter);
  const Duration spread =
      std::clamp(duration_cast<Duration>(kRestRetrySpreadShare * wait),
                 kMinRestRetrySpread, kMaxRestRetrySpread);
  return wait + duration_cast<Duration>(this->random.Unit() * spread);
}

void RoutingState::SetNextSend(const std::string& server, Instant next) {
  this->rate_limits.SetNextSend(this->Incarnation(server), next);
}

Duration RoutingState::OnRefusedByRateLimit(const std::string& service,
                                            Instant now) {
  double per_second = 0;
  Duration min_wait = kMaxRateLimitRetryAfter;
  for (const routing::BackendServer* server : this->servers.Usable(service)) {
    const std::string incarnation = this->Incarnation(server->id);
    if (const auto limit = this->rate_limits.LimitOf(incarnation)) {
      per_second += *limit;
      min_wait = std::min(min_wait, this->SendWait(server->id, now));
    }
  }
  if (min_wait == kMaxRateLimitRetryAfter && per_second == 0) {
    return Duration::zero();
  }
  std::deque<Instant>& refusals = this->rate_limit_refusals[service];
  refusals.push_back(now);
  while (now - refusals.front() > kRateLimitRefusalWindow) {
    refusals.pop_front();
  }
  // Callers choose VMs at random, so the others have as many refusals.
  const double backlog_seconds = static_cast<double>(refusals.size()) *
                                 static_cast<double>(this->fleet_size) /
                                 std::max(per_second, kMinRetryRate);
  const auto spread = std::clamp(
      duration_cast<Duration>(std::chrono::duration<double>(backlog_seconds)),
      kMinRateLimitRetrySpread, kMaxRateLimitRetryAfter);
  return std::min(
      min_wait + duration_cast<Duration>(this->random.Unit() * spread),
      kMaxRateLimitRetryAfter);
}

RoutingState::Workers& RoutingState::WorkersOf(
    const std::string& service,
    const placement::ModelProfile& model) const {
  Workers& cached = this->workers[service];
  if (cached.generation == this->servers.Generation() &&
      cached.model == model) {
    return cached;
  }
  Workers built;
  built.generation = this->servers.Generation();
  built.model = model;
  std::vector<placement::CandidateSampler::Worker> sampled;
  for (const routing::BackendServer* server : this->servers.Usable(service)) {
    const auto kind = model.accelerator_kinds.find(server->accelerator_kind);
    if (server->layers.Empty() || kind == model.accelerator_kinds.end()) {
      continue;
    }
    built.candidates.push_back({server->id,
                                server->address,
                                server->data_centre,
                                server->layers,
                                kind->second,
                                1,
                                {},
                                Duration::zero()});
    built.layers.push_back(server->layers);
    built.incarnations.push_back(IncarnationOf(server->id, server->started));
    built.keys.push_back(placement::WorkerKey(server->id));
    built.layers_in[server->data_centre] += server->layers.Size();
    sampled.push_back({server->data_centre, server->layers});
  }
  built.sampler = placement::CandidateSampler(this->settings.samples,
                                              model.layers, sampled);
  cached = std::move(built);
  return cached;
}

void RoutingState::Estimate(Workers* workers, Instant now) const {
  std::map<std::string, double> layers_in;
  const bool cooling = !this->cooldowns.Empty();
  for (std::size_t i = 0; i < workers->candidates.size(); ++i) {
    placement::PathCandidate& candidate = workers->candidates[i];
    if (cooling && this->cooldowns.InCooldown(workers->incarnations[i], now)) {
      candidate.layers = {};
      candidate.capacity_share = 1;
      candidate.over_own_part = false;
      continue;
    }
    candidate.layers = workers->layers[i];
    candidate.load = this->loads.LocalLoad(candidate.worker);
    candidate.send_wait = this->SendWait(candidate.worker, now);
    this->LimitByPace(workers->model, &candidate);
    layers_in[candidate.data_centre] += candidate.layers.Size();
  }
  if (this->loads.HasRecentPeerLoads(now)) {
    const auto& totals = this->loads.TotalsExcludingLocal(now);
    const bool has_rest_loads = this->loads.HasRestLoads(now);
    for (std::size_t i = 0; i < workers->candidates.size(); ++i) {
      placement::PathCandidate& candidate = workers->candidates[i];
      const auto peer_total = totals.find(workers->keys[i]);
      if (peer_total != totals.end()) {
        AddPeerLoad(peer_total->second, &candidate);
      }
      if (has_rest_loads) {
        AddPeerLoad(
            this->loads.RestLoad(workers->keys[i], candidate.data_centre, now),
            &candidate);
      }
    }
  } else {
    this->AddAssumedLoads(workers->model, layers_in, now, &workers->candidates);
  }
  this->CorrectLoads(workers->model, now, &workers->candidates);
}

void RoutingState::AddAssumedLoads(
    const placement::ModelProfile& model,
    const std::map<std::string, double>& layers_in,
    Instant now,
    std::vector<placement::PathCandidate>* candidates) const {
  const double typical_tokens =
      model.typical_prompt_tokens + model.typical_answer_tokens / 2.0;
  std::map<std::string, double> requests_in;
  for (const auto& [data_centre, layers] : layers_in) {
    const double replicas = std::max(1.0, layers / std::max(1U, model.layers));
    requests_in[data_centre] =
        this->loads.PeerRequestsIn(data_centre, now) / replicas;
  }
  for (placement::PathCandidate& candidate : *candidates) {
    if (candidate.layers.Empty()) {
      continue;
    }
    const double peer_requests = requests_in.at(candidate.data_centre);
    candidate.load.sequences += peer_requests;
    candidate.load.context_tokens += peer_requests * typical_tokens;
    candidate.load.kv_token_layers +=
        peer_requests * typical_tokens * candidate.layers.Size();
  }
}

void RoutingState::LimitByPace(const placement::ModelProfile& model,
                               placement::PathCandidate* candidate) const {
  candidate->capacity_share = 1;
  candidate->over_own_part = false;
  if (this->pacing && this->pacing->Active()) {
    this->pacing->Limit(*this, model, candidate);
  }
}

void RoutingState::CorrectLoads(
    const placement::ModelProfile& model,
    Instant now,
    std::vector<placement::PathCandidate>* candidates) const {
  if (!this->settings.load_correction) {
    return;
  }
  const double peer_scale = this->loads.PeerScale(now);
  for (placement::PathCandidate& candidate : *candidates) {
    if (candidate.layers.Empty()) {
      continue;
    }
    placement::CorrectedWorker worker;
    worker.key = placement::WorkerKey(candidate.worker);
    worker.first_stage = candidate.layers.from == 0;
    worker.layers = candidate.layers.Size();
    worker.slots = model.batch_limit;
    worker.kv_capacity =
        model.KvCapacityTokenLayers(candidate.kind, candidate.layers.Size());
    worker.typical_tokens =
        model.typical_prompt_tokens + model.typical_answer_tokens / 2.0;
    candidate.load = this->correction.Correct(
        worker, candidate.load,
        {this->loads.LocalLoad(candidate.worker),
         this->loads.LocalFirstStageRequests(candidate.worker)},
        peer_scale, now);
  }
}

void RoutingState::EstimateSample(Workers* workers,
                                  const std::vector<std::uint32_t>& indices,
                                  Instant now) const {
  const bool has_peer_loads = this->loads.HasRecentPeerLoads(now);
  workers->sample.resize(indices.size());
  for (std::size_t i = 0; i < indices.size(); ++i) {
    placement::PathCandidate& candidate = workers->sample[i];
    candidate = workers->candidates[indices[i]];
    candidate.layers = workers->layers[indices[i]];
    candidate.load = this->loads.LocalLoad(candidate.worker);
    candidate.send_wait = this->SendWait(candidate.worker, now);
    this->LimitByPace(workers->model, &candidate);
    if (has_peer_loads) {
      AddPeerLoad(this->loads.LoadExcludingLocal(workers->keys[indices[i]],
                                                 candidate.data_centre, now),
                  &candidate);
    }
  }
  if (!has_peer_loads) {
    this->AddAssumedLoads(workers->model, workers->layers_in, now,
                          &workers->sample);
  }
  this->CorrectLoads(workers->model, now, &workers->sample);
}

std::vector<placement::PathCandidate> RoutingState::PathCandidates(
    const std::string& service,
    const placement::ModelProfile& model,
    Instant now) const {
  Workers& workers = this->WorkersOf(service, model);
  this->Estimate(&workers, now);
  std::vector<placement::PathCandidate> candidates;
  std::copy_if(workers.candidates.begin(), workers.candidates.end(),
               std::back_inserter(candidates),
               [](const placement::PathCandidate& candidate) {
                 return !candidate.layers.Empty();
               });
  return candidates;
}

bool RoutingState::IsCrowded(const Workers& workers,
                             const placement::Path& path) const {
  const double limit = this->settings.paths.high_utilisation;
  return std::any_of(
      workers.sample.begin(), workers.sample.end(),
      [&](const placement::PathCandidate& candidate) {
        const auto stage =
            std::find_if(path.begin(), path.end(),
                         [&candidate](const placement::PathStage& other) {
                           return other.worker == candidate.worker;
                         });
        if (stage == path.end()) {
          return false;
        }
        const double kv_capacity = workers.model.KvCapacityTokenLayers(
            candidate.kind, candidate.layers.Size());
        return candidate.load.kv_token_layers > limit * kv_capacity ||
               (stage == path.begin() &&
                candidate.load.sequences > limit * workers.model.batch_limit);
      });
}

// Workers of the data centre of the entry, or of the previous stage, come
// first. Those of others are priced as well only if there is no path there, or
// if its workers are crowded. The work does not depend on the number of
// workers.
Result<placement::ChosenPath, placement::NoPathReason>
RoutingState::FindSampledPath(Workers* workers,
                              const placement::PathQuery& query,
                              Instant now) {
  ++this->sampled_paths;
  const bool cooling = !this->cooldowns.Empty();
  const auto usable = [&](std::uint32_t index) {
    return !query.excluded.contains(workers->candidates[index].worker) &&
           !(cooling &&
             this->cooldowns.InCooldown(workers->incarnations[index], now));
  };
  const auto choose = [&](const std::vector<std::string>& data_centres,
                          std::size_t per_layer) {
    std::vector<std::uint32_t> indices;
    for (const std::string& data_centre : data_centres) {
      workers->sampler.Sample(data_centre, query.layers, per_layer, usable,
                              &this->random, &indices);
    }
    this->EstimateSample(workers, indices, now);
    return this->ChooseAmong(workers->model, workers->sample, query);
  };
  this->loads.DropExpired(now);
  const placement::CandidateSamplerSettings& samples = this->settings.samples;
  auto own = choose({query.from_data_centre}, samples.workers_per_layer);
  if (own.has_value() && !this->IsCrowded(*workers, own.value().path)) {
    return own;
  }
  const auto everywhere = workers->sampler.DataCentres();
  std::swap(workers->sample, workers->own_sample);
  const Random own_search_random = this->last_search_random;
  const auto all = choose(everywhere, samples.workers_per_layer);
  if (own.has_value() &&
      (all.has_error() || own.value().cost <= all.value().cost)) {
    // A further search by objective uses the candidates of this path.
    std::swap(workers->sample, workers->own_sample);
    this->last_search_random = own_search_random;
    return own;
  }
  if (all.has_value()) {
    return all;
  }
  ++this->widely_sampled_paths;
  return choose(everywhere, samples.wide_workers_per_layer);
}

Result<placement::ChosenPath, placement::NoPathReason>
RoutingState::ChooseAmong(
    const placement::ModelProfile& model,
    const std::vector<placement::PathCandidate>& candidates,
    const placement::PathQuery& query) {
  if (IsPaced(candidates) && std::any_of(candidates.begin(), candidates.end(),
                                         [](const auto& candidate) {
                                           return candidate.over_own_part;
                                         })) {
    this->pacing->CountHeldBack();
  }
  this->last_search_random = this->random;
  return SearchPath(model, candidates, query, this->settings.paths,
                    &this->random);
}

placement::ObjectiveChoice RoutingState::ApplyObjective(
    const placement::ModelProfile& model,
    const std::vector<placement::PathCandidate>& candidates,
    const placement::ChosenPath& cheapest,
    const placement::PathQuery& query) const {
  if (!this->settings.objective_paths) {
    return {cheapest, {}};
  }
  return placement::ChooseByObjective(
      cheapest, query, *this->settings.objective_paths,
      [&](const placement::PathQuery& weighted) {
        // The same random costs as before: only the weights change the path.
        Random random = this->last_search_random;
        return SearchPath(model, candidates, weighted, this->settings.paths,
                          &random);
      });
}

Result<placement::ObjectiveChoice, placement::NoPathReason>
RoutingState::FindPathByObjective(const std::string& service,
                                  const placement::ModelProfile& model,
                                  const placement::PathQuery& query,
                                  Instant now) {
  Workers& workers = this->WorkersOf(service, model);
  const bool sampled = workers.sampler.Samples();
  if (!sampled) {
    this->Estimate(&workers, now);
  }
  const auto choose = [&](const placement::PathQuery& wanted)
      -> Result<placement::ObjectiveChoice, placement::NoPathReason> {
    const auto found =
        sampled ? this->FindSampledPath(&workers, wanted, now)
                : this->ChooseAmong(model, workers.candidates, wanted);
    if (found.has_error()) {
      return found.error();
    }
    return this->ApplyObjective(model,
                                sampled ? workers.sample : workers.candidates,
                                found.value(), wanted);
  };
  if (!query.avoided.empty()) {
    placement::PathQuery apart = query;
    apart.excluded.insert(query.avoided.begin(), query.avoided.end());
    if (auto found = choose(apart); found.has_value()) {
      return found;
    }
  }
  return choose(query);
}

Result<placement::ChosenPath, placement::NoPathReason> RoutingState::FindPath(
    const std::string& service,
    const placement::ModelProfile& model,
    const placement::PathQuery& query,
    Instant now) {
  auto found = this->FindPathByObjective(service, model, query, now);
  if (found.has_error()) {
    return found.error();
  }
  return std::move(found).value().chosen;
}

std::optional<routing::BackendServer> RoutingState::PickServer(
    const std::string& service,
    const std::set<std::string>& excluded,
    Instant now,
    Duration max_send_wait) {
  std::vector<std::string> ids;
  for (const routing::BackendServer* server : this->servers.Usable(service)) {
    if (!excluded.contains(server->id) &&
        this->SendWait(server->id, now) <= max_send_wait) {
      ids.push_back(server->id);
    }
  }
  const routing::BackendServer* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  for (const std::string& id :
       this->WithinPace(this->server_health.Usable(ids, now))) {
    const routing::BackendServer* server = this->servers.Find(id);
    const double cost =
        this->CallCost(*server, now) + 0.01 * this->random.Unit();
    if (cost < best_cost) {
      best = server;
      best_cost = cost;
    }
  }
  return best == nullptr ? std::nullopt
                         : std::optional<routing::BackendServer>(*best);
}

double RoutingState::CallCost(const routing::BackendServer& server,
                              Instant now) const {
  const auto found = this->server_loads.find(server.id);
  const ServerLoad load =
      found == this->server_loads.end() ? ServerLoad{} : found->second;
  const bool fresh = now - load.reported_at < kReportedLoadLifetime;
  const double running = load.local + (fresh ? load.from_peers : 0);
  const double remote_penalty = server.data_centre == this->settings.data_centre
                                    ? 0
                                    : kRemoteServerPenalty;
  const double cooldown_penalty = this->InCooldown(server.id, now) ? 10 : 0;
  const double slots =
      std::max(1U, server.slots) * this->PaceShareOf(server.id);
  return running / slots + remote_penalty + cooldown_penalty +
         kSendWaitWeight * ToSeconds(this->SendWait(server.id, now));
}

// Without the paced servers at which this VM has its part in flight, unless
// only such are left.
std::vector<std::string> RoutingState::WithinPace(
    std::vector<std::string> ids) {
  if (!this->pacing || !this->pacing->Active()) {
    return ids;
  }
  std::vector<std::string> within;
  for (const std::string& id : ids) {
    const routing::BackendServer* server = this->servers.Find(id);
    const auto load = this->server_loads.find(id);
    if (this->pacing->MayCall(
            this->Incarnation(id), std::max(1U, server->slots),
            load == this->server_loads.end() ? 0 : load->second.local)) {
      within.push_back(id);
    }
  }
  if (within.size() < ids.size()) {
    this->pacing->CountHeldBack();
  }
  return within.empty() ? ids : within;
}

double RoutingState::PaceShareOf(const std::string& server) const {
  return this->pacing && this->pacing->Active()
             ? this->pacing->Pace().ShareOf(this->Incarnation(server))
             : 1;
}

bool RoutingState::IsAway(const std::string& server, Instant now) const {
  return this->IsUnreachable(server, now) ||
         this->server_health.IsEjected(server, now) ||
         this->RestLeft(server, now) > Duration::zero();
}

void RoutingState::OnServerEnded(const std::string& start) {
  const std::size_t mark = start.find('#');
  const std::uint32_t earlier =
      mark == std::string::npos ? 0
                                : static_cast<std::uint32_t>(std::strtoul(
                                      start.c_str() + mark + 1, nullptr, 10));
  if (this->server_ends.size() >= kMaxServerEnds) {
    this->server_ends.clear();
  }
  std::uint32_t& ends = this->server_ends[start.substr(0, mark)];
  ends = std::max(ends, earlier + 1);
}

std::uint32_t RoutingState::EndsOf(const std::string& start) const {
  const auto found = this->server_ends.find(start);
  return found == this->server_ends.end() ? 0 : found->second;
}

void RoutingState::Expire(Instant now, WallTime wall) {
  this->servers.Expire(now);
  if (this->pacing) {
    this->pacing->Update(*this, now);
  }
  this->cooldowns.Expire(now);
  this->correction.Expire(now);
  const auto registered_servers = this->servers.All();
  this->losses.SetWorkers(
      static_cast<std::size_t>(std::count_if(
          registered_servers.begin(), registered_servers.end(),
          [](const auto* server) { return !server->layers.Empty(); })),
      now);
  this->losses.Expire(now);
  this->rests.Expire(now);
  this->capacity.Expire(now);
  this->strikes.Expire(wall);
  std::erase_if(this->server_loads, [&](const auto& entry) {
    return entry.second.local == 0 &&
           now - entry.second.reported_at > kReportedLoadLifetime;
  });
  if (this->rate_limits.Empty()) {
    return;
  }
  std::set<std::string> registered;
  for (const routing::BackendServer* server : this->servers.All()) {
    registered.insert(this->Incarnation(server->id));
  }
  this->rate_limits.Expire(now, [&registered](const std::string& incarnation) {
    return registered.contains(incarnation);
  });
}

}  // namespace chervilpass::serving
