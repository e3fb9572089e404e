// Selects the relays, the VMs that watch the store for the others.
#pragma once

#include <string>
#include <vector>

#include "chervilpass/membership/member.h"

namespace chervilpass::fleet {

/// Whether members have had time to announce that they reach the store.
enum class FleetPhase {
  kStarting,  ///< All alive members are assumed to reach the store.
  kSteady,    ///< Only members that announce it count as reaching it.
};

/// True if `vm` watches the store: in each data centre the first member by
/// address that reaches the store, and all members before it, which keep
/// trying. Also true if `vm` is not a member.
bool IsRelay(const std::vector<membership::Member>& members,
             const std::string& vm,
             FleetPhase phase);

/// Returns the members other than `vm` that watch and reach the store, those of
/// its data centre first.
std::vector<membership::Member> RelaysFor(
    const std::vector<membership::Member>& members,
    const std::string& vm);

}  // namespace chervilpass::fleet
