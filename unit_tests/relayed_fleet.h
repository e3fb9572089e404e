// Two relays and a follower of both, on loopback.
#pragma once

#include <functional>

#include "unit_tests/silent_proxy.h"
#include "unit_tests/sync_fixture.h"

// Last: its macros clash with headers of Boost.
#include <criterion/criterion.h>

namespace chervilpass {

// The store, two relays behind links to it that can be cut, and a follower of
// both. Uses the five ports from `port` on.
class RelayedFleet {
 public:
  RelayedFleet(io::Runtime& runtime,
               std::uint16_t port,
               const fleet::StoreSyncSettings& settings = {})
      : runtime(runtime),
        store(runtime, port),
        first(runtime, port, 1, 3, settings),
        second(runtime, port, 3, 1, settings),
        follower(runtime, port, {first.address, second.address}, settings) {
    this->RunFor(milliseconds(1700));
    cr_assert_eq(this->follower.Usable(), 2);
  }

  // Expires registrations as the program does.
  void RunFor(Duration time) {
    const Instant until = this->runtime.Now() + time;
    while (this->runtime.Now() < until) {
      this->runtime.SleepFor(milliseconds(20));
      for (SyncVm* vm : {&this->follower, &this->first.vm, &this->second.vm}) {
        vm->routing_state.Expire(this->runtime.Now(), this->runtime.WallNow());
      }
    }
  }

  // Runs `change` shortly after `trouble`. Fails unless the follower knows of
  // the change within the time in which it has to be in force.
  void CheckChangeIsSeen(const std::function<void(RelayedFleet&)>& trouble,
                         const std::function<void(SyncStore&)>& change,
                         const std::function<bool(const SyncVm&)>& seen) {
    trouble(*this);
    this->RunFor(milliseconds(50));
    change(this->store);
    this->RunFor(kDrainTime);
    cr_assert(seen(this->follower));
  }

  void CheckRemovalIsSeen(const std::function<void(RelayedFleet&)>& trouble) {
    this->CheckChangeIsSeen(
        trouble, [](SyncStore& store) { store.Remove("a"); },
        [](const SyncVm& follower) { return follower.Usable() == 1; });
  }

  struct Relay {
    // `offset` and `other` are the ports of the links of the two relays.
    Relay(io::Runtime& runtime,
          std::uint16_t store_port,
          std::uint16_t offset,
          std::uint16_t other,
          const fleet::StoreSyncSettings& settings)
        : address{kSyncIp, static_cast<std::uint16_t>(store_port + offset + 1)},
          link(kSyncIp,
               static_cast<std::uint16_t>(store_port + offset),
               store_port),
          vm(runtime,
             static_cast<std::uint16_t>(store_port + offset),
             {{kSyncIp, static_cast<std::uint16_t>(store_port + other + 1)}},
             settings,
             true),
          server(Serve(runtime,
                       address.port,
                       [this, &runtime](io::HttpExchange& exchange) {
                         const auto response =
                             this->vm.sync->HandleFollowerRequest(
                                 io::HttpRequest(exchange.Request()));
                         while (this->silent) {
                           runtime.SleepFor(milliseconds(5));
                         }
                         exchange.Respond(response);
                       })) {}

    io::Endpoint address;
    bool silent = false;  ///< to followers
    SilentProxy link;     ///< to the store
    SyncVm vm;
    std::unique_ptr<io::HttpServer> server;
  };

  io::Runtime& runtime;
  SyncStore store;
  Relay first;
  Relay second;
  SyncVm follower;
};

}  // namespace chervilpass
