#include "chervilpass/membership/detector.h"

#include <algorithm>
#include <bit>
#include <cassert>
#include <iterator>

namespace chervilpass::membership {
namespace {

// Of acknowledgements without a probe; probes have higher ones.
constexpr std::uint64_t kUnaskedSequence = 0;
// A death that a comparison of tables states may be old news: there is more
// time for its refutation.
constexpr int kTableSuspicionFactor = 5;

// Builds drop the fields that they do not know from the records of other VMs
// that they pass on. Returns `received` with what `known` has of them.
Member WithKnownFields(const Member& received, const Member& known) {
  Member member = received;
  if (received.boot_id != known.boot_id) {
    return member;
  }
  if (received.forward_port == 0) {
    member.forward_port = known.forward_port;
  }
  if (received.incarnation == known.incarnation) {
    member.cut_off = received.cut_off || known.cut_off;
  }
  return member;
}

}  // namespace

Detector::Detector(DetectorSettings settings,
                   Member self,
                   std::uint64_t seed,
                   Instant now)
    : settings(settings),
      random(seed),
      table(self),
      next_probe(now),
      lateness(settings.probe_timeout / 2),
      last_received(now),
      sync_refilled(now) {}

std::uint32_t Detector::RetransmitLimit() const {
  const auto size = static_cast<std::uint32_t>(this->Members().size());
  return this->settings.retransmit_factor * std::bit_width(size);
}

std::uint32_t Detector::SelfKey() const {
  return static_cast<std::uint32_t>(MemberKey(this->Self().vm));
}

void Detector::SetConfigVersion(std::uint64_t version) {
  this->table.SetConfigVersion(this->Self().vm, version);
}

DetectorActions Detector::AddSeed(const Member& seed, Instant now) {
  DetectorActions actions;
  if (seed.vm == this->Self().vm) {
    return actions;
  }
  if (this->table.Find(seed.vm) == nullptr) {
    this->Merge(seed, {}, now, &actions);
  }
  GossipMessage join = this->MakeMessage(MessageKind::kJoin,
                                         ++this->next_sequence, seed.vm, now);
  this->Send(seed, std::move(join), &actions);
  return actions;
}

DetectorActions Detector::AddListed(const std::vector<Member>& listed,
                                    Instant now) {
  DetectorActions actions;
  for (const Member& member : listed) {
    if (member.vm != this->Self().vm) {
      this->Merge(member, {ChangeOrigin::kListing, 0, false}, now, &actions);
    }
  }
  return actions;
}

DetectorActions Detector::UpdateSelf(const Member& self, Instant now) {
  DetectorActions actions;
  (void)now;
  assert(self.vm == this->Self().vm);
  Member next = self;
  next.boot_id = this->Self().boot_id;
  next.incarnation = this->Self().incarnation + 1;
  this->PutSelf(next, &actions);
  return actions;
}

void Detector::PutSelf(const Member& next, DetectorActions* actions) {
  this->table.Put(next);
  actions->push_back(MemberChanged{next, ChangeOrigin::kOwn});
}

DetectorActions Detector::MarkLeaving(const std::string& vm, Instant now) {
  DetectorActions actions;
  const Member* known = this->table.Find(vm);
  if (known != nullptr && vm != this->Self().vm &&
      known->status < Status::kLeaving) {
    Member leaving = *known;
    leaving.status = Status::kLeaving;
    this->Merge(leaving, {}, now, &actions);
  }
  return actions;
}

// ---- records ----

void Detector::Merge(const Member& stated,
                     const Source& source,
                     Instant now,
                     DetectorActions* actions) {
  if (stated.vm == this->Self().vm) {
    this->Refute(stated, now, actions);
    return;
  }
  const Member* known = this->table.Find(stated.vm);
  if (known == nullptr) {
    if (stated.status != Status::kDead) {
      this->Accept(stated, source, now, actions);
    }
    return;
  }
  const Member received =
      source.first_hand ? stated : WithKnownFields(stated, *known);
  if (Supersedes(received, *known)) {
    const bool same_start = received.boot_id == known->boot_id;
    if (received.status == Status::kDead && source.from_table && same_start &&
        known->status != Status::kLeaving) {
      Member suspect = received;
      suspect.status = Status::kSuspect;
      this->Merge(suspect, source, now, actions);
      return;
    }
    this->Accept(received, source, now, actions);
    return;
  }
  if (Supersedes(*known, received)) {
    return;
  }
  if (received.status == Status::kSuspect &&
      this->suspicions.at(received.vm).Confirm(source.suspected_by)) {
    this->updates.Push(received.vm, UpdatePriority::kNormal);
  }
  // Of two records that differ only in what no update changes, all VMs keep the
  // same one: the VM's own, or else the one with more fields.
  const bool completes =
      (received.forward_port != 0 && known->forward_port == 0) ||
      (received.cut_off && !known->cut_off);
  if (source.first_hand || completes ||
      MemberIdentity(received) > this->table.IdentityOf(received.vm)) {
    Member renamed = received;
    renamed.config_version =
        std::max(known->config_version, received.config_version);
    // Each message brings the record of its sender, mostly unchanged.
    if (renamed != *known) {
      this->table.Put(renamed);
    }
  }
}

void Detector::MergeUpdate(const MemberUpdate& update,
                           bool from_table,
                           Instant now,
                           DetectorActions* actions) {
  const Member* known = this->table.FindByKey(update.vm_key);
  const bool complete = known != nullptr &&
                        (known->vm == this->Self().vm ||
                         this->table.IdentityOf(known->vm) == update.identity);
  if (complete) {
    this->Merge(WithUpdate(*known, update),
                {ChangeOrigin::kGossip, update.suspected_by, from_table}, now,
                actions);
    return;
  }
  const bool is_news = known == nullptr ? update.status != Status::kDead
                                        : update.boot_id >= known->boot_id;
  if (is_news) {
    this->wanted_now.push_back(update.vm_key);
  }
}

// Another VM believes this one to be suspect or dead, or has a record with a
// higher incarnation: supersede that record.
void Detector::Refute(const Member& received,
                      Instant now,
                      DetectorActions* actions) {
  Member next = this->Self();
  if (received.boot_id > next.boot_id) {
    // Boot ids come from the time of day, which may have been set back since an
    // earlier start of this VM: that start must not supersede this one.
    next.boot_id = received.boot_id + 1;
  } else {
    const bool contradicts = received.status == Status::kSuspect ||
                             received.status == Status::kDead ||
                             received.incarnation > next.incarnation;
    if (received.boot_id != next.boot_id || !contradicts ||
        received.incarnation < next.incarnation) {
      return;
    }
    next.incarnation = received.incarnation + 1;
  }
  this->PutSelf(next, actions);
  const DetectorActions sends =
      this->Announce(this->settings.announce_fanout, now);
  actions->insert(actions->end(), sends.begin(), sends.end());
}

void Detector::Accept(const Member& member,
                      const Source& source,
                      Instant now,
                      DetectorActions* actions) {
  const bool refuted =
      this->suspicions.erase(member.vm) > 0 && member.status == Status::kAlive;
  this->dead_since.erase(member.vm);
  if (member.status == Status::kSuspect) {
    // This VM and the suspected one cannot confirm the suspicion.
    const std::size_t others = this->table.AliveCount();
    SuspicionSettings suspicion = this->settings.suspicion;
    if (source.from_table) {
      suspicion.max_timeout *= kTableSuspicionFactor;
    }
    this->suspicions.emplace(member.vm,
                             Suspicion(suspicion, others > 2 ? others - 2 : 0,
                                       source.suspected_by, now));
  }
  if (member.status == Status::kDead) {
    this->dead_since[member.vm] = now;
  }
  this->table.Put(member);
  // What the list of VMs or a comparison of tables tells, the other VMs learn
  // in the same way. Seeds have no boot id until they have been heard.
  if (source.origin != ChangeOrigin::kListing && !source.from_table &&
      member.boot_id != 0) {
    this->updates.Push(member.vm, refuted ? UpdatePriority::kRefutation
                                          : UpdatePriority::kNormal);
  }
  actions->push_back(MemberChanged{member, source.origin});
}

void Detector::Suspect(const std::string& vm,
                       Instant now,
                       DetectorActions* actions) {
  Member suspect = *this->table.Find(vm);
  suspect.status = Status::kSuspect;
  this->Merge(suspect, {ChangeOrigin::kOwn, this->SelfKey(), false}, now,
              actions);
}

// The configuration version is not passed on like changes of membership: it
// changes on all nodes at once and is read from the sender's own record only.
void Detector::UpdateSenderConfigVersion(const Member& sender,
                                         DetectorActions* actions) {
  const Member* known = this->table.Find(sender.vm);
  if (known == nullptr || known->boot_id != sender.boot_id) {
    return;
  }
  if (sender.config_version > known->config_version) {
    this->table.SetConfigVersion(sender.vm, sender.config_version);
  }
  if (sender.config_version > this->Self().config_version) {
    actions->push_back(NewerConfigReceived{sender});
  }
}

// ---- messages ----

DetectorActions Detector::OnMessage(const GossipMessage& message, Instant now) {
  DetectorActions actions;
  this->last_received = now;
  // Messages that answer no probe state parts of tables.
  const bool from_table = message.sequence == kUnaskedSequence;
  for (const Member& member : message.members) {
    const bool first_hand = member.vm == message.from;
    this->Merge(
        member,
        {ChangeOrigin::kGossip, 0, from_table && !first_hand, first_hand}, now,
        &actions);
  }
  if (!message.members.empty() && message.members.front().vm == message.from) {
    this->UpdateSenderConfigVersion(message.members.front(), &actions);
  }
  for (const MemberUpdate& update : message.updates) {
    this->MergeUpdate(update, from_table, now, &actions);
  }
  const GossipMessage fresh =
      this->notices.MergeAll(message, this->RetransmitLimit(), &actions);
  if (message.pass_on && fresh != GossipMessage{}) {
    this->Broadcast(fresh, &actions);
  }
  const Member* sender = this->table.Find(message.from);
  if (sender == nullptr || message.from == this->Self().vm) {
    return actions;
  }
  const Member from = *sender;
  if (message.table_digest == 0) {
    this->without_updates.insert(from.vm);
  } else {
    this->without_updates.erase(from.vm);
  }
  switch (message.kind) {
    case MessageKind::kPing:
    case MessageKind::kJoin:
      this->AnswerPing(message, from, now, &actions);
      break;
    case MessageKind::kPingRequest:
      this->RelayProbe(message, from, now, &actions);
      break;
    case MessageKind::kAck:
      this->OnAck(message, now, &actions);
      this->CompareTables(message, from, now, &actions);
      this->CompleteListing(message, from, now, &actions);
      break;
    case MessageKind::kLoads:
      break;
  }
  this->SendWanted(message, from, &actions);
  this->AskForWanted(from, now, &actions);
  return actions;
}

void Detector::AnswerPing(const GossipMessage& message,
                          const Member& from,
                          Instant now,
                          DetectorActions* actions) {
  GossipMessage ack =
      this->MakeMessage(MessageKind::kAck, message.sequence, from.vm, now);
  if (message.table_digest != 0 && message.table_digest != ack.table_digest) {
    ack.bucket_digests = this->table.Buckets();
  }
  if (message.kind == MessageKind::kJoin) {
    for (auto& part : this->notices.StrikesInParts()) {
      GossipMessage note = this->MakeNote();
      note.strikes = std::move(part);
      this->Send(from, std::move(note), actions);
    }
    // A list is many times as long as the request for it.
    const bool may_list =
        !this->last_join_answer ||
        now - *this->last_join_answer >= this->settings.join_answer_interval;
    if (message.table_digest == 0 && may_list) {
      this->last_join_answer = now;
      this->SendAllMembers(from, ack, actions);
      return;
    }
  }
  this->Send(from, std::move(ack), actions);
}

// For VMs that do not compare tables.
void Detector::SendAllMembers(const Member& to,
                              const GossipMessage& ack,
                              DetectorActions* actions) const {
  const std::vector<Member>& all = this->Members();
  const std::size_t chunk_size = this->settings.members_per_datagram;
  for (std::size_t i = 0; i < all.size(); i += chunk_size) {
    GossipMessage chunk = ack;
    chunk.members.assign(all.begin() + static_cast<std::ptrdiff_t>(i),
                         all.begin() + static_cast<std::ptrdiff_t>(std::min(
                                           i + chunk_size, all.size())));
    this->Send(to, std::move(chunk), actions);
  }
}

void Detector::RelayProbe(const GossipMessage& message,
                          const Member& from,
                          Instant now,
                          DetectorActions* actions) {
  const Member* target = this->table.Find(message.target);
  if (target == nullptr) {
    return;
  }
  const std::uint64_t sequence = ++this->next_sequence;
  this->relayed_probes.emplace(sequence,
                               RelayedProbe{from.vm, message.sequence, now});
  GossipMessage ping =
      this->MakeMessage(MessageKind::kPing, sequence, message.target, now);
  this->Send(*target, std::move(ping), actions);
}

void Detector::OnAck(const GossipMessage& message,
                     Instant now,
                     DetectorActions* actions) {
  this->probes.erase(message.sequence);
  const auto relayed = this->relayed_probes.find(message.sequence);
  if (relayed == this->relayed_probes.end()) {
    return;
  }
  const Member* requester = this->table.Find(relayed->second.requester);
  if (requester != nullptr) {
    GossipMessage ack =
        this->MakeMessage(MessageKind::kAck, relayed->second.requester_sequence,
                          requester->vm, now);
    this->Send(*requester, std::move(ack), actions);
  }
  this->relayed_probes.erase(relayed);
}

DetectorActions Detector::Announce(std::uint32_t count, Instant now) {
  DetectorActions actions;
  for (const std::string& vm : this->RandomPresent(count, "")) {
    this->Ping(vm, now, &actions);
  }
  return actions;
}

// Not a probe: without an answer nothing follows.
void Detector::Ping(const std::string& vm,
                    Instant now,
                    DetectorActions* actions) {
  GossipMessage ping =
      this->MakeMessage(MessageKind::kPing, ++this->next_sequence, vm, now);
  this->Send(*this->table.Find(vm), std::move(ping), actions);
}

// A message without changes of members.
GossipMessage Detector::MakeNote() const {
  GossipMessage message;
  message.kind = MessageKind::kAck;
  message.sequence = kUnaskedSequence;
  message.from = this->Self().vm;
  message.members = {this->Self()};
  message.table_digest = this->table.Digest();
  return message;
}

MemberUpdate Detector::CurrentUpdate(const Member& member) {
  MemberUpdate update = UpdateOf(member, this->table.IdentityOf(member.vm));
  if (const auto found = this->suspicions.find(member.vm);
      found != this->suspicions.end()) {
    update.suspected_by = found->second.NextSuspector();
  }
  return update;
}

GossipMessage Detector::MakeMessage(MessageKind kind,
                                    std::uint64_t sequence,
                                    const std::string& to,
                                    Instant now) {
  (void)now;
  GossipMessage message = this->MakeNote();
  message.kind = kind;
  message.sequence = sequence;
  this->notices.AppendTo(&message);
  const Member* receiver = this->table.Find(to);
  // The receiver gets its own record if that is not alive, to refute it.
  const bool is_refutable =
      receiver != nullptr && receiver->status != Status::kAlive;
  if (!this->without_updates.contains(to)) {
    if (is_refutable) {
      message.updates.push_back(this->CurrentUpdate(*receiver));
    }
    for (const std::string& vm : this->updates.Take(
             this->settings.updates_per_datagram, this->RetransmitLimit())) {
      message.updates.push_back(this->CurrentUpdate(*this->table.Find(vm)));
    }
    return message;
  }
  const std::size_t max_members = this->settings.members_per_datagram;
  if (is_refutable) {
    message.members.push_back(*receiver);
  }
  for (const std::string& vm : this->updates.Take(
           max_members - message.members.size(), this->RetransmitLimit())) {
    message.members.push_back(*this->table.Find(vm));
  }
  // One more member in round-robin order, so that records lost with a datagram
  // are sent again eventually.
  if (message.members.size() < max_members && this->table.PeerCount() > 0) {
    this->filler = this->filler % this->table.PeerCount() + 1;
    message.members.push_back(this->Members()[this->filler]);
  }
  return message;
}

void Detector::Send(const Member& to,
                    GossipMessage message,
                    DetectorActions* actions) const {
  actions->push_back(SendGossip{to, std::move(message)});
}

// Returns up to `count` random members that are not dead, without this VM and
// `except`.
std::vector<std::string> Detector::RandomPresent(std::size_t count,
                                                 const std::string& except) {
  std::vector<std::size_t> candidates;
  const std::vector<Member>& members = this->Members();
  for (std::size_t i = 1; i < members.size(); ++i) {
    if (members[i].status != Status::kDead && members[i].vm != except) {
      candidates.push_back(i);
    }
  }
  std::vector<std::string> chosen;
  while (chosen.size() < count && !candidates.empty()) {
    const std::size_t pick = this->random.Below(candidates.size());
    chosen.push_back(members[candidates[pick]].vm);
    candidates[pick] = candidates.back();
    candidates.pop_back();
  }
  return chosen;
}

// ---- notices ----

// Strikes are sent at once: each copy of the request that starts before they
// are received can crash a backend server.
DetectorActions Detector::AddStrikes(
    const std::vector<quarantine::Strike>& strikes) {
  DetectorActions actions;
  GossipMessage message;
  for (const quarantine::Strike& strike : strikes) {
    if (this->notices.Merge(strike, this->RetransmitLimit(), &actions)) {
      message.strikes.push_back(strike);
    }
    if (message.strikes.size() == kMaxNoticesPerMessage) {
      this->Broadcast(message, &actions);
      message.strikes.clear();
    }
  }
  if (!message.strikes.empty()) {
    this->Broadcast(message, &actions);
  }
  return actions;
}

DetectorActions Detector::AddClearance(const quarantine::Clearance& clearance) {
  DetectorActions actions;
  if (this->notices.Merge(clearance, this->RetransmitLimit(), &actions)) {
    GossipMessage message;
    message.clearances = {clearance};
    this->Broadcast(message, &actions);
  }
  return actions;
}

// Sent at once, since new work must stop within seconds.
DetectorActions Detector::AddLeaving(const LeavingNotice& notice) {
  DetectorActions actions;
  if (this->notices.Merge(notice, this->RetransmitLimit(), &actions)) {
    GossipMessage message;
    message.leaving = {notice};
    this->Broadcast(message, &actions);
  }
  return actions;
}

// Sent at once: every request that is sent to the backend server before the
// notice is received stalls.
DetectorActions Detector::AddUnreachable(const UnreachableNotice& notice) {
  DetectorActions actions;
  if (this->notices.Merge(notice, this->RetransmitLimit(), &actions)) {
    GossipMessage message;
    message.unreachable = {notice};
    this->Broadcast(message, &actions);
  }
  return actions;
}

// Sent at once: the backend server may end within seconds.
DetectorActions Detector::AddDeparture(const DepartureNotice& notice) {
  DetectorActions actions;
  if (this->notices.Merge(notice, this->RetransmitLimit(), &actions)) {
    GossipMessage message;
    message.departures = {notice};
    this->Broadcast(message, &actions);
  }
  return actions;
}

// Sent as an acknowledgement, which has no answer: answers of all members would
// cost several times as many bytes as the news. In a large fleet many VMs
// notice the same event, so each sends to a few others, which pass it on the
// first time that they hear of it: the number of datagrams does not grow with
// the number of VMs that notice.
void Detector::Broadcast(const GossipMessage& contents,
                         DetectorActions* actions) {
  GossipMessage message = contents;
  const GossipMessage note = this->MakeNote();
  message.kind = note.kind;
  message.sequence = note.sequence;
  message.from = note.from;
  message.members = note.members;
  message.table_digest = note.table_digest;
  if (this->table.AliveCount() <= this->settings.max_direct_notices) {
    for (const Member& member : this->Members()) {
      if (member.vm != this->Self().vm && member.status != Status::kDead) {
        this->Send(member, message, actions);
      }
    }
    return;
  }
  message.pass_on = true;
  for (const std::string& vm :
       this->RandomPresent(this->settings.notice_fanout, "")) {
    this->Send(*this->table.Find(vm), message, actions);
  }
}

}  // namespace chervilpass::membership
