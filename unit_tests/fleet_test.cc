// Tests of address lists and of the claim to decide on placement.
#include <criterion/criterion.h>

#include <fmt/format.h>

#include <map>
#include <optional>

#include "chervilpass/core/random.h"
#include "chervilpass/fleet/address_list.h"
#include "chervilpass/fleet/decider_claim.h"

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

}  // namespace

Test(address_list, ready_entries_of_the_callers_data_centre) {
  Random random(1);
  std::vector<Member> members = {
      MemberOf("10.0.0.1", "a"), MemberOf("10.0.0.2", "a"),
      MemberOf("10.0.0.3", "a"), MemberOf("10.0.0.4", "b")};
  cr_assert_eq(ListAddresses(members, "a", {}, &random).size(), 3);
  members[0].entry_up = false;
  const auto two = ListAddresses(members, "a", {}, &random);
  cr_assert_eq(two.size(), 2);
  members[1].status = Status::kDead;
  // One alone would be a single point of failure: others are added.
  const auto spare = ListAddresses(members, "a", {}, &random);
  cr_assert_eq(spare.size(), 2);
  cr_assert((spare[0]) == "10.0.0.3:7000");
}

Test(address_list, suspected_entries_only_if_nothing_else_is_left) {
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

Test(address_list, never_more_than_callers_take) {
  Random random(1);
  std::vector<Member> members;
  for (int i = 0; i < 100; ++i) {
    members.push_back(MemberOf(fmt::format("10.0.0.{}", i), "a"));
  }
  cr_assert_eq(ListAddresses(members, "a", {}, &random).size(), 64);
}

Test(decider_claim, the_first_vm_creates_the_record_and_holds_it) {
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

Test(decider_claim, a_present_holder_is_left_alone) {
  const std::vector<Member> members = {MemberOf("10.0.0.1", "a"),
                                       MemberOf("10.0.0.2", "a")};
  DeciderClaim claim({}, "10.0.0.1", 1, kStart);
  claim.OnRead(DeciderRecord{"10.0.0.2", 1, 4}, kStart);
  for (int i = 0; i < 100; ++i) {
    cr_assert(claim.Next(members, kStart + seconds(i)) == ClaimAction::kRead);
  }
}

Test(decider_claim,
     a_holder_that_died_lost_the_store_or_restarted_is_replaced) {
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

Test(decider_claim, a_fresh_vm_waits_before_it_takes_a_strangers_place) {
  const std::vector<Member> members = {MemberOf("10.0.0.1", "a")};
  DeciderClaim claim({}, "10.0.0.1", 1, kStart);
  claim.OnRead(DeciderRecord{"10.0.0.2", 1, 4}, kStart);
  cr_assert(claim.Next(members, kStart) == ClaimAction::kRead);
  cr_assert(claim.Next(members, kStart + seconds(2)) == ClaimAction::kTakeOver);
}

// Several VMs over one record with conditional writes, whose answers may be
// lost and which may be written late; VMs freeze, restart and lose the store.
// Whoever confirms the claim by a read is the only one to hold it then.
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
      const bool fits = action == ClaimAction::kCreate
                            ? !stored.has_value()
                            : vm.revision == revision;
      if (write && fits) {
        stored = vm.claim->Proposal();
        ++revision;
      }
      if (random.Chance(0.2)) {
        continue;  // the answer is lost
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
