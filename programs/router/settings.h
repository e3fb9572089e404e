// Settings of chervil-router.
#pragma once

#include <string>
#include <vector>

#include "chervilpass/app/program.h"
#include "chervilpass/core/time.h"
#include "chervilpass/io/http.h"

namespace chervilpass {

/// Settings of a router process.
struct RouterProgramSettings {
  std::string vm;
  std::string ip;
  std::string data_centre;
  std::string region;
  io::Endpoint callers;    ///< serves callers' requests
  io::Endpoint readiness;  ///< serves the readiness check
  io::Endpoint directory;  ///< serves the list of entry addresses
  io::Endpoint peers;      ///< serves peers' state requests
  std::uint16_t gossip_port = 0;
  io::Endpoint forwarded;  ///< serves requests that peers forward
  io::Endpoint metrics;
  std::vector<std::string> seed_ips;
  io::Endpoint store;
  Duration address_ttl{0};     ///< lifetime stated in address lists
  Duration shutdown_grace{0};  ///< from SIGTERM to the exit
  /// The platform's kill at the end of a grace period ends whichever process
  /// the VM runs then: a stop takes the whole grace period, and the next
  /// process takes no requests before its end.
  bool whole_grace = false;
  double retry_share = 0;    ///< retries per first attempt
  double retry_reserve = 0;  ///< maximum balance of the fleet, in retries
  /// Organisations leave headroom to those under their fair share.
  bool organisation_shares = false;
  std::uint32_t memory_mb = 0;
  std::uint32_t descriptors = 0;  ///< limit of open file descriptors
  /// Streams whose workers are known to be gone go on elsewhere at once.
  bool early_recovery = false;
  /// One of this many requests that were served in time has a log line.
  std::uint32_t served_requests_per_log_line = 0;
  /// Estimates of loads are corrected, and full workers are announced.
  bool load_correction = false;
  /// Servers that start or come back get a share of their load that grows with
  /// their answers.
  bool server_pacing = false;
  std::string
      operator_key;  ///< of operators' requests; empty: none are allowed
  /// Workers of a data centre up to which all are priced for each path.
  std::uint32_t priced_workers = 0;
  /// Weight loads that a decider orders in any minute.
  std::uint32_t weight_loads_per_minute = 0;
  /// Time without a response after which a registered worker no longer keeps
  /// others from being moved.
  Duration lost_worker_time{0};
  /// Paths take the cost of losses of workers into account.
  bool loss_cost = false;
  /// Paths are chosen by the objectives of requests.
  bool objective_paths = false;
  LogSettings log;

  bool operator==(const RouterProgramSettings&) const = default;
};

/// Reads the settings; errors are recorded in `reader`.
RouterProgramSettings ReadRouterSettings(config::SettingsReader& reader,
                                         const app::CommandLine& command_line);

}  // namespace chervilpass
