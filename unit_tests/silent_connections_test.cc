// Tests of open connections that fall silent, without a reset, while new ones
// work: to the store, to relays and to backend servers. A store that is away
// looks alike at first.
#include "chervilpass/io/http_client.h"
#include "chervilpass/io/http_server.h"
#include "unit_tests/silent_proxy.h"
#include "unit_tests/sync_fixture.h"

// Last: its macros clash with headers of Boost.
#include <criterion/criterion.h>

using namespace chervilpass;
using namespace chervilpass::fleet;

namespace {

// A server is removed at `delay` after the connections of the VM to the store
// fell silent.
void CheckRemovalIsSeen(std::uint16_t port, Duration delay) {
  OnRuntime([&](io::Runtime& runtime) {
    SyncStore store(runtime, port);
    SilentProxy proxy(kSyncIp, static_cast<std::uint16_t>(port + 1), port);
    SyncVm vm(runtime, static_cast<std::uint16_t>(port + 1));
    // Several connections are idle in the pool.
    for (int i = 0; i < 4; ++i) {
      runtime.Spawn(
          [&] { (void)vm.store->List(platform::StoreKind::kEntries); });
    }
    RunFor(runtime, vm, milliseconds(1500));
    cr_assert_eq(vm.Usable(), 2);
    proxy.SilenceOpenConnections();
    RunFor(runtime, vm, delay);
    store.Remove("a");
    RunFor(runtime, vm, kDrainTime);
    cr_assert_eq(vm.Usable(), 1, "removed %ld ms after the silence",
                 ToMilliseconds(delay));
    cr_assert_eq(vm.losses, 0, "the store counted as lost");
    cr_assert(vm.GraceLeft(runtime) == Duration::zero());
  });
}

}  // namespace

// Guard against requests to a server that has left: one silent connection to
// the store after the other was tried, and the removals were held back as after
// an outage of the store.
Test(silent_connections, a_removal_is_seen_soon_after) {
  CheckRemovalIsSeen(23400, milliseconds(300));
}

Test(silent_connections, a_removal_is_seen_as_they_begin) {
  CheckRemovalIsSeen(23410, milliseconds(0));
}

Test(silent_connections, a_removal_is_seen_while_they_are_noticed) {
  CheckRemovalIsSeen(23420, milliseconds(1600));
}

// Guards against an outage that is none: the watch of the configuration waits
// longer than that of the servers, and so does the time until its silent
// connection is noticed.
Test(silent_connections, a_silent_watch_of_the_configuration_is_no_outage) {
  OnRuntime([](io::Runtime& runtime) {
    SyncStore store(runtime, 23480);
    SilentProxy proxy(kSyncIp, 23481, 23480);
    StoreSyncSettings settings;
    settings.watch_wait_jitter = 0;
    settings.relay_check_interval = milliseconds(20);
    SyncVm vm(runtime, 23481, {}, settings);
    RunFor(runtime, vm, milliseconds(1500));
    proxy.SilenceOpenConnections();
    RunFor(runtime, vm, milliseconds(4000));
    cr_assert_eq(vm.losses, 0, "the store counted as lost");
  });
}

// The same for a VM that gets the state from a relay.
Test(silent_connections, a_follower_sees_a_removal) {
  OnRuntime([](io::Runtime& runtime) {
    SyncStore store(runtime, 23430);
    SyncVm relay(runtime, 23430);
    const auto relay_server =
        Serve(runtime, 23431, [&](io::HttpExchange& exchange) {
          exchange.Respond(relay.sync->HandleFollowerRequest(
              io::HttpRequest(exchange.Request())));
        });
    SilentProxy proxy(kSyncIp, 23432, 23431);
    SyncVm follower(runtime, 23430, {{kSyncIp, 23432}});
    RunFor(runtime, follower, milliseconds(1500));
    cr_assert_eq(follower.Usable(), 2);
    const int watches = store.watches;
    proxy.SilenceOpenConnections();
    RunFor(runtime, follower, milliseconds(100));
    store.Remove("a");
    RunFor(runtime, follower, kDrainTime);
    cr_assert_eq(follower.Usable(), 1);
    // The relay's own watches: some four a second at most.
    cr_assert_leq(store.watches - watches, 9);
  });
}

// Guards against sound servers that are dropped after an outage of the store:
// it takes connections and does not answer, and all entries lapse meanwhile.
Test(silent_connections, a_frozen_store_is_no_silent_connection) {
  OnRuntime([](io::Runtime& runtime) {
    SyncStore store(runtime, 23440);
    SyncVm vm(runtime, 23440);
    RunFor(runtime, vm, milliseconds(1200));
    cr_assert_eq(vm.Usable(), 2);
    store.frozen = true;
    RunFor(runtime, vm, milliseconds(4000));
    cr_assert_geq(vm.losses, 1);
    store.Remove("a");
    store.Remove("b");
    store.frozen = false;
    RunFor(runtime, vm, milliseconds(1900));
    cr_assert_eq(vm.Usable(), 2);
    RunFor(runtime, vm, milliseconds(2500));
    cr_assert_eq(vm.Usable(), 0);
  });
}

// A store that answers slowly is not taken for one that is up but for silent
// connections: it may not renew registrations either.
Test(silent_connections, a_slow_store_counts_as_lost_as_before) {
  OnRuntime([](io::Runtime& runtime) {
    SyncStore store(runtime, 23450);
    SyncVm vm(runtime, 23450);
    RunFor(runtime, vm, milliseconds(1200));
    cr_assert(vm.sync->StoreUp());
    store.delay = milliseconds(1000);
    RunFor(runtime, vm, milliseconds(4500));
    cr_assert_geq(vm.losses, 1);
  });
}

// Guards against one failed call for each of the idle connections of a pool.
Test(silent_connections, idle_ones_are_dropped_after_the_first_failure) {
  OnRuntime([](io::Runtime& runtime) {
    const auto server = Serve(runtime, 23460, [&](io::HttpExchange& exchange) {
      runtime.SleepFor(milliseconds(20));
      exchange.Respond({200, {}, "ok"});
    });
    SilentProxy proxy(kSyncIp, 23461, 23460);
    const auto client = io::HttpClient::Create(&runtime, {});
    io::HttpRequest request;
    request.path = "/x";
    const auto call = [&] {
      return client->Call({kSyncIp, 23461}, request, milliseconds(150))
          .has_value();
    };
    for (int i = 0; i < 5; ++i) {
      runtime.Spawn([&] { cr_assert(call()); });
    }
    runtime.SleepFor(milliseconds(100));
    cr_assert(call());
    cr_assert_eq(client->ConnectionsMade(), 5);
    proxy.SilenceOpenConnections();
    cr_assert(!call());
    cr_assert(call());
    cr_assert(call());
    cr_assert_eq(client->ConnectionsMade(), 6);
    // One that is opened meanwhile is kept.
    proxy.SilenceOpenConnections();
    bool answered = true;
    runtime.Spawn([&] { answered = call(); });
    runtime.SleepFor(milliseconds(20));
    cr_assert(call());
    runtime.SleepFor(milliseconds(300));
    cr_assert(!answered);
    cr_assert(call());
    cr_assert_eq(client->ConnectionsMade(), 7);
  });
}
