// Tests of answers whose status is none of HTTP, from all that a router calls.
#include <fmt/format.h>

#include <atomic>

#include "platform/store_client.h"
#include "platform/worker_decoder.h"
#include "unit_tests/raw_server.h"

using namespace chervilpass;
using namespace chervilpass::serving;

namespace {

// Much shorter than the time limits of the requests.
constexpr Duration kAtOnce = milliseconds(700);
constexpr std::string_view kNone[] = {"000", "001", "099", "101",
                                      "199", "600", "999"};

// An answer with a seal and a body, whatever its status.
std::string Answer(std::string_view status,
                   const std::string& id,
                   const std::string& body) {
  return fmt::format(
      "HTTP/1.1 {} X\r\nChervilpass-Request-Id: {}\r\n"
      "Chervilpass-Server-Seal: seal\r\nContent-Length: {}\r\n\r\n{}",
      status, id, body.size(), body);
}

std::vector<std::string> Bodies(const std::string& id) {
  return {"", "odd", Answer("200", id, "inner")};
}

// Answers reports as a worker does, and all else with this status and body.
RawServer::Script AnswerWith(std::string_view status, std::size_t body) {
  return [status, body](const RawRequest& request) {
    return RawAnswer{
        request.head.starts_with("GET /v1/report")
            ? Answer("200", request.id, R"({"seq":1})")
            : Answer(status, request.id, Bodies(request.id)[body])};
  };
}

struct Target {
  const char* path;
  const char* service;
  placement::LayerRange layers;
};

const Target kTargets[] = {{"/lookup/x", "app", {}},
                           {"/file/x", "app", {}},
                           {"/draft/x", "llm", {0, 4}},
                           {"/once/x", "llm", {0, 4}}};

void ServeSoundly(io::HttpExchange& exchange) {
  if (exchange.Request().method == "GET" &&
      exchange.Request().target == "/v1/report") {
    return exchange.Respond({200, {}, R"({"seq":1})"});
  }
  io::HttpResponse head = MakeResponse(exchange, 200, "");
  head.headers.Add("Content-Type", "text/event-stream");
  exchange.BeginStream(head);
  exchange.WriteChunk(Event(1));
  exchange.EndStream();
}

}  // namespace

// Guards against requests that hang until their time is over, and against the
// body of a failed answer that is taken for the next answer: an odd status
// counted as that of an interim response.
Test(answer_status, a_status_outside_of_http_fails_at_once) {
  OnRuntime([](io::Runtime& runtime) {
    std::uint16_t port = 28000;
    for (const Target& target : kTargets) {
      for (const std::string_view status : kNone) {
        for (std::size_t body = 0; body < Bodies("").size(); ++body) {
          // An interim response has no body.
          if (status == "199" && body == 0) {
            continue;
          }
          RouterFixture fixture(runtime, port);
          const auto server =
              AddRawServer(&fixture, 1, target.service, target.layers,
                           AnswerWith(status, body));
          port += 2;
          const Instant begun = runtime.Now();
          const auto response =
              fixture.Call(fixture.Request(target.path, "r1"));
          const std::string what = fmt::format("{} {} body {}", target.path,
                                               std::string(status), body);
          cr_expect(runtime.Now() - begun < kAtOnce, "%s: late", what.c_str());
          cr_expect(response.has_value() && response.value().status == 502,
                    "%s: status %u", what.c_str(),
                    response.has_value() ? response.value().status : 0);
          cr_expect(response.has_value() && !response.value().headers.Find(
                                                "Chervilpass-Server-Seal"),
                    "%s: sealed", what.c_str());
        }
      }
    }
  });
}

// Guards against repetitions of what may run once, and against requests that
// may be repeated and are not.
Test(answer_status, what_may_be_repeated_is_served_by_another_server) {
  OnRuntime([](io::Runtime& runtime) {
    std::uint16_t port = 28300;
    for (const Target& target : kTargets) {
      const std::string path = target.path;
      const bool repeats = path == "/lookup/x" || path == "/draft/x";
      RouterFixture fixture(runtime, port);
      std::atomic<int> odd = 0;
      const auto script = [&odd](const RawRequest& request) {
        odd += request.head.starts_with("GET /v1/report") ? 0 : 1;
        return AnswerWith("000", 2)(request);
      };
      const auto server =
          AddRawServer(&fixture, 1, target.service, target.layers, script);
      int sound = 0;
      fixture.AddServer(2, target.service, target.layers,
                        [&sound](io::HttpExchange& exchange) {
                          sound += exchange.Request().target != "/v1/report";
                          ServeSoundly(exchange);
                        });
      port += 10;
      for (int number = 1; number <= 8; ++number) {
        const int odd_before = odd;
        const int sound_before = sound;
        const auto response =
            fixture.Call(fixture.Request(path, fmt::format("r{}", number)));
        const unsigned status = response.value().status;
        const int odd_runs = odd - odd_before;
        const int sound_runs = sound - sound_before;
        cr_expect_leq(odd_runs, 1, "%s", path.c_str());
        cr_expect_leq(sound_runs, 1, "%s", path.c_str());
        if (repeats) {
          cr_expect_eq(status, 200, "%s: %u", path.c_str(), status);
          cr_expect_eq(sound_runs, 1, "%s", path.c_str());
        } else {
          cr_expect_eq(odd_runs + sound_runs, 1, "%s", path.c_str());
          cr_expect_eq(status, odd_runs == 1 ? 502 : 200, "%s: %u",
                       path.c_str(), status);
        }
      }
      cr_expect_gt(odd, 0, "%s: the odd server was not used", path.c_str());
    }
  });
}

// Guards against a worker that counts as crashed, and a prompt that is refused
// for it, because its answers cannot be read: it lives.
Test(answer_status, an_odd_worker_has_not_crashed) {
  OnRuntime([](io::Runtime& runtime) {
    RouterFixture fixture(runtime, 28360);
    const auto server =
        AddRawServer(&fixture, 1, "llm", {0, 4}, [](const RawRequest& request) {
          return RawAnswer{Answer("000", request.id, "odd")};
        });
    int failed = 0;
    for (int number = 1; number <= 8; ++number) {
      const auto response =
          fixture.Call(fixture.Request("/draft/x", fmt::format("r{}", number)));
      failed += response.value().status == 502 ? 1 : 0;
      runtime.SleepFor(milliseconds(150));
    }
    cr_expect_geq(failed, 2, "%d of 8", failed);
    cr_expect_eq(fixture.strikes, 0, "%d strikes", fixture.strikes);
  });
}

// Guards against a connection that is used again after such an answer.
Test(answer_status, its_connection_is_not_used_again) {
  OnRuntime([](io::Runtime& runtime) {
    std::uint16_t port = 28400;
    for (const std::string_view status : kNone) {
      RouterFixture fixture(runtime, port);
      std::atomic<int> kept = 0;
      const auto server = AddRawServer(
          &fixture, 1, "app", {}, [&kept, status](const RawRequest& request) {
            kept += request.on_connection > 1 ? 1 : 0;
            return AnswerWith(status, 1)(request);
          });
      port += 2;
      // Three failures in a row take a server out for a while.
      for (int number = 1; number <= 2; ++number) {
        (void)fixture.Call(
            fixture.Request("/file/x", fmt::format("r{}", number)));
      }
      cr_expect_eq(server->Requests(), 2, "%s", std::string(status).c_str());
      cr_expect_eq(kept, 0, "%s", std::string(status).c_str());
    }
  });
}

// Interim responses that were not asked for are still passed over.
Test(answer_status, an_interim_response_precedes_the_answer) {
  OnRuntime([](io::Runtime& runtime) {
    std::uint16_t port = 28420;
    for (const char* interim :
         {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 X\r\nLink: a\r\n\r\n",
          "HTTP/1.1 199 X\r\nContent-Length: 0\r\n\r\n"}) {
      RouterFixture fixture(runtime, port);
      port += 4;
      const auto server = AddRawServer(
          &fixture, 1, "app", {}, [interim](const RawRequest& request) {
            return RawAnswer{interim + Answer("200", request.id, "filed")};
          });
      const auto response = fixture.Call(fixture.Request("/file/x", "r1"));
      cr_expect_eq(response.value().status, 200, "%s", interim);
      cr_expect(response.value().body == "filed", "%s", interim);
    }
  });
}

// The same for the answers of the store.
Test(answer_status, the_store_counts_as_unavailable_at_once) {
  OnRuntime([](io::Runtime& runtime) {
    std::uint16_t port = 28440;
    for (const std::string_view status : kNone) {
      RawServer server(port, AnswerWith(status, 2));
      MetricsRegistry metrics;
      const auto store =
          platform::StoreClient::Create(&runtime, &metrics, {{kIp, port}});
      ++port;
      const Instant begun = runtime.Now();
      const auto object = store->Get(platform::StoreKind::kEntries, "vm");
      cr_expect(runtime.Now() - begun < kAtOnce, "%s: late",
                std::string(status).c_str());
      cr_expect(
          object.has_error() &&
              object.error().code == platform::StoreErrorCode::kUnavailable,
          "%s", std::string(status).c_str());
    }
  });
}

// The same for another VM, to which a request is forwarded: a further one
// serves what may be repeated, and nothing else runs twice.
Test(answer_status, another_vm_fails_at_once) {
  OnRuntime([](io::Runtime& runtime) {
    std::uint16_t port = 28500;
    for (const Target& target : kTargets) {
      for (const bool has_further : {false, true}) {
        RouterFixture fixture(runtime, port);
        // Registered servers at ports without a listener.
        for (int number = 1; number <= 6; ++number) {
          const bool plain = number <= 3;
          fixture.RegisterServer(
              number, plain ? "app" : "llm",
              plain ? placement::LayerRange{} : placement::LayerRange{0, 4});
        }
        fixture.forward_targets = {
            {kIp, static_cast<std::uint16_t>(port + 10)}};
        RawServer odd(static_cast<std::uint16_t>(port + 10),
                      AnswerWith("000", 2));
        int sound = 0;
        std::unique_ptr<io::HttpServer> further;
        if (has_further) {
          further = fixture.Serve(static_cast<std::uint16_t>(port + 11),
                                  [&sound](io::HttpExchange& exchange) {
                                    ++sound;
                                    ServeSoundly(exchange);
                                  });
          fixture.forward_targets.push_back(
              {kIp, static_cast<std::uint16_t>(port + 11)});
        }
        port += 20;
        const std::string path = target.path;
        const bool repeats = path == "/lookup/x" || path == "/draft/x";
        const Instant begun = runtime.Now();
        const auto response = fixture.Call(fixture.Request(path, "r1"));
        const unsigned status = response.value().status;
        cr_expect(runtime.Now() - begun < kAtOnce, "%s: late", target.path);
        cr_expect_leq(odd.Requests(), 1, "%s", target.path);
        cr_expect_leq(sound, 1, "%s", target.path);
        if (repeats && has_further) {
          cr_expect_eq(status, 200, "%s: %u", target.path, status);
        } else {
          cr_expect_eq(odd.Requests() + sound, 1, "%s", target.path);
          cr_expect_eq(status, sound == 1 ? 200 : 502, "%s: %u", target.path,
                       status);
        }
      }
    }
  });
}

// The same for what a router asks backend servers on its own account: reports,
// orders, probes.
Test(answer_status, reports_and_orders_fail_at_once) {
  OnRuntime([](io::Runtime& runtime) {
    std::uint16_t port = 28700;
    const auto client = io::HttpClient::Create(&runtime, {});
    for (const std::string_view status : kNone) {
      RawServer server(port, [status](const RawRequest& request) {
        return RawAnswer{Answer(status, request.id, "odd")};
      });
      const Instant begun = runtime.Now();
      for (const io::HttpRequest& request :
           {platform::ReportRequest(), platform::OrderRequest("s1", {})}) {
        const auto response = client->Call({kIp, port}, request, seconds(3));
        cr_expect(response.has_error(), "%s", std::string(status).c_str());
        cr_expect(response.has_error() &&
                      response.error().code == io::HttpErrorCode::kProtocol &&
                      response.error().detail.find(status) != std::string::npos,
                  "%s: %s", std::string(status).c_str(),
                  response.has_error() ? response.error().detail.c_str() : "");
      }
      cr_expect(runtime.Now() - begun < kAtOnce, "%s: late",
                std::string(status).c_str());
      ++port;
    }
  });
}
