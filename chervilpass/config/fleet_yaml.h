// Reads a description of a fleet that an operator has written in YAML.
#pragma once

#include "chervilpass/config/fleet_config.h"
#include "chervilpass/config/settings_reader.h"

namespace chervilpass::config {

/// Reads pipelines, services, organisations, backend servers and rows. Keys of
/// organisations stand in the file as texts or as hashes; only hashes are kept.
FleetConfig ReadFleet(SettingsReader& reader);

}  // namespace chervilpass::config
