#include "chervilpass/placement/load_tracker.h"

#include <algorithm>

#include "chervilpass/core/hash.h"

namespace chervilpass::placement {
namespace {

// Stated loads older than this say nothing: a stream lasts about as long.
constexpr Duration kStatedLifetime = seconds(4);

// An entry that has been silent for this long has ended, or is cut off.
constexpr Duration kPeerLoadLifetime = seconds(3);

void Change(WorkerLoad* load, double sign, double tokens, double layers) {
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
  for (const PathStage& part : path) {
    Change(&this->records[part.worker].load, 1, tokens, part.layers.Size());
  }
  if (!path.empty()) {
    this->records[path.front().worker].as_first += 1;
  }
}

void LoadTracker::Remove(const Path& path, double tokens) {
  for (const PathStage& part : path) {
    Change(&this->records[part.worker].load, -1, tokens, part.layers.Size());
  }
  if (!path.empty()) {
    Record& first = this->records[path.front().worker];
    first.as_first = std::max(0.0, first.as_first - 1);
  }
  // Workers come and go: what is back at zero is forgotten.
  for (const PathStage& part : path) {
    const auto found = this->records.find(part.worker);
    if (found != this->records.end() && found->second.load.sequences == 0) {
      this->records.erase(found);
    }
  }
}

void LoadTracker::OnReportedRunning(const std::string& worker,
                                    const std::string& data_centre,
                                    std::uint32_t running,
                                    Instant now) {
  const auto found = this->records.find(worker);
  const double own = found == this->records.end() ? 0 : found->second.as_first;
  std::erase_if(this->stated, [now](const auto& entry) {
    return now - entry.second.at > kStatedLifetime;
  });
  this->stated[worker] = {data_centre, std::max(0.0, running - own), now};
}

WorkerLoad LoadTracker::LocalLoad(const std::string& worker) const {
  const auto found = this->records.find(worker);
  return found == this->records.end() ? WorkerLoad{} : found->second.load;
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
  this->AddPeers(&totals, now);
  return totals;
}

LoadsByKey LoadTracker::TotalsExcludingLocal(Instant now) const {
  LoadsByKey totals;
  this->AddPeers(&totals, now);
  for (const auto& [data_centre, told] : this->data_centres) {
    if (now - told.at <= kPeerLoadLifetime) {
      AddLoads(told.loads, 1, &totals);
    }
  }
  return totals;
}

void LoadTracker::AddPeers(LoadsByKey* totals, Instant now) const {
  const auto heard = std::count_if(
      this->peers.begin(), this->peers.end(), [now](const auto& entry) {
        return now - entry.second.at <= kPeerLoadLifetime;
      });
  if (heard == 0) {
    return;
  }
  const double scale = std::max(
      1.0, static_cast<double>(this->local_peers) / static_cast<double>(heard));
  for (const auto& [peer, told] : this->peers) {
    if (now - told.at <= kPeerLoadLifetime) {
      AddLoads(told.loads, scale, totals);
    }
  }
}

bool LoadTracker::HasRecentPeerLoads(Instant now) const {
  const auto fresh = [now](const auto& entry) {
    return now - entry.second.at <= kPeerLoadLifetime;
  };
  return std::any_of(this->peers.begin(), this->peers.end(), fresh) ||
         std::any_of(this->data_centres.begin(), this->data_centres.end(),
                     fresh);
}

double LoadTracker::PeerRequestsIn(const std::string& data_centre,
                                   Instant now) const {
  double others = 0;
  for (const auto& [worker, stated] : this->stated) {
    if (stated.data_centre == data_centre &&
        now - stated.at <= kStatedLifetime) {
      others += stated.others;
    }
  }
  return others;
}

}  // namespace chervilpass::placement
