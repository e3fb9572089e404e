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

/// Parses a configuration. Checks syntax and field types only; Validate()
/// checks references and ranges.
Result<FleetConfig, ConfigErrors> ConfigFromJson(std::string_view text);

/// A delta as one JSON object.
std::string ToJson(const ConfigDelta& delta);

/// Parses a delta. Checks syntax and field types only.
Result<ConfigDelta, ConfigErrors> DeltaFromJson(std::string_view text);

}  // namespace chervilpass::config
