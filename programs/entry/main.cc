// chervil-entry: daemon that serves callers' requests.
#include "chervilpass/app/program.h"
#include "chervilpass/core/hash.h"
#include "chervilpass/entry/entry_service.h"

namespace chervilpass {
namespace {

constexpr Duration kDrainPollInterval = milliseconds(20);
// Callers that are still sending have so long to read that they are refused.
constexpr Duration kRefusalReadTime = milliseconds(60);
constexpr Duration kLastReadPollInterval = milliseconds(5);

struct EntrySettings {
  std::string vm;
  std::string data_centre;
  std::string region;
  io::HttpServerSettings http;
  io::Endpoint control;
  entry::EntryServiceSettings service;
  Duration stall_timeout{0};
  Duration default_deadline{0};
  routing::RetryBudgetSettings retry_budget;
  Duration drain_limit{0};
  LogSettings log;
};

EntrySettings ReadSettings(config::SettingsReader& reader,
                           const app::CommandLine& command_line) {
  EntrySettings settings;
  settings.vm = reader.Text("vm");
  settings.data_centre = reader.Text("data_centre");
  settings.region = reader.Text("region");
  settings.http.listen = reader.Address("listen");
  settings.http.half_closed_peers = true;
  settings.control = reader.Address("control");
  settings.drain_limit =
      reader.Milliseconds("drain_limit_ms", {0, 3600000}, 60000);
  config::SettingsReader http = reader.Section("http");
  settings.http.limits.header_bytes = static_cast<std::uint32_t>(
      http.Integer("header_limit_bytes", {1024, 1 << 20}, 16 * 1024));
  settings.http.limits.body_bytes = static_cast<std::uint64_t>(
      http.Integer("body_limit_bytes", {1024, 1 << 26}, 1024 * 1024));
  settings.http.limits.read_timeout =
      http.Milliseconds("read_timeout_ms", {10, 600000}, 10000);
  settings.http.write_timeout =
      http.Milliseconds("write_timeout_ms", {10, 600000}, 10000);
  settings.http.connection_limit = static_cast<std::size_t>(
      http.Integer("connection_limit", {1, 1000000}, 8192));
  config::SettingsReader requests = reader.Section("requests");
  settings.stall_timeout =
      requests.Milliseconds("stall_ms", {300, 600000}, 1000);
  settings.default_deadline =
      requests.Milliseconds("default_deadline_ms", {1, 86400000}, 120000);
  settings.retry_budget.share = requests.Double("retry_share", 0, 10, 0.2);
  settings.retry_budget.reserve =
      requests.Double("retry_reserve", 1, 100000, 100);
  config::SettingsReader entries = reader.Section("entries");
  settings.service.entries_ttl =
      entries.Milliseconds("ttl_ms", {100, 600000}, 5000);
  config::SettingsReader ledger = reader.Section("ledger");
  settings.service.ledger_shards =
      static_cast<std::uint32_t>(ledger.Integer("shards", {1, 1024}, 4));
  settings.log =
      app::ReadLogSettings(reader, "chervil-entry", settings.vm, command_line);
  return settings;
}

// Drains in three steps: leaves the address lists; stops taking new work after
// one TTL, when callers have refreshed their lists; ends when nothing is in
// flight and callers have received their responses, or at the drain limit.
void Drain(io::Runtime& runtime,
           const EntrySettings& settings,
           const Logger& log,
           control::ViewSubscriber* view_subscriber,
           entry::EntryService* service,
           io::HttpServer* server) {
  log.Info("entry.draining", {{"in_flight", service->InFlight()}});
  view_subscriber->Stop();
  const Instant start = runtime.Now();
  const Instant deadline = start + settings.drain_limit;
  runtime.SleepFor(
      std::min(settings.drain_limit, settings.service.entries_ttl));
  service->StopAcceptingCalls();
  server->DisableKeepAlive();
  while (service->InFlight() > 0 && runtime.Now() < deadline) {
    runtime.SleepFor(kDrainPollInterval);
  }
  server->StopAccepting();
  const std::size_t unread = server->Unread().size();
  const Instant until = runtime.Now() + kRefusalReadTime;
  while (runtime.Now() < until
             ? server->Connections() > 0
             : runtime.Now() < deadline && !server->Unsent().empty()) {
    server->RefuseUnread([](const io::HttpRequest&) {
      return entry::EntryService::UnreadableResponse(503, "this VM is leaving");
    });
    server->CloseIdle();
    runtime.SleepFor(kLastReadPollInterval);
  }
  log.Info("entry.stopped", {{"in_flight", service->InFlight()},
                             {"unread", unread},
                             {"unsent", server->Unsent().size()}});
}

int RunDaemon(io::Runtime& runtime, const EntrySettings& settings) {
  const Logger log(settings.log);
  runtime.LogTo(&log);
  MetricsRegistry metrics;
  const auto loop = rpc::RpcLoop::Create(&runtime);
  const auto view_subscriber =
      control::ViewSubscriber::Create(loop, settings.control, "entry", log);
  entry::EntryContext context{
      &runtime,
      &metrics,
      log,
      view_subscriber,
      entry::DispatchPool(loop),
      routing::RetryBudget(settings.retry_budget),
      quarantine::StrikeTracker(quarantine::StrikeTrackerSettings{}),
      Random(HashText(RandomId())),
      settings.vm,
      settings.data_centre,
      settings.region,
      settings.stall_timeout,
      settings.default_deadline,
      routing::CellCache()};
  entry::EntryService service(&context, settings.service);
  const auto server = io::HttpServer::Create(
      &runtime, settings.http,
      [&service](io::HttpExchange& exchange) { service.Handle(exchange); },
      entry::EntryService::UnreadableResponse);
  if (server.has_error()) {
    log.Error("listen.failed", {{"detail", server.error().detail}});
    return app::kExitFailure;
  }
  log.Info("entry.ready", {{"listen", settings.http.listen.ToText()}});
  runtime.WaitForStopSignal();
  Drain(runtime, settings, log, view_subscriber.get(), &service,
        server.value().get());
  return app::kExitOk;
}

}  // namespace
}  // namespace chervilpass

int main(int argc, char** argv) {
  using namespace chervilpass;
  io::Runtime::PrepareSignals();
  const app::CommandLine command_line = app::ParseCommandLine(
      argc, argv, "Serves callers' requests and streams the answers");
  const auto settings = app::LoadSettings<EntrySettings>(
      command_line, [&](config::SettingsReader& reader) {
        return ReadSettings(reader, command_line);
      });
  io::Runtime::Run([&](io::Runtime& runtime) {
    app::ExitNow(RunDaemon(runtime, settings));
  });
}
