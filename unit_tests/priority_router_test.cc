// Tests of the router with routes of different priorities, against scripted
// backend servers on loopback.
#include "unit_tests/router_fixture.h"

using namespace chervilpass;
using namespace chervilpass::serving;

namespace {

// Requests for /draft/ are more urgent than those for /once/ and /file/.
void SetPriorities(RouterFixture* fixture) {
  routing::RouteTableData data = fixture->routing_state.Table()->Data();
  data.version = 2;
  for (routing::Route& route : data.routes) {
    route.priority = route.name == "/once/" || route.name == "/file/" ? 2 : 0;
  }
  cr_assert(
      fixture->routing_state.ApplyConfig(routing::RouteTable::Create(data)));
}

void Reject(io::HttpExchange& exchange) {
  io::HttpResponse response = MakeResponse(exchange, 503, "");
  response.headers.Add("Chervilpass-Not-Executed", "1");
  exchange.Respond(response);
}

void Serve(io::HttpExchange& exchange) {
  exchange.BeginStream(MakeResponse(exchange, 200, ""));
  exchange.WriteChunk(Event(1));
  exchange.EndStream();
}

std::string UrgencyOf(const io::HttpExchange& exchange) {
  return exchange.Request()
      .headers.Find("Chervilpass-Request-Urgency")
      .value_or("none");
}

io::HttpRequest WithKey(io::HttpRequest request, const std::string& key) {
  io::HttpHeaders headers;
  for (const io::HttpHeader& header : request.headers.All()) {
    const bool replaced = header.name == "Authorization";
    headers.Add(header.name, replaced ? "Token " + key : header.value);
  }
  request.headers = headers;
  return request;
}

}  // namespace

// Load: requests of two priorities that wait at the same worker. Without
// different priorities servers get no urgency, as before.
Test(priority_router, servers_get_the_urgency) {
  OnRuntime([](io::Runtime& runtime) {
    RouterFixture fixture(runtime, 27810);
    std::string seen;
    fixture.AddServer(1, "llm", {0, 4}, [&](io::HttpExchange& exchange) {
      seen = UrgencyOf(exchange);
      Serve(exchange);
    });
    fixture.AddServer(2, "app", {}, [&](io::HttpExchange& exchange) {
      seen = UrgencyOf(exchange);
      exchange.Respond(MakeResponse(exchange, 200, "done"));
    });
    cr_assert(fixture.Stream(fixture.Request("/draft/x", "r1")).has_value());
    cr_assert(seen == "none");
    SetPriorities(&fixture);
    cr_assert(fixture.Stream(fixture.Request("/draft/x", "r2")).has_value());
    cr_assert(seen == "0");
    cr_assert(fixture.Stream(fixture.Request("/once/x", "r3")).has_value());
    cr_assert(seen == "9");
    cr_assert(fixture.Call(fixture.Request("/file/x", "r4")).has_value());
    cr_assert(seen == "9");
    cr_assert(fixture.Call(fixture.Request("/lookup/x", "r5")).has_value());
    cr_assert(seen == "0");
  });
}

// Load: two organisations with priorities of their own, which both use an
// urgent and a less urgent route. Guards against servers that treat the
// requests of one organisation alike.
Test(priority_router, routes_rank_the_requests_of_an_organisation) {
  OnRuntime([](io::Runtime& runtime) {
    RouterFixture fixture(runtime, 27850);
    SetPriorities(&fixture);
    routing::RouteTableData data = fixture.routing_state.Table()->Data();
    data.version = 3;
    data.organisations = {{"first", {"key"}, 0}, {"second", {"other"}, 1}};
    cr_assert(
        fixture.routing_state.ApplyConfig(routing::RouteTable::Create(data)));
    std::string seen;
    fixture.AddServer(1, "llm", {0, 4}, [&](io::HttpExchange& exchange) {
      seen = UrgencyOf(exchange);
      Serve(exchange);
    });
    std::vector<std::string> urgencies;
    for (const char* key : {"key", "other"}) {
      for (const char* path : {"/draft/x", "/once/x"}) {
        cr_assert(fixture.Stream(WithKey(fixture.Request(path, "r"), key))
                      .has_value());
        urgencies.push_back(seen);
      }
    }
    cr_assert(urgencies == (std::vector<std::string>{"0", "3", "6", "9"}));
  });
}

// Load: the only workers are full for a moment. Requests were refused after one
// such response of each, with most of their time left.
Test(priority_router, a_stream_waits_while_workers_are_full) {
  OnRuntime([](io::Runtime& runtime) {
    RouterFixture fixture(runtime, 27820);
    SetPriorities(&fixture);
    int rejections = 0;
    const Instant free_at = runtime.Now() + milliseconds(400);
    for (int i = 1; i <= 2; ++i) {
      fixture.AddServer(i, "llm", {0, 4}, [&](io::HttpExchange& exchange) {
        if (runtime.Now() < free_at) {
          ++rejections;
          Reject(exchange);
        } else {
          Serve(exchange);
        }
      });
    }
    const auto body = fixture.Stream(fixture.Request("/draft/x", "r1"));
    cr_assert(body.has_value() && body.value() == Event(1));
    cr_assert_gt(rejections, 0);
    cr_assert_leq(rejections, 20, "%d rejections", rejections);
    cr_assert_gt(fixture.metrics.CounterValue("chervil_capacity_waits_total",
                                              "priority=\"0\""),
                 0);
  });
}

// Load: workers that stay full. The caller gets a refusal that states that the
// request has not run, before its time ends.
Test(priority_router, a_stream_is_refused_if_workers_stay_full) {
  OnRuntime([](io::Runtime& runtime) {
    RouterFixture fixture(runtime, 27830);
    SetPriorities(&fixture);
    int rejections = 0;
    fixture.AddServer(1, "llm", {0, 4}, [&](io::HttpExchange& exchange) {
      ++rejections;
      Reject(exchange);
    });
    const Instant start = runtime.Now();
    const auto response =
        fixture.Call(fixture.Request("/draft/x", "r1", "1000"));
    cr_assert(response.has_value());
    cr_assert_eq(response.value().status, 503);
    cr_assert(response.value().headers.Find("Retry-After"));
    cr_assert_lt(runtime.Now() - start, milliseconds(1000));
    cr_assert_leq(rejections, 20, "%d rejections", rejections);
    cr_assert(fixture.routing_state.Capacity()
                  .ShortServices(runtime.Now())
                  .contains("llm"));
  });
}

// Guards against waits of requests whose workers all rest: their callers are
// told at once when the rests end.
Test(priority_router, a_stream_does_not_wait_for_long_rests) {
  OnRuntime([](io::Runtime& runtime) {
    RouterFixture fixture(runtime, 27840);
    SetPriorities(&fixture);
    fixture.AddServer(1, "llm", {0, 4}, [](io::HttpExchange& exchange) {
      io::HttpResponse response = MakeResponse(exchange, 503, "");
      response.headers.Add("Chervilpass-Not-Executed", "1");
      response.headers.Add("Retry-After", "5");
      exchange.Respond(response);
    });
    const Instant start = runtime.Now();
    const auto response = fixture.Call(fixture.Request("/draft/x", "r1"));
    cr_assert_eq(response.value().status, 503);
    cr_assert_lt(runtime.Now() - start, milliseconds(600));
  });
}

// Guards against headroom that is lent after a refusal for another reason.
Test(priority_router, only_refusals_for_lack_of_room_are_remembered) {
  OnRuntime([](io::Runtime& runtime) {
    RouterFixture fixture(runtime, 27860);
    SetPriorities(&fixture);
    const auto& refusals = fixture.routing_state.Capacity().Refusals();
    const io::HttpRequest request = fixture.Request("/once/x", "r", "600");
    cr_assert_eq(fixture.Call(request).value().status, 503);  // no worker
    cr_assert_eq(refusals.Size(), 0);
    fixture.AddServer(1, "llm", {0, 4}, Reject);
    cr_assert_eq(fixture.Call(request).value().status, 503);
    cr_assert_eq(refusals.Size(), 1);
  });
}
