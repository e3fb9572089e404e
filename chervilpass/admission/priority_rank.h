// The order of requests by priority.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>

namespace chervilpass::admission {

/// Where a request stands among the others of its service: requests of a lower
/// rank are more urgent. The priority of the organisation takes precedence over
/// that of the route, which decides among requests of the same priority.
struct PriorityRank {
  std::uint32_t priority = 0;  ///< of the organisation, or else of the route
  std::uint32_t route_priority = 0;

  auto operator<=>(const PriorityRank&) const = default;
};

/// The rank of the requests that an organisation sends to a route. Without a
/// priority of the organisation, the priority of the route stands for it.
inline PriorityRank RankOf(
    const std::optional<std::uint32_t>& organisation_priority,
    std::uint32_t route_priority) {
  return {organisation_priority.value_or(route_priority), route_priority};
}

}  // namespace chervilpass::admission
