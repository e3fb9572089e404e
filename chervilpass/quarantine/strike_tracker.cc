#include "chervilpass/quarantine/strike_tracker.h"

#include <algorithm>
#include <cstdlib>

namespace chervilpass::quarantine {

bool StrikeTracker::Expired(WallTime at, WallTime now) const {
  return now.milliseconds - at.milliseconds >
         ToMilliseconds(this->settings.strike_lifetime);
}

bool StrikeTracker::Add(const Strike& strike, WallTime now) {
  if (this->Expired(strike.at, now)) {
    return false;
  }
  Record& record = this->records[strike.fingerprint];
  if (!record.crashes.emplace(strike.worker, std::min(strike.at, now)).second) {
    return false;
  }
  if (this->CompletedRecently(strike.fingerprint, now)) {
    return false;
  }
  const std::uint32_t count = this->CountOf(record, now);
  const bool same_incident = std::any_of(
      record.independent.begin(), record.independent.end(), [&](WallTime at) {
        return std::abs(strike.at.milliseconds - at.milliseconds) <
               ToMilliseconds(this->settings.incident_window);
      });
  const std::uint32_t least = same_incident ? count : count + 1;
  // The clock of the reporting VM may be ahead.
  this->CountUpTo(&record, std::max(least, strike.prior + 1),
                  std::min(strike.at, now), now);
  return true;
}

bool StrikeTracker::Restore(std::uint64_t fingerprint,
                            std::uint32_t count,
                            WallTime at,
                            WallTime now) {
  if (this->Expired(at, now) || this->Count(fingerprint, now) >= count) {
    return false;
  }
  this->CountUpTo(&this->records[fingerprint], count, std::min(at, now), now);
  return true;
}

void StrikeTracker::CountUpTo(Record* record,
                              std::uint32_t count,
                              WallTime at,
                              WallTime now) const {
  std::erase_if(record->independent,
                [&](WallTime known) { return this->Expired(known, now); });
  if (record->independent.size() < count) {
    record->independent.resize(count, at);
  }
}

std::uint32_t StrikeTracker::CountOf(const Record& record, WallTime now) const {
  return static_cast<std::uint32_t>(
      std::count_if(record.independent.begin(), record.independent.end(),
                    [&](WallTime at) { return !this->Expired(at, now); }));
}

std::uint32_t StrikeTracker::Count(std::uint64_t fingerprint,
                                   WallTime now) const {
  const auto found = this->records.find(fingerprint);
  return found == this->records.end() ? 0 : this->CountOf(found->second, now);
}

QuarantineState StrikeTracker::StateOf(std::uint64_t fingerprint,
                                       WallTime now) const {
  const std::uint32_t count = this->Count(fingerprint, now);
  if (count >= this->settings.strikes_to_quarantine) {
    return QuarantineState::kQuarantined;
  }
  return count > 0 ? QuarantineState::kSuspect : QuarantineState::kClear;
}

Duration StrikeTracker::RetryAfter(std::uint64_t fingerprint,
                                   WallTime now) const {
  return this->TimeUntilFewerThan(this->settings.strikes_to_quarantine,
                                  fingerprint, now);
}

Duration StrikeTracker::TimeUntilFewerThan(std::uint32_t count,
                                           std::uint64_t fingerprint,
                                           WallTime now) const {
  if (count == 0 || this->Count(fingerprint, now) < count) {
    return Duration(0);
  }
  // That ends with the latest but `count - 1` of the strikes.
  std::vector<WallTime> times = this->records.at(fingerprint).independent;
  std::sort(times.begin(), times.end());
  const WallTime decisive = times[times.size() - count];
  return milliseconds(decisive.milliseconds - now.milliseconds) +
         this->settings.strike_lifetime;
}

bool StrikeTracker::Clear(std::uint64_t fingerprint) {
  const auto found = this->records.find(fingerprint);
  if (found == this->records.end() || found->second.independent.empty()) {
    return false;
  }
  found->second.independent.clear();
  return true;
}

bool StrikeTracker::OnCompleted(std::uint64_t fingerprint, WallTime now) {
  if (this->settings.completion_memory > Duration::zero()) {
    this->completions[fingerprint] = now;
  }
  return this->Clear(fingerprint);
}

bool StrikeTracker::CompletedRecently(std::uint64_t fingerprint,
                                      WallTime now) const {
  const auto found = this->completions.find(fingerprint);
  return found != this->completions.end() &&
         now.milliseconds - found->second.milliseconds <
             ToMilliseconds(this->settings.completion_memory);
}

void StrikeTracker::Expire(WallTime now) {
  std::erase_if(this->completions, [&](const auto& item) {
    return !this->CompletedRecently(item.first, now);
  });
  for (auto& [fingerprint, record] : this->records) {
    std::erase_if(record.crashes, [&](const auto& item) {
      return this->Expired(item.second, now);
    });
    std::erase_if(record.independent,
                  [&](WallTime at) { return this->Expired(at, now); });
  }
  std::erase_if(this->records, [](const auto& item) {
    return item.second.crashes.empty() && item.second.independent.empty();
  });
}

std::vector<std::uint64_t> BlameForCrash(
    const std::vector<RunningRequest>& running) {
  std::set<std::uint64_t> suspects;
  std::set<std::uint64_t> all;
  for (const RunningRequest& request : running) {
    all.insert(request.fingerprint);
    if (request.suspect) {
      suspects.insert(request.fingerprint);
    }
  }
  const std::set<std::uint64_t>& blamed = suspects.empty() ? all : suspects;
  return {blamed.begin(), blamed.end()};
}

}  // namespace chervilpass::quarantine
