#include "chervilpass/membership/detector.h"

#include <algorithm>
#include <bit>
#include <cassert>

namespace chervilpass::membership {
namespace {

constexpr std::size_t kMaxUpdates = 64;  // of each kind
// Many VMs detect the same state of a backend server or request at about the
// same time. A notice is sent to all members again only if it is this much
// newer.
constexpr milliseconds kNoticeRepeatInterval{1000};
constexpr std::size_t kMaxUpdatesPerDatagram = 8;  // of each kind
// Of acknowledgements without a probe; probes have higher ones.
constexpr std::uint64_t kUnaskedSequence = 0;

template <class Updates, class Payload>
void AppendUpdates(Updates* updates, std::vector<Payload>* payloads) {
  for (auto& update : *updates) {
    if (update.sends_left > 0 && payloads->size() < kMaxUpdatesPerDatagram) {
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
  const auto size = static_cast<std::uint32_t>(this->peers.size() + 1);
  return this->settings.retransmit_factor * std::bit_width(size);
}

DetectorActions Detector::AddSeed(const Member& seed, Instant now) {
  DetectorActions actions;
  if (seed.vm == this->self.vm) {
    return actions;
  }
  const auto found = this->peers.find(seed.vm);
  if (found == this->peers.end()) {
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
    this->PingDeadMember(actions);
  }
  const std::optional<std::string> target = this->NextTarget();
  if (!target) {
    return;
  }
  const std::uint64_t sequence = ++this->next_sequence;
  this->probes.emplace(sequence, Probe{*target, now, false});
  GossipMessage ping = this->MakeMessage(MessageKind::kPing, sequence, *target);
  this->Send(this->peers.at(*target).member, std::move(ping), actions);
}

DetectorActions Detector::Announce(std::uint32_t count) {
  DetectorActions actions;
  std::vector<std::string> candidates;
  for (const auto& [vm, entry] : this->peers) {
    if (entry.member.status != Status::kDead) {
      candidates.push_back(vm);
    }
  }
  for (std::uint32_t i = 0; i < count && !candidates.empty(); ++i) {
    const std::size_t pick = this->random.Below(candidates.size());
    GossipMessage ping = this->MakeMessage(
        MessageKind::kPing, ++this->next_sequence, candidates[pick]);
    this->Send(this->peers.at(candidates[pick]).member, std::move(ping),
               &actions);
    candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(pick));
  }
  return actions;
}

// A member that was partitioned from this one, but not dead, learns from the
// ping that it is believed to be dead and refutes that.
void Detector::PingDeadMember(DetectorActions* actions) {
  std::vector<std::string> dead;
  for (const auto& [vm, entry] : this->peers) {
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
  this->Send(this->peers.at(vm).member, std::move(ping), actions);
}

// Round-robin over a shuffled list bounds the time until a member is probed
// (SWIM, section 4.3).
std::optional<std::string> Detector::NextTarget() {
  for (int round = 0; round < 2; ++round) {
    while (!this->targets.empty()) {
      const std::string vm = this->targets.back();
      this->targets.pop_back();
      const auto found = this->peers.find(vm);
      if (found != this->peers.end() && CanBeProbed(found->second.member)) {
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
  for (const auto& [vm, entry] : this->peers) {
    // Members of other regions are probed in some rounds only, since their own
    // region probes them in every round.
    if (entry.member.region == this->self.region || remote) {
      this->targets.push_back(vm);
    }
  }
  if (this->targets.empty()) {
    for (const auto& [vm, entry] : this->peers) {
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
    const auto found = this->peers.find(probe.target);
    if (found == this->peers.end()) {
      it = this->probes.erase(it);
      continue;
    }
    // Probe through other members first: only the direct link may be down.
    if (!probe.indirect_sent &&
        now - probe.sent >= this->settings.probe_timeout) {
      probe.indirect_sent = true;
      std::vector<std::string> helpers;
      for (const auto& [vm, entry] : this->peers) {
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
        this->Send(this->peers.at(helpers[pick]).member, std::move(request),
                   actions);
        helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(pick));
      }
    }
    if (now - probe.sent >= this->settings.probe_period) {
      // Neither a direct nor an indirect answer within the period: suspect it.
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
  std::erase_if(this->relayed_probes, [&](const auto& item) {
    return now - item.second.sent > this->settings.probe_period;
  });
}

void Detector::CheckSuspects(Instant now, DetectorActions* actions) {
  std::vector<Member> newly_dead;
  for (const auto& [vm, entry] : this->peers) {
    if (entry.suspect_since &&
        now - *entry.suspect_since >= this->settings.suspicion_timeout) {
      Member dead = entry.member;
      dead.status = Status::kDead;
      newly_dead.push_back(dead);
    }
  }
  for (const Member& dead : newly_dead) {
    this->Merge(dead, now, actions);
  }
  std::erase_if(this->peers, [&](const auto& item) {
    const auto& since = item.second.dead_since;
    return since && now - *since >= this->settings.forget_after;
  });
}

// Returns true if the notice must be sent to all members at once. A notice soon
// after another is only recorded and piggybacked.
template <class Received, class Notice>
bool Detector::MergeNotice(std::vector<GossipUpdate<Notice>>* updates,
                           const Notice& notice,
                           DetectorActions* actions) const {
  for (auto& known : *updates) {
    if (!SameSubject(known.payload, notice)) {
      continue;
    }
    const auto age = notice.at.milliseconds - known.payload.at.milliseconds;
    if (age > 0) {
      known = {notice, this->RetransmitLimit()};
      actions->push_back(Received{notice});
    }
    return age >= kNoticeRepeatInterval.count();
  }
  updates->push_back({notice, this->RetransmitLimit()});
  if (updates->size() > kMaxUpdates) {
    updates->erase(updates->begin());
  }
  actions->push_back(Received{notice});
  return true;
}

DetectorActions Detector::OnMessage(const GossipMessage& message, Instant now) {
  DetectorActions actions;
  for (const Member& member : message.members) {
    this->Merge(member, now, &actions);
  }
  if (!message.members.empty() && message.members.front().vm == message.from) {
    this->UpdateSenderConfigVersion(message.members.front(), &actions);
  }
  for (const quarantine::Strike& strike : message.strikes) {
    this->MergeStrike(strike, &actions);
  }
  for (const quarantine::Clearance& clearance : message.clearances) {
    this->MergeNotice<ClearanceReceived>(&this->clearances, clearance,
                                         &actions);
  }
  for (const LeavingNotice& notice : message.leaving) {
    this->MergeNotice<LeavingReceived>(&this->leaving, notice, &actions);
  }
  for (const UnreachableNotice& notice : message.unreachable) {
    this->MergeNotice<UnreachableReceived>(&this->unreachable, notice,
                                           &actions);
  }
  for (const DepartureNotice& notice : message.departures) {
    this->MergeNotice<DepartureReceived>(&this->departures, notice, &actions);
  }
  const auto sender = this->peers.find(message.from);
  if (sender == this->peers.end()) {
    return actions;
  }
  const Member from = sender->second.member;
  switch (message.kind) {
    case MessageKind::kPing:
    case MessageKind::kJoin: {
      GossipMessage ack =
          this->MakeMessage(MessageKind::kAck, message.sequence, from.vm);
      if (message.kind == MessageKind::kJoin) {
        // Send all members and strikes to the joining node, in several
        // datagrams.
        this->SendAllStrikes(from, ack, &actions);
        std::vector<Member> all = this->Members();
        const std::size_t chunk_size = this->settings.members_per_datagram;
        for (std::size_t i = 0; i < all.size(); i += chunk_size) {
          GossipMessage chunk = ack;
          chunk.members.assign(
              all.begin() + static_cast<std::ptrdiff_t>(i),
              all.begin() + static_cast<std::ptrdiff_t>(
                                std::min(i + chunk_size, all.size())));
          this->Send(from, std::move(chunk), &actions);
        }
        break;
      }
      this->Send(from, std::move(ack), &actions);
      break;
    }
    case MessageKind::kPingRequest: {
      const auto target = this->peers.find(message.target);
      if (target == this->peers.end()) {
        break;
      }
      const std::uint64_t sequence = ++this->next_sequence;
      this->relayed_probes.emplace(
          sequence, RelayedProbe{from.vm, message.sequence, now});
      GossipMessage ping =
          this->MakeMessage(MessageKind::kPing, sequence, message.target);
      this->Send(target->second.member, std::move(ping), &actions);
      break;
    }
    case MessageKind::kAck: {
      this->probes.erase(message.sequence);
      const auto relayed_probe = this->relayed_probes.find(message.sequence);
      if (relayed_probe == this->relayed_probes.end()) {
        break;
      }
      const auto requester = this->peers.find(relayed_probe->second.requester);
      if (requester != this->peers.end()) {
        GossipMessage ack = this->MakeMessage(
            MessageKind::kAck, relayed_probe->second.requester_sequence,
            requester->first);
        this->Send(requester->second.member, std::move(ack), &actions);
      }
      this->relayed_probes.erase(relayed_probe);
      break;
    }
    case MessageKind::kLoads:
      break;
  }
  return actions;
}

void Detector::Merge(const Member& received,
                     Instant now,
                     DetectorActions* actions) {
  if (received.vm == this->self.vm) {
    this->Refute(received, actions);
    return;
  }
  const auto found = this->peers.find(received.vm);
  if (found == this->peers.end()) {
    if (received.status == Status::kDead) {
      return;  // Unknown and already dead: not added.
    }
    Entry entry;
    this->Accept(&entry, received, now, actions);
    this->peers.emplace(received.vm, std::move(entry));
    return;
  }
  if (Supersedes(received, found->second.member)) {
    this->Accept(&found->second, received, now, actions);
  }
}

// Another node believes this one to be suspect or dead, or has a record with a
// higher incarnation: supersede that record.
void Detector::Refute(const Member& received, DetectorActions* actions) {
  // Boot ids come from the time of day, which may have been set back since an
  // earlier start of this VM: that start must not supersede this one.
  if (received.boot_id > this->self.boot_id) {
    this->self.boot_id = received.boot_id + 1;
    this->self_sends_left = this->RetransmitLimit();
    actions->push_back(MemberChanged{this->self});
    return;
  }
  if (received.boot_id != this->self.boot_id) {
    return;
  }
  const bool contradicts = received.status == Status::kSuspect ||
                           received.status == Status::kDead ||
                           received.incarnation > this->self.incarnation;
  if (!contradicts || received.incarnation < this->self.incarnation) {
    return;
  }
  this->self.incarnation = received.incarnation + 1;
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

// The configuration version is not piggybacked like changes of membership: it
// changes on all nodes at once and is read from the sender's own record only.
void Detector::UpdateSenderConfigVersion(const Member& sender,
                                         DetectorActions* actions) {
  const auto found = this->peers.find(sender.vm);
  if (found == this->peers.end() ||
      found->second.member.boot_id != sender.boot_id) {
    return;
  }
  found->second.member.config_version =
      std::max(found->second.member.config_version, sender.config_version);
  if (sender.config_version > this->self.config_version) {
    actions->push_back(NewerConfigReceived{sender});
  }
}

bool Detector::MergeStrike(const quarantine::Strike& strike,
                           DetectorActions* actions) {
  for (const auto& known : this->strikes) {
    if (known.payload.fingerprint == strike.fingerprint &&
        known.payload.worker == strike.worker) {
      return false;
    }
  }
  this->strikes.push_back({strike, this->RetransmitLimit()});
  if (this->strikes.size() > kMaxUpdates) {
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

// Strikes are sent to all members at once: each copy of the request that starts
// before they are received can crash a backend server.
DetectorActions Detector::AddStrikes(
    const std::vector<quarantine::Strike>& strikes) {
  DetectorActions actions;
  GossipMessage message;
  for (const quarantine::Strike& strike : strikes) {
    if (this->MergeStrike(strike, &actions)) {
      message.strikes.push_back(strike);
    }
    if (message.strikes.size() == kMaxUpdatesPerDatagram) {
      this->Broadcast(message, &actions);
      message.strikes.clear();
    }
  }
  if (!message.strikes.empty()) {
    this->Broadcast(message, &actions);
  }
  return actions;
}

// Sent to all members at once, even soon after another one: strikes may have
// come between them.
DetectorActions Detector::AddClearance(const quarantine::Clearance& clearance) {
  DetectorActions actions;
  this->MergeNotice<ClearanceReceived>(&this->clearances, clearance, &actions);
  if (!actions.empty()) {
    GossipMessage message;
    message.clearances = {clearance};
    this->Broadcast(message, &actions);
  }
  return actions;
}

// Sent to all members at once, since new work must stop within seconds.
DetectorActions Detector::AddLeaving(const LeavingNotice& notice) {
  DetectorActions actions;
  if (this->MergeNotice<LeavingReceived>(&this->leaving, notice, &actions)) {
    GossipMessage message;
    message.leaving = {notice};
    this->Broadcast(message, &actions);
  }
  return actions;
}

// Sent to all members at once: every request that is sent to the backend server
// before the notice is received stalls.
DetectorActions Detector::AddUnreachable(const UnreachableNotice& notice) {
  DetectorActions actions;
  if (this->MergeNotice<UnreachableReceived>(&this->unreachable, notice,
                                             &actions)) {
    GossipMessage message;
    message.unreachable = {notice};
    this->Broadcast(message, &actions);
  }
  return actions;
}

// Sent to all members at once: the backend server may end within seconds.
DetectorActions Detector::AddDeparture(const DepartureNotice& notice) {
  DetectorActions actions;
  if (this->MergeNotice<DepartureReceived>(&this->departures, notice,
                                           &actions)) {
    GossipMessage message;
    message.departures = {notice};
    this->Broadcast(message, &actions);
  }
  return actions;
}

void Detector::SendAllStrikes(const Member& to,
                              const GossipMessage& ack,
                              DetectorActions* actions) const {
  GossipMessage message = ack;
  message.strikes.clear();
  for (const auto& known : this->strikes) {
    message.strikes.push_back(known.payload);
    if (message.strikes.size() == kMaxUpdatesPerDatagram) {
      this->Send(to, message, actions);
      message.strikes.clear();
    }
  }
  if (!message.strikes.empty()) {
    this->Send(to, std::move(message), actions);
  }
}

// Sent as an acknowledgement, which has no answer: answers of all members would
// cost several times as many bytes as the news.
void Detector::Broadcast(const GossipMessage& contents,
                         DetectorActions* actions) {
  for (const auto& [vm, entry] : this->peers) {
    if (entry.member.status != Status::kDead) {
      GossipMessage message = contents;
      message.kind = MessageKind::kAck;
      message.sequence = kUnaskedSequence;
      message.from = this->self.vm;
      message.members = {this->self};
      this->Send(entry.member, std::move(message), actions);
    }
  }
}

DetectorActions Detector::MarkLeaving(const std::string& vm, Instant now) {
  DetectorActions actions;
  const auto found = this->peers.find(vm);
  if (found != this->peers.end() &&
      found->second.member.status < Status::kLeaving) {
    Member leaving = found->second.member;
    leaving.status = Status::kLeaving;
    this->Merge(leaving, now, &actions);
  }
  return actions;
}

// Piggybacks the updates sent least often. If there is room, one more member is
// added in round-robin order, so that updates lost with a datagram are sent
// again eventually.
GossipMessage Detector::MakeMessage(MessageKind kind,
                                    std::uint64_t sequence,
                                    const std::string& to) {
  GossipMessage message;
  message.kind = kind;
  message.sequence = sequence;
  message.from = this->self.vm;
  message.members.push_back(this->self);
  std::vector<Entry*> updates;
  for (auto& [vm, entry] : this->peers) {
    // The receiver gets its own record if that is not alive, to refute it.
    const bool is_refutable = vm == to && entry.member.status != Status::kAlive;
    if (entry.sends_left > 0 || is_refutable) {
      updates.push_back(&entry);
    }
  }
  std::stable_sort(updates.begin(), updates.end(), [](Entry* a, Entry* b) {
    return a->sends_left > b->sends_left;
  });
  const std::size_t max_members = this->settings.members_per_datagram;
  for (Entry* entry : updates) {
    if (message.members.size() >= max_members) {
      break;
    }
    if (entry->sends_left > 0) {
      --entry->sends_left;
    }
    message.members.push_back(entry->member);
  }
  if (message.members.size() < max_members && !this->peers.empty()) {
    auto filler = this->peers.upper_bound(this->filler_cursor);
    if (filler == this->peers.end()) {
      filler = this->peers.begin();
    }
    this->filler_cursor = filler->first;
    message.members.push_back(filler->second.member);
  }
  AppendUpdates(&this->strikes, &message.strikes);
  AppendUpdates(&this->clearances, &message.clearances);
  AppendUpdates(&this->leaving, &message.leaving);
  AppendUpdates(&this->unreachable, &message.unreachable);
  AppendUpdates(&this->departures, &message.departures);
  return message;
}

void Detector::Send(const Member& to,
                    GossipMessage message,
                    DetectorActions* actions) const {
  actions->push_back(SendGossip{to, std::move(message)});
}

std::vector<Member> Detector::Members() const {
  std::vector<Member> members = {this->self};
  for (const auto& [vm, entry] : this->peers) {
    members.push_back(entry.member);
  }
  return members;
}

}  // namespace chervilpass::membership
