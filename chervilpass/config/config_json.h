// JSON form of the configuration and of changes to it.
#pragma once

#include <string>
#include <string_view>

#include "chervilpass/config/config_delta.h"
#include "chervilpass/config/fleet_config.h"
#include "chervilpass/core/result.h"

namespace chervilpass::config {

/// The configuration as one JSON object.
std::string ToJson(const FleetConfig& config);

/// Reads a configuration. Shape is checked here, meaning by Validate().
Result<FleetConfig, ConfigErrors> ConfigFromJson(std::string_view text);

/// A delta as one JSON object.
std::string ToJson(const ConfigDelta& delta);

/// Reads a delta.
Result<ConfigDelta, ConfigErrors> DeltaFromJson(std::string_view text);

}  // namespace chervilpass::config
