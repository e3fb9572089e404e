// Tests of address lists, relays and the state that they send to followers, the
// decider claim, and the schedule of load gossip.
#include <fmt/format.h>

#include <map>
#include <optional>

#include "chervilpass/core/random.h"
#include "chervilpass/fleet/address_list.h"
#include "chervilpass/fleet/decider_claim.h"
#include "chervilpass/fleet/load_gossip_schedule.h"
#include "chervilpass/fleet/peer_state.h"
#include "chervilpass/fleet/relays.h"

// Last: its macros clash with headers of Boost.
#include <criterion/criterion.h>

using namespace chervilpass;
using namespace chervilpass::fleet;
using membership::Member;
using membership::Status;

namespace {

Member MemberOf(const std::string& ip, const std::string& data_centre) {
  Member member;
  member.vm = ip;
  member.ip = ip;
  member.data_centre = data_centre;
  member.http_port = 7000;
  member.boot_id = 1;
  member.entry_up = true;
  member.store_up = true;
  return member;
}

constexpr Instant kStart{};

platform::StoredObject Object(const std::string& name, std::uint64_t revision) {
  return {name, revision, false, boost::json::value(revision)};
}

}  // namespace

Test(relays, one_vm_of_each_data_centre_is_relay_once_the_store_responds) {
  std::vector<Member> members = {MemberOf("10.0.0.1", "a"),
                                 MemberOf("10.0.0.2", "a"),
                                 MemberOf("10.0.0.3", "b")};
  cr_assert(IsRelay(members, "10.0.0.1", FleetPhase::kSteady));
  cr_assert(!IsRelay(members, "10.0.0.2", FleetPhase::kSteady));
  cr_assert(IsRelay(members, "10.0.0.3", FleetPhase::kSteady));
  // The next one takes over from one that is dead, suspected, or refused by the
  // store.
  for (int fault = 0; fault < 3; ++fault) {
    auto changed = members;
    changed[0].store_up = fault != 0;
    changed[0].status = fault == 1   ? Status::kDead
                        : fault == 2 ? Status::kSuspect
                                     : Status::kAlive;
    cr_assert(IsRelay(changed, "10.0.0.2", FleetPhase::kSteady), "fault %d",
              fault);
  }
  // While a fleet starts no member has reached the store yet.
  for (Member& member : members) {
    member.store_up = false;
  }
  cr_assert(IsRelay(members, "10.0.0.1", FleetPhase::kStarting));
  cr_assert(!IsRelay(members, "10.0.0.2", FleetPhase::kStarting));
  cr_assert(IsRelay(members, "10.0.0.2", FleetPhase::kSteady));
  for (Member& member : members) {
    member.store_up = true;
  }
  const auto relays = RelaysFor(members, "10.0.0.2");
  cr_assert_eq(relays.size(), 2);
  cr_assert(relays[0].vm == "10.0.0.1");
}

// A follower that polls a relay after any sequence of changes, full listings
// and lost responses ends up with the relay's state.
Test(state_log, followers_converge_to_the_state_of_the_relay) {
  for (std::uint64_t seed = 0; seed < 300; ++seed) {
    Random random(seed);
    StateLog relay(4);
    StateLog follower(4);
    std::map<std::string, std::uint64_t> expected;
    std::uint64_t revision = 1;
    relay.ApplyListing({}, revision);
    const auto ask = [&] {
      const PeerState state =
          relay.Since(follower.ConfigRevision(), follower.WorkersRevision());
      const auto received = DecodePeerState(EncodePeerState(state));
      cr_assert(received.has_value() && *received == state);
      if (random.Chance(0.2)) {
        return;  // the response is lost
      }
      if (received->is_full) {
        std::vector<platform::StoredObject> objects;
        for (const auto& change : received->workers) {
          objects.push_back(change.object);
        }
        follower.ApplyListing(objects, received->workers_revision);
      } else {
        cr_assert(follower
                      .ApplyChanges(received->workers,
                                    follower.WorkersRevision(),
                                    received->workers_revision)
                      .has_value());
      }
    };
    for (int step = 0; step < 60; ++step) {
      const std::string name = fmt::format("w{}", random.Below(5));
      const std::uint64_t since = revision;
      ++revision;
      const bool deleted = random.Chance(0.3) && expected.contains(name);
      if (deleted) {
        expected.erase(name);
      } else {
        expected[name] = revision;
      }
      relay.ApplyChanges({{Object(name, revision), deleted}}, since, revision);
      if (random.Chance(0.1)) {
        std::vector<platform::StoredObject> objects;
        for (const auto& [known, at] : expected) {
          objects.push_back(Object(known, at));
        }
        relay.ApplyListing(objects, revision);
      }
      if (random.Chance(0.3)) {
        ask();
      }
    }
    while (follower.WorkersRevision() < relay.WorkersRevision()) {
      ask();
    }
    const PeerState all = follower.Since(0, 0);
    std::map<std::string, std::uint64_t> actual;
    for (const auto& change : all.workers) {
      if (change.deleted) {
        actual.erase(change.object.name);
      } else {
        actual[change.object.name] = change.object.revision;
      }
    }
    cr_assert(actual == expected, "seed %lu", seed);
  }
}

Test(state_log, missing_changes_are_detected) {
  StateLog log(4);
  log.ApplyListing({Object("w", 3)}, 5);
  cr_assert(!log.ApplyChanges({{Object("w", 9), false}}, 8, 9).has_value());
  cr_assert(log.ApplyChanges({{Object("w", 9), false}}, 5, 9).has_value());
  cr_assert(!log.ApplyConfig(Object("main", 0)));
}

Test(address_list, lists_ready_entries_of_the_callers_data_centre) {
  Random random(1);
  std::vector<Member> members = {
      MemberOf("10.0.0.1", "a"), MemberOf("10.0.0.2", "a"),
      MemberOf("10.0.0.3", "a"), MemberOf("10.0.0.4", "b")};
  cr_assert_eq(ListAddresses(members, "a", {}, &random).size(), 3);
  members[0].entry_up = false;
  const auto ready = ListAddresses(members, "a", {}, &random);
  cr_assert_eq(ready.size(), 2);
  members[1].status = Status::kDead;
  // A single entry would be a single point of failure: others are added.
  const auto extended = ListAddresses(members, "a", {}, &random);
  cr_assert_eq(extended.size(), 2);
  cr_assert((extended[0]) == "10.0.0.3:7000");
}

Test(address_list, lists_suspected_entries_only_if_there_are_no_others) {
  Random random(1);
  std::vector<Member> members = {MemberOf("10.0.0.1", "a"),
                                 MemberOf("10.0.0.2", "b")};
  members[0].status = Status::kSuspect;
  cr_assert(ListAddresses(members, "a", {}, &random) ==
            std::vector<std::string>{"10.0.0.2:7000"});
  members[1].status = Status::kLeaving;
  cr_assert(ListAddresses(members, "a", {}, &random) ==
            std::vector<std::string>{"10.0.0.1:7000"});
}

Test(address_list, length_is_limited) {
  Random random(1);
  std::vector<Member> members;
  for (int i = 0; i < 100; ++i) {
    members.push_back(MemberOf(fmt::format("10.0.0.{}", i), "a"));
  }
  cr_assert_eq(ListAddresses(members, "a", {}, &random).size(), 64);
}

Test(decider_claim, first_vm_creates_the_record_and_holds_it) {
  const std::vector<Member> members = {MemberOf("10.0.0.1", "a"),
                                       MemberOf("10.0.0.2", "a")};
  DeciderClaim claim({}, "10.0.0.1", 1, kStart);
  cr_assert(claim.Next(members, kStart) == ClaimAction::kRead);
  claim.OnRead(std::nullopt, kStart);
  cr_assert(claim.Next(members, kStart) == ClaimAction::kCreate);
  claim.OnRead(claim.Proposal(), kStart);
  cr_assert(claim.Holds());
  DeciderClaim other({}, "10.0.0.2", 1, kStart);
  const std::vector<Member> seen = {members[1], members[0]};
  cr_assert(other.Next(seen, kStart) == ClaimAction::kNone);
}

Test(decider_claim, present_holder_is_not_replaced) {
  const std::vector<Member> members = {MemberOf("10.0.0.1", "a"),
                                       MemberOf("10.0.0.2", "a")};
  DeciderClaim claim({}, "10.0.0.1", 1, kStart);
  claim.OnRead(DeciderRecord{"10.0.0.2", 1, 4}, kStart);
  for (int i = 0; i < 100; ++i) {
    cr_assert(claim.Next(members, kStart + seconds(i)) == ClaimAction::kRead);
  }
}

Test(decider_claim, holder_that_died_lost_the_store_or_restarted_is_replaced) {
  for (int fault = 0; fault < 3; ++fault) {
    std::vector<Member> members = {MemberOf("10.0.0.1", "a"),
                                   MemberOf("10.0.0.2", "a")};
    DeciderClaim claim({}, "10.0.0.1", 1, kStart);
    claim.OnRead(DeciderRecord{"10.0.0.2", 1, 4}, kStart);
    if (fault == 0) {
      members[1].status = Status::kDead;
    } else if (fault == 1) {
      members[1].store_up = false;
    } else {
      members[1].boot_id = 2;
    }
    const Instant later = kStart + seconds(10);
    cr_assert(claim.Next(members, later) == ClaimAction::kTakeOver, "fault %d",
              fault);
    cr_assert_eq(claim.Proposal().term, 5);
  }
}

Test(decider_claim, new_vm_waits_before_it_replaces_an_unknown_holder) {
  const std::vector<Member> members = {MemberOf("10.0.0.1", "a")};
  DeciderClaim claim({}, "10.0.0.1", 1, kStart);
  claim.OnRead(DeciderRecord{"10.0.0.2", 1, 4}, kStart);
  cr_assert(claim.Next(members, kStart) == ClaimAction::kRead);
  cr_assert(claim.Next(members, kStart + seconds(2)) == ClaimAction::kTakeOver);
}

// Several VMs share one record with conditional writes. Responses may be lost
// and writes may be late; VMs freeze, restart and lose the store. A VM that
// confirms the claim by a read must be the only holder at that time.
Test(decider_claim, at_most_one_confirmed_holder_in_any_schedule) {
  struct Vm {
    Member member;
    std::optional<DeciderClaim> claim;
    std::uint64_t revision = 0;
    bool frozen = false;
  };
  for (std::uint64_t seed = 0; seed < 2000; ++seed) {
    Random random(seed);
    std::optional<DeciderRecord> stored;
    std::uint64_t revision = 0;
    std::vector<Vm> vms(4);
    for (std::size_t i = 0; i < vms.size(); ++i) {
      vms[i].member = MemberOf(fmt::format("10.0.0.{}", i + 1), "a");
      vms[i].claim.emplace(DeciderClaimSettings{}, vms[i].member.vm, 1, kStart);
    }
    Instant now = kStart;
    for (int step = 0; step < 120; ++step) {
      now += milliseconds(100);
      Vm& vm = vms[random.Below(vms.size())];
      if (random.Chance(0.05)) {
        vm.frozen = !vm.frozen;
      }
      if (random.Chance(0.03)) {
        vm.member.store_up = !vm.member.store_up;
      }
      if (random.Chance(0.02)) {
        ++vm.member.boot_id;
        vm.claim.emplace(DeciderClaimSettings{}, vm.member.vm,
                         vm.member.boot_id, now);
      }
      if (vm.frozen || !vm.member.store_up) {
        continue;
      }
      std::vector<Member> seen = {vm.member};
      for (const Vm& other : vms) {
        if (other.member.vm != vm.member.vm) {
          seen.push_back(other.member);
          if (other.frozen || random.Chance(0.1)) {
            seen.back().status = Status::kDead;
          }
        }
      }
      const ClaimAction action = vm.claim->Next(seen, now);
      if (action == ClaimAction::kNone) {
        continue;
      }
      const bool write =
          action == ClaimAction::kCreate || action == ClaimAction::kTakeOver;
      const bool precondition_holds = action == ClaimAction::kCreate
                                          ? !stored.has_value()
                                          : vm.revision == revision;
      if (write && precondition_holds) {
        stored = vm.claim->Proposal();
        ++revision;
      }
      if (random.Chance(0.2)) {
        continue;  // the response is lost
      }
      vm.claim->OnRead(stored, now);
      vm.revision = revision;
      int holders = 0;
      for (const Vm& other : vms) {
        // Confirmed now: its record is the stored one.
        holders += other.claim->Holds() && stored == other.claim->Record();
      }
      cr_assert_leq(holders, 1, "seed %lu step %d", seed, step);
    }
  }
}

// The fleet is many times larger than the number of datagrams in a round.
Test(load_gossip_schedule, all_peers_are_selected_equally_often_within_rate) {
  std::vector<Member> members;
  for (int i = 0; i < 60; ++i) {
    members.push_back(
        MemberOf(fmt::format("10.0.0.{:03}", i), i < 30 ? "a" : "b"));
  }
  members[5].status = Status::kDead;
  const LoadGossipScheduleSettings settings;
  LoadGossipSchedule schedule(settings, 12345);
  constexpr std::size_t kDatagramBytes = 440;
  constexpr int kRounds = 600;
  std::map<std::string, int> received;
  std::size_t datagrams = 0;
  for (int round = 0; round < kRounds; ++round) {
    const LoadGossipRound next =
        schedule.Next(members, members[0], kDatagramBytes);
    datagrams += next.same_data_centre.size() + next.other_data_centres.size();
    for (const Member& peer : next.same_data_centre) {
      cr_assert_str_eq(peer.data_centre.c_str(), "a");
      ++received[peer.vm];
    }
    for (const Member& peer : next.other_data_centres) {
      cr_assert_str_eq(peer.data_centre.c_str(), "b");
      ++received[peer.vm];
    }
  }
  cr_assert_eq(received.count(members[0].vm), 0);
  cr_assert_eq(received.count(members[5].vm), 0);
  for (int i = 1; i < 60; ++i) {
    if (i != 5) {
      // Five datagrams fit into a round; in every second round one of them goes
      // to the other data centre.
      const int expected = i < 30 ? kRounds * 9 / 2 / 28 : kRounds / 2 / 30;
      cr_assert_leq(std::abs(received[members[i].vm] - expected), 1, "%d", i);
    }
  }
  const double bytes_per_second = static_cast<double>(datagrams) *
                                  kDatagramBytes /
                                  (kRounds * ToSeconds(settings.period));
  cr_assert_leq(bytes_per_second, 8000);
}

Test(load_gossip_schedule, every_round_selects_all_peers_of_a_small_fleet) {
  std::vector<Member> members;
  for (int i = 0; i < 6; ++i) {
    members.push_back(MemberOf(fmt::format("10.0.0.{}", i), i < 3 ? "a" : "b"));
  }
  LoadGossipSchedule schedule({}, 7);
  for (int round = 0; round < 10; ++round) {
    const LoadGossipRound next = schedule.Next(members, members[0], 300);
    cr_assert_eq(next.same_data_centre.size(), 2);
    cr_assert_eq(next.other_data_centres.size(), 3);
  }
}
