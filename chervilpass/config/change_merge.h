// Three-way merge of an operator's change with concurrent changes.
#pragma once

#include <string>
#include <variant>

#include "chervilpass/config/config_delta.h"
#include "chervilpass/config/fleet_config.h"

namespace chervilpass::config {

/// A concurrent change has set the same objects to other values.
struct MergeConflict {
  std::string detail;  ///< one line per object, with both values

  bool operator==(const MergeConflict&) const = default;
};

/// The version that the change is based on is no longer available.
struct BaseUnknown {
  bool operator==(const BaseUnknown&) const = default;
};

using MergeResult =
    std::variant<FleetConfig, MergeConflict, BaseUnknown, ConfigErrors>;

/// Applies `change` on top of `current`. `base` is the version that the change
/// is based on, or null if it is not available. The result has the version
/// after `current` and lists `change_id` among its recent changes; ConfigErrors
/// if it is not valid.
MergeResult MergeChange(const FleetConfig& current,
                        const FleetConfig* base,
                        const ConfigDelta& change,
                        const std::string& change_id);

/// The version that a change produced, or 0 if it is not among the recent
/// changes.
std::uint64_t VersionOfChange(const FleetConfig& config,
                              const std::string& change_id);

}  // namespace chervilpass::config
