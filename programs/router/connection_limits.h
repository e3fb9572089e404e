// How many connections a router may have, by its limits of descriptors and of
// memory.
#pragma once

#include "chervilpass/io/descriptor_limit.h"
#include "chervilpass/memory/connection_budget.h"
#include "chervilpass/memory/memory_budget.h"

namespace chervilpass {

/// What each listener and the client may have. Immutable.
struct ConnectionLimits {
  io::DescriptorDivision shares;  ///< within both limits
  memory::ConnectionBudget budget;

  bool operator==(const ConnectionLimits&) const = default;
};

/// Listeners of a router.
enum class Listener {
  kCallers,
  kForwarded,
  kReadiness,
  kDirectory,
  kPeers,
  kMetrics,
};

/// For what the requests to a listener hold memory. Listeners that serve no
/// callers have a budget of their own, so that a crowd on one of them takes
/// nothing from the requests that other VMs forward.
memory::Owner RequestOwnerOf(Listener listener);

/// Reduces what the limit of descriptors allows to what the memory limit does.
ConnectionLimits LimitConnections(const io::DescriptorDivision& allowed,
                                  std::size_t memory_bytes,
                                  const memory::MemoryBudgetSettings& bodies);

}  // namespace chervilpass
