// Tests of what VMs conclude from a store that does not answer: an outage, in
// which sound servers lose their registrations, or trouble of one VM.
#include "chervilpass/fleet/peer_state.h"
#include "unit_tests/relayed_fleet.h"

// Last: its macros clash with headers of Boost.
#include <criterion/criterion.h>

using namespace chervilpass;
using namespace chervilpass::fleet;

// Guards against requests to a server that has left: a relay that had got no
// answer for a while took the store for lost, and told its followers to keep
// what is removed after that.
Test(outage_knowledge, a_relay_in_trouble_delays_no_removal_at_followers) {
  OnRuntime([](io::Runtime& runtime) {
    StoreSyncSettings settings;
    settings.max_retry_delay = milliseconds(60);
    RelayedFleet fleet(runtime, 23600, settings);
    fleet.first.link.Pause();
    fleet.RunFor(milliseconds(3500));
    fleet.first.link.Resume();
    fleet.RunFor(milliseconds(100));
    fleet.store.Remove("a");
    fleet.RunFor(kDrainTime);
    cr_assert_eq(fleet.follower.Usable(), 1);
  });
}

// The same at the relay itself. It hears from the other one only afterwards
// that the store answered meanwhile, as if it had stood still.
Test(outage_knowledge, a_relay_after_its_own_trouble_drops_what_is_removed) {
  OnRuntime([](io::Runtime& runtime) {
    StoreSyncSettings settings;
    settings.max_retry_delay = milliseconds(60);
    RelayedFleet fleet(runtime, 23610, settings);
    fleet.first.link.Pause();
    fleet.second.silent = true;
    fleet.RunFor(milliseconds(3500));
    fleet.first.link.Resume();
    fleet.second.silent = false;
    fleet.RunFor(milliseconds(100));
    fleet.store.Remove("a");
    fleet.RunFor(milliseconds(1500));
    cr_assert_eq(fleet.first.vm.Usable(), 1);
  });
}

// Guards against refusals after an outage of the store: followers that had
// begun to watch it themselves saw no outage, and dropped all servers until
// these had registered again.
Test(outage_knowledge, followers_keep_sound_servers_after_an_outage) {
  OnRuntime([](io::Runtime& runtime) {
    RelayedFleet fleet(runtime, 23620);
    fleet.store.frozen = true;
    fleet.RunFor(milliseconds(3500));
    fleet.store.Remove("a");
    fleet.store.Remove("b");
    fleet.store.frozen = false;
    const Instant registered = runtime.Now() + milliseconds(1500);
    while (runtime.Now() < registered) {
      fleet.RunFor(milliseconds(100));
      cr_assert_eq(fleet.follower.Usable(), 2);
      cr_assert_eq(fleet.first.vm.Usable(), 2);
    }
    fleet.store.Register("a");
    fleet.RunFor(milliseconds(1500));
    // What is still missing has gone.
    cr_assert_eq(fleet.follower.Usable(), 1);
    cr_assert_eq(fleet.first.vm.Usable(), 1);
  });
}

// The same for a VM that was in trouble of its own as the outage began: the
// other VMs had no answers either.
Test(outage_knowledge, a_vm_in_trouble_keeps_sound_servers_after_an_outage) {
  OnRuntime([](io::Runtime& runtime) {
    RelayedFleet fleet(runtime, 23630);
    fleet.first.link.Pause();
    fleet.RunFor(milliseconds(300));
    fleet.store.frozen = true;
    fleet.RunFor(milliseconds(3700));
    fleet.store.Remove("a");
    fleet.store.Remove("b");
    fleet.first.link.Resume();
    fleet.store.frozen = false;
    fleet.RunFor(milliseconds(1500));
    cr_assert_eq(fleet.first.vm.Usable(), 2);
    cr_assert_eq(fleet.follower.Usable(), 2);
  });
}

// Guards mixed builds: a relay of an earlier one states no answers of the store
// and judges outages itself.
Test(outage_knowledge, a_follower_of_an_earlier_build_keeps_to_its_relay) {
  OnRuntime([](io::Runtime& runtime) {
    SyncStore store(runtime, 23640);
    std::string grace = "0";
    const auto relay = Serve(runtime, 23641, [&](io::HttpExchange& exchange) {
      runtime.SleepFor(milliseconds(100));
      exchange.Respond({200,
                        {},
                        R"({"workers":[],"workers_revision":9,"whole":false,)"
                        R"("lapse_grace_ms":)" +
                            grace + "}"});
    });
    SyncVm follower(runtime, 23640, {{kSyncIp, 23641}});
    RunFor(runtime, follower, milliseconds(4000));
    cr_assert_eq(follower.Usable(), 2);
    cr_assert(follower.GraceLeft(runtime) == Duration::zero());
    cr_assert(!follower.sync->StoreUp(), "it watches the store itself");
    grace = "1500";
    RunFor(runtime, follower, milliseconds(300));
    cr_assert(follower.GraceLeft(runtime) > milliseconds(1000));
  });
}

// Guards mixed builds: all that an earlier build reads is still sent, and what
// it does not know can be left out.
Test(outage_knowledge, state_messages_are_read_by_both_builds) {
  PeerState state;
  state.workers_revision = 12;
  state.expiry_grace = milliseconds(700);
  state.store_reach = StoreReach{milliseconds(300), milliseconds(20000)};
  state.config_checked = 14;
  const std::string text = EncodePeerState(state);
  for (const char* field :
       {"workers", "workers_revision", "whole", "lapse_grace_ms"}) {
    cr_assert(text.find('"' + std::string(field) + "\":") != std::string::npos);
  }
  cr_assert(DecodePeerState(text) == state);
  const auto earlier =
      DecodePeerState(R"({"workers":[],"workers_revision":12,"whole":true,)"
                      R"("lapse_grace_ms":700})");
  cr_assert(earlier && earlier->expiry_grace == milliseconds(700));
  cr_assert(!earlier->store_reach);
  cr_assert_eq(earlier->config_checked, 0);
  // Values of another type come from no build.
  cr_assert(
      !DecodePeerState(R"({"workers":[],"workers_revision":12,"whole":true,)"
                       R"("lapse_grace_ms":700,"store_silent_ms":"x"})"));
}
