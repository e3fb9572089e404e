#include "chervilpass/routing/server_pace.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "chervilpass/routing/pace_parts.h"

namespace chervilpass::routing {
namespace {

constexpr std::size_t kMaxChanges = 256;   // not taken yet
constexpr double kAnswerTimeWeight = 0.2;  // of a new answer
// Share of a round that may be refused or failed; more shrinks the share. Fewer
// keep it from growing.
constexpr double kMaxBadShare = 0.25;
// The share that showed bad answers was too high by an unknown amount; growth
// is careful from here on.
constexpr double kSafeShareOfLimit = 0.9;

}  // namespace

std::string_view PaceCauseName(PaceCause cause) {
  switch (cause) {
    case PaceCause::kNewStart:
      return "new_start";
    case PaceCause::kOutage:
      return "outage";
    case PaceCause::kAnswers:
      return "answers";
    case PaceCause::kLearnt:
      return "learnt";
    case PaceCause::kCleared:
      return "cleared";
  }
  return "";
}

void ServerPace::OnStarts(const std::vector<PacedStart>& starts, Instant now) {
  if (!this->first_seen && !starts.empty()) {
    this->first_seen = now;
  }
  for (auto& [start, record] : this->records) {
    record.registered = false;
  }
  for (const PacedStart& seen : starts) {
    const auto [known_start, added] =
        this->known.try_emplace(PaceStartKey(seen.start));
    known_start->second = {seen.start, now};
    const bool warming = seen.warm_up_left > Duration::zero();
    const bool in_service_before =
        now - *this->first_seen < this->settings.settle_time && !warming;
    if (added && !in_service_before) {
      this->Begin(
          seen.start,
          warming ? this->settings.warming_share : this->settings.first_share,
          PaceCause::kNewStart, now);
    }
    const auto record = this->records.find(seen.start);
    if (record != this->records.end()) {
      record->second.registered = true;
      if (std::exchange(record->second.stated_warm_up, seen.warm_up_left) !=
          seen.warm_up_left) {
        record->second.warm_until = now + seen.warm_up_left;
      }
    }
  }
  std::erase_if(this->known, [&](const auto& entry) {
    const bool forgotten =
        now - entry.second.last_seen > this->settings.forget_time;
    if (forgotten) {
      this->records.erase(entry.second.start);
    }
    return forgotten;
  });
  this->CountPaced();
}

void ServerPace::SetFleet(std::vector<std::uint64_t> vms, Instant now) {
  if (vms.size() < 2 || vms == this->fleet) {
    return;
  }
  this->fleet = std::move(vms);
  for (Entry& entry : this->records) {
    this->UpdateRank(&entry, now);
  }
}

void ServerPace::OnOutage(const std::string& start, Instant now) {
  const double before = this->ShareOf(start);
  auto found = this->records.find(start);
  const bool flapping =
      found != this->records.end() && found->second.last_outage &&
      now - *found->second.last_outage < this->settings.flap_window;
  const std::uint32_t outages = flapping ? found->second.outages + 1 : 1;
  const double share =
      std::max(this->settings.min_share,
               std::min(before, this->settings.returned_share *
                                    std::pow(0.5, outages - 1)));
  const double suspected_limit =
      found == this->records.end() ? 1 : found->second.suspected_limit;
  Entry* entry = this->Begin(start, share, PaceCause::kOutage, now);
  entry->second.outages = outages;
  entry->second.last_outage = now;
  entry->second.share_before_outage = before;
  entry->second.suspected_limit = suspected_limit;
}

void ServerPace::ClearOutages(Instant now) {
  for (Entry& entry : this->records) {
    Record& record = entry.second;
    const bool untouched =
        record.last_outage && !record.ended &&
        (!record.observed || *record.observed < *record.last_outage);
    if (untouched) {
      record.outages -= 1;
      record.last_outage.reset();
      this->SetShare(&entry, record.share_before_outage, PaceCause::kCleared,
                     now);
    }
  }
}

ServerPace::Entry* ServerPace::Begin(const std::string& start,
                                     double share,
                                     PaceCause cause,
                                     Instant now) {
  const double before = this->ShareOf(start);
  Entry& entry = *this->records.insert_or_assign(start, Record()).first;
  Record& record = entry.second;
  record.share = share;
  record.begun = now;
  record.judged_from = now;
  record.turn_at = now;
  record.base_share = share;
  record.base_at = now;
  record.probing_step = this->settings.probing_step;
  this->UpdateRank(&entry, now);
  this->Report(&entry, before, cause, now);
  this->CountPaced();
  return &entry;
}

bool ServerPace::IsPaced(const std::string& start) const {
  const auto found = this->records.find(start);
  return found != this->records.end() && !found->second.ended;
}

double ServerPace::Effective(const Record& record) const {
  return record.ended ? 1
                      : std::clamp(record.share * record.step,
                                   this->settings.min_share, 1.0);
}

double ServerPace::ShareOf(const std::string& start) const {
  const auto found = this->records.find(start);
  return found == this->records.end() ? 1 : this->Effective(found->second);
}

std::uint32_t ServerPace::OwnPartOf(const std::string& start,
                                    double slots) const {
  const auto found = this->records.find(start);
  if (found == this->records.end() || found->second.ended) {
    return UINT32_MAX;
  }
  // A single VM's good news has no effect without a second one, which then has
  // to have its turn as well.
  const bool unconfirmed = found->second.step > 1;
  return OwnPart(std::max(FleetPart(this->Effective(found->second), slots),
                          unconfirmed ? 2U : 1U),
                 this->fleet.size(), found->second.rank);
}

void ServerPace::OnAnswer(const std::string& start,
                          const PaceObservation& observation,
                          Instant now) {
  const auto found = this->records.find(start);
  if (found == this->records.end() || found->second.ended) {
    return;
  }
  Record& record = found->second;
  record.observed = now;
  if (observation.sent < record.judged_from) {
    return;
  }
  const Duration elapsed = now - observation.sent;
  record.answer_time =
      record.answer_time == Duration::zero()
          ? elapsed
          : record.answer_time +
                duration_cast<Duration>(kAnswerTimeWeight *
                                        (elapsed - record.answer_time));
  const double limit =
      1 + (this->settings.tolerance - 1) *
              std::clamp(observation.weight, this->settings.min_weight, 1.0);
  const double ratio = std::min(observation.ratio, this->settings.max_ratio);
  Round& round = record.round;
  switch (observation.evidence) {
    case PaceEvidence::kAnswered:
      if (ratio > limit && now < record.warm_until) {
        return;  // It is known to be slow still.
      }
      round.ratios += ratio;
      round.excess += std::max(0.0, ratio - 1) / (limit - 1);
      break;
    case PaceEvidence::kRefused:
      ++round.refused;
      break;
    case PaceEvidence::kFailed:
      ++round.failed;
      break;
  }
  ++round.answers;
  const std::uint32_t size = std::max(
      1U, OwnPart(FleetPart(this->Effective(record), observation.slots),
                  this->fleet.size(), record.rank));
  const bool long_enough = round.answers >= this->settings.min_round &&
                           now - record.judged_from >= 2 * record.answer_time;
  if (round.answers >= size || long_enough ||
      round.refused + round.failed > kMaxBadShare * size) {
    this->EndRound(&*found, observation.demand, now);
  }
}

void ServerPace::EndRound(Entry* entry, double demand, Instant now) {
  Record& record = entry->second;
  // The round shows the effect of the share that was in use.
  record.share = this->Effective(record);
  record.step = 1;
  record.judged = now;
  const Round& round = record.round;
  const std::uint32_t bad = round.refused + round.failed;
  const std::uint32_t answered = round.answers - bad;
  const bool slow = answered > 0 && round.excess > answered;
  if (slow || bad > kMaxBadShare * round.answers) {
    record.good_in_row = 0;
    record.judged_from = now;
    this->SetShare(entry, this->NextShare(&record, true), PaceCause::kAnswers,
                   now);
  } else if (bad > 0) {
    record.good_in_row = 0;
  } else {
    record.good_in_row += answered;
    record.judged_from = now;
    const bool takes_its_load =
        record.good_in_row >= this->settings.answers_to_end &&
        record.share >= std::max(this->settings.min_end_share,
                                 this->settings.end_margin * demand);
    const double next = takes_its_load
                            ? 1
                            : std::min(this->NextShare(&record, false),
                                       this->MajorityBound(*entry, now));
    this->SetShare(entry,
                   takes_its_load ? 1 : this->LimitGrowth(&record, next, now),
                   PaceCause::kAnswers, now);
  }
  record.round = {};
}

double ServerPace::NextShare(Record* record, bool bad) const {
  if (bad) {
    record->suspected_limit = kSafeShareOfLimit * record->share;
    record->probing_step = this->settings.probing_step;
    return record->share * this->settings.shrink;
  }
  const double fast = record->share * this->settings.growth;
  if (fast <= record->suspected_limit || record->suspected_limit >= 1) {
    return fast;
  }
  if (record->share < record->suspected_limit) {
    return record->suspected_limit;
  }
  const double step = record->probing_step;
  record->probing_step = std::min(2 * step, this->settings.growth - 1);
  return record->share * (1 + step);
}

double ServerPace::LimitGrowth(Record* record,
                               double share,
                               Instant now) const {
  if (now - record->base_at >=
      std::max(this->settings.min_growth_interval, record->answer_time)) {
    record->base_share = record->share;
    record->base_at = now;
  }
  return std::max(record->share, std::min(share, this->settings.max_growth *
                                                     record->base_share));
}

void ServerPace::SetShare(Entry* entry,
                          double share,
                          PaceCause cause,
                          Instant now) {
  Record& record = entry->second;
  const double before = this->Effective(record);
  record.share = std::clamp(share, this->settings.min_share, 1.0);
  record.step = 1;
  record.ended = record.share >= 1;
  if (record.share < record.base_share) {
    record.base_share = record.share;
  }
  const double factor =
      std::max(record.share / record.reported, record.reported / record.share);
  if (record.ended || factor >= this->settings.report_factor) {
    this->Report(entry, before, cause, now);
  }
  if (record.ended) {
    this->CountPaced();
  }
}

void ServerPace::Report(Entry* entry,
                        double before,
                        PaceCause cause,
                        Instant now) {
  Record& record = entry->second;
  record.reported = record.share;
  if (this->changes.size() >= kMaxChanges) {
    return;
  }
  const Round& round = record.round;
  const std::uint32_t answered = round.answers - round.refused - round.failed;
  const auto latest = std::max(record.observed, record.heard);
  PaceChange change;
  change.start = entry->first;
  change.before = before;
  change.after = record.share;
  change.cause = cause;
  change.answers = round.answers;
  change.refused = round.refused;
  change.failed = round.failed;
  change.mean_ratio = answered == 0 ? 0 : round.ratios / answered;
  change.statements = record.statements;
  change.warm_up_left =
      std::max(Duration::zero(), Duration(record.warm_until - now));
  change.age = latest ? now - *latest : Duration::zero();
  change.paced_for = now - record.begun;
  change.ended = record.ended;
  this->changes.push_back(std::move(change));
}

std::vector<PaceChange> ServerPace::TakeChanges() {
  return std::exchange(this->changes, {});
}

void ServerPace::Tick(Instant now) {
  for (auto& [start, statements] : this->heard) {
    std::erase_if(statements, [&](const HeardStatement& statement) {
      return now - statement.at > this->settings.statement_lifetime;
    });
  }
  std::erase_if(this->heard,
                [](const auto& entry) { return entry.second.empty(); });
  // Records of starts that are no longer paced are kept while a further outage
  // counts as flapping, and while other VMs are told.
  std::erase_if(this->records, [&](const auto& entry) {
    const Record& record = entry.second;
    return record.ended &&
           (!record.last_outage ||
            now - *record.last_outage > this->settings.flap_window) &&
           (!record.judged ||
            now - *record.judged > this->settings.statement_lifetime);
  });
  for (Entry& entry : this->records) {
    if (!entry.second.ended) {
      this->Merge(&entry, now);
      this->UpdateRank(&entry, now);
    }
  }
}

// Without any news of a start the VMs that may send to it change: those whose
// turn it is may have no requests for it. The news of a single VM needs another
// one's. A VM keeps its turn while it gets answers.
void ServerPace::UpdateRank(Entry* entry, Instant now) const {
  Record& record = entry->second;
  Instant latest =
      std::max(record.turn_at, record.observed.value_or(record.turn_at));
  if (record.step <= 1) {
    latest = std::max(latest, record.heard.value_or(latest));
  }
  if (now - latest >= this->settings.retry_interval) {
    ++record.turn;
    record.turn_at = now;
  }
  record.rank =
      PaceRank(this->vm, this->fleet, PaceStartKey(entry->first), record.turn);
}

void ServerPace::CountPaced() {
  this->paced = static_cast<std::size_t>(std::count_if(
      this->records.begin(), this->records.end(), [](const auto& entry) {
        return !entry.second.ended && entry.second.registered;
      }));
}

}  // namespace chervilpass::routing
