// chervil-dispatch: daemon that owns cells of workers and shards of the ledger.
// Of the entry, dispatch and control daemons, only this one calls backend
// servers.
#include "chervilpass/app/program.h"
#include "chervilpass/control/view_subscriber.h"
#include "chervilpass/dispatch/completion_runner.h"
#include "chervilpass/dispatch/ledger_service.h"
#include "chervilpass/dispatch/service_runner.h"
#include "chervilpass/io/http_server.h"
#include "chervilpass/platform/object_client.h"
#include "chervilpass/rpc/dispatch_rpc.h"

namespace chervilpass {
namespace {

constexpr Duration kDrainPollInterval = milliseconds(20);
// Time for the leaving status to spread by gossip.
constexpr Duration kMinDrainTime = milliseconds(1500);
// For the RPC thread to write the last outcomes, of which nothing tells when
// they are written.
constexpr Duration kLastWriteTime = milliseconds(500);

struct DispatchSettings {
  std::string vm;
  io::Endpoint listen;   ///< RPC from entries
  io::Endpoint metrics;  ///< HTTP
  io::Endpoint control;  ///< the control daemon of this VM
  platform::ObjectClientSettings platform;
  dispatch::CompletionRunnerSettings completions;
  dispatch::ServiceRunnerSettings services;
  dispatch::LedgerServiceSettings ledger;
  Duration drain_limit{0};
  LogSettings log;
};

DispatchSettings ReadSettings(config::SettingsReader& reader,
                              const app::CommandLine& command_line) {
  DispatchSettings settings;
  settings.vm = reader.Text("vm");
  settings.listen = reader.Address("listen");
  settings.metrics = reader.Address("metrics");
  settings.control = reader.Address("control");
  settings.drain_limit =
      reader.Milliseconds("drain_limit_ms", {0, 3600000}, 60000);
  config::SettingsReader platform = reader.Section("platform");
  settings.platform.address = platform.Address("address");
  settings.platform.timeout =
      platform.Milliseconds("timeout_ms", {10, 60000}, 1000);
  settings.platform.calls_per_second =
      platform.Double("calls_per_second", 0.1, 100000, 250);
  config::SettingsReader workers = reader.Section("workers");
  settings.completions.workers.step_timeout =
      workers.Milliseconds("step_timeout_ms", {10, 600000}, 2000);
  settings.completions.workers.max_batches_in_flight =
      static_cast<std::uint32_t>(
          workers.Integer("batches_in_flight", {1, 64}, 8));
  settings.completions.workers.max_batch_steps =
      static_cast<std::uint32_t>(workers.Integer("batch_limit", {1, 10000}, 4));
  config::SettingsReader queue = reader.Section("queue");
  settings.completions.queue.limit =
      static_cast<std::uint32_t>(queue.Integer("limit", {1, 1000000}, 256));
  settings.completions.queue.max_expected_wait =
      queue.Milliseconds("longest_wait_ms", {1, 3600000}, 2000);
  settings.completions.adaptive_limit.target_token_interval =
      queue.Milliseconds("target_token_gap_ms", {1, 600000}, 25);
  config::SettingsReader ledger = reader.Section("ledger");
  settings.ledger.shards =
      static_cast<std::uint32_t>(ledger.Integer("shards", {1, 1024}, 4));
  settings.ledger.shard.write_interval =
      ledger.Milliseconds("write_interval_ms", {0, 10000}, 10);
  settings.ledger.shard.segment_bytes = static_cast<std::size_t>(
      ledger.Integer("segment_bytes", {1024, 700000}, 48 * 1024));
  settings.log = app::ReadLogSettings(reader, "chervil-dispatch", settings.vm,
                                      command_line);
  return settings;
}

class DispatchDaemon {
 public:
  DispatchDaemon(io::Runtime* runtime, DispatchSettings settings)
      : runtime(runtime),
        settings(std::move(settings)),
        log(this->settings.log),
        loop(rpc::RpcLoop::Create(runtime)),
        view_subscriber(control::ViewSubscriber::Create(this->loop,
                                                        this->settings.control,
                                                        "dispatch",
                                                        this->log)),
        store(platform::ObjectClient::Create(runtime,
                                             &this->metrics,
                                             this->settings.platform)),
        ledger(dispatch::LedgerService::Create(runtime,
                                               &this->metrics,
                                               this->log,
                                               this->store,
                                               this->settings.ledger)),
        completions(
            dispatch::CompletionRunner::Create(runtime,
                                               &this->metrics,
                                               this->log,
                                               this->view_subscriber,
                                               this->settings.completions)),
        services(dispatch::ServiceRunner::Create(runtime,
                                                 &this->metrics,
                                                 this->log,
                                                 this->view_subscriber,
                                                 this->ledger,
                                                 this->settings.services)) {}

  // Serves until a stop signal, then drains; returns the exit code.
  int Run() {
    this->runtime->LogTo(&this->log);
    if (!this->Serve()) {
      return app::kExitFailure;
    }
    this->log.Info("dispatch.ready",
                   {{"listen", this->settings.listen.ToText()}});
    this->runtime->WaitForStopSignal();
    this->Drain();
    return app::kExitOk;
  }

 private:
  bool Serve() {
    rpc::DispatchHandlers handlers;
    handlers.complete = [this](const rpc::CompletionRequest& request,
                               const rpc::AttemptSink& sink,
                               const std::shared_ptr<rpc::CancelFlag>& cancel) {
      return this->completions->Run(request, sink, cancel);
    };
    handlers.call_service = [this](const rpc::ServiceRequest& request) {
      return this->services->Run(request);
    };
    handlers.query_claim = [this](const std::string& organisation,
                                  const std::string& key) {
      return this->services->Query(organisation, key);
    };
    const auto serving = rpc::ServeDispatch(this->loop, this->settings.listen,
                                            std::move(handlers));
    if (serving.has_error()) {
      this->log.Error("listen.failed", {{"detail", serving.error().detail}});
      return false;
    }
    io::HttpServerSettings http;
    http.listen = this->settings.metrics;
    auto server = io::HttpServer::Create(
        this->runtime, http,
        [this](io::HttpExchange& exchange) { this->ServeMetrics(exchange); },
        [](unsigned status, std::string_view detail) {
          return io::HttpResponse{status, {}, std::string(detail)};
        });
    if (server.has_error()) {
      this->log.Error("listen.failed", {{"detail", server.error().detail}});
      return false;
    }
    this->http = std::move(server).value();
    return true;
  }

  void ServeMetrics(io::HttpExchange& exchange) {
    if (exchange.Request().path != "/metrics") {
      return exchange.Respond({404, {}, "only /metrics is here"});
    }
    this->metrics.Set("chervil_in_flight", "",
                      static_cast<double>(this->InFlight()));
    exchange.Respond({200, {}, this->metrics.PrometheusText()});
  }

  std::size_t InFlight() const {
    return this->completions->InFlight() + this->services->InFlight();
  }

  // Entries learn by gossip that this dispatcher is leaving; requests that
  // arrive until then are served. Ends when nothing has been in flight for
  // kLastWriteTime, at the earliest after kMinDrainTime, or at the drain limit.
  void Drain() {
    this->log.Info("dispatch.draining", {{"in_flight", this->InFlight()}});
    this->view_subscriber->Stop();
    const Instant start = this->runtime->Now();
    const Instant deadline = start + this->settings.drain_limit;
    Instant busy = start;
    while (this->runtime->Now() < deadline &&
           (this->runtime->Now() < busy + kLastWriteTime ||
            this->runtime->Now() < start + kMinDrainTime)) {
      this->runtime->SleepFor(kDrainPollInterval);
      if (this->InFlight() > 0) {
        busy = this->runtime->Now();
      }
    }
    this->log.Info("dispatch.stopped", {{"in_flight", this->InFlight()}});
  }

  io::Runtime* runtime;
  DispatchSettings settings;
  Logger log;
  MetricsRegistry metrics;
  std::shared_ptr<rpc::RpcLoop> loop;
  std::shared_ptr<control::ViewSubscriber> view_subscriber;
  std::shared_ptr<platform::ObjectClient> store;
  std::shared_ptr<dispatch::LedgerService> ledger;
  std::shared_ptr<dispatch::CompletionRunner> completions;
  std::shared_ptr<dispatch::ServiceRunner> services;
  std::unique_ptr<io::HttpServer> http;
};

}  // namespace
}  // namespace chervilpass

int main(int argc, char** argv) {
  using namespace chervilpass;
  io::Runtime::PrepareSignals();
  const app::CommandLine command_line = app::ParseCommandLine(
      argc, argv,
      "Owns cells of workers and shards of the at-most-once ledger");
  const auto settings = app::LoadSettings<DispatchSettings>(
      command_line, [&](config::SettingsReader& reader) {
        return ReadSettings(reader, command_line);
      });
  io::Runtime::Run([&](io::Runtime& runtime) {
    DispatchDaemon daemon(&runtime, settings);
    app::ExitNow(daemon.Run());
  });
}
