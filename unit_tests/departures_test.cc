// Tests of departures that servers announce in their answers: when they arrive
// without a registration, for another start, or through another VM.
#include <fmt/format.h>

#include "chervilpass/routing/server_registry.h"

// Last: its macros clash with headers of Boost.
#include "unit_tests/router_fixture.h"

using namespace chervilpass;
using namespace chervilpass::routing;
using namespace chervilpass::serving;

namespace {

constexpr Instant kStart{};

ServerRecord Record(const std::string& id,
                    std::uint64_t revision,
                    std::uint16_t port) {
  BackendServer server;
  server.id = id;
  server.service = "orders";
  server.address = {"10.0.0.1", port};
  server.data_centre = "a";
  server.slots = 4;
  return {id, revision, server};
}

}  // namespace

// Guards against departures that are forgotten: the registration had lapsed
// when the server's answer arrived, or the notice of another VM came before it.
Test(departures, a_departure_is_kept_without_a_registration) {
  ServerRegistry registry{ServerRegistrySettings{}};
  ServerRecord record = Record("s", 10, 80);
  record.server->started = {1000};
  registry.ApplyChange(record, false, kStart);
  registry.ApplyChange({"s", 11, std::nullopt}, true, kStart);
  (void)registry.MarkLeaving("s", {1000});
  record.revision = 12;
  registry.ApplyChange(record, false, kStart);
  cr_assert(registry.Usable("orders").empty(), "its registration came back");
  (void)registry.MarkLeaving("t", {500});
  ServerRecord other = Record("t", 13, 81);
  other.server->started = {500};
  registry.ApplyListing({record, other}, 13, kStart);
  cr_assert(registry.Usable("orders").empty(), "it was registered later");
  other.revision = 14;
  other.server->started = {501};
  registry.ApplyChange(other, false, kStart);
  cr_assert_eq(registry.Usable("orders").size(), 1, "another start of it");
}

// Guards against a departure that a record of an earlier start makes forgotten.
Test(departures, a_record_of_an_earlier_start_does_not_end_a_departure) {
  ServerRegistry registry{ServerRegistrySettings{}};
  ServerRecord record = Record("s", 10, 80);
  record.server->started = {2000};
  registry.ApplyChange(record, false, kStart);
  cr_assert(registry.MarkLeaving("s", {2000}));
  record.revision = 11;
  record.server->started = {1000};
  registry.ApplyChange(record, false, kStart);
  cr_assert(registry.Usable("orders").empty());
  record.revision = 12;
  record.server->started = {2000};
  registry.ApplyChange(record, false, kStart);
  cr_assert(registry.Usable("orders").empty());
}

// Guards against a departure that is attributed to another start: the entry of
// the server had gone when the request was sent.
Test(departures, the_start_of_a_removed_server_is_known) {
  RoutingState routing_state({}, 1);
  ServerRecord record = Record("s", 10, 80);
  record.server->started = {1000};
  routing_state.Servers().ApplyChange(record, false, kStart);
  routing_state.Servers().ApplyChange({"s", 11, std::nullopt}, true, kStart);
  cr_assert_eq(routing_state.StartedOf("s").milliseconds, 1000);
  cr_assert_eq(routing_state.StartedOf("t").milliseconds, 0);
}

namespace {

// Writes whole responses, to calls and to streams.
void RespondByPath(io::HttpExchange& exchange, const io::HttpResponse& head) {
  if (exchange.Request().target != "/draft/x") {
    return exchange.Respond(head);
  }
  exchange.BeginStream(head);
  exchange.WriteChunk(Event(1));
  exchange.EndStream();
}

struct LeavingCase {
  const char* path;
  const char* service;
  placement::LayerRange layers;
};

const LeavingCase kLeavingCases[] = {{"/lookup/x", "app", {}},
                                     {"/draft/x", "llm", {0, 4}}};

}  // namespace

// Guards against a departure that is forgotten because the registration of the
// server had lapsed when its answer arrived.
Test(departures, a_departure_counts_although_the_registration_has_lapsed) {
  OnRuntime([](io::Runtime& runtime) {
    int port = 25160;
    for (const LeavingCase& leaving : kLeavingCases) {
      RouterFixture fixture(runtime, static_cast<std::uint16_t>(port));
      port += 10;
      int arrivals = 0;
      fixture.AddServer(
          1, leaving.service, leaving.layers, [&](io::HttpExchange& exchange) {
            if (exchange.Request().method == "GET" &&
                exchange.Request().target == "/v1/report") {
              return exchange.Respond({200, {}, R"({"seq":1})"});
            }
            ++arrivals;
            runtime.SleepFor(milliseconds(150));
            io::HttpResponse head = MakeResponse(exchange, 200, "");
            head.headers.Add("Server-Leaving", "1");
            RespondByPath(exchange, head);
          });
      routing::ServerRegistry& servers = fixture.routing_state.Servers();
      routing::BackendServer server = *servers.Find("s1");
      server.started = {1000};
      servers.ApplyChange({"s1", 10, server}, false, runtime.Now());
      runtime.Spawn([&] {
        runtime.SleepFor(milliseconds(70));
        servers.ApplyChange({"s1", 11, std::nullopt}, true, runtime.Now());
      });
      cr_assert_eq(
          fixture.Call(fixture.Request(leaving.path, "r1")).value().status,
          200);
      servers.ApplyChange({"s1", 12, server}, false, runtime.Now());
      fixture.AddServer(
          2, leaving.service, leaving.layers, [&](io::HttpExchange& exchange) {
            RespondByPath(exchange, MakeResponse(exchange, 200, ""));
          });
      for (int i = 2; i < 22; ++i) {
        const auto response =
            fixture.Call(fixture.Request(leaving.path, fmt::format("r{}", i)));
        cr_assert_eq(response.value().status, 200);
      }
      cr_assert_eq(arrivals, 1, "%s: %d arrivals", leaving.path, arrivals);
    }
  });
}

// Guards against a departure that a VM passes on without knowing: it was served
// through another VM, which reads the statement and does not forward it.
Test(departures, a_departure_that_another_vm_has_read_counts, .timeout = 30) {
  OnRuntime([](io::Runtime& runtime) {
    int port = 25300;
    for (const LeavingCase& leaving : kLeavingCases) {
      RouterFixture other(runtime, static_cast<std::uint16_t>(port));
      int passed_on = 0;
      other.AddServer(1, leaving.service, leaving.layers,
                      [&](io::HttpExchange& exchange) {
                        ++passed_on;
                        io::HttpResponse head = MakeResponse(exchange, 200, "");
                        head.headers.Add("Server-Leaving", "1");
                        RespondByPath(exchange, head);
                      });
      const auto forwarded =
          other.Serve(static_cast<std::uint16_t>(port + 9),
                      [&](io::HttpExchange& exchange) {
                        other.router->HandleForwarded(exchange);
                      });
      port += 10;
      RouterFixture fixture(runtime, static_cast<std::uint16_t>(port));
      for (int number = 1; number <= 3; ++number) {
        fixture.RegisterServer(number, leaving.service, leaving.layers);
      }
      fixture.forward_targets = {{kIp, static_cast<std::uint16_t>(port - 1)}};
      const auto first = fixture.Call(fixture.Request(leaving.path, "r1"));
      cr_assert_eq(first.value().status, 200);
      cr_assert_eq(first.value().headers.All().size(), 3,
                   "the caller gets no field of the VMs");
      cr_assert(fixture.links->CutOff());
      cr_assert_eq(passed_on, 1);
      // The links are back.
      int late = 0;
      fixture.AddServer(
          1, leaving.service, leaving.layers, [&](io::HttpExchange& exchange) {
            late += exchange.Request().target == leaving.path;
            RespondByPath(exchange, MakeResponse(exchange, 200, ""));
          });
      fixture.AddServer(
          2, leaving.service, leaving.layers, [&](io::HttpExchange& exchange) {
            RespondByPath(exchange, MakeResponse(exchange, 200, ""));
          });
      for (int i = 0; i < 500 && fixture.links->CutOff(); ++i) {
        runtime.SleepFor(milliseconds(10));
      }
      cr_assert(!fixture.links->CutOff());
      runtime.SleepFor(milliseconds(500));
      for (int i = 2; i < 22; ++i) {
        const auto response =
            fixture.Call(fixture.Request(leaving.path, fmt::format("r{}", i)));
        cr_assert_eq(response.value().status, 200);
      }
      cr_assert_eq(late, 0, "%s: %d requests", leaving.path, late);
      port += 10;
    }
  });
}
