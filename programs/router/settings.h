// Settings of chervil-router.
#pragma once

#include <string>
#include <vector>

#include "chervilpass/app/program.h"
#include "chervilpass/core/time.h"
#include "chervilpass/io/http.h"

namespace chervilpass {

/// Checked settings of one process.
struct RouterProgramSettings {
  std::string vm;
  std::string ip;
  std::string data_centre;
  std::string region;
  io::Endpoint callers;    ///< serves requests
  io::Endpoint readiness;  ///< answers whether this VM is ready
  io::Endpoint directory;  ///< tells callers which addresses to use
  io::Endpoint peers;      ///< serves peers over TCP
  std::uint16_t gossip_port = 0;
  io::Endpoint metrics;
  std::vector<std::string> seed_ips;
  io::Endpoint store;
  Duration address_ttl{0};     ///< how long callers may keep addresses
  Duration shutdown_grace{0};  ///< from SIGTERM to the end
  double retry_share = 0;      ///< retries for each first try
  double retry_reserve = 0;    ///< retries of the whole fleet in a window
  std::uint32_t memory_mb = 0;
  std::uint32_t descriptors = 0;
  LogSettings log;

  bool operator==(const RouterProgramSettings&) const = default;
};

/// Reads the settings; faults are left in `reader`.
RouterProgramSettings ReadRouterSettings(config::SettingsReader& reader,
                                         const app::CommandLine& command_line);

}  // namespace chervilpass
