// Simulates the gossip of a whole fleet without network or clocks: datagrams
// take time and get lost, slow VMs handle them late, VMs stop, start again and
// are cut off. Deterministic for a seed.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "chervilpass/membership/detector.h"

namespace chervilpass {

/// Settings of a MembershipSimulation.
struct MembershipSimulationSettings {
  std::size_t vms = 9;
  std::size_t data_centres = 3;
  membership::DetectorSettings detector;
  Duration min_delay = microseconds(200);  ///< of a datagram
  Duration max_delay = microseconds(1500);
  double loss = 0;        ///< probability that a datagram is lost
  double slow_share = 0;  ///< of the VMs
  /// Slow VMs handle datagrams and timers late by up to this long, one after
  /// the other.
  Duration max_lateness = milliseconds(400);
  bool has_store = true;  ///< VMs list each other there at their start
  std::uint64_t seed = 1;
};

/// What the VMs believed and sent.
struct MembershipCounters {
  std::uint64_t false_deaths = 0;  ///< declared by a VM, not those passed on
  std::uint64_t false_suspicions = 0;
  std::uint64_t datagrams = 0;
  std::uint64_t bytes = 0;
  std::uint64_t max_datagram_bytes = 0;
  std::uint64_t changes = 0;  ///< records accepted, over all VMs
  Duration handling{0};       ///< processor time in the detectors
};

/// Not thread-safe.
class MembershipSimulation {
 public:
  explicit MembershipSimulation(MembershipSimulationSettings settings);

  /// Starts all VMs within 0.3 s.
  void StartFleet();

  void RunFor(Duration duration);

  /// Ends a VM without notice.
  void Kill(std::size_t vm);

  /// Starts a VM again as a new process.
  void Restart(std::size_t vm);

  /// A VM says that it leaves.
  void Leave(std::size_t vm);

  /// VMs of the set and the others do not reach each other; empty: all do.
  void Partition(std::set<std::size_t> side) { this->side = std::move(side); }

  void SetLoss(double loss) { this->settings.loss = loss; }

  /// Share of pairs of running VMs of which the first has the second one as
  /// present and ready.
  double ReadyShare() const;

  /// Share of the running VMs that have `vm` as dead.
  double KnownDeadShare(std::size_t vm) const;

  /// Number of VMs that are present in the table of `vm`.
  std::size_t PresentAt(std::size_t vm) const;

  const MembershipCounters& Counters() const { return this->counters; }
  void ResetCounters() { this->counters = {}; }

  /// Hours that all running VMs together have run since the last reset.
  double VmHours() const;

  Instant Now() const { return this->now; }

 private:
  struct Node {
    std::unique_ptr<membership::Detector> detector;
    membership::Member self;
    bool running = false;
    bool slow = false;
    std::uint64_t process = 0;  ///< increases with each start
    Instant busy_until{};       ///< of a slow VM
  };
  enum class EventKind { kDatagram, kTick, kSeed, kList, kReady };
  struct Event {
    Instant at;
    std::uint64_t number = 0;  ///< order of events at the same time
    EventKind kind = EventKind::kTick;
    std::size_t vm = 0;
    std::uint64_t process = 0;
    std::shared_ptr<const membership::GossipMessage> message;
    bool handled_late = false;

    bool operator>(const Event& other) const {
      return this->at != other.at ? this->at > other.at
                                  : this->number > other.number;
    }
  };

  void Schedule(Event event, Duration delay);
  void ScheduleTimer(EventKind kind, std::size_t vm, Duration delay);
  void Handle(const Event& event);
  void Start(std::size_t vm);
  void Apply(std::size_t vm, const membership::DetectorActions& actions);
  void Send(std::size_t from, const membership::SendGossip& send);
  void CountChange(std::size_t vm, const membership::MemberChanged& change);
  bool IsCut(std::size_t a, std::size_t b) const;
  template <class Call>
  void Run(std::size_t vm, const Call& call);

  MembershipSimulationSettings settings;
  Random random;
  Instant now{};
  std::vector<Node> nodes;
  std::map<std::string, std::size_t> numbers;  ///< by VM
  std::vector<std::optional<membership::Member>> store;
  std::set<std::size_t> side;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t next_number = 0;
  MembershipCounters counters;
  double vm_seconds = 0;
};

}  // namespace chervilpass
