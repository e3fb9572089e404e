// Tests of the router against backend servers that write bytes which are no
// answer to the request in progress: repeated refusals and errors in streams.
#include <fmt/format.h>

#include <atomic>

#include "unit_tests/raw_server.h"

using namespace chervilpass;
using namespace chervilpass::serving;

namespace {

std::string Refusal(const std::string& id) {
  return fmt::format(
      "HTTP/1.1 503 Service Unavailable\r\n{}Chervilpass-Not-Executed: 1\r\n"
      "Retry-After: 0.00\r\nContent-Length: 4\r\n\r\nfull",
      id.empty() ? "" : fmt::format("Chervilpass-Request-Id: {}\r\n", id));
}

std::string Success(const std::string& id) {
  return fmt::format(
      "HTTP/1.1 200 OK\r\nChervilpass-Request-Id: {}\r\n"
      "Chervilpass-Server-Seal: seal\r\nContent-Length: 5\r\n\r\nfiled",
      id);
}

// Head of a stream that ends with its connection.
std::string StreamHead(const std::string& id) {
  return fmt::format(
      "HTTP/1.1 200 OK\r\nChervilpass-Request-Id: {}\r\n"
      "Chervilpass-Server-Seal: seal\r\nContent-Type: "
      "text/event-stream\r\n\r\n",
      id);
}

// A worker whose streams are complete: events 1 to 4, or those that are left.
void ServeRestOfStream(io::HttpExchange& exchange) {
  if (exchange.Request().method == "GET") {
    return exchange.Respond({200, {}, R"({"seq":1})"});
  }
  const int from =
      std::stoi(exchange.Request().headers.Find("Last-Event-Id").value_or("0"));
  io::HttpResponse head = MakeResponse(exchange, 200, "");
  head.headers.Add("Content-Type", "text/event-stream");
  exchange.BeginStream(head);
  for (int id = from + 1; id <= 4; ++id) {
    exchange.WriteChunk(Event(id));
  }
  exchange.EndStream();
}

// Writes two events and then `bytes`, and closes its connection, once; serves
// nothing afterwards.
RawServer::Script BreakOffWith(const std::string& bytes) {
  return [bytes](const RawRequest& request) {
    if (request.head.starts_with("GET") || request.number > 1) {
      return RawAnswer{"", true};
    }
    return RawAnswer{StreamHead(request.id) + Event(1) + Event(2) + bytes,
                     true};
  };
}

// Streams of a worker that breaks off with `bytes` are completed by another.
void CheckBrokenStreamIsCompleted(std::uint16_t port,
                                  const std::string& bytes) {
  OnRuntime([&](io::Runtime& runtime) {
    RouterFixture fixture(runtime, port);
    const auto broken =
        AddRawServer(&fixture, 1, "llm", {0, 4}, BreakOffWith(bytes));
    const auto first = fixture.Stream(fixture.Request("/draft/x", "r1"));
    cr_assert(first.has_error(), "a broken stream looked complete");

    RouterFixture pair(runtime, static_cast<std::uint16_t>(port + 10));
    const auto breaking =
        AddRawServer(&pair, 1, "llm", {0, 4}, BreakOffWith(bytes));
    pair.AddServer(2, "llm", {0, 4}, ServeRestOfStream);
    const std::string expected = Event(1) + Event(2) + Event(3) + Event(4);
    for (int i = 0; i < 6; ++i) {
      const auto body =
          pair.Stream(pair.Request("/draft/x", fmt::format("r{}", i)));
      cr_assert(body.has_value());
      cr_assert(body.value() == expected, "%s", body.value().c_str());
    }
    cr_assert_geq(breaking->Requests(), 1, "the broken worker was not used");
  });
}

// A stalled worker keeps writing `filler`; another one completes the stream.
void CheckNoProgress(std::uint16_t port, const std::string& filler) {
  OnRuntime([port, &filler](io::Runtime& runtime) {
    RouterFixture fixture(runtime, port);
    int runs = 0;
    const auto worker = [&](io::HttpExchange& exchange) {
      if (exchange.Request().method == "GET") {
        runtime.SleepFor(seconds(5));  // no report either
        return exchange.Abort();
      }
      const bool stalled = ++runs == 1;
      const int from = std::stoi(
          exchange.Request().headers.Find("Last-Event-Id").value_or("0"));
      exchange.BeginStream(MakeResponse(exchange, 200, ""));
      exchange.WriteChunk(Event(from + 1));
      if (!stalled) {
        exchange.WriteChunk(Event(from + 2));
        exchange.EndStream();
        return;
      }
      for (int i = 0; i < 100 && exchange.WriteChunk(filler); ++i) {
        runtime.SleepFor(milliseconds(40));
      }
      exchange.Abort();
    };
    fixture.AddServer(1, "llm", {0, 4}, worker);
    fixture.AddServer(2, "llm", {0, 4}, worker);
    const Instant start = runtime.Now();
    const auto body = fixture.Stream(fixture.Request("/draft/x", "r1"));
    cr_assert(body.has_value());
    std::string events = body.value();
    const std::string comment = ": alive\n\n";
    for (std::size_t at = 0;
         (at = events.find(comment, at)) != std::string::npos;) {
      events.erase(at, comment.size());
    }
    cr_assert(events == Event(1) + Event(2) + Event(3), "%s", events.c_str());
    cr_assert(runtime.Now() - start < milliseconds(1800));
  });
}

}  // namespace

// A server that has refused a call takes it when it is sent again. It writes
// its refusal once more on that connection, although the call runs.
Test(faulty_server, a_repeated_refusal_of_a_call_is_not_believed) {
  OnRuntime([](io::Runtime& runtime) {
    RouterFixture fixture(runtime, 26000);
    std::set<std::string> refused;
    int runs = 0;
    const auto server =
        AddRawServer(&fixture, 1, "app", {}, [&](const RawRequest& request) {
          if (refused.insert(request.id).second) {
            return RawAnswer{Refusal(request.id)};
          }
          ++runs;
          return RawAnswer{(request.on_connection > 1 ? Refusal(request.id)
                                                      : std::string()) +
                           Success(request.id)};
        });
    const auto response = fixture.Call(fixture.Request("/file/x", "r1"));
    cr_assert_eq(runs, 1, "the call ran %d times", runs);
    cr_assert_eq(response.value().status, 200);
  });
}

// The repeated refusal names no request, and the call that follows on the same
// connection runs.
Test(faulty_server,
     a_refusal_of_no_request_on_a_kept_connection_is_no_promise) {
  OnRuntime([](io::Runtime& runtime) {
    RouterFixture fixture(runtime, 26010);
    int runs = 0;
    const RawServer::Script script = [&runs](const RawRequest& request) {
      ++runs;
      return RawAnswer{(request.on_connection > 1 ? Refusal("") : "") +
                       Success(request.id)};
    };
    const auto first = AddRawServer(&fixture, 1, "app", {}, script);
    for (int i = 1; i <= 8; ++i) {
      const int runs_before = runs;
      const auto response =
          fixture.Call(fixture.Request("/file/x", fmt::format("r{}", i)));
      const unsigned status = response.value().status;
      cr_assert(status == 200 || status == 502, "status %u", status);
      cr_assert_eq(runs, runs_before + 1);
    }
    const auto second = AddRawServer(&fixture, 2, "app", {}, script);
    for (int i = 11; i <= 18; ++i) {
      const int runs_before = runs;
      const auto response =
          fixture.Call(fixture.Request("/file/x", fmt::format("r{}", i)));
      const unsigned status = response.value().status;
      cr_assert(status == 200 || status == 502, "status %u", status);
      cr_assert_eq(runs, runs_before + 1, "the call ran twice");
    }
  });
}

// The first refusal on a new connection can only be the answer to the request,
// also if it does not name it.
Test(faulty_server, a_refusal_of_no_request_on_a_new_connection_is_believed) {
  OnRuntime([](io::Runtime& runtime) {
    RouterFixture fixture(runtime, 26020);
    const auto server =
        AddRawServer(&fixture, 1, "app", {}, [](const RawRequest&) {
          return RawAnswer{Refusal(""), true};
        });
    cr_assert_eq(fixture.Call(fixture.Request("/file/x", "r1")).value().status,
                 503);
  });
}

Test(faulty_server, a_second_answer_reaches_no_other_caller) {
  OnRuntime([](io::Runtime& runtime) {
    RouterFixture fixture(runtime, 26030);
    std::string previous;
    const auto server = AddRawServer(
        &fixture, 1, "app", {}, [&previous](const RawRequest& request) {
          // The answer to the previous request once more, late.
          const std::string extra =
              request.on_connection > 1 ? Success(previous) : "";
          previous = request.id;
          return RawAnswer{extra + Success(request.id)};
        });
    for (int i = 1; i <= 8; ++i) {
      const std::string id = fmt::format("r{}", i);
      const auto response = fixture.Call(fixture.Request("/file/x", id));
      cr_assert_eq(response.value().status, 200);
      cr_assert(response.value().headers.Find("Chervilpass-Request-Id") == id);
    }
  });
}

// Guards against the head of an error that is forwarded as an event: it ends
// with a blank line as well.
Test(faulty_server, an_error_in_a_stream_is_not_forwarded) {
  CheckBrokenStreamIsCompleted(26100,
                               "HTTP/1.1 503 Service Unavailable\r\n"
                               "Content-Length: 5\r\n\r\nerror");
}

Test(faulty_server, a_json_error_in_a_stream_is_not_forwarded) {
  CheckBrokenStreamIsCompleted(26130, "{\"error\":\"worker failed\"}\n\n");
}

// The worker breaks off within an event, which the head of the error completes.
Test(faulty_server, an_error_within_an_event_is_not_forwarded) {
  CheckBrokenStreamIsCompleted(26160,
                               "id: 3\ndata: pie\nHTTP/1.1 500 Error\n"
                               "Content-Length: 0\n\n");
}

Test(faulty_server, data_without_an_id_in_a_numbered_stream_is_not_forwarded) {
  CheckBrokenStreamIsCompleted(26190, "data: worker failed\n\n");
}

// After a stream has begun and broken off the next worker answers with an
// error.
Test(faulty_server, an_error_of_the_next_worker_is_not_part_of_the_stream) {
  OnRuntime([](io::Runtime& runtime) {
    int port = 26220;
    for (const unsigned status : {500U, 503U, 404U, 200U}) {
      RouterFixture fixture(runtime, static_cast<std::uint16_t>(port));
      port += 10;
      const auto worker = [&](io::HttpExchange& exchange) {
        if (exchange.Request().method == "GET") {
          return exchange.Abort();
        }
        if (!exchange.Request().headers.Find("Last-Event-Id")) {
          io::HttpResponse head = MakeResponse(exchange, 200, "");
          head.headers.Add("Content-Type", "text/event-stream");
          exchange.BeginStream(head);
          exchange.WriteChunk(Event(1));
          runtime.SleepFor(milliseconds(20));
          return exchange.Abort();
        }
        io::HttpResponse error =
            MakeResponse(exchange, status, "{\"error\":\"failed\"}\n\n");
        error.headers.Add("Content-Type", "application/json");
        exchange.Respond(error);
      };
      fixture.AddServer(1, "llm", {0, 4}, worker);
      fixture.AddServer(2, "llm", {0, 4}, worker);
      std::string body;
      const auto done = fixture.caller->Stream(
          {kIp, fixture.base_port}, fixture.Request("/draft/x", "r1", "1500"),
          seconds(5), [&body](std::string_view data) {
            body += data;
            return true;
          });
      cr_assert(done.has_error(), "status %u: it looked complete", status);
      cr_assert(body == Event(1), "status %u: %s", status, body.c_str());
    }
  });
}

Test(faulty_server, a_worker_that_writes_comments_only_counts_as_silent) {
  CheckNoProgress(26300, ": alive\n\n");
}

Test(faulty_server, a_worker_that_repeats_its_events_counts_as_silent) {
  CheckNoProgress(26310, Event(1));
}

namespace {

// Sends requests to servers that close in the middle of the head of their
// answer, at each of its bytes in turn; no caller may get a success.
void CheckCutHeads(std::uint16_t port,
                   const std::string& path,
                   const std::string& service,
                   placement::LayerRange layers) {
  OnRuntime([&](io::Runtime& runtime) {
    RouterFixture fixture(runtime, port);
    const std::string id = "r0000000";
    const std::string answer = layers.Empty() ? Success(id) : StreamHead(id);
    const std::size_t head_size = answer.find("\r\n\r\n") + 4;
    std::atomic<std::size_t> cuts = 0;
    std::vector<std::unique_ptr<RawServer>> servers;
    // Many, since a worker is not used for a while after a run that was lost.
    for (int number = 1; number <= 48; ++number) {
      servers.push_back(AddRawServer(
          &fixture, number, service, layers, [&](const RawRequest& request) {
            if (request.head.starts_with("GET /v1/report")) {
              return RawAnswer{
                  "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"seq\":1}"};
            }
            return RawAnswer{answer.substr(0, cuts++ % head_size), true};
          }));
    }
    for (int i = 0; i < 2000 && cuts < head_size; ++i) {
      const auto response = fixture.Call(fixture.Request(path, id));
      cr_assert(!response.has_value() || response.value().status >= 400,
                "a success after %zu cuts", cuts.load());
      cr_assert(!response.has_value() ||
                !response.value().headers.Find("Chervilpass-Server-Seal"));
      runtime.SleepFor(milliseconds(2));
    }
    cr_assert_geq(cuts, head_size, "%zu of %zu", cuts.load(), head_size);
  });
}

}  // namespace

// Guard against successes with an empty or a short body: the head of the
// server's answer has not arrived as a whole.
Test(faulty_server, a_cut_head_of_an_idempotent_call_is_no_success) {
  CheckCutHeads(27000, "/lookup/x", "app", {});
}

Test(faulty_server, a_cut_head_of_a_non_idempotent_call_is_no_success) {
  CheckCutHeads(27060, "/file/x", "app", {});
}

Test(faulty_server, a_cut_head_of_a_stream_is_no_success) {
  CheckCutHeads(27120, "/draft/x", "llm", {0, 4});
}

Test(faulty_server, a_cut_head_of_a_stream_that_runs_once_is_no_success) {
  CheckCutHeads(27180, "/once/x", "llm", {0, 4});
}

// Guards against servers that are left out because this VM has no memory for
// their answers.
Test(faulty_server, a_want_of_memory_is_no_failure_of_the_server) {
  OnRuntime([](io::Runtime& runtime) {
    memory::MemoryBudget budget({{1000, 1000, 1000, 1000}, 100});
    io::HttpClientSettings settings;
    settings.budget = &budget;
    RouterFixture fixture(runtime, 28560, true, settings);
    fixture.AddServer(1, "app", {}, [](io::HttpExchange& exchange) {
      exchange.Respond(MakeResponse(exchange, 200, std::string(5000, 'b')));
    });
    for (const char* id : {"r1", "r2", "r3", "r4"}) {
      const auto response = fixture.Call(fixture.Request("/file/x", id));
      cr_expect_eq(response.value().status, 502);
    }
    cr_expect_not(
        fixture.routing_state.ServerHealth().IsEjected("s1", runtime.Now()));
  });
}
