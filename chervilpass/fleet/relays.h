// Which VMs watch the store for the others.
#pragma once

#include <string>
#include <vector>

#include "chervilpass/membership/member.h"

namespace chervilpass::fleet {

/// Whether members have had time to say that they reach the store.
enum class FleetPhase {
  kStarting,  ///< All that are alive are taken to reach it.
  kSteady,
};

/// True if `vm` is to watch: in each data centre the first member by address
/// that hears from the store, and those before it, which keep trying.
bool IsRelay(const std::vector<membership::Member>& members,
             const std::string& vm,
             FleetPhase phase);

/// Members that watch and hear from the store, other than `vm`: those of its
/// own data centre first.
std::vector<membership::Member> RelaysFor(
    const std::vector<membership::Member>& members,
    const std::string& vm);

}  // namespace chervilpass::fleet
