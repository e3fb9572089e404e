#include "programs/router/connection_limits.h"

#include <algorithm>
#include <numeric>

namespace chervilpass {
namespace {

memory::ConnectionNumbers NumbersOf(const io::DescriptorDivision& shares) {
  memory::ConnectionNumbers numbers;
  numbers.callers = shares.callers.connections;
  numbers.forwarded = shares.forwarded.connections;
  numbers.idle_to_servers = shares.idle_to_servers;
  for (const io::ListenerShare* share :
       {&shares.readiness, &shares.directory, &shares.peers, &shares.metrics}) {
    numbers.control += share->connections;
  }
  for (const io::ListenerShare* share :
       {&shares.callers, &shares.forwarded, &shares.readiness,
        &shares.directory, &shares.peers, &shares.metrics}) {
    numbers.refusals += share->refusals;
  }
  return numbers;
}

}  // namespace

memory::Owner RequestOwnerOf(Listener listener) {
  switch (listener) {
    case Listener::kCallers:
      return memory::Owner::kCallerRequests;
    case Listener::kForwarded:
      return memory::Owner::kForwardedRequests;
    case Listener::kReadiness:
    case Listener::kDirectory:
    case Listener::kPeers:
    case Listener::kMetrics:
      break;
  }
  return memory::Owner::kControlRequests;
}

ConnectionLimits LimitConnections(const io::DescriptorDivision& allowed,
                                  std::size_t memory_bytes,
                                  const memory::MemoryBudgetSettings& bodies) {
  const memory::ConnectionNumbers wanted = NumbersOf(allowed);
  ConnectionLimits limits;
  limits.shares = allowed;
  limits.budget = memory::DivideForConnections(
      memory_bytes,
      std::accumulate(bodies.limits.begin(), bodies.limits.end(),
                      std::size_t{0}),
      wanted);
  const memory::ConnectionNumbers& numbers = limits.budget.numbers;
  io::DescriptorDivision& shares = limits.shares;
  shares.callers.connections = numbers.callers;
  shares.forwarded.connections = numbers.forwarded;
  shares.idle_to_servers = numbers.idle_to_servers;
  const auto reduce = [](std::size_t* number, std::size_t part,
                         std::size_t whole) {
    *number = std::max<std::size_t>(1, *number * part / whole);
  };
  // Readiness and metrics have so few that one more or less is noticed.
  const std::size_t few =
      shares.readiness.connections + shares.metrics.connections;
  const bool few_fit = 2 * few <= numbers.control;
  const std::size_t kept = few_fit ? few : 0;
  for (io::ListenerShare* share :
       {&shares.readiness, &shares.metrics, &shares.directory, &shares.peers}) {
    const bool is_few = share == &shares.readiness || share == &shares.metrics;
    if (!is_few || !few_fit) {
      reduce(&share->connections, numbers.control - kept,
             wanted.control - kept);
    }
  }
  for (io::ListenerShare* share :
       {&shares.callers, &shares.forwarded, &shares.readiness,
        &shares.directory, &shares.peers, &shares.metrics}) {
    reduce(&share->refusals, numbers.refusals, wanted.refusals);
  }
  return limits;
}

}  // namespace chervilpass
