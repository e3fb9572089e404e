// Tests of streams at workers that leave: they accept no connections any more
// and go on with the streams that they have.
#include <fmt/format.h>

// Last: its macros clash with headers of Boost.
#include "unit_tests/router_fixture.h"

using namespace chervilpass;
using namespace chervilpass::serving;

namespace {

constexpr int kPauses = 6;
// Longer than the silence after which workers are probed and first workers are
// asked for their reports.
constexpr Duration kPause = milliseconds(250);

// How the VM learns that the worker leaves.
enum class Departure { kDraining, kRemoved, kUnknown };

// One path, of one worker or of two. The last worker of the path leaves after
// the first event; the stream pauses now and then.
class LeavingWorker {
 public:
  LeavingWorker(io::Runtime& runtime,
                std::uint16_t base_port,
                bool has_first_worker)
      : fixture(runtime, base_port), leaving(has_first_worker ? 2 : 1) {
    const auto handler = [this](io::HttpExchange& exchange) {
      this->Handle(exchange);
    };
    if (has_first_worker) {
      this->fixture.AddServer(1, "llm", {0, 2}, handler);
      this->fixture.AddServer(2, "llm", {2, 4}, handler);
    } else {
      this->fixture.AddServer(1, "llm", {0, 4}, handler);
    }
    for (int number = 1; number <= this->leaving; ++number) {
      this->Register(number, false);
    }
  }

  // True if the stream was complete.
  bool Serves(Departure departure) {
    this->departure = departure;
    const auto body =
        this->fixture.Stream(this->fixture.Request("/draft/x", "r1", "5000"));
    std::string expected;
    for (int id = 1; id <= kPauses + 1; ++id) {
      expected += Event(id);
    }
    this->fixture.runtime.SleepFor(milliseconds(400));
    return body.has_value() && body.value() == expected;
  }

  void Leave() {
    this->fixture.servers[static_cast<std::size_t>(this->leaving - 1)]
        ->StopAccepting();
    routing::ServerRegistry& servers = this->fixture.routing_state.Servers();
    const std::string id = fmt::format("s{}", this->leaving);
    if (this->departure == Departure::kDraining) {
      this->Register(this->leaving, true);
    } else if (this->departure == Departure::kRemoved) {
      servers.ApplyChange({id, 20, std::nullopt}, true,
                          this->fixture.runtime.Now());
    }
  }

  RouterFixture fixture;
  int runs = 0;
  Duration pause = kPause;
  bool ends = false;  // the leaving worker ends in the first pause
  // The first worker reports that the request waits for the last one.
  bool reports_stall = false;

 private:
  void Register(int number, bool leaves) {
    routing::ServerRegistry& servers = this->fixture.routing_state.Servers();
    routing::BackendServer server = *servers.Find(fmt::format("s{}", number));
    server.started = {1000};
    server.leaving = leaves;
    servers.ApplyChange({server.id, leaves ? 11U : 10U, server}, false,
                        this->fixture.runtime.Now());
  }

  void Handle(io::HttpExchange& exchange) {
    if (exchange.Request().method == "GET") {
      return exchange.Respond({200, {}, this->Report()});
    }
    if (exchange.Request().target != "/draft/x") {
      return exchange.Respond({404, {}, ""});  // orders
    }
    ++this->runs;
    const int from = std::stoi(
        exchange.Request().headers.Find("Last-Event-Id").value_or("0"));
    exchange.BeginStream(MakeResponse(exchange, 200, ""));
    for (int id = from + 1; id <= kPauses + 1; ++id) {
      exchange.WriteChunk(Event(id));
      if (id == 1) {
        this->fixture.runtime.SleepFor(milliseconds(20));
        this->Leave();
      }
      this->fixture.runtime.SleepFor(id <= kPauses ? this->pause
                                                   : milliseconds(1));
      if (this->ends) {
        return exchange.Abort();
      }
    }
    exchange.EndStream();
  }

  std::string Report() const {
    const std::string stalled =
        fmt::format(R"({{"id":"r1","address":"{}:{}"}})", kIp,
                    this->fixture.base_port + this->leaving);
    return fmt::format(R"({{"seq":1,"born":1000,"stalled":[{}]}})",
                       this->reports_stall ? stalled : "");
  }

  const int leaving;
  Departure departure = Departure::kDraining;
};

void CheckStreamGoesOn(std::uint16_t port,
                       bool has_first_worker,
                       Departure departure) {
  OnRuntime([&](io::Runtime& runtime) {
    LeavingWorker worker(runtime, port, has_first_worker);
    cr_assert(worker.Serves(departure), "the stream was cut");
    cr_assert_eq(worker.runs, 1, "%d runs", worker.runs);
    cr_assert_eq(worker.fixture.strikes, 0, "%d strikes",
                 worker.fixture.strikes);
  });
}

}  // namespace

// Guard against streams that are cut because their worker leaves: each of its
// refusals of a probe counted as a crash of it by the stream.
Test(leaving_workers, a_stream_at_a_draining_worker_goes_on) {
  CheckStreamGoesOn(26300, false, Departure::kDraining);
}

Test(leaving_workers, a_stream_at_a_removed_worker_goes_on) {
  CheckStreamGoesOn(26310, false, Departure::kRemoved);
}

Test(leaving_workers, a_stream_through_a_draining_worker_goes_on) {
  CheckStreamGoesOn(26320, true, Departure::kDraining);
}

Test(leaving_workers, a_stream_through_a_removed_worker_goes_on) {
  CheckStreamGoesOn(26330, true, Departure::kRemoved);
}

// The same if the VM has not learned of the departure, as without the store:
// the worker can only have ended once.
Test(leaving_workers, a_stream_is_not_cut_by_an_unknown_departure) {
  OnRuntime([](io::Runtime& runtime) {
    for (const bool has_first_worker : {false, true}) {
      LeavingWorker worker(
          runtime, static_cast<std::uint16_t>(has_first_worker ? 26350 : 26340),
          has_first_worker);
      cr_assert(worker.Serves(Departure::kUnknown), "the stream was cut");
      cr_assert_eq(worker.runs, 1);
      cr_assert_leq(worker.fixture.strikes, 1, "%d strikes",
                    worker.fixture.strikes);
    }
  });
}

// Guards against crashes that do not count because the worker leaves.
Test(leaving_workers, a_draining_worker_that_breaks_off_has_ended) {
  OnRuntime([](io::Runtime& runtime) {
    int port = 26360;
    for (const Departure departure :
         {Departure::kDraining, Departure::kRemoved}) {
      LeavingWorker worker(runtime, static_cast<std::uint16_t>(port), false);
      port += 10;
      worker.ends = true;
      cr_assert(!worker.Serves(departure));
      cr_assert_eq(worker.fixture.strikes, 1, "%d strikes",
                   worker.fixture.strikes);
    }
  });
}

// The same for a worker without a connection to the VM.
Test(leaving_workers, a_draining_worker_that_others_wait_for_has_ended) {
  OnRuntime([](io::Runtime& runtime) {
    int port = 26380;
    for (const Departure departure :
         {Departure::kDraining, Departure::kRemoved}) {
      LeavingWorker worker(runtime, static_cast<std::uint16_t>(port), true);
      port += 10;
      worker.reports_stall = true;
      worker.pause = milliseconds(700);
      (void)worker.Serves(departure);
      cr_assert_eq(worker.fixture.strikes, 1, "%d strikes",
                   worker.fixture.strikes);
    }
  });
}

// Guards against streams that are sent to a worker which has crashed, again and
// again while its registration stands: its end was known already.
Test(leaving_workers, a_crashed_worker_stays_unreachable) {
  OnRuntime([](io::Runtime& runtime) {
    RouterFixture fixture(runtime, 26400);
    fixture.AddServer(1, "llm", {0, 4},
                      [](io::HttpExchange& exchange) { exchange.Abort(); });
    fixture.servers[0]->StopAccepting();
    runtime.SleepFor(milliseconds(5));
    fixture.routing_state.OnServerEnded("s1");
    (void)fixture.Call(fixture.Request("/draft/x", "r1", "400"));
    runtime.SleepFor(milliseconds(100));
    cr_assert(fixture.routing_state.IsUnreachable("s1", runtime.Now()));
    cr_assert_eq(fixture.strikes, 0);
  });
}
