// Tests of the router against scripted backend servers on loopback: what
// callers and servers see when servers fail in the middle.
#include <fmt/format.h>

#include <boost/asio.hpp>
#include <functional>
#include <set>

#include "chervilpass/io/http_client.h"
#include "chervilpass/io/http_server.h"
#include "chervilpass/serving/router.h"

// Last: its macros clash with headers of Boost.
#include <criterion/criterion.h>

using namespace chervilpass;
using namespace chervilpass::serving;

namespace {

constexpr const char* kIp = "127.0.201.1";

// A router with one route of each kind, and scripted servers.
class Bench {
 public:
  explicit Bench(io::Runtime& runtime,
                 std::uint16_t base,
                 bool knows_configuration = true)
      : runtime(runtime),
        base(base),
        log({"test", "vm", LogLevel::kError, LogFormat::kKeyValue}),
        world(Settings(), 1),
        http(io::HttpClient::Create(&runtime, {})),
        caller(io::HttpClient::Create(&runtime, {})) {
    RouterDependencies parts;
    parts.runtime = &runtime;
    parts.routing_state = &this->world;
    parts.http = this->http.get();
    parts.metrics = &this->metrics;
    parts.log = &this->log;
    parts.report_unreachable = [](const std::string&) {};
    parts.report_refusing = [](const std::string&) {};
    parts.report_strike = [this](const quarantine::Strike&) {
      ++this->strikes;
    };
    this->router = Router::Create(std::move(parts), {});
    if (knows_configuration) {
      this->Adopt();
    }
    this->front = this->Serve(this->base, [this](io::HttpExchange& exchange) {
      this->router->Handle(exchange);
    });
  }

  // Starts a server of a service; `layers` for a worker of the model.
  void AddServer(int number,
                 const std::string& service,
                 placement::LayerRange layers,
                 io::HttpHandler handler,
                 const std::string& kind = "k") {
    routing::BackendServer server;
    server.id = fmt::format("s{}", number);
    server.service = service;
    server.address = {kIp, static_cast<std::uint16_t>(this->base + number)};
    server.data_centre = "a";
    server.slots = 4;
    server.layers = layers;
    server.accelerator_kind = layers.Empty() ? "" : kind;
    this->world.Servers().ApplyChange(
        {server.id, static_cast<std::uint64_t>(number), server}, false,
        this->runtime.Now());
    this->servers.push_back(this->Serve(
        static_cast<std::uint16_t>(this->base + number), std::move(handler)));
  }

  void Adopt() {
    routing::RouteTableData parts;
    parts.version = 1;
    parts.keys_required = true;
    parts.organisations = {{"org", {"key"}, {}}};
    parts.routes = {
        RouteOf("/lookup/", routing::RouteKind::kIdempotent, 2, "app"),
        RouteOf("/file/", routing::RouteKind::kNonIdempotent, 1, "app"),
        RouteOf("/draft/", routing::RouteKind::kStream, 2, "llm"),
        // May not run again: only a move can save it.
        RouteOf("/once/", routing::RouteKind::kStream, 1, "llm")};
    routing::ServiceProfile llm;
    llm.name = "llm";
    llm.model.emplace();
    llm.model->layers = 4;
    llm.model->layer_mb = 100;
    llm.model->kv_bytes_per_token = 4000;
    llm.model->step_time = milliseconds(1);
    llm.model->prefill_tokens_per_second = 100000;
    llm.model->typical_answer_tokens = 20;
    llm.model->kinds["k"] = {10000, 1, 1};
    // Two layers and KV room for one request of 100 and 20 tokens.
    llm.model->kinds["tiny"] = {200.3, 1, 1};
    routing::ServiceProfile app;
    app.name = "app";
    parts.services = {llm, app};
    cr_assert(this->world.ApplyConfig(routing::RouteTable::Create(parts)));
  }

  io::HttpRequest Request(const std::string& path,
                          const std::string& id,
                          const std::string& deadline_ms = "3000") {
    io::HttpRequest request;
    request.method = path == "/lookup/x" ? "GET" : "POST";
    request.target = path;
    request.headers.Add("Host", "h.example");
    request.headers.Add("Chervilpass-Request-Id", id);
    request.headers.Add("Chervilpass-Deadline-Ms", deadline_ms);
    request.headers.Add("Chervilpass-Token-Counts", "100,20");
    request.headers.Add("Authorization", "Token key");
    return request;
  }

  Result<io::HttpResponse, io::HttpError> Call(const io::HttpRequest& request) {
    return this->caller->Call({kIp, this->base}, request, seconds(5),
                              io::ConnectionUse::kFresh);
  }

  // Reads a stream; the error if it does not end properly.
  Result<std::string, io::HttpError> Stream(const io::HttpRequest& request) {
    std::string body;
    BOOST_OUTCOME_TRY(this->caller->Stream(
        {kIp, this->base}, request, seconds(5), [&body](std::string_view data) {
          body += data;
          return true;
        }));
    return body;
  }

  io::Runtime& runtime;
  std::uint16_t base;
  Logger log;
  MetricsRegistry metrics;
  RoutingState world;
  std::unique_ptr<io::HttpClient> http;
  std::unique_ptr<io::HttpClient> caller;
  std::unique_ptr<Router> router;
  std::unique_ptr<io::HttpServer> front;
  std::vector<std::unique_ptr<io::HttpServer>> servers;
  int strikes = 0;

 private:
  static RoutingStateSettings Settings() {
    RoutingStateSettings settings;
    settings.data_centre = "a";
    return settings;
  }

  std::unique_ptr<io::HttpServer> Serve(std::uint16_t port,
                                        io::HttpHandler handler) {
    io::HttpServerSettings settings;
    settings.listen = {kIp, port};
    auto server =
        io::HttpServer::Create(&this->runtime, settings, std::move(handler),
                               Router::UnreadableResponse);
    cr_assert(server.has_value());
    return std::move(server).value();
  }

  static routing::Route RouteOf(const std::string& prefix,
                                routing::RouteKind kind,
                                std::uint32_t attempts,
                                const std::string& service) {
    routing::Route route;
    route.name = prefix;
    route.host = "h.example";
    route.path_prefix = prefix;
    route.kind = kind;
    route.timeout = seconds(2);
    route.attempts = attempts;
    route.shares = {{service, 1}};
    route.resumable = kind == routing::RouteKind::kStream;
    return route;
  }
};

io::HttpResponse Answer(const io::HttpExchange& exchange,
                        unsigned status,
                        const std::string& body) {
  io::HttpResponse answer;
  answer.status = status;
  answer.headers.Add(
      "Chervilpass-Request-Id",
      exchange.Request().headers.Find("Chervilpass-Request-Id").value_or(""));
  answer.headers.Add("Chervilpass-Server-Seal", "seal");
  answer.body = body;
  return answer;
}

std::string Event(int id) {
  return fmt::format("id: {}\ndata: piece {}\n\n", id, id);
}

void OnRuntime(const std::function<void(io::Runtime&)>& body) {
  io::Runtime::Run([&body](io::Runtime& runtime) { body(runtime); });
}

}  // namespace

Test(router, a_request_reaches_its_server_unchanged_and_the_answer_the_caller) {
  OnRuntime([](io::Runtime& runtime) {
    Bench bench(runtime, 22000);
    std::string seen;
    bench.AddServer(1, "app", {}, [&seen](io::HttpExchange& exchange) {
      seen = exchange.Request().target + " " +
             exchange.Request().headers.Find("Chervilpass-Tenant").value_or("");
      cr_assert(!exchange.Request().headers.Find("Authorization"));
      exchange.Respond(Answer(exchange, 200, "found"));
    });
    const auto answer = bench.Call(bench.Request("/lookup/x", "r1"));
    cr_assert(answer.has_value());
    cr_assert_eq(answer.value().status, 200);
    cr_assert((answer.value().body) == "found");
    cr_assert((seen) == "/lookup/x org");
    cr_assert(answer.value().headers.Find("Chervilpass-Server-Seal"));
  });
}

Test(router, unknown_keys_and_routes_are_refused_without_a_send) {
  OnRuntime([](io::Runtime& runtime) {
    Bench bench(runtime, 22010);
    int sends = 0;
    bench.AddServer(1, "app", {}, [&sends](io::HttpExchange& exchange) {
      ++sends;
      exchange.Respond(Answer(exchange, 200, ""));
    });
    cr_assert_eq(bench.Call(bench.Request("/none/x", "r1")).value().status,
                 404);
    io::HttpRequest wrong = bench.Request("/lookup/x", "r2");
    wrong.headers = {};
    wrong.headers.Add("Host", "h.example");
    wrong.headers.Add("Chervilpass-Request-Id", "r2");
    cr_assert_eq(bench.Call(wrong).value().status, 401);
    cr_assert_eq(sends, 0);
  });
}

// An unrepeatable call whose connection breaks may have run: it is not sent
// again, and nothing is promised.
Test(router, an_unrepeatable_call_that_broke_is_never_sent_again) {
  OnRuntime([](io::Runtime& runtime) {
    Bench bench(runtime, 22020);
    int sends = 0;
    for (int i = 1; i <= 2; ++i) {
      bench.AddServer(i, "app", {}, [&sends](io::HttpExchange& exchange) {
        ++sends;
        exchange.Abort();
      });
    }
    const auto answer = bench.Call(bench.Request("/file/x", "r1"));
    cr_assert_eq(answer.value().status, 502);
    cr_assert_eq(sends, 1);
  });
}

Test(router, what_a_server_states_as_not_run_is_tried_elsewhere) {
  OnRuntime([](io::Runtime& runtime) {
    Bench bench(runtime, 22030);
    int runs = 0;
    bench.AddServer(1, "app", {}, [](io::HttpExchange& exchange) {
      io::HttpResponse full = Answer(exchange, 503, "");
      full.headers.Add("Chervilpass-Not-Executed", "1");
      exchange.Respond(full);
    });
    bench.AddServer(2, "app", {}, [&runs](io::HttpExchange& exchange) {
      ++runs;
      exchange.Respond(Answer(exchange, 200, "filed"));
    });
    for (int i = 0; i < 8; ++i) {
      const auto answer =
          bench.Call(bench.Request("/file/x", fmt::format("r{}", i)));
      cr_assert_eq(answer.value().status, 200);
    }
    cr_assert_eq(runs, 8);
  });
}

// A 503 without the server's statement promises what the server did not.
Test(router, a_promise_that_the_server_did_not_make_is_not_passed_on) {
  OnRuntime([](io::Runtime& runtime) {
    Bench bench(runtime, 22040);
    bench.AddServer(1, "app", {}, [](io::HttpExchange& exchange) {
      exchange.Respond(Answer(exchange, 503, ""));
    });
    cr_assert_eq(bench.Call(bench.Request("/file/x", "r1")).value().status,
                 502);
  });
}

Test(router, a_success_without_signature_or_for_another_request_is_no_answer) {
  OnRuntime([](io::Runtime& runtime) {
    Bench bench(runtime, 22050);
    int sends = 0;
    bench.AddServer(1, "app", {}, [&sends](io::HttpExchange& exchange) {
      io::HttpResponse answer;
      answer.headers.Add("Chervilpass-Request-Id", ++sends == 1 ? "r1" : "r0");
      if (sends > 1) {
        answer.headers.Add("Chervilpass-Server-Seal", "seal");
      }
      answer.body = "wrong";
      exchange.Respond(answer);
      if (sends > 1) {
        exchange.Abort();
      }
    });
    const auto unsigned_answer = bench.Call(bench.Request("/file/x", "r1"));
    cr_assert_eq(unsigned_answer.value().status, 502);
    const auto foreign = bench.Call(bench.Request("/file/x", "r2"));
    cr_assert_neq(foreign.value().status, 200);
    cr_assert_eq(sends, 2);
  });
}

Test(router, the_routes_timeout_gets_a_final_answer) {
  OnRuntime([](io::Runtime& runtime) {
    Bench bench(runtime, 22060);
    bench.AddServer(1, "app", {}, [&runtime](io::HttpExchange& exchange) {
      runtime.SleepFor(seconds(10));
      exchange.Abort();
    });
    const Instant start = runtime.Now();
    const auto answer = bench.Call(bench.Request("/file/x", "r1"));
    cr_assert_eq(answer.value().status, 504);
    cr_assert(runtime.Now() - start < milliseconds(2500));
  });
}

// A caller that leaves: the server sees its connection closed.
Test(router, work_ends_when_the_caller_leaves) {
  OnRuntime([](io::Runtime& runtime) {
    Bench bench(runtime, 22070);
    bool server_saw_close = false;
    bench.AddServer(1, "app", {}, [&](io::HttpExchange& exchange) {
      exchange.WatchPeer([&server_saw_close] { server_saw_close = true; });
      runtime.SleepFor(milliseconds(1500));
      exchange.Abort();
    });
    auto call =
        bench.caller->Open({kIp, 22070}, seconds(1), io::ConnectionUse::kFresh);
    cr_assert(call.has_value());
    cr_assert(call.value()
                  ->Send(bench.Request("/file/x", "r1"), seconds(1))
                  .has_value());
    runtime.SleepFor(milliseconds(100));
    call.value()->Cancel();
    runtime.SleepFor(milliseconds(300));
    cr_assert(server_saw_close);
    cr_assert_eq(bench.router->InFlight(), 0);
  });
}

// A stream breaks off in the middle of an event: it is resumed on another path
// within the same answer, and the half event is not passed on.
Test(router, a_broken_stream_is_resumed_without_a_gap) {
  OnRuntime([](io::Runtime& runtime) {
    Bench bench(runtime, 22080);
    int runs = 0;
    const auto worker = [&runs, &runtime](io::HttpExchange& exchange) {
      if (exchange.Request().method == "GET") {
        return exchange.Abort();  // it does not tell about itself
      }
      const bool first = ++runs == 1;
      const int from = std::stoi(
          exchange.Request().headers.Find("Last-Event-Id").value_or("0"));
      cr_assert_eq(from, first ? 0 : 2);
      cr_assert(exchange.Request().headers.Find("Chervilpass-Hop-Count"));
      exchange.BeginStream(Answer(exchange, 200, ""));
      for (int id = from + 1; id <= 5; ++id) {
        if (first && id == 3) {
          exchange.WriteChunk("id: 3\ndata: half");
          runtime.SleepFor(milliseconds(20));
          exchange.Abort();
          return;
        }
        exchange.WriteChunk(Event(id));
      }
      exchange.EndStream();
    };
    bench.AddServer(1, "llm", {0, 4}, worker);
    bench.AddServer(2, "llm", {0, 4}, worker);
    const auto body = bench.Stream(bench.Request("/draft/x", "r1"));
    cr_assert(body.has_value());
    std::string whole;
    for (int id = 1; id <= 5; ++id) {
      whole += Event(id);
    }
    cr_assert((body.value()) == whole);
    cr_assert_eq(runs, 2);
    runtime.SleepFor(milliseconds(400));
    // Neither answers a question about itself; only the one that broke off is
    // held against the request.
    cr_assert_eq(bench.strikes, 1);
  });
}

namespace {

// A first worker whose requests wait for a second one that is gone, until an
// order or another run leads them elsewhere. Its reports do not say so yet.
class StalledPair {
 public:
  StalledPair(io::Runtime& runtime, std::uint16_t base) : bench(runtime, base) {
    this->bench.AddServer(1, "llm", {0, 2}, [this](io::HttpExchange& exchange) {
      this->Handle(exchange);
    });
    // Takes connections and says nothing.
    this->bench.AddServer(2, "llm", {2, 4},
                          [this, &runtime](io::HttpExchange& exchange) {
                            ++this->asked;
                            runtime.SleepFor(seconds(2));
                            exchange.Abort();
                          });
  }

  // How long the stream was silent until it went on with a third worker; more
  // than any bound if it did not.
  Duration Run(const std::string& path, std::optional<Duration> hearsay = {}) {
    bool whole = false;
    this->bench.runtime.Spawn([&] {
      const auto body = this->bench.Stream(this->bench.Request(path, "r1"));
      whole = body.has_value() && body.value() == Event(1) + Event(2);
    });
    this->bench.runtime.SleepFor(milliseconds(40));
    this->bench.AddServer(3, "llm", {2, 4}, [](io::HttpExchange&) {});
    if (hearsay) {
      this->bench.runtime.SleepFor(*hearsay);
      this->bench.router->OnPeerFoundUnreachable("s2");
    }
    this->bench.runtime.SleepFor(milliseconds(600));
    return whole ? this->goes_on_at - this->silent_since : Duration::max();
  }

  Bench bench;
  int orders = 0;
  int asked = 0;

 private:
  void Handle(io::HttpExchange& exchange) {
    const io::HttpRequest& request = exchange.Request();
    const Instant now = this->bench.runtime.Now();
    if (request.method == "GET") {
      return exchange.Respond({200, {}, R"({"seq":1})"});
    }
    if (request.target == "/v1/order") {
      ++this->orders;
      this->goes_on_at = now;
      return exchange.Respond({200, {}, ""});
    }
    exchange.BeginStream(Answer(exchange, 200, ""));
    if (request.headers.Find("Last-Event-Id")) {
      this->goes_on_at = now;
      exchange.WriteChunk(Event(2));
      exchange.EndStream();
      return;
    }
    exchange.WriteChunk(Event(1));
    this->silent_since = now;
    for (int i = 0; i < 200 && this->orders == 0; ++i) {
      this->bench.runtime.SleepFor(milliseconds(5));
    }
    exchange.WriteChunk(Event(2));
    exchange.EndStream();
  }

  Instant goes_on_at{};
  Instant silent_since{};
};

}  // namespace

// Grown site, trouble-3: a worker's crash was found from the first worker's
// report only, 250 ms and more after the last event of each stream.
Test(router, a_stream_whose_worker_is_gone_runs_again_elsewhere_at_once) {
  OnRuntime([](io::Runtime& runtime) {
    StalledPair pair(runtime, 22200);
    const Duration silent = pair.Run("/draft/x");
    cr_assert(silent < milliseconds(245), "%ld", ToMilliseconds(silent));
    cr_assert_eq(pair.asked, 1);
    cr_assert_eq(pair.orders, 0);
  });
}

Test(router, a_stream_that_may_not_run_again_is_moved_in_place) {
  OnRuntime([](io::Runtime& runtime) {
    StalledPair pair(runtime, 22240);
    const Duration silent = pair.Run("/once/x");
    cr_assert(silent < milliseconds(245), "%ld", ToMilliseconds(silent));
    cr_assert_eq(pair.orders, 1);
  });
}

Test(router, what_a_peer_has_found_moves_streams_that_wait_for_that_worker) {
  OnRuntime([](io::Runtime& runtime) {
    StalledPair pair(runtime, 22210);
    // 110 ms after the start.
    const Duration silent = pair.Run("/draft/x", milliseconds(70));
    cr_assert(silent < milliseconds(145), "%ld", ToMilliseconds(silent));
  });
}

// Hunt, first site, trouble-2 seed 771663128626: a busy worker reset new
// connections, was taken for dead, and it held the first layers.
Test(router, a_worker_that_resets_connections_but_answers_is_not_dead) {
  OnRuntime([](io::Runtime& runtime) {
    Bench bench(runtime, 22150);
    int resets = 0;
    bench.AddServer(1, "llm", {0, 4}, [&resets](io::HttpExchange& exchange) {
      if (exchange.Request().method == "GET") {
        exchange.Respond({200, {}, R"({"seq":1})"});
        return;
      }
      ++resets;
      exchange.Abort();
    });
    (void)bench.Stream(bench.Request("/draft/x", "r1"));
    runtime.SleepFor(milliseconds(100));
    cr_assert_geq(resets, 1);
    cr_assert(!bench.world.IsUnreachable("s1", runtime.Now()));
    cr_assert_eq(bench.strikes, 0);
  });
}

// A resumed run that does not go on at the next event is not joined.
Test(router, runs_that_do_not_fit_are_never_joined) {
  OnRuntime([](io::Runtime& runtime) {
    Bench bench(runtime, 22090);
    const auto worker = [&runtime](io::HttpExchange& exchange) {
      if (exchange.Request().method == "GET") {
        return exchange.Abort();
      }
      const bool resumed =
          exchange.Request().headers.Find("Last-Event-Id").has_value();
      exchange.BeginStream(Answer(exchange, 200, ""));
      if (resumed) {
        exchange.WriteChunk(Event(4));
        exchange.EndStream();
        return;
      }
      exchange.WriteChunk(Event(1));
      runtime.SleepFor(milliseconds(20));
      exchange.Abort();
    };
    bench.AddServer(1, "llm", {0, 4}, worker);
    bench.AddServer(2, "llm", {0, 4}, worker);
    const auto body = bench.Stream(bench.Request("/draft/x", "r1"));
    cr_assert(body.has_error(), "a stream with a gap looked complete");
  });
}

// A worker that refuses its part is not offered the same request again.
Test(router, a_refusing_worker_is_left_out_for_the_request) {
  OnRuntime([](io::Runtime& runtime) {
    Bench bench(runtime, 22130);
    int refusals = 0;
    for (int i = 1; i <= 2; ++i) {
      bench.AddServer(i, "llm", {0, 4},
                      [&refusals](io::HttpExchange& exchange) {
                        ++refusals;
                        io::HttpResponse answer = Answer(exchange, 503, "");
                        answer.headers.Add("Chervilpass-Not-Executed", "1");
                        exchange.Respond(answer);
                      });
    }
    bench.AddServer(3, "llm", {0, 4}, [](io::HttpExchange& exchange) {
      exchange.BeginStream(Answer(exchange, 200, ""));
      exchange.WriteChunk(Event(1));
      exchange.EndStream();
    });
    for (int i = 0; i < 12; ++i) {
      const auto body =
          bench.Stream(bench.Request("/draft/x", fmt::format("r{}", i)));
      cr_assert(body.has_value() && body.value() == Event(1));
    }
    cr_assert_leq(refusals, 4, "%d refusals", refusals);
  });
}

// Pattern: no usable path. The refusal comes at once and says when to return.
Test(router, a_stream_without_a_path_is_refused_at_once) {
  OnRuntime([](io::Runtime& runtime) {
    Bench bench(runtime, 22100);
    bench.AddServer(1, "llm", {0, 3},
                    [](io::HttpExchange& exchange) { exchange.Abort(); });
    const Instant start = runtime.Now();
    const auto answer = bench.Call(bench.Request("/draft/x", "r1"));
    cr_assert_eq(answer.value().status, 503);
    cr_assert(answer.value().headers.Find("Retry-After"));
    cr_assert(runtime.Now() - start < milliseconds(200));
  });
}

// Pattern: all VMs restart at once, and their callers are back before the
// store has answered.
Test(router, requests_wait_while_a_fresh_vm_learns_what_it_needs) {
  OnRuntime([](io::Runtime& runtime) {
    Bench bench(runtime, 22220, false);
    bench.AddServer(1, "app", {}, [](io::HttpExchange& exchange) {
      exchange.Respond(Answer(exchange, 200, "ok"));
    });
    runtime.Spawn([&] {
      runtime.SleepFor(milliseconds(200));
      bench.Adopt();
    });
    cr_assert_eq(bench.Call(bench.Request("/file/x", "r1")).value().status,
                 200);
  });
}

Test(router, a_vm_that_learns_nothing_refuses_with_a_time_to_come_back) {
  OnRuntime([](io::Runtime& runtime) {
    Bench bench(runtime, 22230, false);
    const Instant start = runtime.Now();
    const auto answer = bench.Call(bench.Request("/file/x", "r1", "900"));
    cr_assert_eq(answer.value().status, 503);
    cr_assert(answer.value().headers.Find("Retry-After"));
    // A third of the caller's time, and a moment for the way there and back.
    cr_assert(runtime.Now() - start < milliseconds(400));
    // Later ones need not wait.
    runtime.SleepFor(milliseconds(800));
    const Instant later = runtime.Now();
    cr_assert_eq(bench.Call(bench.Request("/file/x", "r2")).value().status,
                 503);
    cr_assert(runtime.Now() - later < milliseconds(100));
  });
}

// The first worker accepts the request and falls silent: the stream goes on
// elsewhere well before callers leave.
Test(router, a_silent_worker_is_left_for_another) {
  OnRuntime([](io::Runtime& runtime) {
    Bench bench(runtime, 22110);
    int runs = 0;
    const auto worker = [&](io::HttpExchange& exchange) {
      if (exchange.Request().method == "GET") {
        runtime.SleepFor(seconds(5));  // no report either
        exchange.Abort();
        return;
      }
      const bool silent = ++runs == 1;
      exchange.BeginStream(Answer(exchange, 200, ""));
      const int from = std::stoi(
          exchange.Request().headers.Find("Last-Event-Id").value_or("0"));
      for (int id = from + 1; id <= 3; ++id) {
        exchange.WriteChunk(Event(id));
        if (silent) {
          runtime.SleepFor(seconds(5));
          exchange.Abort();
          return;
        }
      }
      exchange.EndStream();
    };
    bench.AddServer(1, "llm", {0, 4}, worker);
    bench.AddServer(2, "llm", {0, 4}, worker);
    const Instant start = runtime.Now();
    const auto body = bench.Stream(bench.Request("/draft/x", "r1"));
    cr_assert(body.has_value());
    cr_assert_eq(body.value().size(), 3 * Event(1).size());
    cr_assert(runtime.Now() - start < milliseconds(1800));
  });
}

// Hunt, first site, trouble-2 seed 771663128626: workers at which requests
// waited for memory were taken for dead, one after the other.
Test(router, a_worker_that_answers_is_not_taken_for_dead) {
  OnRuntime([](io::Runtime& runtime) {
    Bench bench(runtime, 22140);
    const std::string second = fmt::format("{}:{}", kIp, 22142);
    bench.AddServer(1, "llm", {0, 2}, [&](io::HttpExchange& exchange) {
      if (exchange.Request().method == "GET") {
        exchange.Respond({200,
                          {},
                          fmt::format(R"({{"seq":1,"stalled":[{{"id":"r1",)"
                                      R"("address":"{}"}}]}})",
                                      second)});
        return;
      }
      exchange.BeginStream(Answer(exchange, 200, ""));
      exchange.WriteChunk(Event(1));
      runtime.SleepFor(milliseconds(900));
      exchange.WriteChunk(Event(2));
      exchange.EndStream();
    });
    bench.AddServer(2, "llm", {2, 4}, [](io::HttpExchange& exchange) {
      exchange.Respond({200, {}, R"({"seq":1})"});
    });
    const auto body = bench.Stream(bench.Request("/draft/x", "r1"));
    cr_assert(body.has_value());
    cr_assert(body.value() == Event(1) + Event(2));
    cr_assert(!bench.world.IsUnreachable("s2", runtime.Now()));
    cr_assert(!bench.world.IsUnreachable("s1", runtime.Now()));
  });
}

// Incident inc-f419, first site: 69 streams that were moved at the same moment
// all chose the same workers, which had room for a few.
Test(router, streams_moved_together_do_not_crowd_one_worker) {
  OnRuntime([](io::Runtime& runtime) {
    Bench bench(runtime, 22160);
    std::set<std::string> targets;
    const std::string lost = fmt::format("{}:{}", kIp, 22162);
    bench.AddServer(1, "llm", {0, 2}, [&](io::HttpExchange& exchange) {
      const io::HttpRequest& request = exchange.Request();
      if (request.method == "GET") {
        std::string stalled;
        for (const char* id : {"r1", "r2"}) {
          stalled += fmt::format(R"({}{{"id":"{}","address":"{}"}})",
                                 stalled.empty() ? "" : ",", id, lost);
        }
        exchange.Respond(
            {200, {}, fmt::format(R"({{"seq":1,"stalled":[{}]}})", stalled)});
        return;
      }
      if (request.target == "/v1/order") {
        const std::size_t second =
            request.body.find(',', request.body.find("\"path\""));
        targets.insert(request.body.substr(second));
        exchange.Respond({200, {}, ""});
        return;
      }
      exchange.BeginStream(Answer(exchange, 200, ""));
      exchange.WriteChunk(Event(1));
      runtime.SleepFor(milliseconds(1200));
      exchange.WriteChunk(Event(2));
      exchange.EndStream();
    });
    // Takes connections and says nothing.
    bench.AddServer(2, "llm", {2, 4}, [&runtime](io::HttpExchange& exchange) {
      runtime.SleepFor(seconds(5));
      exchange.Abort();
    });
    int done = 0;
    for (const char* id : {"r1", "r2"}) {
      runtime.Spawn([&bench, &done, id] {
        done += bench.Stream(bench.Request("/once/x", id)).has_value() ? 1 : 0;
      });
    }
    runtime.SleepFor(milliseconds(50));
    for (int i = 3; i <= 4; ++i) {
      bench.AddServer(
          i, "llm", {2, 4}, [](io::HttpExchange&) {}, "tiny");
    }
    runtime.SleepFor(milliseconds(1600));
    cr_assert_eq(done, 2);
    cr_assert_eq(targets.size(), 2, "%zu targets", targets.size());
  });
}

Test(router, a_leaving_vm_refuses_streams_that_would_not_end_in_time) {
  OnRuntime([](io::Runtime& runtime) {
    Bench bench(runtime, 22120);
    int runs = 0;
    bench.AddServer(1, "llm", {0, 4}, [&runs](io::HttpExchange& exchange) {
      ++runs;
      exchange.BeginStream(Answer(exchange, 200, ""));
      exchange.EndStream();
    });
    bench.AddServer(2, "app", {}, [](io::HttpExchange& exchange) {
      exchange.Respond(Answer(exchange, 200, "ok"));
    });
    bench.router->SetShutdownDeadline(runtime.Now() + seconds(3));
    const auto refused = bench.Call(bench.Request("/draft/x", "r1"));
    cr_assert_eq(refused.value().status, 503);
    cr_assert(refused.value().headers.Find("Retry-After"));
    cr_assert_eq(runs, 0);
    cr_assert_eq(bench.Call(bench.Request("/file/x", "r2")).value().status,
                 200);
  });
}
