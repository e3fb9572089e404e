// Merges an operator's change with what others have changed in the meantime.
#pragma once

#include <string>
#include <variant>

#include "chervilpass/config/config_delta.h"
#include "chervilpass/config/fleet_config.h"

namespace chervilpass::config {

/// The same objects were changed to other values by somebody else; one line an
/// object, with both values.
struct MergeConflict {
  std::string detail;

  bool operator==(const MergeConflict&) const = default;
};

/// The version that the change was made on is not known any more.
struct BaseUnknown {
  bool operator==(const BaseUnknown&) const = default;
};

using MergeResult =
    std::variant<FleetConfig, MergeConflict, BaseUnknown, ConfigErrors>;

/// Applies `change` on top of `current`. `base` is the version that the change
/// starts from, or null if it is not known. The result has the next version and
/// remembers `change_id`.
MergeResult MergeChange(const FleetConfig& current,
                        const FleetConfig* base,
                        const ConfigDelta& change,
                        const std::string& change_id);

/// The version made by that change, or 0 if it is not among the recent ones.
std::uint64_t VersionOfChange(const FleetConfig& config,
                              const std::string& change_id);

}  // namespace chervilpass::config
