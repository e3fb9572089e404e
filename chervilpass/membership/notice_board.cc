#include "chervilpass/membership/notice_board.h"

namespace chervilpass::membership {
namespace {

constexpr std::size_t kMaxNotices = 256;  // of each kind
// Many VMs detect the same state of a backend server or request at about the
// same time. A notice is sent to all members again only if it is this much
// newer.
constexpr milliseconds kNoticeRepeatInterval{1000};

template <class Updates, class Payload>
void AppendUpdates(Updates* updates, std::vector<Payload>* payloads) {
  for (auto& update : *updates) {
    if (update.sends_left > 0 && payloads->size() < kMaxNoticesPerMessage) {
      --update.sends_left;
      payloads->push_back(update.payload);
    }
  }
}

// True if both notices are about the same backend server or request.
template <class Notice>
bool SameSubject(const Notice& a, const Notice& b) {
  return a.backend == b.backend;
}

bool SameSubject(const quarantine::Clearance& a,
                 const quarantine::Clearance& b) {
  return a.fingerprint == b.fingerprint;
}

bool SameSubject(const DepartureNotice& a, const DepartureNotice& b) {
  return a.backend == b.backend && a.started == b.started;
}

}  // namespace

bool NoticeBoard::Merge(const quarantine::Strike& strike,
                        std::uint32_t sends,
                        DetectorActions* actions) {
  for (const auto& known : this->strikes) {
    if (known.payload.fingerprint == strike.fingerprint &&
        known.payload.worker == strike.worker) {
      return false;
    }
  }
  this->strikes.push_back({strike, sends});
  if (this->strikes.size() > kMaxNotices) {
    this->strikes.erase(this->strikes.begin());
  }
  actions->push_back(StrikeReceived{strike});
  return true;
}

// Returns true if the notice must be sent to all members at once. A notice soon
// after another is only recorded and sent with other messages.
template <class Received, class Notice>
bool NoticeBoard::MergeNotice(std::vector<Update<Notice>>* updates,
                              const Notice& notice,
                              std::uint32_t sends,
                              DetectorActions* actions) {
  for (auto& known : *updates) {
    if (!SameSubject(known.payload, notice)) {
      continue;
    }
    const auto age = notice.at.milliseconds - known.payload.at.milliseconds;
    if (age > 0) {
      known = {notice, sends};
      actions->push_back(Received{notice});
    }
    return age >= kNoticeRepeatInterval.count();
  }
  updates->push_back({notice, sends});
  if (updates->size() > kMaxNotices) {
    updates->erase(updates->begin());
  }
  actions->push_back(Received{notice});
  return true;
}

// Strikes may come between two clearances, so even one soon after another is
// sent to all members.
bool NoticeBoard::Merge(const quarantine::Clearance& clearance,
                        std::uint32_t sends,
                        DetectorActions* actions) {
  const std::size_t before = actions->size();
  MergeNotice<ClearanceReceived>(&this->clearances, clearance, sends, actions);
  return actions->size() > before;
}

bool NoticeBoard::Merge(const LeavingNotice& notice,
                        std::uint32_t sends,
                        DetectorActions* actions) {
  return MergeNotice<LeavingReceived>(&this->leaving, notice, sends, actions);
}

bool NoticeBoard::Merge(const UnreachableNotice& notice,
                        std::uint32_t sends,
                        DetectorActions* actions) {
  return MergeNotice<UnreachableReceived>(&this->unreachable, notice, sends,
                                          actions);
}

bool NoticeBoard::Merge(const DepartureNotice& notice,
                        std::uint32_t sends,
                        DetectorActions* actions) {
  return MergeNotice<DepartureReceived>(&this->departures, notice, sends,
                                        actions);
}

GossipMessage NoticeBoard::MergeAll(const GossipMessage& message,
                                    std::uint32_t sends,
                                    DetectorActions* actions) {
  GossipMessage fresh;
  const auto merge = [&](const auto& received, auto* passed_on) {
    for (const auto& notice : received) {
      if (this->Merge(notice, sends, actions)) {
        passed_on->push_back(notice);
      }
    }
  };
  merge(message.strikes, &fresh.strikes);
  merge(message.clearances, &fresh.clearances);
  merge(message.leaving, &fresh.leaving);
  merge(message.unreachable, &fresh.unreachable);
  merge(message.departures, &fresh.departures);
  return fresh;
}

void NoticeBoard::AppendTo(GossipMessage* message) {
  AppendUpdates(&this->strikes, &message->strikes);
  AppendUpdates(&this->clearances, &message->clearances);
  AppendUpdates(&this->leaving, &message->leaving);
  AppendUpdates(&this->unreachable, &message->unreachable);
  AppendUpdates(&this->departures, &message->departures);
}

std::vector<std::vector<quarantine::Strike>> NoticeBoard::StrikesInParts()
    const {
  std::vector<std::vector<quarantine::Strike>> parts;
  for (const auto& known : this->strikes) {
    if (parts.empty() || parts.back().size() == kMaxNoticesPerMessage) {
      parts.emplace_back();
    }
    parts.back().push_back(known.payload);
  }
  return parts;
}

}  // namespace chervilpass::membership
