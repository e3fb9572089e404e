// The configuration as one control daemon holds it, with the versions before
// it, so that peers can be sent what has changed. No I/O.
#pragma once

#include <deque>
#include <memory>
#include <string>

#include "chervilpass/config/fleet_config.h"
#include "chervilpass/rpc/messages.h"

namespace chervilpass::control {

/// Not thread-safe. Invariant: the version held never falls.
class ConfigHistory {
 public:
  /// Takes a configuration if it is newer; true if it was.
  bool Apply(config::FleetConfig config);

  /// Takes what a peer has sent; true if it was newer and could be read.
  bool Apply(const rpc::ConfigChanges& changes);

  /// Version held; 0 if there is none.
  std::uint64_t Version() const;

  /// Null if there is none.
  std::shared_ptr<const config::FleetConfig> Current() const {
    return this->current;
  }

  /// A version held now or not long ago, or null. Version 0 is the empty one.
  std::shared_ptr<const config::FleetConfig> Find(std::uint64_t version) const;

  /// JSON of the current configuration; made once a version.
  const std::string& CurrentJson() const;

  /// What leads from `have` to the current version: a delta if `have` is known
  /// and the delta is smaller, else the whole.
  rpc::ConfigChanges ChangesSince(std::uint64_t have) const;

 private:
  std::shared_ptr<const config::FleetConfig> current;
  std::deque<std::shared_ptr<const config::FleetConfig>> earlier;
  mutable std::string json;
  mutable std::uint64_t json_version = 0;
};

}  // namespace chervilpass::control
