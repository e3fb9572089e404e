#include "chervilpass/membership/detector.h"

#include <algorithm>
#include <bit>
#include <cassert>

namespace chervilpass::membership {
namespace {

constexpr std::size_t kRumoursKept = 64;  // of each kind
// Many VMs find the same about a backend server at the same time; one that
// finds it again this much later tells all members once more.
constexpr milliseconds kNoticeRepeat{1000};
constexpr std::size_t kRumoursPerDatagram = 8;  // of each kind

template <class Rumours, class News>
void TakeRumours(Rumours* rumours, std::vector<News>* news) {
  for (auto& rumour : *rumours) {
    if (rumour.sends_left > 0 && news->size() < kRumoursPerDatagram) {
      --rumour.sends_left;
      news->push_back(rumour.news);
    }
  }
}

bool CanBeProbed(const Member& member) {
  return member.status != Status::kDead;
}

}  // namespace

Detector::Detector(DetectorSettings settings,
                   Member self,
                   std::uint64_t seed,
                   Instant now)
    : settings(settings), self(std::move(self)), random(seed), next_probe(now) {
  this->self_sends_left = this->RetransmitLimit();
}

std::uint32_t Detector::RetransmitLimit() const {
  const auto size = static_cast<std::uint32_t>(this->others.size() + 1);
  return this->settings.retransmit_factor * std::bit_width(size);
}

DetectorActions Detector::AddSeed(const Member& seed, Instant now) {
  DetectorActions actions;
  if (seed.vm == this->self.vm) {
    return actions;
  }
  const auto found = this->others.find(seed.vm);
  if (found == this->others.end()) {
    this->Merge(seed, now, &actions);
  }
  GossipMessage join =
      this->MakeMessage(MessageKind::kJoin, ++this->next_sequence, seed.vm);
  this->Send(seed, std::move(join), &actions);
  return actions;
}

DetectorActions Detector::OnTick(Instant now) {
  DetectorActions actions;
  this->CheckProbes(now, &actions);
  this->CheckSuspects(now, &actions);
  if (now >= this->next_probe) {
    this->next_probe = now + this->settings.probe_period;
    this->StartProbe(now, &actions);
  }
  return actions;
}

void Detector::StartProbe(Instant now, DetectorActions* actions) {
  ++this->periods;
  if (this->periods % this->settings.periods_per_dead_ping == 0) {
    this->GreetDead(actions);
  }
  const std::optional<std::string> target = this->NextTarget();
  if (!target) {
    return;
  }
  const std::uint64_t sequence = ++this->next_sequence;
  this->probes.emplace(sequence, Probe{*target, now, false});
  GossipMessage ping = this->MakeMessage(MessageKind::kPing, sequence, *target);
  this->Send(this->others.at(*target).member, std::move(ping), actions);
}

DetectorActions Detector::Announce(std::uint32_t count) {
  DetectorActions actions;
  std::vector<std::string> alive;
  for (const auto& [vm, entry] : this->others) {
    if (entry.member.status != Status::kDead) {
      alive.push_back(vm);
    }
  }
  for (std::uint32_t i = 0; i < count && !alive.empty(); ++i) {
    const std::size_t pick = this->random.Below(alive.size());
    GossipMessage ping = this->MakeMessage(MessageKind::kPing,
                                           ++this->next_sequence, alive[pick]);
    this->Send(this->others.at(alive[pick]).member, std::move(ping), &actions);
    alive.erase(alive.begin() + static_cast<std::ptrdiff_t>(pick));
  }
  return actions;
}

// A member that was parted from this one, and not dead, learns from the
// greeting that it is held to be dead, and refutes.
void Detector::GreetDead(DetectorActions* actions) {
  std::vector<std::string> dead;
  for (const auto& [vm, entry] : this->others) {
    if (entry.member.status == Status::kDead) {
      dead.push_back(vm);
    }
  }
  if (dead.empty()) {
    return;
  }
  const std::string& vm = dead[this->random.Below(dead.size())];
  GossipMessage ping =
      this->MakeMessage(MessageKind::kPing, ++this->next_sequence, vm);
  this->Send(this->others.at(vm).member, std::move(ping), actions);
}

// Round-robin over a shuffled list bounds the time until a member is probed
// (SWIM, section 4.3).
std::optional<std::string> Detector::NextTarget() {
  for (int round = 0; round < 2; ++round) {
    while (!this->targets.empty()) {
      const std::string vm = this->targets.back();
      this->targets.pop_back();
      const auto found = this->others.find(vm);
      if (found != this->others.end() && CanBeProbed(found->second.member)) {
        return vm;
      }
    }
    this->RefillTargets();
  }
  return std::nullopt;
}

void Detector::RefillTargets() {
  const bool remote =
      this->periods % this->settings.periods_per_remote_probe == 0;
  for (const auto& [vm, entry] : this->others) {
    // Members of other regions are probed in some rounds only; their own
    // region watches them closely.
    if (entry.member.region == this->self.region || remote) {
      this->targets.push_back(vm);
    }
  }
  if (this->targets.empty()) {
    for (const auto& [vm, entry] : this->others) {
      this->targets.push_back(vm);
    }
  }
  for (std::size_t i = this->targets.size(); i > 1; --i) {
    std::swap(this->targets[i - 1], this->targets[this->random.Below(i)]);
  }
}

void Detector::CheckProbes(Instant now, DetectorActions* actions) {
  for (auto it = this->probes.begin(); it != this->probes.end();) {
    Probe& probe = it->second;
    const auto found = this->others.find(probe.target);
    if (found == this->others.end()) {
      it = this->probes.erase(it);
      continue;
    }
    // First ask others to probe, in case only the link between us is cut.
    if (!probe.indirect_sent &&
        now - probe.sent >= this->settings.probe_timeout) {
      probe.indirect_sent = true;
      std::vector<std::string> helpers;
      for (const auto& [vm, entry] : this->others) {
        if (vm != probe.target && entry.member.status == Status::kAlive) {
          helpers.push_back(vm);
        }
      }
      for (std::uint32_t i = 0;
           i < this->settings.indirect_probes && !helpers.empty(); ++i) {
        const std::size_t pick = this->random.Below(helpers.size());
        GossipMessage request = this->MakeMessage(MessageKind::kPingRequest,
                                                  it->first, helpers[pick]);
        request.target = probe.target;
        this->Send(this->others.at(helpers[pick]).member, std::move(request),
                   actions);
        helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(pick));
      }
    }
    if (now - probe.sent >= this->settings.probe_period) {
      // No answer by any way within the period: suspect it.
      Member suspect = found->second.member;
      if (suspect.status == Status::kAlive) {
        suspect.status = Status::kSuspect;
        this->Merge(suspect, now, actions);
      } else if (suspect.status == Status::kLeaving) {
        // A leaving member that stops answering has left.
        suspect.status = Status::kDead;
        this->Merge(suspect, now, actions);
      }
      it = this->probes.erase(it);
      continue;
    }
    ++it;
  }
  std::erase_if(this->relayed, [&](const auto& item) {
    return now - item.second.sent > this->settings.probe_period;
  });
}

void Detector::CheckSuspects(Instant now, DetectorActions* actions) {
  std::vector<Member> died;
  for (const auto& [vm, entry] : this->others) {
    if (entry.suspect_since &&
        now - *entry.suspect_since >= this->settings.suspicion_timeout) {
      Member dead = entry.member;
      dead.status = Status::kDead;
      died.push_back(dead);
    }
  }
  for (const Member& dead : died) {
    this->Merge(dead, now, actions);
  }
  std::erase_if(this->others, [&](const auto& item) {
    const auto& since = item.second.dead_since;
    return since && now - *since >= this->settings.forget_after;
  });
}

// True if all members are to be told at once; a notice that follows another
// soon keeps the news known without being spread at once.
template <class Heard, class Notice>
bool Detector::HearNotice(std::vector<Rumour<Notice>>* rumours,
                          const Notice& notice,
                          DetectorActions* actions) const {
  for (auto& known : *rumours) {
    if (known.news.backend != notice.backend) {
      continue;
    }
    const auto age = notice.at.milliseconds - known.news.at.milliseconds;
    if (age > 0) {
      known = {notice, this->RetransmitLimit()};
      actions->push_back(Heard{notice});
    }
    return age >= kNoticeRepeat.count();
  }
  rumours->push_back({notice, this->RetransmitLimit()});
  if (rumours->size() > kRumoursKept) {
    rumours->erase(rumours->begin());
  }
  actions->push_back(Heard{notice});
  return true;
}

DetectorActions Detector::OnMessage(const GossipMessage& message, Instant now) {
  DetectorActions actions;
  for (const Member& member : message.members) {
    this->Merge(member, now, &actions);
  }
  if (!message.members.empty() && message.members.front().vm == message.from) {
    this->HearSender(message.members.front(), &actions);
  }
  for (const quarantine::Strike& strike : message.strikes) {
    this->HearStrike(strike, &actions);
  }
  for (const LeavingNotice& notice : message.leaving) {
    this->HearNotice<LeavingReceived>(&this->leaving, notice, &actions);
  }
  for (const UnreachableNotice& notice : message.unreachable) {
    this->HearNotice<UnreachableReceived>(&this->unreachable, notice, &actions);
  }
  const auto sender = this->others.find(message.from);
  if (sender == this->others.end()) {
    return actions;
  }
  const Member from = sender->second.member;
  switch (message.kind) {
    case MessageKind::kPing:
    case MessageKind::kJoin: {
      GossipMessage ack =
          this->MakeMessage(MessageKind::kAck, message.sequence, from.vm);
      if (message.kind == MessageKind::kJoin) {
        // A newcomer learns everything at once, a datagram's worth at a time.
        std::vector<Member> all = this->Members();
        const std::size_t step = this->settings.members_per_datagram;
        for (std::size_t i = 0; i < all.size(); i += step) {
          GossipMessage part = ack;
          part.members.assign(
              all.begin() + static_cast<std::ptrdiff_t>(i),
              all.begin() +
                  static_cast<std::ptrdiff_t>(std::min(i + step, all.size())));
          this->Send(from, std::move(part), &actions);
        }
        break;
      }
      this->Send(from, std::move(ack), &actions);
      break;
    }
    case MessageKind::kPingRequest: {
      const auto target = this->others.find(message.target);
      if (target == this->others.end()) {
        break;
      }
      const std::uint64_t sequence = ++this->next_sequence;
      this->relayed.emplace(sequence,
                            RelayedProbe{from.vm, message.sequence, now});
      GossipMessage ping =
          this->MakeMessage(MessageKind::kPing, sequence, message.target);
      this->Send(target->second.member, std::move(ping), &actions);
      break;
    }
    case MessageKind::kAck: {
      this->probes.erase(message.sequence);
      const auto relay = this->relayed.find(message.sequence);
      if (relay == this->relayed.end()) {
        break;
      }
      const auto requester = this->others.find(relay->second.requester);
      if (requester != this->others.end()) {
        GossipMessage ack = this->MakeMessage(MessageKind::kAck,
                                              relay->second.requester_sequence,
                                              requester->first);
        this->Send(requester->second.member, std::move(ack), &actions);
      }
      this->relayed.erase(relay);
      break;
    }
    case MessageKind::kLoads:
      break;
  }
  return actions;
}

void Detector::Merge(const Member& heard,
                     Instant now,
                     DetectorActions* actions) {
  if (heard.vm == this->self.vm) {
    this->Refute(heard, actions);
    return;
  }
  const auto found = this->others.find(heard.vm);
  if (found == this->others.end()) {
    if (heard.status == Status::kDead) {
      return;  // No need to learn of members that are gone already.
    }
    Entry entry;
    this->Accept(&entry, heard, now, actions);
    this->others.emplace(heard.vm, std::move(entry));
    return;
  }
  if (Supersedes(heard, found->second.member)) {
    this->Accept(&found->second, heard, now, actions);
  }
}

// Somebody believes this node to be suspect or dead, or knows an incarnation
// that this node has not reached: say something newer.
void Detector::Refute(const Member& heard, DetectorActions* actions) {
  // Boot ids come from the time of day, which may have been set back since an
  // earlier start of this VM: that start must not supersede this one.
  if (heard.boot_id > this->self.boot_id) {
    this->self.boot_id = heard.boot_id + 1;
    this->self_sends_left = this->RetransmitLimit();
    actions->push_back(MemberChanged{this->self});
    return;
  }
  if (heard.boot_id != this->self.boot_id) {
    return;
  }
  const bool contradicts = heard.status == Status::kSuspect ||
                           heard.status == Status::kDead ||
                           heard.incarnation > this->self.incarnation;
  if (!contradicts || heard.incarnation < this->self.incarnation) {
    return;
  }
  this->self.incarnation = heard.incarnation + 1;
  this->self_sends_left = this->RetransmitLimit();
  actions->push_back(MemberChanged{this->self});
}

void Detector::Accept(Entry* entry,
                      const Member& member,
                      Instant now,
                      DetectorActions* actions) {
  entry->member = member;
  entry->sends_left = this->RetransmitLimit();
  entry->suspect_since.reset();
  entry->dead_since.reset();
  if (member.status == Status::kSuspect) {
    entry->suspect_since = now;
  }
  if (member.status == Status::kDead) {
    entry->dead_since = now;
  }
  actions->push_back(MemberChanged{member});
}

// The version of the sender's configuration is not news about membership: it
// changes on all nodes at once and travels with the sender's own record only.
void Detector::HearSender(const Member& sender, DetectorActions* actions) {
  const auto found = this->others.find(sender.vm);
  if (found == this->others.end() ||
      found->second.member.boot_id != sender.boot_id) {
    return;
  }
  found->second.member.config_version =
      std::max(found->second.member.config_version, sender.config_version);
  if (sender.config_version > this->self.config_version) {
    actions->push_back(NewerConfigReceived{sender});
  }
}

bool Detector::HearStrike(const quarantine::Strike& strike,
                          DetectorActions* actions) {
  for (const auto& known : this->strikes) {
    if (known.news.fingerprint == strike.fingerprint &&
        known.news.worker == strike.worker) {
      return false;
    }
  }
  this->strikes.push_back({strike, this->RetransmitLimit()});
  if (this->strikes.size() > kRumoursKept) {
    this->strikes.erase(this->strikes.begin());
  }
  actions->push_back(StrikeReceived{strike});
  return true;
}

DetectorActions Detector::UpdateSelf(const Member& self, Instant now) {
  DetectorActions actions;
  (void)now;
  assert(self.vm == this->self.vm);
  Member next = self;
  next.boot_id = this->self.boot_id;
  next.incarnation = this->self.incarnation + 1;
  this->self = next;
  this->self_sends_left = this->RetransmitLimit();
  actions.push_back(MemberChanged{this->self});
  return actions;
}

// A strike is sent to every member at once: it is rare, and each further copy
// of the request that starts before it is heard of can cost a backend server.
DetectorActions Detector::AddStrike(const quarantine::Strike& strike) {
  DetectorActions actions;
  if (this->HearStrike(strike, &actions)) {
    GossipMessage news;
    news.strikes = {strike};
    this->Broadcast(news, &actions);
  }
  return actions;
}

// Sent to every member at once, for new work must stop within seconds.
DetectorActions Detector::AddLeaving(const LeavingNotice& notice) {
  DetectorActions actions;
  if (this->HearNotice<LeavingReceived>(&this->leaving, notice, &actions)) {
    GossipMessage news;
    news.leaving = {notice};
    this->Broadcast(news, &actions);
  }
  return actions;
}

// Sent to every member at once: each request sent there before it is heard of
// stalls.
DetectorActions Detector::AddUnreachable(const UnreachableNotice& notice) {
  DetectorActions actions;
  if (this->HearNotice<UnreachableReceived>(&this->unreachable, notice,
                                            &actions)) {
    GossipMessage news;
    news.unreachable = {notice};
    this->Broadcast(news, &actions);
  }
  return actions;
}

void Detector::Broadcast(const GossipMessage& news, DetectorActions* actions) {
  for (const auto& [vm, entry] : this->others) {
    if (entry.member.status != Status::kDead) {
      GossipMessage message = news;
      message.kind = MessageKind::kPing;
      message.sequence = ++this->next_sequence;
      message.from = this->self.vm;
      message.members = {this->self};
      this->Send(entry.member, std::move(message), actions);
    }
  }
}

DetectorActions Detector::MarkLeaving(const std::string& vm, Instant now) {
  DetectorActions actions;
  const auto found = this->others.find(vm);
  if (found != this->others.end() &&
      found->second.member.status < Status::kLeaving) {
    Member leaving = found->second.member;
    leaving.status = Status::kLeaving;
    this->Merge(leaving, now, &actions);
  }
  return actions;
}

// Piggybacks the news that has been sent least often; what room is left goes to
// members in turn, so that a lost datagram is made up for in the end.
GossipMessage Detector::MakeMessage(MessageKind kind,
                                    std::uint64_t sequence,
                                    const std::string& to) {
  GossipMessage message;
  message.kind = kind;
  message.sequence = sequence;
  message.from = this->self.vm;
  message.members.push_back(this->self);
  std::vector<Entry*> news;
  for (auto& [vm, entry] : this->others) {
    // A member accused of being gone is told so, to let it refute.
    const bool accused = vm == to && entry.member.status != Status::kAlive;
    if (entry.sends_left > 0 || accused) {
      news.push_back(&entry);
    }
  }
  std::stable_sort(news.begin(), news.end(), [](Entry* a, Entry* b) {
    return a->sends_left > b->sends_left;
  });
  const std::size_t room = this->settings.members_per_datagram;
  for (Entry* entry : news) {
    if (message.members.size() >= room) {
      break;
    }
    if (entry->sends_left > 0) {
      --entry->sends_left;
    }
    message.members.push_back(entry->member);
  }
  if (message.members.size() < room && !this->others.empty()) {
    auto filler = this->others.upper_bound(this->filler_cursor);
    if (filler == this->others.end()) {
      filler = this->others.begin();
    }
    this->filler_cursor = filler->first;
    message.members.push_back(filler->second.member);
  }
  TakeRumours(&this->strikes, &message.strikes);
  TakeRumours(&this->leaving, &message.leaving);
  TakeRumours(&this->unreachable, &message.unreachable);
  return message;
}

void Detector::Send(const Member& to,
                    GossipMessage message,
                    DetectorActions* actions) const {
  actions->push_back(SendGossip{to, std::move(message)});
}

std::vector<Member> Detector::Members() const {
  std::vector<Member> members = {this->self};
  for (const auto& [vm, entry] : this->others) {
    members.push_back(entry.member);
  }
  return members;
}

}  // namespace chervilpass::membership
