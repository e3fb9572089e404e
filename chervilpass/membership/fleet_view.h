// One daemon's snapshot of the fleet. Immutable once published.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "chervilpass/config/fleet_config.h"
#include "chervilpass/membership/member.h"
#include "chervilpass/quarantine/strike.h"

namespace chervilpass::membership {

/// Members, configuration, strikes and leaving backend servers as of
/// `generation`.
struct FleetView {
  std::uint64_t generation = 0;
  std::vector<Member> members;
  std::shared_ptr<const config::FleetConfig> config;  ///< null if unknown
  std::vector<quarantine::Strike> strikes;
  std::set<std::string> leaving_backends;

  /// True if new work may be sent to the backend server.
  bool AcceptsNewWork(const config::Backend& backend) const {
    return !backend.draining && !this->leaving_backends.contains(backend.id);
  }

  /// The member of that VM, or null.
  const Member* Find(const std::string& vm) const;

  /// VMs whose dispatcher accepts work: those in `data_centre`; if there are
  /// none, those in `region`; if there are none, all. Sorted by name.
  std::vector<std::string> Dispatchers(const std::string& data_centre,
                                       const std::string& region) const;

  /// VMs in the whole fleet whose dispatcher accepts work. Sorted by name.
  std::vector<std::string> AllDispatchers() const;
};

}  // namespace chervilpass::membership
