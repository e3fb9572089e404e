// Tests of a follower whose relays lose the store or fall silent, while the
// store is sound and in reach of the follower.
#include "unit_tests/relayed_fleet.h"

// Last: its macros clash with headers of Boost.
#include <criterion/criterion.h>

using namespace chervilpass;
using namespace chervilpass::fleet;

namespace {

void CutBothRelays(RelayedFleet& fleet) {
  fleet.first.link.Pause();
  fleet.second.link.Pause();
}

}  // namespace

// Guard against requests to a server that has left: relays that were cut off
// from the store went on answering their followers that nothing had changed.
Test(relay_loss, a_removal_is_seen_while_both_relays_are_cut_off) {
  OnRuntime([](io::Runtime& runtime) {
    RelayedFleet(runtime, 23500).CheckRemovalIsSeen(CutBothRelays);
  });
}

Test(relay_loss, a_removal_is_seen_at_another_phase_of_the_watches) {
  OnRuntime([](io::Runtime& runtime) {
    RelayedFleet fleet(runtime, 23510);
    fleet.RunFor(milliseconds(500));
    fleet.CheckRemovalIsSeen(CutBothRelays);
  });
}

// The same where one relay loses the store later than the other.
Test(relay_loss, a_removal_is_seen_after_the_second_relay_is_cut_off) {
  OnRuntime([](io::Runtime& runtime) {
    RelayedFleet fleet(runtime, 23520);
    fleet.first.link.Pause();
    fleet.RunFor(milliseconds(1200));
    fleet.CheckRemovalIsSeen(
        [](RelayedFleet& troubled) { troubled.second.link.Pause(); });
  });
}

// The same where the second relay does not answer its followers.
Test(relay_loss, a_removal_is_seen_beside_a_silent_relay) {
  OnRuntime([](io::Runtime& runtime) {
    RelayedFleet(runtime, 23530).CheckRemovalIsSeen([](RelayedFleet& fleet) {
      fleet.first.link.Pause();
      fleet.second.silent = true;
    });
  });
}

// The same for keys and routes, in a fleet in which no other VM has the new
// configuration to announce.
Test(relay_loss, a_configuration_is_in_force_while_both_relays_are_cut_off) {
  OnRuntime([](io::Runtime& runtime) {
    RelayedFleet(runtime, 23540)
        .CheckChangeIsSeen(
            CutBothRelays, [](SyncStore& store) { store.Configure(4); },
            [](const SyncVm& follower) {
              return follower.routing_state.Table()->Version() == 4;
            });
  });
}

// Guards the store: a follower that loses its relays for a second asks it for
// changes, and does not begin to watch it.
Test(relay_loss, short_trouble_of_the_relays_costs_few_calls) {
  OnRuntime([](io::Runtime& runtime) {
    RelayedFleet fleet(runtime, 23550);
    CutBothRelays(fleet);
    fleet.RunFor(milliseconds(1600));
    fleet.first.link.Resume();
    fleet.second.link.Resume();
    fleet.RunFor(milliseconds(1500));
    const std::uint64_t checks = fleet.follower.metrics.CounterValue(
        "chervil_store_direct_checks_total");
    cr_assert_geq(checks, 1);
    cr_assert_leq(checks, 4);
    cr_assert_eq(fleet.follower.losses, 0);
    cr_assert(!fleet.follower.sync->StoreUp());
  });
}

// Guards a slow store against its followers' calls: relays whose answers from
// it are late by less than the time limit go on serving them.
Test(relay_loss, relays_of_a_slow_store_keep_their_followers) {
  OnRuntime([](io::Runtime& runtime) {
    RelayedFleet fleet(runtime, 23560);
    fleet.store.delay = milliseconds(500);
    fleet.RunFor(milliseconds(6000));
    // One check of both kinds, as the store becomes slow.
    cr_assert_leq(fleet.follower.metrics.CounterValue(
                      "chervil_store_direct_checks_total"),
                  2);
    cr_assert(!fleet.follower.sync->StoreUp());
    cr_assert(fleet.first.vm.sync->StoreUp());
    cr_assert(fleet.second.vm.sync->StoreUp());
  });
}
