// What one daemon knows of the fleet at one moment. Immutable once published.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "chervilpass/config/fleet_config.h"
#include "chervilpass/membership/member.h"
#include "chervilpass/quarantine/strike.h"

namespace chervilpass::membership {

/// Members, configuration and evidence as of `generation`.
struct FleetView {
  std::uint64_t generation = 0;
  std::vector<Member> members;
  std::shared_ptr<const config::FleetConfig> config;  ///< null if none is known
  std::vector<quarantine::Strike> strikes;
  std::set<std::string> leaving_backends;

  /// True if the backend server may be given new work.
  bool TakesNewWork(const config::Backend& backend) const {
    return !backend.draining && !this->leaving_backends.contains(backend.id);
  }

  /// The member of that VM, or null.
  const Member* Find(const std::string& vm) const;

  /// VMs whose dispatcher can be given work: those of `data_centre`, or else
  /// of `region`, or else all. Sorted by name.
  std::vector<std::string> Dispatchers(const std::string& data_centre,
                                       const std::string& region) const;

  /// VMs whose dispatcher can be given work, in the whole fleet.
  std::vector<std::string> AllDispatchers() const;
};

}  // namespace chervilpass::membership
