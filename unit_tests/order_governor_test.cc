// Tests of what a decider may do: which orders pass, how far its claim holds,
// and which time-outs count.
#include <criterion/criterion.h>

#include <fmt/format.h>

#include "chervilpass/core/stall_clock.h"
#include "chervilpass/fleet/decider_claim.h"
#include "chervilpass/placement/order_governor.h"

using namespace chervilpass;
using namespace chervilpass::placement;

namespace {

constexpr Instant kStart{seconds(1000)};

PlacementOrder Order(const std::string& worker, bool urgent) {
  return {worker, {0, 8}, urgent};
}

PlanBasis BasisAt(Instant now) {
  PlanBasis basis;
  basis.now = now;
  return basis;
}

membership::Member MemberOf(const std::string& vm) {
  membership::Member member;
  member.vm = vm;
  member.boot_id = 1;
  member.store_up = true;
  return member;
}

}  // namespace

// A decider whose loop, registry or reports lag: it repairs and does nothing
// else.
Test(order_governor, late_decider_sends_repairs_only) {
  const std::vector<PlacementOrder> orders = {Order("repair", true),
                                              Order("move", false)};
  const auto reason_of = [&](const PlanBasis& basis) {
    OrderGovernor governor({});
    const Admission admission = governor.AdmitAll(orders, basis);
    cr_assert_eq(admission.admitted.size() + admission.held.size(), 2);
    cr_assert_eq(admission.admitted.front().worker, "repair");
    return admission.held.empty()
               ? std::optional<HoldReason>()
               : std::optional(admission.held.begin()->first);
  };
  PlanBasis basis = BasisAt(kStart);
  cr_assert(reason_of(basis) == std::nullopt);
  basis.lateness = seconds(1);
  cr_assert(reason_of(basis) == HoldReason::kLoopLate);
  basis = BasisAt(kStart);
  basis.registry_age = seconds(8);
  cr_assert(reason_of(basis) == HoldReason::kRegistryOld);
  basis = BasisAt(kStart);
  basis.report_age = seconds(3);
  cr_assert(reason_of(basis) == HoldReason::kReportsOld);
  basis = BasisAt(kStart);
  basis.claim_confirmed = false;
  cr_assert(reason_of(basis) == HoldReason::kClaimUnconfirmed);
}

// A VM that has just started and knows 200 of 3,000 workers: guards against
// repairs of layers that the others hold.
Test(order_governor, nothing_is_ordered_while_the_registry_fills) {
  OrderGovernor governor({});
  Instant now = kStart;
  for (const std::size_t servers : {0, 200, 900, 2000, 3000}) {
    governor.OnRound(servers, now);
    cr_assert(servers == 0 || governor.Admit(Order("w", true), BasisAt(now)) ==
                                  HoldReason::kRegistryFilling);
    now += milliseconds(200);
  }
  // Workers that are lost, or return one by one, delay nothing.
  now += seconds(1);
  for (const std::size_t servers : {3000, 2950, 2955, 2960}) {
    governor.OnRound(servers, now);
    now += milliseconds(200);
  }
  cr_assert(!governor.Admit(Order("w", true), BasisAt(now)));
}

// Guards against a worker that loads the layers of two orders in turn.
Test(order_governor, worker_gets_no_second_order_before_the_first_has_ended) {
  OrderGovernor governor({});
  cr_assert(!governor.Admit(Order("w", true), BasisAt(kStart)));
  cr_assert(governor.Admit(Order("w", true), BasisAt(kStart + seconds(9))) ==
            HoldReason::kOrderOpen);
  governor.OnEnded("w");
  cr_assert(!governor.Admit(Order("w", true), BasisAt(kStart + seconds(10))));
}

// A plan that changes its mind each round may not keep the whole fleet loading,
// and does not delay the repair of a burst of losses.
Test(order_governor, loads_per_minute_are_bounded_and_repairs_come_first) {
  OrderGovernorSettings settings;
  settings.loads_per_minute = 20;
  OrderGovernor governor(settings);
  int moves = 0;
  for (int i = 0; i < 100; ++i) {
    moves += governor.Admit(Order(fmt::format("m{}", i), false),
                            BasisAt(kStart + milliseconds(200 * i)))
                 ? 0
                 : 1;
  }
  cr_assert_eq(moves, 10);
  const Instant later = kStart + seconds(30);
  for (int i = 0; i < 10; ++i) {
    cr_assert(
        !governor.Admit(Order(fmt::format("r{}", i), true), BasisAt(later)));
  }
  cr_assert(governor.Admit(Order("r10", true), BasisAt(later)) ==
            HoldReason::kLoadRate);
  cr_assert(!governor.Admit(Order("r10", true), BasisAt(later + seconds(61))));
  // An empty fleet loads at once.
  PlanBasis starting = BasisAt(later);
  starting.starting = true;
  for (int i = 0; i < 100; ++i) {
    cr_assert(!governor.Admit(Order(fmt::format("e{}", i), true), starting));
  }
}

// Guards against two deciders: in an outage of the store the holder goes on
// while no other VM can have taken over, and stops as soon as one can.
Test(decider_claim, holder_is_uncontested_only_while_nobody_can_take_over) {
  using fleet::ClaimStanding;
  std::vector<membership::Member> members = {
      MemberOf("10.0.0.1"), MemberOf("10.0.0.2"), MemberOf("10.0.0.3")};
  fleet::DeciderClaim claim({}, "10.0.0.1", 1, kStart);
  claim.OnRead(fleet::DeciderRecord{"10.0.0.1", 1, 4}, kStart);
  claim.Next(members, kStart);
  cr_assert(claim.Standing(members, kStart) == ClaimStanding::kConfirmed);
  const Instant outage = kStart + seconds(1);
  // The others see that this VM reaches the store, so none takes over.
  cr_assert(claim.Standing(members, outage) == ClaimStanding::kUncontested);
  members[0].store_up = false;
  cr_assert(claim.Standing(members, outage) == ClaimStanding::kNone);
  members[1].store_up = false;
  members[2].store_up = false;
  cr_assert(claim.Standing(members, outage) == ClaimStanding::kUncontested);
  // One is back, and may have taken over even after it is lost again.
  members[1].store_up = true;
  claim.Next(members, outage);
  members[1].store_up = false;
  cr_assert(claim.Standing(members, outage) == ClaimStanding::kNone);
  claim.OnRead(fleet::DeciderRecord{"10.0.0.1", 1, 4}, outage);
  cr_assert(claim.Standing(members, outage) == ClaimStanding::kConfirmed);
  claim.Next(members, outage);
  // Cut off from the others, which count it as gone.
  members[1].status = membership::Status::kDead;
  members[2].status = membership::Status::kDead;
  cr_assert(claim.Standing(members, outage + seconds(1)) ==
            ClaimStanding::kNone);
}

// The former holder acts until its confirmation has aged: guards against the
// same orders from two deciders within 80 ms after an outage of the store.
Test(decider_claim, new_holder_waits_for_the_former_one) {
  using fleet::ClaimStanding;
  const std::vector<membership::Member> members = {MemberOf("10.0.0.1"),
                                                   MemberOf("10.0.0.2")};
  fleet::DeciderClaim claim({}, "10.0.0.1", 1, kStart);
  claim.OnRead(fleet::DeciderRecord{"10.0.0.2", 1, 4}, kStart);
  auto lost = members;
  lost[1].store_up = false;
  claim.Next(lost, kStart + seconds(2));
  const Instant taken = kStart + seconds(3);
  claim.OnRead(claim.Proposal(), taken);
  cr_assert(claim.Holds());
  const fleet::DeciderClaimSettings settings;
  cr_assert(claim.Standing(lost, taken + milliseconds(80)) ==
            ClaimStanding::kNone);
  const Instant after = taken + settings.alive_handover_delay;
  claim.OnRead(claim.Record(), after);
  cr_assert(claim.Standing(lost, after) == ClaimStanding::kConfirmed);
}

// Guards against workers that count as lost because this VM itself was late.
Test(stall_clock, timeouts_of_a_stalled_process_prove_nothing) {
  StallClock clock(milliseconds(60));
  cr_assert(!clock.VoidsTimeout(kStart, kStart + seconds(9), seconds(1)));
  Instant now = kStart;
  for (int i = 0; i < 10; ++i) {
    now += milliseconds(20);
    clock.OnTick(now);
  }
  cr_assert(!clock.VoidsTimeout(kStart, now, milliseconds(100)));
  // The fiber that asks runs before the tick.
  const Instant probe = now;
  now += milliseconds(150);
  cr_assert(clock.VoidsTimeout(probe, now, milliseconds(300)));
  clock.OnTick(now);
  cr_assert(clock.VoidsTimeout(probe, now, milliseconds(300)));
  cr_assert(!clock.VoidsTimeout(probe, now, seconds(1)));
  cr_assert(!clock.VoidsTimeout(now + milliseconds(1), now + milliseconds(9),
                                milliseconds(300)));
}
