// Periodic work of the detector: probes, suspicions and forgotten members.
#include <algorithm>
#include <iterator>
#include <utility>

#include "chervilpass/membership/detector.h"

namespace chervilpass::membership {
namespace {

// A probe without an answer counts after this many deadlines if no other member
// has been heard since it was sent: this VM's own link may be at fault.
constexpr int kIsolatedDeadlineFactor = 3;

bool CanBeProbed(const Member& member) {
  return member.status != Status::kDead;
}

}  // namespace

DetectorActions Detector::OnTick(Instant now) {
  DetectorActions actions;
  const Duration late = this->lateness.OnTick(now);
  if (late > this->settings.local_stall_threshold) {
    this->Extend(late);
  }
  this->CheckProbes(now, &actions);
  this->CheckSuspects(now, &actions);
  if (std::exchange(this->found_out, false)) {
    const DetectorActions sends =
        this->Announce(this->settings.announce_fanout, now);
    actions.insert(actions.end(), sends.begin(), sends.end());
  }
  if (now >= this->next_probe) {
    this->next_probe = now + this->settings.probe_period;
    this->StartProbe(now, &actions);
  }
  return actions;
}

// Answers that came while this VM was stalled may still wait to be read.
void Detector::Extend(Duration stalled) {
  for (auto& [sequence, probe] : this->probes) {
    probe.sent += stalled;
  }
  for (auto& [sequence, probe] : this->relayed_probes) {
    probe.sent += stalled;
  }
  for (auto& [vm, suspicion] : this->suspicions) {
    suspicion.Extend(stalled);
  }
}

void Detector::StartProbe(Instant now, DetectorActions* actions) {
  ++this->periods;
  if (this->periods % this->settings.periods_per_dead_ping == 0) {
    this->PingDeadMember(now, actions);
  }
  const std::optional<std::string> target = this->NextTarget();
  if (!target) {
    return;
  }
  const std::uint64_t sequence = ++this->next_sequence;
  this->probes.emplace(sequence, Probe{*target, now, false});
  GossipMessage ping =
      this->MakeMessage(MessageKind::kPing, sequence, *target, now);
  this->Send(*this->table.Find(*target), std::move(ping), actions);
}

// A member that was partitioned from this one, but not dead, learns from the
// ping that it is believed to be dead and refutes that.
void Detector::PingDeadMember(Instant now, DetectorActions* actions) {
  if (this->dead_since.empty()) {
    return;
  }
  const auto dead = std::next(
      this->dead_since.begin(),
      static_cast<std::ptrdiff_t>(this->random.Below(this->dead_since.size())));
  this->Ping(dead->first, now, actions);
}

// Round-robin over a shuffled list bounds the time until a member is probed
// (SWIM, section 4.3).
std::optional<std::string> Detector::NextTarget() {
  for (int round = 0; round < 2; ++round) {
    while (!this->targets.empty()) {
      const std::string vm = this->targets.back();
      this->targets.pop_back();
      const Member* member = this->table.Find(vm);
      if (member != nullptr && CanBeProbed(*member)) {
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
  const auto add_if = [this](const auto& condition) {
    for (const Member& member : this->Members()) {
      if (member.vm != this->Self().vm && condition(member)) {
        this->targets.push_back(member.vm);
      }
    }
  };
  // Members of other regions are probed in some rounds only, since their own
  // region probes them in every round.
  add_if([&](const Member& member) {
    return member.region == this->Self().region || remote;
  });
  if (this->targets.empty()) {
    add_if([](const Member&) { return true; });
  }
  for (std::size_t i = this->targets.size(); i > 1; --i) {
    std::swap(this->targets[i - 1], this->targets[this->random.Below(i)]);
  }
}

void Detector::CheckProbes(Instant now, DetectorActions* actions) {
  const Duration deadline =
      this->settings.probe_deadline + 2 * this->lateness.Recent();
  std::vector<std::string> failed;
  for (auto it = this->probes.begin(); it != this->probes.end();) {
    Probe& probe = it->second;
    const Member* target = this->table.Find(probe.target);
    if (target == nullptr || target->status == Status::kDead) {
      it = this->probes.erase(it);
      continue;
    }
    if (!probe.indirect_sent &&
        now - probe.sent >= this->settings.probe_timeout) {
      probe.indirect_sent = true;
      this->ProbeIndirectly(it->first, probe, now, actions);
    }
    const bool isolated =
        this->last_received <= probe.sent && this->table.AliveCount() > 2;
    if (now - probe.sent >=
        (isolated ? kIsolatedDeadlineFactor : 1) * deadline) {
      failed.push_back(probe.target);
      it = this->probes.erase(it);
      continue;
    }
    ++it;
  }
  for (const std::string& vm : failed) {
    this->OnProbeFailed(vm, now, actions);
  }
  std::erase_if(this->relayed_probes, [&](const auto& item) {
    return now - item.second.sent > this->settings.probe_deadline;
  });
}

// Through other members: only the direct link may be down.
void Detector::ProbeIndirectly(std::uint64_t sequence,
                               const Probe& probe,
                               Instant now,
                               DetectorActions* actions) {
  for (const std::string& helper :
       this->RandomPresent(this->settings.indirect_probes, probe.target)) {
    GossipMessage request =
        this->MakeMessage(MessageKind::kPingRequest, sequence, helper, now);
    request.target = probe.target;
    this->Send(*this->table.Find(helper), std::move(request), actions);
  }
}

// Neither a direct nor an indirect answer came in time.
void Detector::OnProbeFailed(const std::string& vm,
                             Instant now,
                             DetectorActions* actions) {
  const Member* found = this->table.Find(vm);
  if (found == nullptr) {
    return;
  }
  if (found->status == Status::kLeaving) {
    // A leaving member that stops answering has left.
    Member dead = *found;
    dead.status = Status::kDead;
    this->Merge(dead, {ChangeOrigin::kOwn, 0, false}, now, actions);
    return;
  }
  if (found->status == Status::kDead) {
    return;
  }
  this->found_out |= found->status == Status::kAlive;
  this->Suspect(vm, now, actions);
  // The member gets to know, so that it can refute the suspicion.
  this->Ping(vm, now, actions);
}

void Detector::CheckSuspects(Instant now, DetectorActions* actions) {
  std::vector<Member> newly_dead;
  for (const auto& [vm, suspicion] : this->suspicions) {
    if (now >= suspicion.Deadline() + this->lateness.Recent()) {
      Member dead = *this->table.Find(vm);
      dead.status = Status::kDead;
      newly_dead.push_back(dead);
    }
  }
  this->found_out |= !newly_dead.empty();
  for (const Member& dead : newly_dead) {
    this->Merge(dead, {ChangeOrigin::kOwn, 0, false}, now, actions);
  }
  std::erase_if(this->dead_since, [&](const auto& item) {
    const bool forgotten = now - item.second >= this->settings.forget_after;
    if (forgotten) {
      this->table.Remove(item.first);
      this->updates.Remove(item.first);
      this->without_updates.erase(item.first);
    }
    return forgotten;
  });
}

}  // namespace chervilpass::membership
