// Tests of the number of servers that one request runs on: sound servers that
// break off their answers, servers that end, standby runs, and other VMs.
#include <fmt/format.h>

#include <map>

// Last: its macros clash with headers of Boost.
#include "unit_tests/router_fixture.h"

using namespace chervilpass;
using namespace chervilpass::serving;

namespace {

constexpr int kAttempts = 2;  // of /draft/ in the fixture
// Longer than the cooldown of a worker after a run that broke off.
constexpr Duration kAfterCooldown = milliseconds(600);

// How a server that goes on breaks off a run.
enum class Break { kReset, kWithinEvent, kGap, kUnsigned, kMixed };

int FirstEventOf(const io::HttpExchange& exchange) {
  return 1 +
         std::stoi(
             exchange.Request().headers.Find("Last-Event-Id").value_or("0"));
}

bool AnswerReport(io::HttpExchange& exchange) {
  if (exchange.Request().method != "GET") {
    return false;
  }
  exchange.Respond({200, {}, R"({"seq":1})"});
  return true;
}

// Four sound workers whose runs write one event each and break off then.
class BreakingWorkers {
 public:
  BreakingWorkers(io::Runtime& runtime, std::uint16_t port, Break how)
      : fixture(runtime, port), how(how) {
    for (int number = 1; number <= 4; ++number) {
      this->fixture.AddServer(
          number, "llm", {0, 4},
          [this](io::HttpExchange& exchange) { this->Handle(exchange); });
    }
  }

  RouterFixture fixture;
  std::map<std::string, int> runs;  ///< by request id

 private:
  void Handle(io::HttpExchange& exchange) {
    if (AnswerReport(exchange)) {
      return;
    }
    const std::string id =
        exchange.Request().headers.Find("Chervilpass-Request-Id").value();
    const int run = ++this->runs[id];
    const Break how =
        this->how == Break::kMixed ? static_cast<Break>(run % 4) : this->how;
    const int first = FirstEventOf(exchange);
    io::HttpResponse head = MakeResponse(exchange, 200, "");
    if (how == Break::kUnsigned) {
      head.headers = {};
      head.headers.Add("Chervilpass-Request-Id", id);
    }
    exchange.BeginStream(head);
    exchange.WriteChunk(Event(first));
    if (how == Break::kWithinEvent) {
      exchange.WriteChunk(fmt::format("id: {}\ndata: ha", first + 1));
    } else if (how == Break::kGap) {
      exchange.WriteChunk(Event(first + 2));
      this->fixture.runtime.SleepFor(milliseconds(20));
    }
    if (how == Break::kReset) {
      this->fixture.runtime.SleepFor(milliseconds(20));
      return exchange.Abort();
    }
    exchange.EndStream();
  }

  Break how;
};

void CheckSoundWorkers(std::uint16_t port, Break how) {
  OnRuntime([&](io::Runtime& runtime) {
    BreakingWorkers workers(runtime, port, how);
    for (int i = 0; i < 3; ++i) {
      const std::string id = fmt::format("r{}", i);
      (void)workers.fixture.Stream(workers.fixture.Request("/draft/x", id));
      cr_assert_eq(workers.runs[id], kAttempts, "%d runs", workers.runs[id]);
      runtime.SleepFor(kAfterCooldown);
    }
  });
}

}  // namespace

// Guard against requests that run on more servers than their routes allow: a
// connection that broke counted as the end of its server, which granted a
// further attempt.
Test(attempts, a_reset_of_a_sound_worker_grants_no_attempt) {
  CheckSoundWorkers(26600, Break::kReset);
}

Test(attempts, a_stream_that_ends_within_an_event_grants_no_attempt) {
  CheckSoundWorkers(26610, Break::kWithinEvent);
}

Test(attempts, a_stream_with_a_gap_grants_no_attempt) {
  CheckSoundWorkers(26620, Break::kGap);
}

Test(attempts, an_answer_without_a_signature_grants_no_attempt) {
  CheckSoundWorkers(26630, Break::kUnsigned);
}

Test(attempts, various_broken_answers_grant_no_attempt) {
  CheckSoundWorkers(26640, Break::kMixed);
}

// Guards against a further attempt on the word of another VM, or after the end
// of a worker was concluded from its silence: the worker goes on.
Test(attempts, a_worker_that_is_taken_for_ended_grants_no_attempt) {
  OnRuntime([](io::Runtime& runtime) {
    RouterFixture fixture(runtime, 26680);
    int runs = 0;
    for (int number = 1; number <= 4; ++number) {
      fixture.AddServer(
          number, "llm", {0, 4}, [&, number](io::HttpExchange& exchange) {
            if (AnswerReport(exchange)) {
              return;
            }
            ++runs;
            const int first = FirstEventOf(exchange);
            exchange.BeginStream(MakeResponse(exchange, 200, ""));
            exchange.WriteChunk(Event(first));
            runtime.SleepFor(milliseconds(20));
            fixture.routing_state.OnServerEnded(fmt::format("s{}", number));
            exchange.Abort();
          });
    }
    (void)fixture.Stream(fixture.Request("/draft/x", "r1"));
    cr_assert_leq(runs, kAttempts, "%d runs", runs);
  });
}

// Guards against streams that end with the second of two workers that have
// ended: the runs there do not count.
Test(attempts, runs_on_workers_that_ended_do_not_count) {
  OnRuntime([](io::Runtime& runtime) {
    RouterFixture fixture(runtime, 26650);
    int runs = 0;
    for (int number = 1; number <= 4; ++number) {
      fixture.AddServer(number, "llm", {0, 4},
                        [&, number](io::HttpExchange& exchange) {
                          if (AnswerReport(exchange)) {
                            return;
                          }
                          const int first = FirstEventOf(exchange);
                          exchange.BeginStream(MakeResponse(exchange, 200, ""));
                          exchange.WriteChunk(Event(first));
                          if (++runs > kAttempts) {
                            exchange.EndStream();
                            return;
                          }
                          runtime.SleepFor(milliseconds(20));
                          fixture.servers[static_cast<std::size_t>(number - 1)]
                              ->StopAccepting();
                          exchange.Abort();
                        });
    }
    const auto body = fixture.Stream(fixture.Request("/draft/x", "r1"));
    cr_assert(body.has_value());
    cr_assert(body.value() == Event(1) + Event(2) + Event(3));
    cr_assert_eq(runs, kAttempts + 1);
  });
}

// Guards against standby runs beyond the attempts of the route: one that broke
// off granted a further attempt. The first run is silent and goes on.
Test(attempts, a_broken_standby_run_grants_no_attempt) {
  OnRuntime([](io::Runtime& runtime) {
    RouterFixture fixture(runtime, 26660);
    int runs = 0;
    Instant silent_until{};
    const auto worker = [&](io::HttpExchange& exchange) {
      if (exchange.Request().method == "GET") {
        while (runtime.Now() < silent_until) {
          runtime.SleepFor(milliseconds(10));
        }
        return exchange.Respond({200, {}, R"({"seq":1})"});
      }
      if (++runs > 1) {
        exchange.BeginStream(MakeResponse(exchange, 200, ""));
        return exchange.Abort();
      }
      exchange.BeginStream(MakeResponse(exchange, 200, ""));
      exchange.WriteChunk(Event(1));
      silent_until = runtime.Now() + milliseconds(1800);
      runtime.SleepFor(milliseconds(1800));
      exchange.WriteChunk(Event(2));
      exchange.EndStream();
    };
    for (int number = 1; number <= 4; ++number) {
      fixture.AddServer(number, "llm", {0, 4}, worker);
    }
    const auto body = fixture.Stream(fixture.Request("/draft/x", "r1"));
    cr_assert(body.has_value());
    cr_assert(body.value() == Event(1) + Event(2));
    cr_assert_leq(runs, kAttempts, "%d runs", runs);
  });
}

// Guards against runs beyond the attempts of the route after a standby run that
// was silent itself.
Test(attempts, a_silent_standby_run_grants_no_attempt) {
  OnRuntime([](io::Runtime& runtime) {
    RouterFixture fixture(runtime, 26670);
    int runs = 0;
    const auto worker = [&](io::HttpExchange& exchange) {
      if (AnswerReport(exchange)) {
        return;
      }
      const int run = ++runs;
      exchange.BeginStream(MakeResponse(exchange, 200, ""));
      if (run == 1) {
        exchange.WriteChunk(Event(1));
        runtime.SleepFor(milliseconds(1500));
        return exchange.Abort();
      }
      runtime.SleepFor(milliseconds(2500));
      exchange.Abort();
    };
    for (int number = 1; number <= 4; ++number) {
      fixture.AddServer(number, "llm", {0, 4}, worker);
    }
    (void)fixture.Stream(fixture.Request("/draft/x", "r1", "6000"));
    cr_assert_leq(runs, kAttempts, "%d runs", runs);
  });
}

namespace {

// Another VM that runs a request as often as it may, by the field for the
// attempts that are left or by the route, and breaks off then.
io::HttpHandler RunningAndBreaking(int* runs) {
  return [runs](io::HttpExchange& exchange) {
    *runs += std::stoi(exchange.Request()
                           .headers.Find("Chervilpass-Attempts-Left")
                           .value_or(std::to_string(kAttempts)));
    if (exchange.Request().target == "/draft/x") {
      exchange.BeginStream(MakeResponse(exchange, 200, ""));
      exchange.WriteChunk(Event(FirstEventOf(exchange)));
    }
    exchange.Abort();
  };
}

// Another VM that runs a request as often as it may and says that it failed.
io::HttpHandler RunningAndFailing(int* runs) {
  return [runs](io::HttpExchange& exchange) {
    *runs += std::stoi(exchange.Request()
                           .headers.Find("Chervilpass-Attempts-Left")
                           .value_or(std::to_string(kAttempts)));
    io::HttpResponse response;
    response.status = 502;
    response.headers.Add("Chervilpass-Request-Id", "r1");
    exchange.Respond(response);
  };
}

}  // namespace

// Guards against requests that run on more servers than their routes allow
// because each VM that one is forwarded to counts attempts for itself.
Test(attempts, other_vms_share_the_attempts_of_a_request) {
  OnRuntime([](io::Runtime& runtime) {
    int port = 26700;
    for (const char* path : {"/draft/x", "/lookup/x"}) {
      for (const auto& handler : {RunningAndBreaking, RunningAndFailing}) {
        int runs = 0;
        StatusThroughPeers(runtime, static_cast<std::uint16_t>(port), path,
                           handler(&runs), handler(&runs));
        cr_assert_eq(runs, kAttempts, "%s: %d runs", path, runs);
        port += 20;
      }
    }
  });
}

// A VM runs a forwarded request no more often than the first VM allows.
Test(attempts, a_forwarded_request_has_the_attempts_that_are_left) {
  OnRuntime([](io::Runtime& runtime) {
    BreakingWorkers workers(runtime, 26800, Break::kReset);
    const auto forwarded =
        workers.fixture.Serve(26810, [&](io::HttpExchange& exchange) {
          workers.fixture.router->HandleForwarded(exchange);
        });
    for (const char* left : {"1", "2", "9", "0", "soon", ""}) {
      io::HttpRequest request = workers.fixture.Request("/draft/x", left);
      if (*left == '\0') {
        request = workers.fixture.Request("/draft/x", "none");
      } else {
        request.headers.Add("Chervilpass-Attempts-Left", left);
      }
      const std::string id =
          request.headers.Find("Chervilpass-Request-Id").value();
      (void)workers.fixture.caller->Stream({kIp, 26810}, request, seconds(5),
                                           [](auto) { return true; });
      const int expected = id == "1" || id == "0" ? 1 : kAttempts;
      cr_assert_eq(workers.runs[id], expected, "%s: %d runs", left,
                   workers.runs[id]);
      runtime.SleepFor(kAfterCooldown);
    }
    // A caller cannot set the field.
    io::HttpRequest request = workers.fixture.Request("/draft/x", "caller");
    request.headers.Add("Chervilpass-Attempts-Left", "1");
    (void)workers.fixture.Stream(request);
    cr_assert_eq(workers.runs["caller"], kAttempts);
  });
}
