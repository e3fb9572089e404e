// The configuration that a control daemon holds, and earlier versions, from
// which deltas for peers are computed. No I/O.
#pragma once

#include <deque>
#include <memory>
#include <string>

#include "chervilpass/config/fleet_config.h"
#include "chervilpass/rpc/messages.h"

namespace chervilpass::control {

/// Current configuration and recent earlier versions. Not thread-safe.
/// Invariant: the current version never decreases.
class ConfigHistory {
 public:
  /// Makes `config` the current configuration if its version is newer. Returns
  /// whether it was applied.
  bool Apply(config::FleetConfig config);

  /// Applies a full configuration or a delta that a peer has sent. Returns
  /// false if it is not newer, cannot be parsed, or its base version is not
  /// held.
  bool Apply(const rpc::ConfigChanges& changes);

  /// Current version; 0 without a configuration.
  std::uint64_t Version() const;

  /// Current configuration, or null.
  std::shared_ptr<const config::FleetConfig> Current() const {
    return this->current;
  }

  /// The given version if it is current or still held, else null. Version 0 is
  /// the empty configuration.
  std::shared_ptr<const config::FleetConfig> Find(std::uint64_t version) const;

  /// JSON of the current configuration, cached until the version changes; empty
  /// without a configuration.
  const std::string& CurrentJson() const;

  /// Changes from `known_version` to the current one: a delta if that version
  /// is still held and the delta is smaller than the full configuration, else
  /// the full configuration. The body is empty if `known_version` is not older
  /// than the current version.
  rpc::ConfigChanges ChangesSince(std::uint64_t known_version) const;

 private:
  std::shared_ptr<const config::FleetConfig> current;
  std::deque<std::shared_ptr<const config::FleetConfig>>
      earlier;  ///< oldest first
  mutable std::string json;
  mutable std::uint64_t json_version = 0;
};

}  // namespace chervilpass::control
