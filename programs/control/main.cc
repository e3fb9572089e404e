// chervil-control: daemon for membership, configuration and views of one entry
// VM.
#include "chervilpass/app/program.h"
#include "chervilpass/control/control_node.h"
#include "chervilpass/io/http_server.h"
#include "chervilpass/platform/object_client.h"

namespace chervilpass {
namespace {

constexpr Duration kLeavePollInterval = milliseconds(50);
// Time for the leaving status to spread by gossip.
constexpr Duration kMinLeaveTime = milliseconds(1500);
// Longest time of a suspicion, as a multiple of the shortest.
constexpr int kMaxSuspicionFactor = 3;

struct ControlSettings {
  control::ControlNodeSettings node;
  platform::ObjectClientSettings platform;
  io::Endpoint metrics;
  Duration drain_limit{0};
  LogSettings log;
};

constexpr config::IntegerRange kPortRange{1, 65535};

membership::Member ReadMember(config::SettingsReader& reader) {
  membership::Member member;
  member.vm = reader.Text("vm");
  member.data_centre = reader.Text("data_centre");
  member.region = reader.Text("region");
  member.ip = reader.Text("ip");
  if (!io::Endpoint::Parse(member.ip + ":1")) {
    reader.AddError("ip",
                    "'" + member.ip + "' given; an IP address is expected");
  }
  const auto port = [&reader](std::string_view field) {
    return static_cast<std::uint16_t>(reader.Integer(field, kPortRange));
  };
  member.http_port = port("http_port");
  member.dispatch_port = port("dispatch_port");
  member.control_port = port("control_port");
  member.gossip_port = port("gossip_port");
  return member;
}

ControlSettings ReadSettings(config::SettingsReader& reader,
                             const app::CommandLine& command_line) {
  ControlSettings settings;
  settings.node.self = ReadMember(reader);
  settings.metrics = reader.Address("metrics");
  for (config::SettingsReader& seed : reader.List("seeds")) {
    settings.node.seeds.push_back(ReadMember(seed));
  }
  settings.drain_limit =
      reader.Milliseconds("drain_limit_ms", {0, 3600000}, 5000);
  config::SettingsReader gossip = reader.Section("gossip");
  settings.node.detector.probe_period =
      gossip.Milliseconds("probe_period_ms", {20, 60000}, 500);
  settings.node.detector.probe_timeout =
      gossip.Milliseconds("probe_timeout_ms", {10, 60000}, 150);
  membership::SuspicionSettings& suspicion = settings.node.detector.suspicion;
  suspicion.min_timeout =
      gossip.Milliseconds("suspicion_timeout_ms", {10, 600000}, 1000);
  suspicion.max_timeout = kMaxSuspicionFactor * suspicion.min_timeout;
  settings.node.detector.probe_deadline = settings.node.detector.probe_period;
  if (settings.node.detector.probe_timeout >=
      settings.node.detector.probe_period) {
    gossip.AddError("probe_timeout_ms", "must be below probe_period_ms");
  }
  config::SettingsReader platform = reader.Section("platform");
  settings.platform.address = platform.Address("address");
  settings.platform.timeout =
      platform.Milliseconds("timeout_ms", {10, 60000}, 1000);
  settings.platform.calls_per_second =
      platform.Double("calls_per_second", 0.1, 100000, 20);
  settings.node.vm_list_interval =
      platform.Milliseconds("vm_list_interval_ms", {50, 60000}, 1000);
  settings.log = app::ReadLogSettings(reader, "chervil-control",
                                      settings.node.self.vm, command_line);
  return settings;
}

// Serves until a stop signal, then announces that the VM is leaving and ends
// when the VM's other daemons have stopped or the drain limit has passed.
int RunDaemon(io::Runtime& runtime, const ControlSettings& settings) {
  const Logger log(settings.log);
  runtime.LogTo(&log);
  MetricsRegistry metrics;
  const auto loop = rpc::RpcLoop::Create(&runtime);
  const std::shared_ptr<platform::ObjectClient> store =
      platform::ObjectClient::Create(&runtime, &metrics, settings.platform);
  const auto node = control::ControlNode::Create(&runtime, &metrics, log, loop,
                                                 store, settings.node);
  if (node.has_error()) {
    log.Error("listen.failed", {{"detail", node.error().detail}});
    return app::kExitFailure;
  }
  const membership::Member& self = settings.node.self;
  const auto serving = rpc::ServeControl(loop, {self.ip, self.control_port},
                                         node.value()->Handlers());
  if (serving.has_error()) {
    log.Error("listen.failed", {{"detail", serving.error().detail}});
    return app::kExitFailure;
  }
  io::HttpServerSettings http;
  http.listen = settings.metrics;
  const auto server = io::HttpServer::Create(
      &runtime, http,
      [&](io::HttpExchange& exchange) {
        node.value()->ExportMetrics();
        exchange.Respond({200, {}, metrics.PrometheusText()});
      },
      [](unsigned status, std::string_view detail) {
        return io::HttpResponse{status, {}, std::string(detail)};
      });
  if (server.has_error()) {
    log.Error("listen.failed", {{"detail", server.error().detail}});
    return app::kExitFailure;
  }
  log.Info("control.ready", {{"gossip_port", self.gossip_port}});
  runtime.WaitForStopSignal();
  log.Info("control.leaving", {});
  node.value()->Leave();
  const Instant start = runtime.Now();
  const Instant deadline = start + settings.drain_limit;
  while (runtime.Now() < deadline &&
         (node.value()->DaemonsUp() || runtime.Now() < start + kMinLeaveTime)) {
    runtime.SleepFor(kLeavePollInterval);
  }
  log.Info("control.stopped", {});
  return app::kExitOk;
}

}  // namespace
}  // namespace chervilpass

int main(int argc, char** argv) {
  using namespace chervilpass;
  io::Runtime::PrepareSignals();
  const app::CommandLine command_line = app::ParseCommandLine(
      argc, argv, "Membership, configuration and views for one entry VM");
  const auto settings = app::LoadSettings<ControlSettings>(
      command_line, [&](config::SettingsReader& reader) {
        return ReadSettings(reader, command_line);
      });
  io::Runtime::Run([&](io::Runtime& runtime) {
    app::ExitNow(RunDaemon(runtime, settings));
  });
}
