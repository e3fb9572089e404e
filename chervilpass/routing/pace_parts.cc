#include "chervilpass/routing/pace_parts.h"

#include <algorithm>

#include "chervilpass/core/hash.h"

namespace chervilpass::routing {

std::uint64_t PaceVmKey(const std::string& vm) {
  return HashText(vm);
}

std::uint64_t PaceStartKey(const std::string& start) {
  return HashText(start);
}

std::uint32_t FleetPart(double share, double slots) {
  return static_cast<std::uint32_t>(std::clamp(share * slots, 1.0, 1e9));
}

std::size_t PaceRank(std::uint64_t vm,
                     const std::vector<std::uint64_t>& vms,
                     std::uint64_t start,
                     std::uint64_t turn) {
  const std::uint64_t order = HashCombine(start, turn);
  const std::uint64_t own = HashCombine(order, vm);
  return static_cast<std::size_t>(
      std::count_if(vms.begin(), vms.end(), [&](std::uint64_t other) {
        return other != vm && HashCombine(order, other) < own;
      }));
}

std::uint32_t OwnPart(std::uint32_t fleet_part,
                      std::size_t vms,
                      std::size_t rank) {
  const auto count = static_cast<std::uint32_t>(std::max<std::size_t>(1, vms));
  return fleet_part / count + (rank < fleet_part % count ? 1 : 0);
}

}  // namespace chervilpass::routing
