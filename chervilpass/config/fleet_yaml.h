// Reads the fleet configuration from an operator's YAML file.
#pragma once

#include "chervilpass/config/fleet_config.h"
#include "chervilpass/config/settings_reader.h"

namespace chervilpass::config {

/// Reads pipelines, services, organisations, backend servers and rows. The file
/// gives keys of organisations in plain text or as hashes; only the hashes are
/// stored. Errors are added to `reader`.
FleetConfig ReadFleet(SettingsReader& reader);

}  // namespace chervilpass::config
