#include "chervilpass/placement/load_tracker.h"

#include <algorithm>

#include "chervilpass/core/hash.h"

namespace chervilpass::placement {
namespace {

// Reports of workers older than this are ignored: a stream lasts about as long.
constexpr Duration kReportedLifetime = seconds(4);

// Loads received longer ago than this are ignored: their sender counts as
// stopped or disconnected.
constexpr Duration kPeerLoadLifetime = seconds(3);

void AdjustLoad(WorkerLoad* load, double sign, double tokens, double layers) {
  load->sequences = std::max(0.0, load->sequences + sign);
  load->context_tokens = std::max(0.0, load->context_tokens + sign * tokens);
  load->kv_token_layers =
      std::max(0.0, load->kv_token_layers + sign * tokens * layers);
}

void AddLoads(const LoadsByKey& loads, double scale, LoadsByKey* totals) {
  for (const auto& [worker, load] : loads) {
    WorkerLoad& sum = (*totals)[worker];
    sum.sequences += scale * load.sequences;
    sum.kv_token_layers += scale * load.kv_token_layers;
  }
}

}  // namespace

void LoadTracker::Add(const Path& path, double tokens) {
  for (const PathStage& stage : path) {
    AdjustLoad(&this->records[stage.worker].load, 1, tokens,
               stage.layers.Size());
  }
  if (!path.empty()) {
    this->records[path.front().worker].first_stage_requests += 1;
  }
}

void LoadTracker::Remove(const Path& path, double tokens) {
  for (const PathStage& stage : path) {
    AdjustLoad(&this->records[stage.worker].load, -1, tokens,
               stage.layers.Size());
  }
  if (!path.empty()) {
    Record& first = this->records[path.front().worker];
    first.first_stage_requests = std::max(0.0, first.first_stage_requests - 1);
  }
  // Erases records without load, so that those of workers that are gone do not
  // accumulate.
  for (const PathStage& stage : path) {
    const auto found = this->records.find(stage.worker);
    if (found != this->records.end() && found->second.load.sequences == 0) {
      this->records.erase(found);
    }
  }
}

void LoadTracker::OnReportedRunning(const std::string& worker,
                                    const std::string& data_centre,
                                    std::uint32_t running,
                                    Instant now) {
  const double local = this->LocalFirstStageRequests(worker);
  // At most once in their lifetime: there may be a report for each worker.
  if (now - this->reported_pruned > kReportedLifetime) {
    this->reported_pruned = now;
    std::erase_if(this->reported, [now](const auto& entry) {
      return now - entry.second.at > kReportedLifetime;
    });
  }
  this->reported[worker] = {data_centre, std::max(0.0, running - local), now};
}

WorkerLoad LoadTracker::LocalLoad(const std::string& worker) const {
  const auto found = this->records.find(worker);
  return found == this->records.end() ? WorkerLoad{} : found->second.load;
}

double LoadTracker::LocalFirstStageRequests(const std::string& worker) const {
  const auto found = this->records.find(worker);
  return found == this->records.end() ? 0 : found->second.first_stage_requests;
}

std::uint32_t WorkerKey(const std::string& worker) {
  return static_cast<std::uint32_t>(HashText(worker));
}

LoadsByKey LoadTracker::LocalLoadsByKey() const {
  LoadsByKey loads;
  for (const auto& [worker, record] : this->records) {
    loads[WorkerKey(worker)] = record.load;
  }
  return loads;
}

void LoadTracker::OnPeerLoads(const std::string& peer,
                              LoadsByKey peer_loads,
                              Instant now) {
  this->DropExpired(now);
  ReceivedLoads& received = this->peers[peer];
  this->SubtractFromSums(received.loads);
  received = {std::move(peer_loads), now};
  AddLoads(received.loads, 1, &this->peer_sums);
  this->excluding_local.reset();
}

void LoadTracker::DropExpired(Instant now) {
  std::erase_if(this->peers, [this, now](const auto& entry) {
    const bool expired = now - entry.second.at > kPeerLoadLifetime;
    if (expired) {
      this->SubtractFromSums(entry.second.loads);
    }
    return expired;
  });
}

void LoadTracker::SubtractFromSums(const LoadsByKey& loads) {
  for (const auto& [worker, load] : loads) {
    const auto sum = this->peer_sums.find(worker);
    if (sum == this->peer_sums.end()) {
      continue;  // without load, as its notice was
    }
    sum->second.sequences -= load.sequences;
    sum->second.kv_token_layers -= load.kv_token_layers;
    if (sum->second.sequences <= 0 && sum->second.kv_token_layers <= 0) {
      this->peer_sums.erase(sum);
    }
  }
}

void LoadTracker::OnRestOfDataCentreLoads(const std::string& data_centre,
                                          const WorkerLoad& rest) {
  const auto found = this->data_centres.find(data_centre);
  if (found != this->data_centres.end()) {
    found->second.rest = rest;
  }
}

void LoadTracker::OnDataCentreLoads(const std::string& data_centre,
                                    LoadsByKey loads,
                                    Instant now) {
  this->data_centres[data_centre] = {std::move(loads), now};
  this->excluding_local.reset();
}

LoadsByKey LoadTracker::DataCentreTotals(Instant now) const {
  LoadsByKey totals = this->LocalLoadsByKey();
  this->AddPeerLoads(&totals, now);
  return totals;
}

const LoadsByKey& LoadTracker::TotalsExcludingLocal(Instant now) const {
  if (this->excluding_local && this->excluding_local->since <= now &&
      now <= this->excluding_local->until) {
    return this->excluding_local->totals;
  }
  this->excluding_local = CachedTotals{};
  CachedTotals& cached = *this->excluding_local;
  cached.since = now;
  cached.until = Instant::max();
  const auto expires = [&cached, now](const ReceivedLoads& received) {
    if (now - received.at <= kPeerLoadLifetime) {
      cached.until = std::min(cached.until, received.at + kPeerLoadLifetime);
    }
  };
  this->AddPeerLoads(&cached.totals, now);
  for (const auto& [peer, received] : this->peers) {
    expires(received);
  }
  for (const auto& [data_centre, received] : this->data_centres) {
    if (now - received.at <= kPeerLoadLifetime) {
      AddLoads(received.loads, 1, &cached.totals);
      expires(received);
    }
  }
  return cached.totals;
}

WorkerLoad LoadTracker::RestLoad(std::uint32_t worker,
                                 const std::string& data_centre,
                                 Instant now) const {
  const auto found = this->data_centres.find(data_centre);
  const bool left_out = found != this->data_centres.end() &&
                        now - found->second.at <= kPeerLoadLifetime &&
                        !found->second.loads.contains(worker);
  return left_out ? found->second.rest : WorkerLoad{};
}

bool LoadTracker::HasRestLoads(Instant now) const {
  return std::any_of(this->data_centres.begin(), this->data_centres.end(),
                     [now](const auto& entry) {
                       return now - entry.second.at <= kPeerLoadLifetime &&
                              entry.second.rest != WorkerLoad{};
                     });
}

WorkerLoad LoadTracker::LoadExcludingLocal(std::uint32_t worker,
                                           const std::string& data_centre,
                                           Instant now) const {
  WorkerLoad load;
  const auto sum = this->peer_sums.find(worker);
  if (sum != this->peer_sums.end()) {
    const double scale =
        std::max(1.0, static_cast<double>(this->data_centre_peer_count) /
                          static_cast<double>(this->peers.size()));
    load.sequences = scale * sum->second.sequences;
    load.kv_token_layers = scale * sum->second.kv_token_layers;
  }
  for (const auto& [name, received] : this->data_centres) {
    if (now - received.at > kPeerLoadLifetime) {
      continue;
    }
    const auto found = received.loads.find(worker);
    const WorkerLoad other = found != received.loads.end() ? found->second
                             : name == data_centre         ? received.rest
                                                           : WorkerLoad{};
    load.sequences += other.sequences;
    load.kv_token_layers += other.kv_token_layers;
  }
  return load;
}

double LoadTracker::PeerScale(Instant now) const {
  const auto recent_peers = std::count_if(
      this->peers.begin(), this->peers.end(), [now](const auto& entry) {
        return now - entry.second.at <= kPeerLoadLifetime;
      });
  return recent_peers == 0
             ? 0
             : std::max(1.0, static_cast<double>(this->data_centre_peer_count) /
                                 static_cast<double>(recent_peers));
}

void LoadTracker::AddPeerLoads(LoadsByKey* totals, Instant now) const {
  const double scale = this->PeerScale(now);
  if (scale == 0) {
    return;
  }
  for (const auto& [peer, received] : this->peers) {
    if (now - received.at <= kPeerLoadLifetime) {
      AddLoads(received.loads, scale, totals);
    }
  }
}

bool LoadTracker::HasRecentPeerLoads(Instant now) const {
  const auto is_recent = [now](const auto& entry) {
    return now - entry.second.at <= kPeerLoadLifetime;
  };
  return std::any_of(this->peers.begin(), this->peers.end(), is_recent) ||
         std::any_of(this->data_centres.begin(), this->data_centres.end(),
                     is_recent);
}

double LoadTracker::PeerRequestsIn(const std::string& data_centre,
                                   Instant now) const {
  double from_peers = 0;
  for (const auto& [worker, reported_requests] : this->reported) {
    if (reported_requests.data_centre == data_centre &&
        now - reported_requests.at <= kReportedLifetime) {
      from_peers += reported_requests.from_peers;
    }
  }
  return from_peers;
}

}  // namespace chervilpass::placement
