#include "chervilpass/placement/load_book.h"

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

}  // namespace

void LoadBook::Add(const Path& path, double tokens) {
  for (const PathPart& part : path) {
    Change(&this->records[part.worker].load, 1, tokens, part.layers.Size());
  }
  if (!path.empty()) {
    this->records[path.front().worker].as_first += 1;
  }
}

void LoadBook::Remove(const Path& path, double tokens) {
  for (const PathPart& part : path) {
    Change(&this->records[part.worker].load, -1, tokens, part.layers.Size());
  }
  if (!path.empty()) {
    Record& first = this->records[path.front().worker];
    first.as_first = std::max(0.0, first.as_first - 1);
  }
  // Workers come and go: what is back at zero is forgotten.
  for (const PathPart& part : path) {
    const auto found = this->records.find(part.worker);
    if (found != this->records.end() && found->second.load.sequences == 0) {
      this->records.erase(found);
    }
  }
}

void LoadBook::OnStatedRunning(const std::string& worker,
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

WorkerLoad LoadBook::Own(const std::string& worker) const {
  const auto found = this->records.find(worker);
  return found == this->records.end() ? WorkerLoad{} : found->second.load;
}

std::uint32_t WorkerKey(const std::string& worker) {
  return static_cast<std::uint32_t>(HashText(worker));
}

std::map<std::string, WorkerLoad> LoadBook::OwnLoads() const {
  std::map<std::string, WorkerLoad> loads;
  for (const auto& [worker, record] : this->records) {
    loads[worker] = record.load;
  }
  return loads;
}

void LoadBook::OnPeerLoads(const std::string& peer,
                           std::map<std::uint32_t, WorkerLoad> peer_loads,
                           Instant now) {
  std::erase_if(this->peers, [now](const auto& entry) {
    return now - entry.second.at > kPeerLoadLifetime;
  });
  this->peers[peer] = {std::move(peer_loads), now};
}

WorkerLoad LoadBook::Peers(const std::string& worker, Instant now) const {
  WorkerLoad sum;
  const std::uint32_t key = WorkerKey(worker);
  for (const auto& [peer, told] : this->peers) {
    const auto found = told.loads.find(key);
    if (found != told.loads.end() && now - told.at <= kPeerLoadLifetime) {
      sum.sequences += found->second.sequences;
      sum.context_tokens += found->second.context_tokens;
      sum.kv_token_layers += found->second.kv_token_layers;
    }
  }
  return sum;
}

bool LoadBook::HearsPeers(Instant now) const {
  return std::any_of(this->peers.begin(), this->peers.end(),
                     [now](const auto& entry) {
                       return now - entry.second.at <= kPeerLoadLifetime;
                     });
}

double LoadBook::OthersIn(const std::string& data_centre, Instant now) const {
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
