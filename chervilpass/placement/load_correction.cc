#include "chervilpass/placement/load_correction.h"

#include <algorithm>

namespace chervilpass::placement {
namespace {

// Weight of the assumption that all requests on a worker with the first layer
// begin there, in requests of this VM.
constexpr double kFirstStagePrior = 4;

double SecondsOf(Instant at) {
  return ToSeconds(at.time_since_epoch());
}

// Adds `requests` like those of peers, or like typical ones if there are none;
// a negative number removes some. No part gets less than this VM's own.
void AddRequests(const CorrectedWorker& worker,
                 const WorkerLoad& local,
                 double requests,
                 WorkerLoad* load) {
  const double from_peers = load->sequences - local.sequences;
  double context = worker.typical_tokens;
  double kv = worker.typical_tokens * worker.layers;
  if (from_peers >= 1) {
    context = (load->context_tokens - local.context_tokens) / from_peers;
    kv = (load->kv_token_layers - local.kv_token_layers) / from_peers;
  }
  load->sequences = std::max(local.sequences, load->sequences + requests);
  load->context_tokens =
      std::max(local.context_tokens, load->context_tokens + requests * context);
  load->kv_token_layers =
      std::max(local.kv_token_layers, load->kv_token_layers + requests * kv);
}

}  // namespace

void LoadCorrection::OnFull(std::uint32_t worker, Instant now) {
  this->refused[worker] = now;
  ++this->counts.refusals;
}

void LoadCorrection::OnStated(std::uint32_t worker,
                              double requests,
                              double local,
                              Instant now) {
  this->stated[worker] = {std::max(0.0, requests - local), now};
  ++this->counts.statements;
}

// A peer may send its loads twice within a short time. The baseline then stays
// as it is, so that a difference of one request is no high rate.
void LoadCorrection::OnPeerLoads(const std::string& peer,
                                 const LoadsByKey& loads,
                                 Instant now) {
  const auto [entry, is_new] = this->peers.try_emplace(peer);
  Peer& known = entry->second;
  if (!is_new) {
    this->AddRates(known, -1);
    this->latest_times -= SecondsOf(known.latest_at);
  }
  const Duration interval = this->settings.min_growth_interval;
  if (is_new || now - known.latest_at > this->settings.peer_lifetime) {
    known = Peer{};
    known.baseline_at = now;
  } else if (now - known.latest_at >= interval ||
             known.latest_at - known.baseline_at >= 3 * interval) {
    known.baseline = std::move(known.latest);
    known.baseline_at = known.latest_at;
  }
  known.latest.clear();
  for (const auto& [worker, load] : loads) {
    known.latest.emplace_back(worker, load.sequences);
  }
  std::sort(known.latest.begin(), known.latest.end());
  known.latest_at = now;
  this->AddRates(known, 1);
  this->latest_times += SecondsOf(now);
}

// Growth of the peer's requests on each worker, per second. Zero rates are
// included, so that the same peers are added and removed.
LoadCorrection::Sequences LoadCorrection::RatesOf(const Peer& peer) const {
  Sequences rates;
  const Duration interval = peer.latest_at - peer.baseline_at;
  if (interval < this->settings.min_growth_interval) {
    return rates;
  }
  const double scale = 1 / ToSeconds(interval);
  auto before = peer.baseline.begin();
  auto after = peer.latest.begin();
  while (before != peer.baseline.end() || after != peer.latest.end()) {
    if (after == peer.latest.end() ||
        (before != peer.baseline.end() && before->first < after->first)) {
      rates.emplace_back(before->first, -scale * before->second);
      ++before;
    } else if (before == peer.baseline.end() || after->first < before->first) {
      rates.emplace_back(after->first, scale * after->second);
      ++after;
    } else {
      rates.emplace_back(after->first,
                         scale * (after->second - before->second));
      ++before;
      ++after;
    }
  }
  return rates;
}

void LoadCorrection::AddRates(const Peer& peer, double sign) {
  const double at = SecondsOf(peer.latest_at);
  for (const auto& [worker, rate] : this->RatesOf(peer)) {
    Growth& sum = this->growth[worker];
    sum.rate += sign * rate;
    sum.rate_time += sign * rate * at;
    sum.peers += sign > 0 ? 1 : -1;
    if (sum.peers == 0) {
      this->growth.erase(worker);
    }
  }
}

// Mean age of the loads of peers; none if there are no recent ones.
std::optional<Duration> LoadCorrection::GossipAge(Instant now) const {
  if (this->peers.empty()) {
    return std::nullopt;
  }
  const double mean_time =
      this->latest_times / static_cast<double>(this->peers.size());
  return duration_cast<Duration>(
      std::chrono::duration<double>(std::max(0.0, SecondsOf(now) - mean_time)));
}

// Requests that peers with known loads have added to a worker within `age`, or
// since their latest loads. Signed rates are summed before the result is
// bounded, so that fluctuations of many peers cancel.
double LoadCorrection::GrowthOf(std::uint32_t worker,
                                std::optional<Duration> age,
                                Instant now) const {
  const auto found = this->growth.find(worker);
  if (found == this->growth.end()) {
    return 0;
  }
  const Growth& sum = found->second;
  const double longest = sum.rate * ToSeconds(this->settings.max_growth_time);
  const double added = age ? sum.rate * ToSeconds(*age)
                           : sum.rate * SecondsOf(now) - sum.rate_time;
  return std::max(0.0, std::min(added, longest));
}

WorkerLoad LoadCorrection::Correct(const CorrectedWorker& worker,
                                   const WorkerLoad& estimate,
                                   const LocalRequests& local,
                                   double peer_scale,
                                   Instant now) const {
  WorkerLoad corrected = estimate;
  const double estimated =
      std::max(0.0, estimate.sequences - local.load.sequences);
  double from_peers = estimated;
  std::optional<Duration> age;
  const auto statement = this->stated.find(worker.key);
  if (worker.first_stage && statement != this->stated.end()) {
    const Duration statement_age = now - statement->second.at;
    const auto gossip_age = this->GossipAge(now);
    if (statement_age <= this->settings.statement_lifetime &&
        (!gossip_age || statement_age < *gossip_age)) {
      age = statement_age;
      // Requests that only pass through are not stated: their share is taken
      // from this VM's own requests.
      const double share = (kFirstStagePrior + local.first_stage) /
                           (kFirstStagePrior + local.load.sequences);
      from_peers = statement->second.from_peers / std::min(1.0, share);
      this->counts.by_statement += from_peers != estimated ? 1 : 0;
    }
  }
  if (from_peers != estimated) {
    AddRequests(worker, local.load, from_peers - estimated, &corrected);
  }
  const double grown = this->BoundedGrowth(
      worker, peer_scale * this->GrowthOf(worker.key, age, now), corrected);
  if (grown > 0) {
    ++this->counts.by_growth;
    AddRequests(worker, local.load, grown, &corrected);
  }
  this->RaiseToFull(worker, &corrected, now);
  return corrected;
}

// The load up to which an estimate is raised: one more request fits.
double LoadCorrection::NearlyFull(double capacity, double request) const {
  return std::max(
      0.0, std::min(this->settings.nearly_full_utilisation * capacity,
                    this->settings.further_request_utilisation * capacity -
                        request));
}

double LoadCorrection::BoundedGrowth(const CorrectedWorker& worker,
                                     double grown,
                                     const WorkerLoad& load) const {
  double bound = std::max(this->settings.min_growth_bound,
                          this->settings.max_growth_share * load.sequences);
  if (worker.first_stage && worker.slots > 0) {
    bound = std::min(bound, this->NearlyFull(worker.slots, 1) - load.sequences);
  }
  const double kv = load.sequences >= 1 ? load.kv_token_layers / load.sequences
                                        : worker.typical_tokens * worker.layers;
  if (kv > 0) {
    bound = std::min(
        bound,
        (this->NearlyFull(worker.kv_capacity, kv) - load.kv_token_layers) / kv);
  }
  return std::max(0.0, std::min(grown, bound));
}

// It is not known whether slots or KV cache were lacking: the resource that the
// estimate has closer to its capacity is the likelier one. The other one is
// raised along, but not beyond its own bound.
void LoadCorrection::RaiseToFull(const CorrectedWorker& worker,
                                 WorkerLoad* load,
                                 Instant now) const {
  const auto found = this->refused.find(worker.key);
  if (found == this->refused.end()) {
    return;
  }
  const double left =
      std::max(0.0, 1 - ToSeconds(now - found->second) /
                            ToSeconds(this->settings.full_lifetime));
  const bool has_slots = worker.first_stage && worker.slots > 0;
  const double slots = has_slots ? left * this->NearlyFull(worker.slots, 1) : 0;
  const double request_kv = worker.typical_tokens * worker.layers;
  const double kv = left * this->NearlyFull(worker.kv_capacity, request_kv);
  if ((has_slots && load->sequences >= slots) || load->kv_token_layers >= kv ||
      request_kv <= 0) {
    return;
  }
  ++this->counts.raised_as_full;
  const bool lacks_slots =
      has_slots && load->sequences * kv > load->kv_token_layers * slots;
  const double missing = lacks_slots
                             ? slots - load->sequences
                             : (kv - load->kv_token_layers) / request_kv;
  load->sequences = has_slots ? std::min(load->sequences + missing, slots)
                              : load->sequences + missing;
  load->kv_token_layers =
      std::min(load->kv_token_layers + missing * request_kv, kv);
  load->context_tokens += missing * worker.typical_tokens;
}

std::size_t LoadCorrection::FullWorkers(Instant now) const {
  return static_cast<std::size_t>(std::count_if(
      this->refused.begin(), this->refused.end(), [&](const auto& entry) {
        return now - entry.second < this->settings.full_lifetime;
      }));
}

void LoadCorrection::Expire(Instant now) {
  std::erase_if(this->refused, [&](const auto& entry) {
    return now - entry.second >= this->settings.full_lifetime;
  });
  std::erase_if(this->stated, [&](const auto& entry) {
    return now - entry.second.at > this->settings.statement_lifetime;
  });
  std::erase_if(this->peers, [&](const auto& entry) {
    const bool expired =
        now - entry.second.latest_at > this->settings.peer_lifetime;
    if (expired) {
      this->AddRates(entry.second, -1);
      this->latest_times -= SecondsOf(entry.second.latest_at);
    }
    return expired;
  });
  if (this->peers.empty()) {
    this->latest_times = 0;  // without the rounding errors of its parts
  }
}

}  // namespace chervilpass::placement
