// Tests of the stored strikes, with a store in memory on loopback.
#include <fmt/format.h>

#include <functional>

#include "chervilpass/fleet/suspect_sync.h"
#include "unit_tests/memory_store.h"

// Last: its macros clash with headers of Boost.
#include <criterion/criterion.h>

using namespace chervilpass;
using namespace chervilpass::fleet;

namespace {

namespace json = boost::json;

constexpr const char* kIp = kMemoryStoreIp;
constexpr std::uint64_t kFingerprint = 0xab;

// One VM under test.
class Vm {
 public:
  Vm(io::Runtime& runtime, std::uint16_t store_port)
      : runtime(runtime),
        log({"test", "vm", LogLevel::kError, LogFormat::kKeyValue}),
        routing_state(Settings(), 1),
        store(platform::StoreClient::Create(&runtime,
                                            &this->metrics,
                                            {{kIp, store_port}})) {
    SuspectSyncSettings settings;
    settings.retry_delay = milliseconds(20);
    this->sync =
        SuspectSync::Create(&runtime, this->store.get(), &this->routing_state,
                            &this->log, settings, [] { return true; });
  }

  // Adds a strike as if this VM had seen the crash.
  void AddStrike(const std::string& worker) {
    const WallTime now = this->runtime.WallNow();
    quarantine::StrikeTracker& tracker = this->routing_state.Strikes();
    tracker.Add({kFingerprint, worker, now, tracker.Count(kFingerprint, now)},
                now);
    this->sync->OnStrike(kFingerprint);
  }

  std::uint32_t Strikes() {
    return this->routing_state.Strikes().Count(kFingerprint,
                                               this->runtime.WallNow());
  }

  io::Runtime& runtime;
  Logger log;
  MetricsRegistry metrics;
  serving::RoutingState routing_state;
  std::unique_ptr<platform::StoreClient> store;
  std::unique_ptr<SuspectSync> sync;

 private:
  static serving::RoutingStateSettings Settings() {
    serving::RoutingStateSettings settings;
    settings.strikes_are_stored = true;
    return settings;
  }
};

void OnRuntime(const std::function<void(io::Runtime&)>& body) {
  io::Runtime::Run([&body](io::Runtime& runtime) { body(runtime); });
}

}  // namespace

// Guards against a quarantine that ends with the processes that know of it.
Test(suspect_sync, a_vm_that_starts_later_knows_the_strikes) {
  OnRuntime([](io::Runtime& runtime) {
    MemoryStore store(runtime, 22700);
    Vm first(runtime, 22700);
    for (const char* worker : {"w1", "w2", "w3"}) {
      first.AddStrike(worker);
    }
    runtime.SleepFor(milliseconds(100));
    Vm second(runtime, 22700);
    cr_assert(!second.routing_state.StrikesLoaded());
    runtime.SleepFor(milliseconds(100));
    cr_assert(second.routing_state.StrikesLoaded());
    cr_assert_eq(second.Strikes(), 3);
  });
}

Test(suspect_sync, a_single_strike_is_not_stored) {
  OnRuntime([](io::Runtime& runtime) {
    MemoryStore store(runtime, 22710);
    Vm vm(runtime, 22710);
    vm.AddStrike("w1");
    runtime.SleepFor(milliseconds(100));
    cr_assert_eq(store.writes, 0);
  });
}

// Guards against a VM that missed the gossip.
Test(suspect_sync, strikes_and_their_clearance_reach_other_vms_by_the_store) {
  OnRuntime([](io::Runtime& runtime) {
    MemoryStore store(runtime, 22720);
    Vm one(runtime, 22720);
    Vm other(runtime, 22720);
    one.AddStrike("w1");
    one.AddStrike("w2");
    runtime.SleepFor(milliseconds(200));
    cr_assert_eq(other.Strikes(), 2);
    cr_assert(other.routing_state.Strikes().OnCompleted(kFingerprint,
                                                        runtime.WallNow()));
    other.sync->OnCleared(kFingerprint);
    runtime.SleepFor(milliseconds(200));
    cr_assert_eq(one.Strikes(), 0);
    cr_assert(store.objects.empty());
  });
}

Test(suspect_sync, strikes_are_written_after_an_outage) {
  OnRuntime([](io::Runtime& runtime) {
    MemoryStore store(runtime, 22730);
    store.available = false;
    Vm vm(runtime, 22730);
    vm.AddStrike("w1");
    vm.AddStrike("w2");
    runtime.SleepFor(milliseconds(100));
    cr_assert(store.objects.empty());
    store.available = true;
    runtime.SleepFor(milliseconds(300));
    cr_assert_eq(store.objects.size(), 1);
    cr_assert(vm.routing_state.StrikesLoaded());
  });
}

Test(suspect_sync, expired_and_unreadable_records_have_no_effect) {
  OnRuntime([](io::Runtime& runtime) {
    MemoryStore store(runtime, 22740);
    store.objects["00000000000000ab"] =
        json::parse(R"({"metadata":{"name":"00000000000000ab","rev":1},)"
                    R"("spec":{"strikes":3,"at_ms":1}})")
            .as_object();
    store.objects["odd"] =
        json::parse(R"({"metadata":{"name":"odd","rev":1},"spec":{"a":1}})")
            .as_object();
    Vm vm(runtime, 22740);
    runtime.SleepFor(milliseconds(300));
    cr_assert_eq(vm.Strikes(), 0);
    cr_assert(!store.objects.contains("00000000000000ab"));
  });
}
