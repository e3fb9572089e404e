#include "programs/router/settings.h"

#include <algorithm>
#include <cmath>

#include "chervilpass/core/text.h"
#include "chervilpass/placement/candidate_sampler.h"
#include "chervilpass/placement/order_governor.h"
#include "chervilpass/serving/router.h"

namespace chervilpass {
namespace {

// Parses "IP:PORT,IP:PORT", possibly empty. Only the IP addresses are used.
std::vector<std::string> ReadSeeds(config::SettingsReader& reader) {
  std::vector<std::string> ips;
  const std::string text = reader.OptionalText("seeds");
  for (const std::string& part : SplitText(text, ',')) {
    if (part.empty()) {
      continue;
    }
    if (const auto address = io::Endpoint::Parse(part)) {
      ips.push_back(address->ip);
    } else {
      reader.AddError("seeds", "'" + part + "' given; IP:PORT is expected");
    }
  }
  return ips;
}

std::uint16_t ReadPort(config::SettingsReader& reader, std::string_view field) {
  return static_cast<std::uint16_t>(reader.Integer(field, {1, 65535}));
}

}  // namespace

RouterProgramSettings ReadRouterSettings(config::SettingsReader& reader,
                                         const app::CommandLine& command_line) {
  RouterProgramSettings settings;
  settings.vm = reader.Text("vm");
  settings.ip = reader.Text("ip");
  if (!io::Endpoint::Parse(settings.ip + ":1")) {
    reader.AddError("ip",
                    "'" + settings.ip + "' given; an IP address is expected");
  }
  settings.data_centre = reader.Text("data_centre");
  settings.region = reader.Text("region");
  config::SettingsReader listen = reader.Section("listen");
  settings.callers = listen.Address("callers");
  settings.readiness = listen.Address("readiness");
  settings.directory = listen.Address("directory");
  config::SettingsReader peers = reader.Section("peers");
  settings.gossip_port = ReadPort(peers, "gossip_port");
  settings.peers = {settings.ip, ReadPort(peers, "state_port")};
  settings.forwarded = {
      settings.ip, static_cast<std::uint16_t>(peers.Integer(
                       "forward_port", {1, 65535}, settings.peers.port + 1))};
  settings.metrics = {settings.ip, ReadPort(listen, "metrics_port")};
  settings.seed_ips = ReadSeeds(peers);
  config::SettingsReader store = reader.Section("store");
  settings.store = store.Address("address");
  config::SettingsReader limits = reader.Section("limits");
  settings.address_ttl =
      limits.Milliseconds("address_ttl_ms", {100, 600000}, 2000);
  settings.shutdown_grace =
      duration_cast<Duration>(std::chrono::duration<double>(
          limits.Double("grace_seconds", 0.5, 3600, 8.0)));
  settings.whole_grace = limits.Bool("whole_grace", false);
  settings.retry_share = limits.Double("retry_share", 0, 10, 0.2);
  settings.retry_reserve = limits.Double("retry_reserve", 0, 1e6, 100);
  settings.organisation_shares = limits.Bool("organisation_shares", false);
  settings.memory_mb = static_cast<std::uint32_t>(
      limits.Integer("memory_mb", {16, 1 << 20}, 256));
  settings.descriptors = static_cast<std::uint32_t>(
      limits.Integer("descriptors", {64, 1 << 24}, 4096));
  settings.served_requests_per_log_line = static_cast<std::uint32_t>(
      limits.Integer("served_requests_per_log_line", {1, 1000000},
                     serving::RouterSettings().served_requests_per_log_line));
  settings.early_recovery = limits.Bool("early_recovery", false);
  settings.load_correction = limits.Bool("load_correction", false);
  settings.operator_key = limits.OptionalText("operator_key");
  settings.server_pacing = limits.Bool("server_pacing", false);
  settings.priced_workers = static_cast<std::uint32_t>(limits.Integer(
      "priced_workers", {16, 100000},
      static_cast<std::int64_t>(
          placement::CandidateSamplerSettings().max_priced_workers)));
  settings.weight_loads_per_minute = static_cast<std::uint32_t>(
      limits.Integer("weight_loads_per_minute", {1, 100000},
                     placement::OrderGovernorSettings().loads_per_minute));
  settings.lost_worker_time = limits.Milliseconds(
      "lost_worker_ms", {200, 600000},
      ToMilliseconds(placement::PlannerSettings().return_time));
  settings.loss_cost = limits.Bool("loss_cost", false);
  settings.objective_paths = limits.Bool("objective_paths", false);
  settings.log =
      app::ReadLogSettings(reader, "chervil-router", settings.vm, command_line);
  return settings;
}

}  // namespace chervilpass
