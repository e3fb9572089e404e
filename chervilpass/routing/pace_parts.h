// Divides what all VMs together may have in flight at a paced server among the
// VMs: pure functions that give the same result on each VM with the same list
// of VMs.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chervilpass::routing {

/// Key of a VM in the order of the VMs.
std::uint64_t PaceVmKey(const std::string& vm);

/// Key of a start of a server, as in membership::ServerPaceNotice.
std::uint64_t PaceStartKey(const std::string& start);

/// Requests that all VMs together may have in flight at a server with `slots`:
/// at least one.
std::uint32_t FleetPart(double share, double slots);

/// Position of `vm` among `vms`, from 0, in an order of its own for each start
/// and turn. `vms` need not be sorted nor include `vm`.
std::size_t PaceRank(std::uint64_t vm,
                     const std::vector<std::uint64_t>& vms,
                     std::uint64_t start,
                     std::uint64_t turn);

/// What the VM with this rank may have in flight out of `fleet_part`. The parts
/// of all VMs sum up to `fleet_part`.
std::uint32_t OwnPart(std::uint32_t fleet_part,
                      std::size_t vms,
                      std::size_t rank);

}  // namespace chervilpass::routing
