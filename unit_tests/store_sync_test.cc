// Tests of the synchronisation of a VM with the store and with relays, using a
// scripted store and peers on loopback.
#include <fmt/format.h>

#include <boost/json.hpp>
#include <functional>

#include "chervilpass/fleet/peer_state.h"
#include "chervilpass/fleet/store_sync.h"
#include "chervilpass/io/http_server.h"

// Last: its macros clash with headers of Boost.
#include <criterion/criterion.h>

using namespace chervilpass;
using namespace chervilpass::fleet;

namespace {

constexpr const char* kIp = "127.0.202.1";

std::unique_ptr<io::HttpServer> Serve(io::Runtime& runtime,
                                      std::uint16_t port,
                                      io::HttpHandler handler) {
  io::HttpServerSettings settings;
  settings.listen = {kIp, port};
  auto server =
      io::HttpServer::Create(&runtime, settings, std::move(handler),
                             [](unsigned status, std::string_view) {
                               return io::HttpResponse{status, {}, ""};
                             });
  cr_assert(server.has_value());
  return std::move(server).value();
}

std::string Config(std::uint64_t version,
                   std::uint64_t revision,
                   const std::string& more = "") {
  return fmt::format(R"({{"metadata":{{"name":"main","rev":{}}},)"
                     R"("spec":{{"version":{}{}}}}})",
                     revision, version, more);
}

// Responds to listings and watches with one configuration, or with 503 while
// `refusing` or, for the configuration, `refusing_config` is set. While
// `history_bytes` is set, a watch from a revision before `revision` gives that
// much.
class ScriptedStore {
 public:
  ScriptedStore(io::Runtime& runtime, std::uint16_t port)
      : runtime(runtime),
        server(Serve(runtime, port, [this](io::HttpExchange& exchange) {
          this->Handle(exchange);
        })) {}

  bool refusing = false;
  bool refusing_config = false;
  std::uint64_t version = 3;   ///< of the configuration
  std::uint64_t revision = 9;  ///< of the store
  std::string more;            ///< fields of the configuration
  std::size_t history_bytes = 0;
  int watches = 0;
  int large_answers = 0;

 private:
  void Handle(io::HttpExchange& exchange) {
    const io::HttpRequest& request = exchange.Request();
    const bool config = request.path.find("config") != std::string::npos;
    if (this->Refuses(config)) {
      return exchange.Respond({503, {}, ""});
    }
    if (const auto since = request.QueryParameter("watch")) {
      ++this->watches;
      if (config && this->history_bytes > 0 &&
          std::stoull(*since) < this->revision) {
        ++this->large_answers;
        return exchange.Respond(
            {200, {}, std::string(this->history_bytes, ' ')});
      }
      this->runtime.SleepFor(milliseconds(50));
      return exchange.Respond(
          {this->Refuses(config) ? 503U : 200U,
           {},
           fmt::format(R"({{"events":[],"storeRevision":{}}})", *since)});
    }
    exchange.Respond(
        {200,
         {},
         fmt::format(R"({{"items":[{}],"storeRevision":{}}})",
                     config
                         ? Config(this->version, this->revision - 2, this->more)
                         : "",
                     this->revision)});
  }

  bool Refuses(bool config) const {
    return this->refusing || (config && this->refusing_config);
  }

  io::Runtime& runtime;
  std::unique_ptr<io::HttpServer> server;
};

// One VM under test.
class Vm {
 public:
  Vm(io::Runtime& runtime, std::uint16_t store_port, bool relay = true)
      : log({"test", "vm", LogLevel::kError, LogFormat::kKeyValue}),
        routing_state({}, 1),
        store(platform::StoreClient::Create(&runtime,
                                            &this->metrics,
                                            {{kIp, store_port}})) {
    StoreSyncEvents events;
    events.config_changed = [] {};
    events.store_changed = [](bool) {};
    events.is_relay = [relay] { return relay; };
    events.relays = [] { return std::vector<io::Endpoint>(); };
    this->sync =
        StoreSync::Create(&runtime, this->store.get(), &this->routing_state,
                          &this->metrics, &this->log, {}, std::move(events));
  }

  unsigned StatusForFollower(const std::string& query) {
    io::HttpRequest request;
    request.path = PeerStatePath();
    request.query = query;
    return this->sync->HandleFollowerRequest(request).status;
  }

  Logger log;
  MetricsRegistry metrics;
  serving::RoutingState routing_state;
  std::unique_ptr<platform::StoreClient> store;
  std::unique_ptr<StoreSync> sync;
};

void OnRuntime(const std::function<void(io::Runtime&)>& body) {
  io::Runtime::Run([&body](io::Runtime& runtime) { body(runtime); });
}

}  // namespace

// Guards against followers that stay with a relay which the store refuses.
// Seen in trouble-1, seed 889428110682, on the first site: the relay of a data
// centre was refused by the store and sent its followers no changes for two
// seconds.
Test(store_sync, relay_refused_by_the_store_refuses_followers_at_once) {
  OnRuntime([](io::Runtime& runtime) {
    ScriptedStore store(runtime, 23000);
    Vm vm(runtime, 23000);
    runtime.SleepFor(milliseconds(400));
    cr_assert(vm.sync->IsSynced());
    cr_assert_eq(vm.StatusForFollower("config=0&workers=0"), 200);
    // Both a waiting follower and a later one are refused.
    store.refusing = true;
    const Instant start = runtime.Now();
    cr_assert_eq(vm.StatusForFollower("config=7&workers=9&wait_ms=3000"), 503);
    cr_assert(runtime.Now() - start < milliseconds(500));
    cr_assert_eq(vm.StatusForFollower("config=0&workers=0"), 503);
    // The known configuration is still available.
    cr_assert_eq(vm.StatusForFollower("only=config&config=0"), 200);
    store.refusing = false;
    runtime.SleepFor(milliseconds(1500));
    cr_assert_eq(vm.StatusForFollower("config=0&workers=0"), 200);
  });
}

Test(store_sync, newer_but_not_older_configuration_is_applied_from_any_vm) {
  OnRuntime([](io::Runtime& runtime) {
    ScriptedStore store(runtime, 23010);
    std::uint64_t version = 5;
    const auto peer =
        Serve(runtime, 23011, [&version](io::HttpExchange& exchange) {
          PeerState state;
          state.config =
              platform::StoredObject{"main", 2 * version, false,
                                     boost::json::object{{"version", version}}};
          exchange.Respond({200, {}, EncodePeerState(state)});
        });
    Vm vm(runtime, 23010);
    runtime.SleepFor(milliseconds(300));
    cr_assert_eq(vm.routing_state.Table()->Version(), 3);
    store.refusing = true;
    vm.sync->FetchConfig({kIp, 23011});
    runtime.SleepFor(milliseconds(100));
    cr_assert_eq(vm.routing_state.Table()->Version(), 5);
    version = 4;
    vm.sync->FetchConfig({kIp, 23011});
    runtime.SleepFor(milliseconds(100));
    cr_assert_eq(vm.routing_state.Table()->Version(), 5);
  });
}

// Guards the store against watches from every VM of a large fleet that starts
// while its workers register.
Test(store_sync, vm_that_is_no_relay_watches_only_after_the_relay_timeout) {
  OnRuntime([](io::Runtime& runtime) {
    ScriptedStore store(runtime, 23020);
    Vm vm(runtime, 23020, false);
    runtime.SleepFor(milliseconds(600));
    cr_assert(vm.sync->IsSynced());
    cr_assert_eq(store.watches, 0);
    // After `relay_lost_timeout` without a response it watches the store
    // itself.
    runtime.SleepFor(milliseconds(1800));
    cr_assert_gt(store.watches, 0);
  });
}

// Guards against a VM that stays at an old configuration: the store's answer to
// its watch has several configurations and is larger than a VM takes.
Test(store_sync, an_answer_that_is_too_large_leads_to_a_new_listing) {
  OnRuntime([](io::Runtime& runtime) {
    ScriptedStore store(runtime, 23030);
    Vm vm(runtime, 23030);
    runtime.SleepFor(milliseconds(300));
    cr_assert_eq(vm.routing_state.Table()->Version(), 3);
    store.history_bytes = 9 * 1024 * 1024;
    store.version = 12;
    store.revision = 30;
    runtime.SleepFor(milliseconds(1500));
    cr_assert_eq(vm.routing_state.Table()->Version(), 12);
    cr_assert_eq(store.large_answers, 1);
    cr_assert_eq(vm.StatusForFollower("config=0&workers=0"), 200);
  });
}

// Guards against followers that take a relay's old configuration as the newest:
// the store refuses the relay's watch of the configuration only.
Test(store_sync, relay_without_the_configuration_refuses_followers) {
  OnRuntime([](io::Runtime& runtime) {
    ScriptedStore store(runtime, 23040);
    Vm vm(runtime, 23040);
    runtime.SleepFor(milliseconds(400));
    cr_assert_eq(vm.StatusForFollower("config=0&workers=0"), 200);
    store.refusing_config = true;
    runtime.SleepFor(milliseconds(200));
    for (int i = 0; i < 30; ++i) {
      cr_assert_eq(vm.StatusForFollower("config=0&workers=0"), 503);
      runtime.SleepFor(milliseconds(20));
    }
    // Other VMs take over.
    runtime.SleepFor(milliseconds(2500));
    cr_assert(!vm.sync->StoreUp());
    store.refusing_config = false;
    runtime.SleepFor(milliseconds(1500));
    cr_assert(vm.sync->StoreUp());
    cr_assert_eq(vm.StatusForFollower("config=0&workers=0"), 200);
  });
}

// Guards against one item of an unknown form that keeps a VM or its followers
// from the rest of a configuration.
Test(store_sync, readable_items_are_in_force_and_all_are_passed_on) {
  OnRuntime([](io::Runtime& runtime) {
    ScriptedStore store(runtime, 23050);
    store.more = R"(,"routes":[{"name":"odd","host":7},{"name":"r","host":"h",)"
                 R"("pathPrefix":"/a/","kind":"idempotent","timeoutMs":100,)"
                 R"("service":"s"}])";
    Vm vm(runtime, 23050);
    runtime.SleepFor(milliseconds(300));
    const auto table = vm.routing_state.Table();
    cr_assert(table != nullptr);
    cr_assert_eq(table->Data().routes.size(), 1);
    cr_assert(table->Find("h", "/a/x") != nullptr);
    cr_assert_eq(
        vm.metrics.CounterValue("chervil_config_unreadable_items_total"), 1);
    io::HttpRequest request;
    request.path = PeerStatePath();
    request.query = "config=0&workers=0";
    const auto state =
        DecodePeerState(vm.sync->HandleFollowerRequest(request).body);
    cr_assert(state && state->config);
    cr_assert_eq(state->config->spec.at("routes").as_array().size(), 2);
  });
}
