// ledger-bench: platform writes and latency of claims, with sharded segments
// and group commit, against a baseline of one object per key.
#include <tclap/CmdLine.h>

#include <algorithm>
#include <cmath>

#include "chervilpass/app/program.h"
#include "chervilpass/core/hash.h"
#include "chervilpass/core/random.h"
#include "chervilpass/dispatch/ledger_service.h"

namespace chervilpass {
namespace {

constexpr std::uint64_t kArrivalSeed = 5;

struct Outcome {
  std::vector<double> latency_seconds;  ///< one sample per granted claim
  std::uint32_t refused = 0;
};

// Makes `count` claims with Poisson arrivals at `rate` per second, open loop.
template <class MakeClaim>
Outcome RunClaims(io::Runtime& runtime,
                  double rate,
                  std::uint32_t count,
                  MakeClaim make_claim) {
  Outcome outcome;
  Random arrivals(kArrivalSeed);
  Instant next_arrival = runtime.Now();
  for (std::uint32_t i = 0; i < count; ++i) {
    next_arrival += duration_cast<Duration>(
        std::chrono::duration<double>(-std::log(1 - arrivals.Unit()) / rate));
    if (next_arrival > runtime.Now()) {
      runtime.SleepFor(next_arrival - runtime.Now());
    }
    runtime.Spawn([&, due = next_arrival] {
      if (make_claim()) {
        outcome.latency_seconds.push_back(ToSeconds(runtime.Now() - due));
      } else {
        ++outcome.refused;
      }
    });
  }
  while (outcome.latency_seconds.size() + outcome.refused < count) {
    runtime.SleepFor(milliseconds(5));
  }
  return outcome;
}

void Print(const char* mode,
           double rate,
           Outcome outcome,
           std::uint64_t writes,
           std::uint32_t count) {
  std::sort(outcome.latency_seconds.begin(), outcome.latency_seconds.end());
  const auto quantile_ms = [&outcome](double share) {
    return outcome.latency_seconds.empty()
               ? 0
               : outcome.latency_seconds[static_cast<std::size_t>(
                     share *
                     static_cast<double>(outcome.latency_seconds.size() - 1))] *
                     1000;
  };
  fmt::print(
      "mode={} rate={} writes_per_1000={:.0f} p50_ms={:.2f} p99_ms={:.2f} "
      "refused={}\n",
      mode, rate, 1000.0 * static_cast<double>(writes) / count,
      quantile_ms(0.5), quantile_ms(0.99), outcome.refused);
}

void RunShardedAndBaseline(io::Runtime& runtime,
                           const io::Endpoint& platform,
                           double rate,
                           std::uint32_t count) {
  const Logger log({"ledger-bench", "bench", LogLevel::kError});
  platform::ObjectClientSettings settings;
  settings.address = platform;
  settings.calls_per_second = 1e6;
  settings.burst = 1e6;
  const auto write_count = [](const MetricsRegistry& metrics) {
    return metrics.CounterValue("chervil_platform_calls_total",
                                "kind=\"write\"");
  };
  const std::string run_id = RandomId();

  auto* sharded_metrics = new MetricsRegistry();
  const std::shared_ptr<platform::ObjectClient> store =
      platform::ObjectClient::Create(&runtime, sharded_metrics, settings);
  const auto ledger = dispatch::LedgerService::Create(
      &runtime, sharded_metrics, log, store, dispatch::LedgerServiceSettings{});
  const Outcome sharded = RunClaims(runtime, rate, count, [&] {
    return std::holds_alternative<ledger::Granted>(
        ledger->Claim({run_id, RandomId()}, RandomId(), 1));
  });
  Print("sharded", rate, sharded, write_count(*sharded_metrics), count);

  auto* baseline_metrics = new MetricsRegistry();
  const auto objects =
      platform::ObjectClient::Create(&runtime, baseline_metrics, settings);
  const Outcome baseline = RunClaims(runtime, rate, count, [&] {
    return objects->CreateObject("claim/" + RandomId(), "{}").has_value();
  });
  Print("object-a-key", rate, baseline, write_count(*baseline_metrics), count);
}

}  // namespace
}  // namespace chervilpass

int main(int argc, char** argv) {
  using namespace chervilpass;
  TCLAP::CmdLine command("Platform writes and latency of durable claims", ' ',
                         CHERVILPASS_VERSION);
  TCLAP::ValueArg<std::string> platform("", "platform",
                                        "address of the object API", true, "",
                                        "IP:PORT", command);
  TCLAP::ValueArg<double> rate("", "rate", "claims per second", true, 0, "N",
                               command);
  TCLAP::ValueArg<std::uint32_t> count("", "count", "claims", false, 1000, "N",
                                       command);
  command.parse(argc, argv);
  io::Runtime::Run([&](io::Runtime& runtime) {
    RunShardedAndBaseline(runtime,
                          io::Endpoint::Parse(platform.getValue()).value(),
                          rate.getValue(), count.getValue());
    app::ExitNow(app::kExitOk);
  });
}
