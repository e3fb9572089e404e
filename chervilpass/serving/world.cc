#include "chervilpass/serving/world.h"

#include <algorithm>
#include <limits>

namespace chervilpass::serving {
namespace {

// A stated load says little once requests of that time have ended.
constexpr Duration kStatedLoadLifetime = seconds(2);
// A server in another data centre is taken once the own ones are this much
// fuller, as a share of their slots.
constexpr double kRemoteServerPenalty = 0.3;
// Share of slots or KV room from which a refusal is taken for want of room:
// loads are told with a delay, and requests vary in length.
constexpr double kFullFrom = 0.7;

}  // namespace

World::World(WorldSettings settings, std::uint64_t seed)
    : settings(std::move(settings)),
      retries(this->settings.retries),
      strikes(this->settings.strikes),
      random(seed) {}

bool World::Adopt(std::shared_ptr<const routing::RouteTable> newer) {
  if (this->table && newer->Version() <= this->table->Version()) {
    return false;
  }
  this->table = std::move(newer);
  return true;
}

std::string World::Incarnation(const std::string& worker) const {
  const routing::BackendServer* server = this->servers.Find(worker);
  return server == nullptr
             ? worker
             : worker + "@" + std::to_string(server->started.milliseconds);
}

bool World::Avoid(const std::string& worker,
                  routing::AvoidReason reason,
                  Instant now) {
  return this->avoid.Avoid(this->Incarnation(worker), reason, now);
}

bool World::IsAvoided(const std::string& worker, Instant now) const {
  return this->avoid.IsAvoided(this->Incarnation(worker), now);
}

bool World::NoteRefusal(const std::string& worker,
                        const placement::ModelProfile& model,
                        Instant now) {
  this->Avoid(worker, routing::AvoidReason::kFull, now);
  return this->avoid.RefusedInARow(this->Incarnation(worker)) &&
         !this->LooksFull(worker, model, now) &&
         this->Avoid(worker, routing::AvoidReason::kRefusing, now);
}

bool World::LooksFull(const std::string& worker,
                      const placement::ModelProfile& model,
                      Instant now) const {
  const routing::BackendServer* server = this->servers.Find(worker);
  if (server == nullptr) {
    return false;
  }
  placement::WorkerLoad load = this->loads.Own(worker);
  const auto others = this->loads.OtherTotals(now);
  const auto found = others.find(placement::WorkerKey(worker));
  if (found != others.end()) {
    load.sequences += found->second.sequences;
    load.kv_token_layers += found->second.kv_token_layers;
  }
  const auto kind = model.kinds.find(server->accelerator_kind);
  const double room =
      kind == model.kinds.end()
          ? 0
          : model.KvTokenLayers(kind->second, server->layers.Size());
  return load.sequences > kFullFrom * model.batch_limit ||
         load.kv_token_layers > kFullFrom * room;
}

void World::OnLayersChanged(const std::string& worker) {
  this->avoid.ClearRefusals(this->Incarnation(worker));
}

bool World::IsRefusing(const std::string& worker, Instant now) const {
  return this->avoid.IsRefusing(this->Incarnation(worker), now);
}

bool World::IsUnreachable(const std::string& worker, Instant now) const {
  return this->avoid.IsUnreachable(this->Incarnation(worker), now);
}

void World::OnServed(const std::string& worker) {
  this->avoid.Clear(this->Incarnation(worker));
}

std::vector<placement::PathCandidate> World::PathCandidates(
    const std::string& service,
    const placement::ModelProfile& model,
    Instant now) const {
  std::vector<placement::PathCandidate> candidates;
  std::map<std::string, double> layers_in;
  for (const routing::BackendServer* server : this->servers.Usable(service)) {
    const auto kind = model.kinds.find(server->accelerator_kind);
    if (server->layers.Empty() || kind == model.kinds.end() ||
        this->IsAvoided(server->id, now)) {
      continue;
    }
    candidates.push_back({server->id, server->address, server->data_centre,
                          server->layers, kind->second, 1,
                          this->loads.Own(server->id)});
    layers_in[server->data_centre] += server->layers.Size();
  }
  if (this->loads.HearsPeers(now)) {
    const auto totals = this->loads.OtherTotals(now);
    for (placement::PathCandidate& candidate : candidates) {
      const auto peers = totals.find(placement::WorkerKey(candidate.worker));
      if (peers == totals.end()) {
        continue;
      }
      candidate.load.sequences += peers->second.sequences;
      candidate.load.kv_token_layers += peers->second.kv_token_layers;
      // Entries tell each other no contexts; the room that they reserve says
      // how long these are.
      candidate.load.context_tokens +=
          peers->second.kv_token_layers / candidate.layers.Size();
    }
    return candidates;
  }
  // Without their word, requests of other entries are taken to spread evenly
  // over the workers that hold a layer.
  const double usual_tokens =
      model.usual_prompt_tokens + model.usual_answer_tokens / 2.0;
  for (placement::PathCandidate& candidate : candidates) {
    const double replicas = std::max(
        1.0, layers_in[candidate.data_centre] / std::max(1U, model.layers));
    const double others =
        this->loads.OthersIn(candidate.data_centre, now) / replicas;
    candidate.load.sequences += others;
    candidate.load.context_tokens += others * usual_tokens;
    candidate.load.kv_token_layers +=
        others * usual_tokens * candidate.layers.Size();
  }
  return candidates;
}

Result<placement::ChosenPath, placement::NoPathReason> World::FindPath(
    const std::string& service,
    const placement::ModelProfile& model,
    const placement::PathQuery& query,
    Instant now) {
  return placement::ChoosePath(model, this->PathCandidates(service, model, now),
                               query, this->settings.paths, &this->random);
}

std::optional<routing::BackendServer> World::PickServer(
    const std::string& service,
    const std::set<std::string>& excluded,
    Instant now) {
  std::vector<std::string> ids;
  for (const routing::BackendServer* server : this->servers.Usable(service)) {
    if (!excluded.contains(server->id)) {
      ids.push_back(server->id);
    }
  }
  const routing::BackendServer* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  for (const std::string& id : this->plain_health.Usable(ids, now)) {
    const routing::BackendServer* server = this->servers.Find(id);
    const auto found = this->plain_loads.find(id);
    const PlainLoad load =
        found == this->plain_loads.end() ? PlainLoad{} : found->second;
    const bool fresh = now - load.stated_at < kStatedLoadLifetime;
    const double running = load.own + (fresh ? load.others : 0);
    const double remote = server->data_centre == this->settings.data_centre
                              ? 0
                              : kRemoteServerPenalty;
    const double avoided = this->IsAvoided(id, now) ? 10 : 0;
    const double cost = running / std::max(1U, server->slots) + remote +
                        avoided + 0.01 * this->random.Unit();
    if (cost < best_cost) {
      best = server;
      best_cost = cost;
    }
  }
  return best == nullptr ? std::nullopt
                         : std::optional<routing::BackendServer>(*best);
}

void World::Expire(Instant now, WallTime wall) {
  this->servers.Expire(now);
  this->avoid.Expire(now);
  this->strikes.Expire(wall);
  std::erase_if(this->plain_loads, [&](const auto& entry) {
    return entry.second.own == 0 &&
           now - entry.second.stated_at > kStatedLoadLifetime;
  });
}

}  // namespace chervilpass::serving
