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
  std::erase_if(this->reported, [now](const auto& entry) {
    return now - entry.second.at > kReportedLifetime;
  });
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
  std::erase_if(this->peers, [now](const auto& entry) {
    return now - entry.second.at > kPeerLoadLifetime;
  });
  this->peers[peer] = {std::move(peer_loads), now};
}

void LoadTracker::OnDataCentreLoads(const std::string& data_centre,
                                    LoadsByKey loads,
                                    Instant now) {
  this->data_centres[data_centre] = {std::move(loads), now};
}

LoadsByKey LoadTracker::DataCentreTotals(Instant now) const {
  LoadsByKey totals = this->LocalLoadsByKey();
  this->AddPeerLoads(&totals, now);
  return totals;
}

LoadsByKey LoadTracker::TotalsExcludingLocal(Instant now) const {
  LoadsByKey totals;
  this->AddPeerLoads(&totals, now);
  for (const auto& [data_centre, received] : this->data_centres) {
    if (now - received.at <= kPeerLoadLifetime) {
      AddLoads(received.loads, 1, &totals);
    }
  }
  return totals;
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
