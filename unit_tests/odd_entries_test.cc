// Tests of entries among those of the workers that another writer has left: the
// rest of a listing, a watch or another VM's state is applied all the same.
#include <fmt/format.h>

#include <boost/json.hpp>
#include <functional>

#include "chervilpass/fleet/peer_state.h"
#include "chervilpass/fleet/store_sync.h"
#include "chervilpass/io/http_server.h"
#include "chervilpass/placement/planner.h"

// Last: its macros clash with headers of Boost.
#include "unit_tests/router_fixture.h"

using namespace chervilpass;
using namespace chervilpass::fleet;
using chervilpass::serving::OnRuntime;

namespace {

constexpr const char* kStoreIp = "127.0.203.1";

std::string Nested(int levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

std::string Spec(int number, const std::string& extra = "") {
  return fmt::format(
      R"({{"service":"app","address":"10.0.0.{}:8080","zone":"a",)"
      R"("version":"v1","slots":4,"state":"ready","seq":1{}}})",
      number, extra);
}

std::string Object(const std::string& name,
                   int revision,
                   const std::string& spec) {
  return fmt::format(
      R"({{"metadata":{{"name":"{}","rev":{}}},"spec":{},"status":null}})",
      name, revision, spec);
}

// Values of the spec of an entry that names no worker.
std::vector<std::string> OddSpecs() {
  std::vector<std::string> specs = {
      "null",
      "[]",
      "\"text\"",
      "1e400",
      "-1e400",
      "99999999999999999999999999",
      "\"\xff\xfe\"",
      "\"\\ud800\"",
      Spec(77, ",\"born\":1e400"),
      Spec(77, ",\"born\":1e999999999999"),
      Spec(77, ",\"born\":" + std::string(400, '9')),
      Spec(77, ",\"note\":\"\xc3\""),
      Spec(70000, ""),
      R"({"service":"app","address":"10.0.0.77:70000","zone":"a",)"
      R"("version":"v1","slots":4,"state":"ready","seq":1})",
      R"({"service":"app","address":"10.0.0.77:-1","zone":"a",)"
      R"("version":"v1","slots":4,"state":"ready","seq":1})",
      R"({"service":"app","address":"10.0.0.77:99999999999999999999",)"
      R"("zone":"a","version":"v1","slots":4,"state":"ready","seq":1})"};
  for (const int levels : {20, 27, 28, 29, 30, 40, 1000, 100000}) {
    specs.push_back(Nested(levels));
    specs.push_back(Spec(77, ",\"models\":" + Nested(levels)));
  }
  return specs;
}

// Serves one listing of workers and then one watch event; texts are not parsed.
class RawStore {
 public:
  RawStore(io::Runtime& runtime, std::uint16_t port) : runtime(runtime) {
    io::HttpServerSettings settings;
    settings.listen = {kStoreIp, port};
    this->server =
        io::HttpServer::Create(
            &runtime, settings,
            [this](io::HttpExchange& exchange) { this->Handle(exchange); },
            [](unsigned status, std::string_view) {
              return io::HttpResponse{status, {}, ""};
            })
            .value();
  }

  std::string items;
  std::string events;  ///< of the first watch from revision 9 on
  std::vector<std::string> queries;

 private:
  void Handle(io::HttpExchange& exchange) {
    const io::HttpRequest& request = exchange.Request();
    const bool workers = request.path.ends_with("/servers");
    if (const auto since = request.QueryParameter("watch")) {
      const bool answers = workers && since == "9" && !this->events.empty();
      this->runtime.SleepFor(milliseconds(answers ? 20 : 400));
      return exchange.Respond(
          {200,
           {},
           fmt::format(R"({{"events":[{}],"storeRevision":{}}})",
                       answers ? this->events : "",
                       answers ? 12 : std::stoi(*since))});
    }
    if (workers) {
      this->queries.push_back(request.query);
    }
    const bool config = request.path.ends_with("/config");
    exchange.Respond(
        {200,
         {},
         fmt::format(R"({{"items":[{}],"storeRevision":9}})",
                     workers  ? this->items
                     : config ? Object("main", 7, R"({"version":3})")
                              : "")});
  }

  io::Runtime& runtime;
  std::unique_ptr<io::HttpServer> server;
};

class Vm {
 public:
  Vm(io::Runtime& runtime, std::uint16_t store_port)
      : log({"test", "vm", LogLevel::kError, LogFormat::kKeyValue}),
        routing_state({}, 1),
        store(platform::StoreClient::Create(&runtime,
                                            &this->metrics,
                                            {{kStoreIp, store_port}})) {
    StoreSyncEvents events;
    events.config_changed = [] {};
    events.store_changed = [](bool) {};
    events.is_relay = [] { return true; };
    events.relays = [] { return std::vector<io::Endpoint>(); };
    this->sync =
        StoreSync::Create(&runtime, this->store.get(), &this->routing_state,
                          &this->metrics, &this->log, {}, std::move(events));
  }

  std::size_t Usable() const {
    return this->routing_state.Servers().Usable("app").size();
  }

  Logger log;
  MetricsRegistry metrics;
  serving::RoutingState routing_state;
  std::unique_ptr<platform::StoreClient> store;
  std::unique_ptr<StoreSync> sync;
};

}  // namespace

// Guards against one unreadable entry that keeps a VM from all others of the
// listing.
Test(odd_entries, the_others_of_a_listing_are_applied, .timeout = 60) {
  std::string seen;
  for (const std::string& odd : OddSpecs()) {
    OnRuntime([&](io::Runtime& runtime) {
      RawStore store(runtime, 23200);
      store.items = Object("a", 1, Spec(1)) + "," + Object("odd", 2, odd) +
                    "," + Object("z", 3, Spec(2));
      Vm vm(runtime, 23200);
      runtime.SleepFor(milliseconds(150));
      if (vm.Usable() != 2) {
        seen +=
            fmt::format("\n  {}: {} workers", odd.substr(0, 60), vm.Usable());
      }
    });
  }
  cr_assert(seen.empty(), "%s", seen.c_str());
}

// Guards against one unreadable entry that ends the following of changes.
Test(odd_entries, changes_go_on_after_an_odd_one, .timeout = 60) {
  std::string seen;
  for (const std::string& odd : OddSpecs()) {
    OnRuntime([&](io::Runtime& runtime) {
      RawStore store(runtime, 23210);
      store.items = Object("a", 1, Spec(1));
      store.events =
          fmt::format(R"({{"object":{},"deleted":false}},)"
                      R"({{"object":{},"deleted":false}})",
                      Object("odd", 10, odd), Object("z", 11, Spec(2)));
      Vm vm(runtime, 23210);
      runtime.SleepFor(milliseconds(250));
      if (vm.Usable() != 2) {
        seen +=
            fmt::format("\n  {}: {} workers", odd.substr(0, 60), vm.Usable());
      }
    });
  }
  cr_assert(seen.empty(), "%s", seen.c_str());
}

// Guards against followers that cannot read what their relay could: the state
// nests the entries deeper than the store does.
Test(odd_entries, followers_can_read_the_state_of_their_relay, .timeout = 60) {
  std::string seen;
  for (const std::string& odd : OddSpecs()) {
    OnRuntime([&](io::Runtime& runtime) {
      RawStore store(runtime, 23220);
      store.items = Object("a", 1, Spec(1)) + "," + Object("odd", 2, odd);
      Vm vm(runtime, 23220);
      runtime.SleepFor(milliseconds(150));
      io::HttpRequest request;
      request.path = PeerStatePath();
      request.query = "config=0&workers=0";
      const auto response = vm.sync->HandleFollowerRequest(request);
      const auto state = DecodePeerState(response.body);
      if (!state || state->workers.empty() ||
          state->workers.front().object.name != "a") {
        seen += fmt::format("\n  {}: {}", odd.substr(0, 60),
                            state ? "workers missing" : "unreadable");
      }
    });
  }
  cr_assert(seen.empty(), "%s", seen.c_str());
}

// Guards against a listing that ends at an entry whose name is no plain text.
Test(odd_entries, names_are_encoded_in_queries) {
  OnRuntime([](io::Runtime& runtime) {
    RawStore store(runtime, 23230);
    // The store's page ends with this entry.
    store.items = Object("a", 1, Spec(1)) + "," +
                  Object("x&after=b c%\\u0001\\n", 2, "null") +
                  "],\"hasMore\":true,\"more\":[";
    Vm vm(runtime, 23230);
    runtime.SleepFor(milliseconds(200));
    cr_assert_geq(store.queries.size(), 2);
    cr_assert(store.queries[1] == "after=x%26after%3Db%20c%25%01%0A", "%s",
              store.queries[1].c_str());
  });
}

// Guards against entries that can be read, but whose figures no worker has.
Test(odd_entries, odd_figures_harm_no_request, .timeout = 60) {
  OnRuntime([](io::Runtime& runtime) {
    serving::RouterFixture fixture(runtime, 26900);
    fixture.AddServer(1, "app", {}, [](io::HttpExchange& exchange) {
      exchange.Respond(serving::MakeResponse(exchange, 200, "ok"));
    });
    fixture.AddServer(2, "llm", {0, 4}, [](io::HttpExchange& exchange) {
      exchange.BeginStream(serving::MakeResponse(exchange, 200, ""));
      exchange.WriteChunk(serving::Event(1));
      exchange.EndStream();
    });
    // Nothing listens at the address of the odd server.
    std::uint64_t number = 10;
    for (const placement::LayerRange layers :
         {placement::LayerRange{0, 100000}, {99999, 100000}, {3, 3}, {0, 0}}) {
      for (const std::uint32_t slots : {0U, 1U, UINT32_MAX}) {
        for (const char* service : {"app", "llm", "none"}) {
          for (const char* kind : {"", "k", "none"}) {
            routing::BackendServer server;
            server.id = fmt::format("odd{}", ++number);
            server.service = service;
            server.address = {"127.0.203.9",
                              static_cast<std::uint16_t>(number)};
            server.data_centre = number % 2 == 0 ? "a" : "";
            server.slots = slots;
            server.layers = layers;
            server.accelerator_kind = kind;
            server.warm_up_left = milliseconds(UINT32_MAX);
            routing::ServerRegistry& servers = fixture.routing_state.Servers();
            const std::uint64_t revision = 10 * number;
            servers.ApplyChange({server.id, revision, server}, false,
                                runtime.Now());
            for (const char* path : {"/lookup/x", "/draft/x"}) {
              const auto response = fixture.Call(
                  fixture.Request(path, fmt::format("r{}", number)));
              cr_assert(response.has_value() && response.value().status == 200,
                        "%s, %u slots, %s, %s", path, slots, service, kind);
            }
            servers.ApplyChange({server.id, revision + 1, std::nullopt}, true,
                                runtime.Now());
          }
        }
      }
    }
  });
}

// Guards against a VM that ends while it plans because an entry names layers
// that the model does not have.
Test(odd_entries, the_planner_leaves_out_workers_with_unknown_layers) {
  placement::ModelProfile model;
  model.layers = 8;
  model.layer_mb = 100;
  model.kv_bytes_per_token = 8000;
  model.step_time = milliseconds(1);
  model.prefill_tokens_per_second = 100000;
  model.concurrent_loads = 4;
  model.batch_limit = 64;
  model.typical_prompt_tokens = 100;
  model.typical_answer_tokens = 20;
  model.accelerator_kinds["k"] = {590, 1, 1};
  const auto worker = [&](const std::string& name,
                          placement::LayerRange layers) {
    placement::PlannedWorker planned;
    planned.worker = name;
    planned.data_centre = "a";
    planned.kind = model.accelerator_kinds.at("k");
    planned.layers = layers;
    return planned;
  };
  for (const placement::LayerRange odd :
       {placement::LayerRange{0, 100000}, {99990, 100000}, {4, 9}, {8, 9}}) {
    for (const std::uint32_t held : {0U, 4U, 8U}) {
      std::vector<placement::PlannedWorker> workers = {
          worker("a", {0, std::min(held, 4U)}),
          worker("b", {std::min(held, 4U), held}),
          worker("c", {0, std::min(held, 4U)}), worker("odd", odd)};
      for (const auto& order : placement::PlanPlacement(model, workers, {})) {
        cr_assert(order.worker != "odd");
        cr_assert_leq(order.layers.to, model.layers);
      }
    }
  }
}

namespace {

// A record of a server of `service` at port `port` of one VM.
routing::ServerRecord RecordAt(const std::string& id,
                               std::uint64_t revision,
                               std::uint16_t port,
                               const std::string& service) {
  routing::BackendServer server;
  server.id = id;
  server.service = service;
  server.address = {"127.0.203.9", port};
  server.data_centre = "a";
  server.slots = 4;
  return {id, revision, server};
}

// The id of the server in use at port 80; empty if there is none.
std::string HolderOf(const routing::ServerRegistry& registry) {
  const auto* server = registry.FindByAddress({"127.0.203.9", 80});
  return server == nullptr ? "" : server->id;
}

}  // namespace

// Guards against sound servers that are left out for good: another writer's
// entry names their address and a service that is not configured.
Test(odd_entries, an_entry_of_no_service_takes_no_address) {
  const auto own = RecordAt("own", 5, 80, "app");
  for (const std::uint64_t odd_revision : {3, 5, 9}) {
    const auto odd = RecordAt("odd", odd_revision, 80, "none");
    for (const bool odd_first : {false, true}) {
      for (const bool listed : {false, true}) {
        routing::ServerRegistry registry{routing::ServerRegistrySettings{}};
        registry.SetServices({"app"});
        if (listed) {
          registry.ApplyListing(
              odd_first ? std::vector{odd, own} : std::vector{own, odd}, 10,
              Instant{});
        } else {
          registry.ApplyChange(odd_first ? odd : own, false, Instant{});
          registry.ApplyChange(odd_first ? own : odd, false, Instant{});
        }
        cr_assert(HolderOf(registry) == "own", "%s",
                  HolderOf(registry).c_str());
        cr_assert_eq(registry.Usable("app").size(), 1);
        cr_assert_eq(registry.Configured().size(), 1);
        registry.ApplyChange({"odd", 11, std::nullopt}, true, Instant{});
        cr_assert_eq(registry.Usable("app").size(), 1);
      }
    }
  }
}

// The configuration may come after the entries, and may change.
Test(odd_entries, addresses_follow_the_configured_services) {
  routing::ServerRegistry registry{routing::ServerRegistrySettings{}};
  registry.ApplyListing(
      {RecordAt("own", 5, 80, "app"), RecordAt("odd", 9, 80, "new")}, 10,
      Instant{});
  registry.SetServices({"app"});
  cr_assert(HolderOf(registry) == "own");
  std::uint64_t generation = registry.Generation();
  registry.SetServices({"app"});
  cr_assert_eq(registry.Generation(), generation);
  registry.SetServices({"app", "new"});
  cr_assert_gt(registry.Generation(), generation);
  cr_assert(HolderOf(registry) == "odd");
  cr_assert(registry.Usable("app").empty());
  registry.SetServices({"app"});
  cr_assert(HolderOf(registry) == "own");
  cr_assert_eq(registry.Usable("app").size(), 1);
}

// Guards against a server that stays left out once the entry that took its
// address is gone or unreadable: its own entry does not change again.
Test(odd_entries, an_address_returns_to_the_entry_that_is_left) {
  for (const bool removed : {false, true}) {
    routing::ServerRegistry registry{routing::ServerRegistrySettings{}};
    registry.SetServices({"app", "llm"});
    registry.ApplyChange(RecordAt("own", 5, 80, "app"), false, Instant{});
    registry.ApplyChange(RecordAt("other", 9, 80, "llm"), false, Instant{});
    cr_assert(HolderOf(registry) == "other");
    cr_assert_null(registry.Find("own"));
    registry.ApplyChange({"other", 10, std::nullopt}, removed, Instant{});
    cr_assert(HolderOf(registry) == "own");
    cr_assert_not_null(registry.Find("own"));
    // It moves to another address.
    registry.ApplyChange(RecordAt("other", 11, 80, "llm"), false, Instant{});
    registry.ApplyChange(RecordAt("other", 12, 81, "llm"), false, Instant{});
    cr_assert(HolderOf(registry) == "own");
    cr_assert_eq(registry.All().size(), 2);
    // The owner writes again.
    registry.ApplyChange(RecordAt("other", 13, 80, "llm"), false, Instant{});
    registry.ApplyChange(RecordAt("own", 14, 80, "app"), false, Instant{});
    cr_assert(HolderOf(registry) == "own");
  }
}

// Guards against a reused address that stays with the earlier server, whose
// entry the store has kept or removes late.
Test(odd_entries, a_reused_address_stays_with_the_newer_server) {
  routing::ServerRegistry registry{routing::ServerRegistrySettings{}};
  registry.SetServices({"app", "llm"});
  registry.ApplyChange(RecordAt("gone", 5, 80, "app"), false, Instant{});
  registry.ApplyChange(RecordAt("new", 9, 80, "llm"), false, Instant{});
  registry.ApplyChange(RecordAt("gone", 6, 80, "app"), false, Instant{});
  cr_assert(HolderOf(registry) == "new");
  registry.ApplyChange({"gone", 10, std::nullopt}, true, Instant{});
  cr_assert(HolderOf(registry) == "new");
  cr_assert_eq(registry.All().size(), 1);
}

// Guards against refusals of all requests: every sound server has the address
// of an entry of no service.
Test(odd_entries, servers_are_used_beside_entries_of_no_service) {
  OnRuntime([](io::Runtime& runtime) {
    serving::RouterFixture fixture(runtime, 26950);
    for (const int number : {1, 2}) {
      fixture.AddServer(number, "app", {}, [](io::HttpExchange& exchange) {
        exchange.Respond(serving::MakeResponse(exchange, 200, "ok"));
      });
    }
    routing::ServerRegistry& servers = fixture.routing_state.Servers();
    for (const int number : {1, 2}) {
      routing::BackendServer odd = *servers.Find(fmt::format("s{}", number));
      odd.id = fmt::format("odd{}", number);
      odd.service = "none";
      servers.ApplyChange({odd.id, 20, odd}, false, runtime.Now());
    }
    for (const char* path : {"/lookup/x", "/file/x"}) {
      const auto response = fixture.Call(fixture.Request(path, path));
      cr_assert_eq(response.value().status, 200, "%s", path);
    }
  });
}

// Guards against a VM that takes itself for cut off because nothing answers at
// the addresses of entries of no service.
Test(odd_entries, links_are_not_checked_with_entries_of_no_service) {
  OnRuntime([](io::Runtime& runtime) {
    serving::RouterFixture fixture(runtime, 26970);
    fixture.AddServer(1, "app", {}, [](io::HttpExchange& exchange) {
      exchange.Respond(serving::MakeResponse(exchange, 200, "ok"));
    });
    for (std::uint16_t number = 2; number < 60; ++number) {
      const auto odd =
          RecordAt(fmt::format("odd{}", number), number + 100U, number, "none");
      fixture.routing_state.Servers().ApplyChange(odd, false, runtime.Now());
    }
    cr_assert(fixture.links->ConfirmFailure("other", runtime.Now()));
    cr_assert(!fixture.links->CutOff());
  });
}
