// What VMs tell each other of the shares of servers.
#include <algorithm>

#include "chervilpass/routing/pace_parts.h"
#include "chervilpass/routing/server_pace.h"

namespace chervilpass::routing {
namespace {

constexpr std::size_t kMaxHeardStarts = 512;
constexpr std::size_t kMaxHeardPerStart = 8;  // of different VMs
// A majority of other VMs that raises the share by more than this begins a new
// period of judgement.
constexpr double kNotableGrowth = 1.1;

}  // namespace

double MergedShare(double own,
                   bool own_counts,
                   const std::vector<double>& statements,
                   const ServerPaceSettings& settings) {
  if (statements.empty()) {
    return own;
  }
  if (statements.size() == 1) {
    return std::clamp(statements.front(), own * settings.shrink,
                      std::min(1.0, own * settings.growth));
  }
  std::vector<double> shares = statements;
  if (own_counts) {
    shares.push_back(own);
  }
  const std::size_t middle = (shares.size() - 1) / 2;
  std::nth_element(shares.begin(),
                   shares.begin() + static_cast<std::ptrdiff_t>(middle),
                   shares.end());
  return shares[middle];
}

void ServerPace::OnStatements(const std::string& peer,
                              const std::vector<PaceStatement>& statements,
                              Instant now) {
  const std::uint64_t peer_key = PaceVmKey(peer);
  for (const PaceStatement& statement : statements) {
    if (now - statement.at > this->settings.statement_lifetime ||
        (this->heard.size() >= kMaxHeardStarts &&
         !this->heard.contains(statement.start))) {
      continue;
    }
    std::vector<HeardStatement>& of_start = this->heard[statement.start];
    std::erase_if(of_start, [peer_key](const HeardStatement& earlier) {
      return earlier.peer == peer_key;
    });
    of_start.push_back(
        {peer_key, statement.share, std::min(statement.at, now)});
    if (of_start.size() > kMaxHeardPerStart) {
      of_start.erase(std::min_element(
          of_start.begin(), of_start.end(),
          [](const auto& a, const auto& b) { return a.at < b.at; }));
    }
    const auto start = this->known.find(statement.start);
    if (start == this->known.end()) {
      continue;
    }
    const auto record = this->records.find(start->second.start);
    if (record == this->records.end()) {
      this->LearnUnknown(statement.start, now);
    } else if (!record->second.ended) {
      this->Merge(&*record, now);
    }
  }
}

std::vector<ServerPace::HeardStatement> ServerPace::HeardOf(std::uint64_t start,
                                                            Instant now) const {
  const auto found = this->heard.find(start);
  std::vector<HeardStatement> recent;
  if (found != this->heard.end()) {
    std::copy_if(
        found->second.begin(), found->second.end(), std::back_inserter(recent),
        [&](const HeardStatement& statement) {
          return now - statement.at <= this->settings.statement_lifetime;
        });
  }
  return recent;
}

// Two other VMs pace a start that this VM found in service at its own start.
void ServerPace::LearnUnknown(std::uint64_t start, Instant now) {
  std::vector<double> shares;
  for (const HeardStatement& statement : this->HeardOf(start, now)) {
    shares.push_back(statement.share);
  }
  if (shares.size() < 2 ||
      now - *this->first_seen > this->settings.learn_time) {
    return;
  }
  const double share = MergedShare(1, false, shares, this->settings);
  if (share < 1) {
    Entry* entry = this->Begin(this->known.at(start).start,
                               std::max(share, this->settings.min_share),
                               PaceCause::kLearnt, now);
    entry->second.heard = now;
  }
}

void ServerPace::Merge(Entry* entry, Instant now) {
  Record& record = entry->second;
  const bool own_counts =
      record.judged &&
      now - *record.judged <= this->settings.statement_lifetime;
  std::vector<double> shares;
  for (const HeardStatement& statement :
       this->HeardOf(PaceStartKey(entry->first), now)) {
    // What was observed before the start of the pacing says nothing of it.
    if (statement.at < record.begun ||
        (own_counts && statement.at <= *record.judged)) {
      continue;
    }
    shares.push_back(statement.share);
    record.heard = std::max(record.heard, std::optional(statement.at));
  }
  record.statements = static_cast<std::uint32_t>(shares.size());
  const double merged =
      MergedShare(record.share, own_counts, shares, this->settings);
  if (shares.size() < 2) {
    record.step = merged / record.share;
    return;
  }
  const double share = this->LimitGrowth(
      &record, std::clamp(merged, this->settings.min_share, 1.0), now);
  const double after = merged < record.share ? merged : share;
  if (after < record.share || after > kNotableGrowth * record.share) {
    record.judged_from = now;
    record.round = {};
  }
  this->SetShare(entry, after, PaceCause::kLearnt, now);
}

// Lucky answers of one VM do not raise its share far above what the others
// state.
double ServerPace::MajorityBound(const Entry& entry, Instant now) const {
  std::vector<double> shares;
  for (const HeardStatement& statement :
       this->HeardOf(PaceStartKey(entry.first), now)) {
    if (statement.at >= entry.second.begun) {
      shares.push_back(statement.share);
    }
  }
  return shares.size() < 2 ? 1
                           : this->settings.growth *
                                 MergedShare(1, false, shares, this->settings);
}

std::vector<PaceStatement> ServerPace::Statements(std::size_t max,
                                                  Instant now) const {
  std::vector<PaceStatement> own;
  for (const auto& [start, record] : this->records) {
    if (record.judged &&
        now - *record.judged <= this->settings.statement_lifetime) {
      own.push_back({PaceStartKey(start), record.share, *record.judged});
    }
  }
  std::sort(own.begin(), own.end(),
            [](const auto& a, const auto& b) { return a.at > b.at; });
  own.resize(std::min(own.size(), max));
  return own;
}

}  // namespace chervilpass::routing
