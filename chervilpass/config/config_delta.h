// The difference between two versions of the configuration, object by object:
// the size of a change depends on the objects changed, not on the table.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chervilpass/config/fleet_config.h"

namespace chervilpass::config {

/// Changed and removed objects of one kind.
template <class Key, class Value>
struct MapDelta {
  std::map<Key, Value> changed;
  std::vector<Key> removed;

  bool operator==(const MapDelta&) const = default;
};

/// The changes between one version and a later one.
/// Invariant: `from_version` < `to_version`.
struct ConfigDelta {
  std::uint64_t from_version = 0;
  std::uint64_t to_version = 0;
  std::vector<AppliedChange> recent_changes;  ///< those of `to_version`
  MapDelta<std::string, Pipeline> pipelines;
  MapDelta<std::string, Service> services;
  MapDelta<std::string, Organisation> organisations;
  MapDelta<std::string, Backend> backends;
  MapDelta<RowKey, TableRow> rows;

  bool operator==(const ConfigDelta&) const = default;
};

/// The delta from `older` to `newer`, which must have the higher version.
ConfigDelta Difference(const FleetConfig& older, const FleetConfig& newer);

/// `base` with `delta` applied; empty if the delta starts at another version or
/// does not raise the version.
std::optional<FleetConfig> ApplyDelta(const FleetConfig& base,
                                      const ConfigDelta& delta);

}  // namespace chervilpass::config
