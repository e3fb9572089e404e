// Tests of rendezvous hashing, the failure detector, the loss guard and the
// fleet view.
#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

#include "chervilpass/membership/detector.h"
#include "chervilpass/membership/fleet_view.h"
#include "chervilpass/membership/loss_guard.h"
#include "chervilpass/membership/member_table.h"
#include "chervilpass/membership/rendezvous.h"
#include "chervilpass/membership/suspicion.h"
#include "chervilpass/membership/update_queue.h"

using namespace chervilpass;
using namespace chervilpass::membership;

namespace {

Member MakeMember(int number, const std::string& region = "r") {
  Member member;
  member.vm = "vm-" + std::to_string(number);
  member.data_centre = "dc";
  member.region = region;
  member.ip = "127.0.0.1";
  member.boot_id = 1;
  member.dispatch_up = true;
  return member;
}

// What an earlier build sends of a message, or reads of it.
GossipMessage AsOfEarlierBuild(GossipMessage message) {
  message.updates.clear();
  message.table_digest = 0;
  message.bucket_digests.reset();
  message.listed_buckets = 0;
  message.wanted.clear();
  message.pass_on = false;
  return message;
}

// Simulated network of nodes that exchange datagrams in memory. Deterministic
// for a seed.
class Network {
 public:
  explicit Network(int nodes, std::uint64_t seed = 1) : random(seed) {
    for (int i = 0; i < nodes; ++i) {
      this->Add(i, 1);
    }
  }

  void Add(int number, std::uint64_t boot_id) {
    Member self = MakeMember(number);
    self.boot_id = boot_id;
    const std::string vm = self.vm;
    this->nodes.erase(vm);
    this->nodes.emplace(
        vm, Detector(DetectorSettings{}, self, this->random.Next(), this->now));
    if (number != 0) {
      Member seed = MakeMember(0);
      seed.boot_id = 0;
      this->Apply(vm, this->nodes.at(vm).AddSeed(seed, this->now));
    }
  }

  void RunFor(Duration duration) {
    const Instant end = this->now + duration;
    while (this->now < end) {
      this->now += milliseconds(10);
      for (auto& [vm, node] : this->nodes) {
        if (!this->frozen.contains(vm)) {
          this->Apply(vm, node.OnTick(this->now));
        }
      }
      this->Deliver();
    }
  }

  void Apply(const std::string& from, const DetectorActions& actions) {
    for (const DetectorAction& action : actions) {
      if (const auto* send = std::get_if<SendGossip>(&action)) {
        this->datagrams_sent += 1;
        this->queue.push_back({from, send->to.vm, send->message});
      } else if (const auto* received = std::get_if<StrikeReceived>(&action)) {
        this->strikes[from].insert(received->strike.fingerprint);
      } else if (const auto* cleared =
                     std::get_if<ClearanceReceived>(&action)) {
        this->clearances[from].insert(cleared->clearance.fingerprint);
      } else if (const auto* notice = std::get_if<LeavingReceived>(&action)) {
        this->leaving[from].insert(notice->notice.backend);
      } else if (const auto* departure =
                     std::get_if<DepartureReceived>(&action)) {
        this->departures[from].insert(departure->notice.started.milliseconds);
      }
    }
  }

  Status StatusAt(const std::string& observer, const std::string& vm) {
    for (const Member& member : this->nodes.at(observer).Members()) {
      if (member.vm == vm) {
        return member.status;
      }
    }
    return Status::kDead;
  }

  bool AllSeeAllAlive() {
    for (auto& [observer, node] : this->nodes) {
      if (node.Members().size() != this->nodes.size()) {
        return false;
      }
      for (const Member& member : node.Members()) {
        if (member.status != Status::kAlive) {
          return false;
        }
      }
    }
    return true;
  }

  /// Run an earlier build, which knows whole records of members only.
  std::set<std::string> earlier_builds;
  std::set<std::string> frozen;
  std::set<std::string> side_a;  // partitioned from the rest if not empty
  double loss = 0;
  Random random;
  Instant now{};
  std::map<std::string, Detector> nodes;
  std::map<std::string, std::set<std::uint64_t>> strikes;
  std::map<std::string, std::set<std::uint64_t>> clearances;
  std::map<std::string, std::set<std::string>> leaving;
  std::map<std::string, std::set<std::int64_t>> departures;  ///< by start
  std::uint64_t datagrams_sent = 0;

 private:
  struct Datagram {
    std::string from;
    std::string to;
    GossipMessage message;
  };

  void Deliver() {
    for (int round = 0; round < 20 && !this->queue.empty(); ++round) {
      const Datagram datagram = this->queue.front();
      this->queue.pop_front();
      round = 0;
      const auto node = this->nodes.find(datagram.to);
      const bool cut = this->side_a.contains(datagram.from) !=
                       this->side_a.contains(datagram.to);
      if (node == this->nodes.end() || cut ||
          this->frozen.contains(datagram.to) ||
          this->random.Chance(this->loss)) {
        continue;
      }
      const bool has_updates = !this->earlier_builds.contains(datagram.from) &&
                               !this->earlier_builds.contains(datagram.to);
      this->Apply(datagram.to,
                  node->second.OnMessage(
                      has_updates ? datagram.message
                                  : AsOfEarlierBuild(datagram.message),
                      this->now));
    }
  }

  std::deque<Datagram> queue;
};

}  // namespace

Test(rendezvous, removing_a_candidate_moves_only_its_keys) {
  std::vector<std::string> vms;
  for (int i = 0; i < 20; ++i) {
    vms.push_back("vm-" + std::to_string(i));
  }
  std::vector<std::string> remaining(vms.begin() + 1, vms.end());
  int moved = 0;
  for (std::uint64_t key = 0; key < 1000; ++key) {
    const std::string before = RendezvousOrder(vms, key).front();
    const std::string after = RendezvousOrder(remaining, key).front();
    if (before != vms[0]) {
      cr_assert(before == after);
    } else {
      ++moved;
    }
  }
  cr_assert_gt(moved, 20);
  cr_assert_lt(moved, 100);
}

Test(rendezvous, order_does_not_depend_on_input_order) {
  cr_assert(RendezvousOrder({"a", "b", "c"}, 7) ==
            RendezvousOrder({"c", "a", "b"}, 7));
}

Test(detector, all_nodes_discover_each_other) {
  Network network(20);
  network.RunFor(seconds(10));
  cr_assert(network.AllSeeAllAlive());
}

Test(detector, a_killed_node_is_declared_dead_by_all_within_nine_seconds) {
  Network network(9);
  network.RunFor(seconds(10));
  network.frozen.insert("vm-4");
  // Detection takes two probe periods on average; the suspicion timeout and the
  // dissemination follow.
  network.RunFor(seconds(9));
  for (int i = 0; i < 9; ++i) {
    if (i != 4) {
      const std::string vm = "vm-" + std::to_string(i);
      cr_assert(network.StatusAt(vm, "vm-4") == Status::kDead, "%s",
                vm.c_str());
    }
  }
}

Test(detector, a_frozen_node_that_resumes_rejoins) {
  Network network(9);
  network.RunFor(seconds(10));
  network.frozen.insert("vm-4");
  network.RunFor(seconds(20));
  network.frozen.clear();
  network.RunFor(seconds(20));
  cr_assert(network.AllSeeAllAlive());
}

Test(detector, no_node_is_declared_dead_at_five_percent_loss) {
  Network network(12, 3);
  network.RunFor(seconds(10));
  network.loss = 0.05;
  network.RunFor(seconds(60));
  network.loss = 0;
  network.RunFor(seconds(10));
  cr_assert(network.AllSeeAllAlive());
}

Test(detector, partitioned_sides_rejoin_after_the_partition) {
  Network network(12);
  network.RunFor(seconds(10));
  for (int i = 0; i < 5; ++i) {
    network.side_a.insert("vm-" + std::to_string(i));
  }
  network.RunFor(seconds(60));
  cr_assert(network.StatusAt("vm-1", "vm-9") == Status::kDead);
  cr_assert(network.StatusAt("vm-9", "vm-1") == Status::kDead);
  network.side_a.clear();
  network.RunFor(seconds(60));
  cr_assert(network.AllSeeAllAlive());
}

Test(detector, a_restarted_node_supersedes_its_earlier_boot) {
  Network network(6);
  network.RunFor(seconds(10));
  network.Add(3, 2);
  network.RunFor(seconds(10));
  cr_assert(network.AllSeeAllAlive());
  for (const Member& member : network.nodes.at("vm-1").Members()) {
    if (member.vm == "vm-3") {
      cr_assert_eq(member.boot_id, 2);
    }
  }
}

Test(detector, a_leaving_node_is_not_reported_as_failed) {
  Network network(6);
  network.RunFor(seconds(10));
  Member self = network.nodes.at("vm-2").Self();
  self.status = Status::kLeaving;
  network.Apply("vm-2", network.nodes.at("vm-2").UpdateSelf(self, network.now));
  network.RunFor(seconds(3));
  cr_assert(network.StatusAt("vm-5", "vm-2") == Status::kLeaving);
}

Test(detector, strikes_and_leaving_notices_reach_all_nodes_at_once) {
  Network network(30);
  network.RunFor(seconds(15));
  network.Apply("vm-3", network.nodes.at("vm-3").AddStrikes({{42, "w", {}}}));
  network.Apply("vm-3", network.nodes.at("vm-3").AddLeaving({"backend", {1}}));
  network.RunFor(milliseconds(10));
  cr_assert_eq(network.strikes.size(), 30);
  cr_assert_eq(network.leaving.size(), 30);
}

// Guards against VMs that hear of the departure of a server's start late, not
// at all, or not because an earlier start has left too.
Test(detector, departures_of_each_start_reach_all_nodes_at_once) {
  Network network(30);
  network.RunFor(seconds(15));
  const auto add = [&network](const char* vm, std::int64_t started) {
    network.Apply(
        vm, network.nodes.at(vm).AddDeparture({"backend", {started}, {1}}));
  };
  add("vm-3", 1000);
  network.RunFor(milliseconds(10));
  cr_assert_eq(network.departures.size(), 30);
  add("vm-4", 2000);
  network.RunFor(milliseconds(10));
  for (const auto& [vm, starts] : network.departures) {
    cr_assert(starts == std::set<std::int64_t>({1000, 2000}), "%s", vm.c_str());
  }
  // A VM that knows already sends nothing to all members again.
  const auto sent = network.datagrams_sent;
  add("vm-5", 2000);
  cr_assert_eq(network.datagrams_sent, sent);
}

// A crash under many requests is sent in few datagrams.
Test(detector, strikes_of_one_crash_reach_all_nodes_in_few_datagrams) {
  Network network(30);
  network.RunFor(seconds(15));
  std::vector<quarantine::Strike> strikes;
  for (std::uint64_t fingerprint = 1; fingerprint <= 40; ++fingerprint) {
    strikes.push_back({fingerprint, "w", {}});
  }
  const std::uint64_t before = network.datagrams_sent;
  const DetectorActions actions = network.nodes.at("vm-3").AddStrikes(strikes);
  network.Apply("vm-3", actions);
  cr_assert_leq(network.datagrams_sent - before, 29 * 5);
  network.RunFor(milliseconds(10));
  for (const auto& [vm, received] : network.strikes) {
    cr_assert_eq(received.size(), 40, "%s", vm.c_str());
  }
  network.Apply("vm-4", network.nodes.at("vm-4").AddClearance({7, {1}}));
  network.RunFor(milliseconds(10));
  cr_assert_eq(network.clearances.size(), 30);
}

// Answers of all members would cost several times as many bytes as the news.
Test(detector, news_to_all_members_have_no_answers) {
  Network network(30);
  network.RunFor(seconds(15));
  const DetectorActions actions =
      network.nodes.at("vm-3").AddStrikes({{42, "w", {}}});
  std::size_t sent = 0;
  for (const DetectorAction& action : actions) {
    const auto* send = std::get_if<SendGossip>(&action);
    if (send == nullptr) {
      continue;
    }
    ++sent;
    const DetectorActions answers =
        network.nodes.at(send->to.vm).OnMessage(send->message, network.now);
    cr_assert_eq(answers.size(), 1);
    cr_assert(std::holds_alternative<StrikeReceived>(answers.front()));
  }
  cr_assert_eq(sent, 29);
}

// A request may get strikes and complete several times a second.
Test(detector, a_clearance_soon_after_another_reaches_all_nodes_at_once) {
  Network network(30);
  network.RunFor(seconds(15));
  network.Apply("vm-4", network.nodes.at("vm-4").AddClearance({7, {1}}));
  network.RunFor(milliseconds(10));
  cr_assert_eq(network.clearances.size(), 30);
  network.clearances.clear();
  network.Apply("vm-5", network.nodes.at("vm-5").AddClearance({7, {2}}));
  network.RunFor(milliseconds(10));
  cr_assert_eq(network.clearances.size(), 30);
}

// Guards against a VM that does not know of crashes before it joined.
Test(detector, a_node_that_joins_later_receives_the_strikes) {
  Network network(5);
  network.RunFor(seconds(5));
  network.Apply("vm-1", network.nodes.at("vm-1").AddStrikes({{42, "w", {}}}));
  network.RunFor(seconds(5));
  Member late = network.nodes.at("vm-1").Self();
  late.vm = "vm-late";
  late.ip = "10.0.0.99";
  network.nodes.emplace(late.vm, Detector({}, late, 99, network.now));
  network.Apply(late.vm, network.nodes.at(late.vm).AddSeed(
                             network.nodes.at("vm-1").Self(), network.now));
  network.RunFor(seconds(1));
  cr_assert(network.strikes["vm-late"].contains(42));
}

// Many VMs detect the same dead backend server at about the same time.
Test(detector, a_repeated_unreachable_notice_is_not_sent_to_all_again) {
  Network network(30);
  network.RunFor(seconds(15));
  const auto sends = [&network](const std::string& vm, std::int64_t at) {
    const DetectorActions actions =
        network.nodes.at(vm).AddUnreachable({"backend", {at}});
    const auto count =
        std::count_if(actions.begin(), actions.end(), [](const auto& action) {
          return std::holds_alternative<SendGossip>(action);
        });
    network.Apply(vm, actions);
    return count;
  };
  cr_assert_eq(sends("vm-3", 1000), 29);
  network.RunFor(milliseconds(10));
  cr_assert_eq(sends("vm-4", 1200), 0);
  cr_assert_eq(sends("vm-3", 1400), 0);
  // Still unreachable more than a second later: sent to all again.
  cr_assert_eq(sends("vm-4", 2500), 29);
}

Test(detector, messages_per_node_do_not_grow_with_the_fleet_size) {
  const auto messages_per_node = [](int nodes) {
    Network network(nodes);
    network.RunFor(seconds(20));
    const std::uint64_t before = network.datagrams_sent;
    network.RunFor(seconds(20));
    return static_cast<double>(network.datagrams_sent - before) / nodes;
  };
  cr_assert_lt(messages_per_node(40), 1.2 * messages_per_node(10));
}

// While VMs are upgraded one after the other, two builds run side by side.
Test(detector, earlier_builds_and_this_one_know_all_members_and_deaths) {
  Network network(0, 5);
  for (int i = 0; i < 14; i += 2) {
    network.earlier_builds.insert("vm-" + std::to_string(i));
  }
  for (int i = 0; i < 14; ++i) {
    network.Add(i, 1);
  }
  network.RunFor(seconds(15));
  cr_assert(network.AllSeeAllAlive());
  network.frozen = {"vm-4", "vm-5"};
  network.RunFor(seconds(15));
  for (int i = 0; i < 14; ++i) {
    const std::string vm = "vm-" + std::to_string(i);
    if (!network.frozen.contains(vm)) {
      cr_assert(network.StatusAt(vm, "vm-4") == Status::kDead, "%s",
                vm.c_str());
      cr_assert(network.StatusAt(vm, "vm-5") == Status::kDead, "%s",
                vm.c_str());
    }
  }
  network.frozen.clear();
  network.RunFor(seconds(20));
  cr_assert(network.AllSeeAllAlive());
  network.Apply("vm-3", network.nodes.at("vm-3").AddStrikes({{42, "w", {}}}));
  network.Apply("vm-2", network.nodes.at("vm-2").AddStrikes({{43, "w", {}}}));
  network.RunFor(milliseconds(10));
  for (const auto& [vm, received] : network.strikes) {
    cr_assert_eq(received.size(), 2, "%s", vm.c_str());
  }
}

Test(member_table, digests_are_equal_exactly_if_tables_agree) {
  MemberTable a(MakeMember(0));
  MemberTable b(MakeMember(1));
  a.Put(MakeMember(1));
  b.Put(MakeMember(0));
  cr_assert_eq(a.Digest(), b.Digest());
  for (int i = 2; i < 100; ++i) {
    a.Put(MakeMember(i));
  }
  for (int i = 99; i >= 2; --i) {
    b.Put(MakeMember(i));
  }
  cr_assert_eq(a.Digest(), b.Digest());
  cr_assert(a.Buckets() == b.Buckets());
  Member changed = MakeMember(42);
  changed.entry_up = true;
  b.Put(changed);
  cr_assert_neq(a.Digest(), b.Digest());
  std::size_t different = 0;
  for (std::size_t i = 0; i < kTableBuckets; ++i) {
    different += a.Buckets()[i] != b.Buckets()[i] ? 1 : 0;
  }
  cr_assert_eq(different, 1);
  a.Put(changed);
  cr_assert_eq(a.Digest(), b.Digest());
  // Dead members are forgotten at different times.
  changed.status = Status::kDead;
  a.Put(changed);
  b.Remove(changed.vm);
  cr_assert_eq(a.Digest(), b.Digest());
  cr_assert_eq(a.AliveCount(), 99);
  cr_assert_eq(b.AliveCount(), 99);
  cr_assert_null(b.Find(changed.vm));
  cr_assert_eq(b.Find("vm-99")->vm, "vm-99");
}

Test(update_queue, refutations_and_new_changes_go_first) {
  UpdateQueue queue;
  queue.Push("a", UpdatePriority::kNormal);
  queue.Push("b", UpdatePriority::kNormal);
  cr_assert(queue.Take(1, 3) == std::vector<std::string>{"b"});
  queue.Push("c", UpdatePriority::kNormal);
  queue.Push("r", UpdatePriority::kRefutation);
  cr_assert(queue.Take(2, 3) == (std::vector<std::string>{"r", "c"}));
  cr_assert(queue.Take(9, 3) == (std::vector<std::string>{"r", "a", "c", "b"}));
  cr_assert(queue.Take(9, 3) == (std::vector<std::string>{"r", "a", "c", "b"}));
  cr_assert(queue.Take(9, 3) == std::vector<std::string>{"a"});
  cr_assert_eq(queue.Size(), 0);
  queue.Push("a", UpdatePriority::kNormal);
  queue.Push("a", UpdatePriority::kNormal);
  cr_assert_eq(queue.Size(), 1);
  queue.Remove("a");
  cr_assert_eq(queue.Size(), 0);
}

Test(suspicion, each_confirmation_shortens_the_timeout) {
  const SuspicionSettings settings{seconds(1), seconds(3), 2};
  const Instant start{};
  Suspicion suspicion(settings, 100, 7, start);
  cr_assert(suspicion.Deadline() == start + seconds(3));
  cr_assert_not(suspicion.Confirm(7));
  cr_assert_not(suspicion.Confirm(0));
  cr_assert(suspicion.Confirm(8));
  cr_assert_lt(suspicion.Deadline(), start + seconds(2));
  cr_assert(suspicion.Confirm(9));
  cr_assert(suspicion.Deadline() == start + seconds(1));
  cr_assert_not(suspicion.Confirm(10));
  suspicion.Extend(milliseconds(500));
  cr_assert(suspicion.Deadline() == start + milliseconds(1500));
  // In a fleet of two no other VM can confirm it.
  cr_assert(Suspicion(settings, 0, 7, start).Deadline() == start + seconds(1));
}

// Guards against VMs that take no forwarded requests because an earlier build
// has dropped fields of their records. Identities compare in both orders.
Test(detector, fields_that_an_earlier_build_drops_are_kept_and_restored) {
  for (std::uint16_t port = 7000; port < 7016; ++port) {
    Member stripped = MakeMember(1);
    Member own = stripped;
    own.forward_port = port;
    own.cut_off = true;
    Detector node({}, MakeMember(0), 1, {});
    const auto receive = [&](const char* from, const Member& record) {
      GossipMessage message;
      message.sequence = 1;
      message.from = from;
      message.members = {record};
      node.OnMessage(message, {});
      return *node.Table().Find(own.vm);
    };
    receive("vm-2", stripped);
    cr_assert(receive("vm-1", own) == own, "restored, port %u", port);
    cr_assert(receive("vm-2", stripped) == own, "kept, port %u", port);
    stripped.incarnation = own.incarnation = 1;
    cr_assert(receive("vm-2", stripped).forward_port == port);
    cr_assert(receive("vm-3", own) == own, "completed, port %u", port);
  }
}

// A VM that was stalled finds answers in its socket afterwards.
Test(detector, a_stalled_node_suspects_no_one) {
  Network network(9);
  network.RunFor(seconds(10));
  network.RunFor(milliseconds(100));
  network.frozen.insert("vm-4");
  network.RunFor(milliseconds(700));
  network.frozen.clear();
  Detector& stalled = network.nodes.at("vm-4");
  for (const DetectorAction& action : stalled.OnTick(network.now)) {
    cr_assert_not(std::holds_alternative<MemberChanged>(action));
  }
}

// A VM that hears from no one cannot tell whether the others have ended.
Test(detector, a_node_without_links_waits_before_it_suspects_others) {
  Network network(9);
  network.RunFor(seconds(10));
  network.side_a = {"vm-4"};
  network.RunFor(milliseconds(900));
  for (const Member& member : network.nodes.at("vm-4").Members()) {
    cr_assert(member.status == Status::kAlive, "%s", member.vm.c_str());
  }
  network.RunFor(seconds(20));
  cr_assert(network.StatusAt("vm-4", "vm-1") == Status::kDead);
}

Test(loss_guard, a_single_loss_is_not_held) {
  LossGuard guard({});
  guard.OnDead("a", Instant{});
  cr_assert(guard.HeldMembers(9, Instant{}).empty());
}

Test(loss_guard, a_sudden_loss_of_many_members_is_held_for_the_hold_time) {
  LossGuard guard({});
  const Instant start{};
  for (const char* vm : {"a", "b", "c", "d"}) {
    guard.OnDead(vm, start);
  }
  cr_assert_eq(guard.HeldMembers(9, start + seconds(1)).size(), 4);
  guard.OnAlive("a");
  cr_assert_eq(guard.HeldMembers(9, start + seconds(1)).size(), 0);
  guard.OnDead("a", start + seconds(2));
  cr_assert_eq(guard.HeldMembers(9, start + seconds(3)).size(), 4);
  cr_assert_eq(guard.HeldMembers(9, start + seconds(60)).size(), 0);
}

Test(view, dispatchers_are_nearest_first_and_neither_dead_nor_leaving) {
  FleetView view;
  for (int i = 0; i < 4; ++i) {
    view.members.push_back(MakeMember(i));
  }
  view.members[0].data_centre = "other";
  view.members[1].status = Status::kDead;
  view.members[2].status = Status::kLeaving;
  cr_assert(view.Dispatchers("dc", "r") == std::vector<std::string>{"vm-3"});
  cr_assert(view.Dispatchers("none", "r") ==
            (std::vector<std::string>{"vm-0", "vm-3"}));
  view.members[3].dispatch_up = false;
  cr_assert(view.Dispatchers("dc", "r") == std::vector<std::string>{"vm-0"});
}
