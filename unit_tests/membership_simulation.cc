#include "unit_tests/membership_simulation.h"

#include <fmt/format.h>

#include <algorithm>

#include "chervilpass/rpc/gossip_codec.h"

namespace chervilpass {
namespace {

using membership::ChangeOrigin;
using membership::Member;
using membership::Status;

constexpr std::size_t kSeeds = 3;
constexpr Duration kMaxStartDelay = milliseconds(300);
constexpr Duration kSeedPeriod = seconds(1);
constexpr Duration kReadyDelay = seconds(2);
constexpr Duration kListDelay = milliseconds(20);
constexpr std::uint32_t kAnnounceFanout = 3;

Member MakeMember(std::size_t number, std::size_t data_centres) {
  Member member;
  member.ip = fmt::format("10.{}.{}.{}", number % data_centres + 1,
                          number / 200, number % 200 + 1);
  member.vm = member.ip;
  member.data_centre = fmt::format("hal-{}", number % data_centres + 1);
  member.region = "dk-sjaelland";
  member.http_port = 8227;
  member.control_port = 7341;
  member.gossip_port = 7340;
  member.forward_port = 7342;
  member.boot_id = 1764885600000 + number;
  return member;
}

}  // namespace

MembershipSimulation::MembershipSimulation(
    MembershipSimulationSettings settings)
    : settings(settings), random(settings.seed) {
  this->nodes.resize(settings.vms);
  this->store.resize(settings.vms);
  for (std::size_t i = 0; i < settings.vms; ++i) {
    Node& node = this->nodes[i];
    node.self = MakeMember(i, settings.data_centres);
    node.slow = this->random.Chance(settings.slow_share);
    this->numbers[node.self.vm] = i;
  }
}

void MembershipSimulation::StartFleet() {
  for (std::size_t i = 0; i < this->nodes.size(); ++i) {
    this->now = Instant{} +
                duration_cast<Duration>(this->random.Unit() * kMaxStartDelay);
    this->Start(i);
  }
  this->now = Instant{};
}

void MembershipSimulation::Start(std::size_t vm) {
  Node& node = this->nodes[vm];
  node.running = true;
  ++node.process;
  node.busy_until = this->now;
  node.detector = std::make_unique<membership::Detector>(
      this->settings.detector, node.self, this->random.Next(), this->now);
  if (this->settings.has_store) {
    this->store[vm] = node.self;
    this->ScheduleTimer(EventKind::kList, vm, kListDelay);
  }
  this->ScheduleTimer(EventKind::kTick, vm, milliseconds(1));
  this->ScheduleTimer(EventKind::kSeed, vm, milliseconds(1));
  this->ScheduleTimer(EventKind::kReady, vm, kReadyDelay);
}

void MembershipSimulation::Kill(std::size_t vm) {
  this->nodes[vm].running = false;
}

void MembershipSimulation::Restart(std::size_t vm) {
  this->nodes[vm].self.boot_id += 100000;
  this->Start(vm);
}

void MembershipSimulation::Leave(std::size_t vm) {
  this->Run(vm, [this](membership::Detector& detector) {
    Member self = detector.Self();
    self.status = Status::kLeaving;
    self.entry_up = false;
    return detector.UpdateSelf(self, this->now);
  });
  this->Run(vm, [this](membership::Detector& detector) {
    return detector.Announce(kAnnounceFanout, this->now);
  });
}

void MembershipSimulation::Schedule(Event event, Duration delay) {
  event.at = this->now + delay;
  event.number = this->next_number++;
  event.process = this->nodes[event.vm].process;
  this->events.push(std::move(event));
}

void MembershipSimulation::ScheduleTimer(EventKind kind,
                                         std::size_t vm,
                                         Duration delay) {
  Event event;
  event.kind = kind;
  event.vm = vm;
  this->Schedule(std::move(event), delay);
}

void MembershipSimulation::RunFor(Duration duration) {
  const Instant end = this->now + duration;
  const auto running =
      std::count_if(this->nodes.begin(), this->nodes.end(),
                    [](const Node& node) { return node.running; });
  this->vm_seconds += static_cast<double>(running) * ToSeconds(duration);
  while (!this->events.empty() && this->events.top().at <= end) {
    const Event event = this->events.top();
    this->events.pop();
    this->now = std::max(this->now, event.at);
    const Node& node = this->nodes[event.vm];
    if (node.running && node.process == event.process) {
      this->Handle(event);
    }
  }
  this->now = end;
}

void MembershipSimulation::Handle(const Event& event) {
  Node& node = this->nodes[event.vm];
  if (node.slow && !event.handled_late) {
    // One after the other; some of the time several wait together.
    if (node.busy_until <= this->now) {
      node.busy_until =
          this->now + duration_cast<Duration>(this->random.Unit() *
                                              this->settings.max_lateness);
    }
    Event late = event;
    late.handled_late = true;
    this->Schedule(late, node.busy_until - this->now);
    return;
  }
  switch (event.kind) {
    case EventKind::kDatagram:
      this->Run(event.vm, [&](membership::Detector& detector) {
        return detector.OnMessage(*event.message, this->now);
      });
      break;
    case EventKind::kTick:
      this->Run(event.vm, [&](membership::Detector& detector) {
        return detector.OnTick(this->now);
      });
      this->ScheduleTimer(EventKind::kTick, event.vm,
                          this->settings.detector.probe_timeout / 2);
      break;
    case EventKind::kSeed:
      for (std::size_t seed = 0; seed < std::min(kSeeds, this->nodes.size());
           ++seed) {
        const Member* known =
            node.detector->Table().Find(this->nodes[seed].self.vm);
        if (seed != event.vm && (known == nullptr || known->boot_id == 0 ||
                                 known->status == Status::kDead)) {
          Member member = this->nodes[seed].self;
          member.boot_id = 0;
          this->Run(event.vm, [&](membership::Detector& detector) {
            return detector.AddSeed(member, this->now);
          });
        }
      }
      this->ScheduleTimer(EventKind::kSeed, event.vm, kSeedPeriod);
      break;
    case EventKind::kList: {
      std::vector<Member> listed;
      for (const auto& member : this->store) {
        if (member) {
          listed.push_back(*member);
        }
      }
      this->Run(event.vm, [&](membership::Detector& detector) {
        return detector.AddListed(listed, this->now);
      });
      this->Run(event.vm, [&](membership::Detector& detector) {
        return detector.Announce(kAnnounceFanout, this->now);
      });
      break;
    }
    case EventKind::kReady:
      this->Run(event.vm, [&](membership::Detector& detector) {
        Member self = detector.Self();
        self.entry_up = true;
        return detector.UpdateSelf(self, this->now);
      });
      this->Run(event.vm, [&](membership::Detector& detector) {
        return detector.Announce(kAnnounceFanout, this->now);
      });
      break;
  }
}

template <class Call>
void MembershipSimulation::Run(std::size_t vm, const Call& call) {
  const Instant before = std::chrono::steady_clock::now();
  const membership::DetectorActions actions = call(*this->nodes[vm].detector);
  this->counters.handling += std::chrono::steady_clock::now() - before;
  this->Apply(vm, actions);
}

void MembershipSimulation::Apply(std::size_t vm,
                                 const membership::DetectorActions& actions) {
  for (const membership::DetectorAction& action : actions) {
    if (const auto* send = std::get_if<membership::SendGossip>(&action)) {
      this->Send(vm, *send);
    } else if (const auto* change =
                   std::get_if<membership::MemberChanged>(&action)) {
      this->CountChange(vm, *change);
    }
  }
}

void MembershipSimulation::Send(std::size_t from,
                                const membership::SendGossip& send) {
  const std::size_t bytes = rpc::EncodeGossip(send.message).size();
  ++this->counters.datagrams;
  this->counters.bytes += bytes;
  this->counters.max_datagram_bytes =
      std::max<std::uint64_t>(this->counters.max_datagram_bytes, bytes);
  const auto to = this->numbers.find(send.to.vm);
  if (to == this->numbers.end() || this->IsCut(from, to->second) ||
      this->random.Chance(this->settings.loss)) {
    return;
  }
  Event event;
  event.kind = EventKind::kDatagram;
  event.vm = to->second;
  event.message =
      std::make_shared<const membership::GossipMessage>(send.message);
  const Duration range = this->settings.max_delay - this->settings.min_delay;
  this->Schedule(std::move(event),
                 this->settings.min_delay +
                     duration_cast<Duration>(this->random.Unit() * range));
}

void MembershipSimulation::CountChange(
    std::size_t vm,
    const membership::MemberChanged& change) {
  ++this->counters.changes;
  const std::size_t about = this->numbers.at(change.member.vm);
  if (change.origin != ChangeOrigin::kOwn || about == vm) {
    return;
  }
  const Node& node = this->nodes[about];
  const bool runs = node.running && !this->IsCut(vm, about) &&
                    node.self.boot_id <= change.member.boot_id;
  if (runs && change.member.status == Status::kDead) {
    ++this->counters.false_deaths;
  } else if (runs && change.member.status == Status::kSuspect) {
    ++this->counters.false_suspicions;
  }
}

bool MembershipSimulation::IsCut(std::size_t a, std::size_t b) const {
  return this->side.contains(a) != this->side.contains(b);
}

double MembershipSimulation::ReadyShare() const {
  std::size_t pairs = 0;
  std::size_t ready = 0;
  for (const Node& node : this->nodes) {
    if (!node.running) {
      continue;
    }
    for (const Node& other : this->nodes) {
      if (!other.running) {
        continue;
      }
      ++pairs;
      const Member* member = node.detector->Table().Find(other.self.vm);
      ready += member != nullptr && member->status == Status::kAlive &&
                       member->entry_up
                   ? 1
                   : 0;
    }
  }
  return pairs == 0 ? 0
                    : static_cast<double>(ready) / static_cast<double>(pairs);
}

double MembershipSimulation::KnownDeadShare(std::size_t vm) const {
  std::size_t running = 0;
  std::size_t know = 0;
  for (const Node& node : this->nodes) {
    if (!node.running) {
      continue;
    }
    ++running;
    const Member* member = node.detector->Table().Find(this->nodes[vm].self.vm);
    know += member == nullptr || member->status == Status::kDead ? 1 : 0;
  }
  return running == 0
             ? 0
             : static_cast<double>(know) / static_cast<double>(running);
}

std::size_t MembershipSimulation::PresentAt(std::size_t vm) const {
  return this->nodes[vm].detector->Table().AliveCount();
}

double MembershipSimulation::VmHours() const {
  return this->vm_seconds / 3600;
}

}  // namespace chervilpass
