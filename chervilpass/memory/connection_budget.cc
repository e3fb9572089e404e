#include "chervilpass/memory/connection_budget.h"

#include <algorithm>

namespace chervilpass::memory {
namespace {

std::size_t Part(double share, std::size_t size) {
  return static_cast<std::size_t>(share * static_cast<double>(size));
}

// What all connections hold at most.
std::size_t Cost(const ConnectionNumbers& numbers,
                 std::size_t buffer,
                 const ConnectionBudgetSettings& settings) {
  const std::size_t queues = settings.kernel_objects + 2 * buffer;
  // Nothing is sent before a connection is accepted.
  const std::size_t unaccepted = settings.kernel_objects + buffer;
  const std::size_t requests = numbers.callers + numbers.forwarded;
  const std::size_t served = requests + numbers.control;
  return served * (queues + settings.serving) +
         requests * (queues + settings.call) +
         numbers.idle_to_servers * queues +
         numbers.refusals * (queues + settings.refusal) +
         settings.listeners * settings.min_backlog * unaccepted +
         Part(settings.backlog_share, served * unaccepted);
}

// Numbers with the smallest buffers that hold at most `left`.
ConnectionNumbers Reduced(const ConnectionNumbers& wanted,
                          std::size_t left,
                          const ConnectionBudgetSettings& settings) {
  const auto reduce = [&](std::size_t number, std::size_t part,
                          std::size_t whole) {
    const double factor =
        std::min(1.0, static_cast<double>(part) / static_cast<double>(whole));
    return std::min(number,
                    std::max(settings.min_connections, Part(factor, number)));
  };
  ConnectionNumbers kept;
  kept.control = std::min(wanted.control, settings.kept_control);
  kept.idle_to_servers = std::min(wanted.idle_to_servers, settings.kept_idle);
  kept.refusals = wanted.refusals;
  const std::size_t kept_cost =
      std::max<std::size_t>(1, Cost(kept, settings.min_buffer, settings));
  kept.control = reduce(kept.control, left / 2, kept_cost);
  kept.idle_to_servers = reduce(kept.idle_to_servers, left / 2, kept_cost);
  kept.refusals = reduce(kept.refusals, left / 2, kept_cost);
  const std::size_t used = Cost(kept, settings.min_buffer, settings);
  const std::size_t rest = left > used ? left - used : 0;
  const ConnectionNumbers with_requests{wanted.callers, wanted.forwarded};
  const std::size_t requests = std::max<std::size_t>(
      1, Cost(with_requests, settings.min_buffer, settings) -
             Cost({}, settings.min_buffer, settings));
  kept.callers = reduce(wanted.callers, rest, requests);
  kept.forwarded = reduce(wanted.forwarded, rest, requests);
  return kept;
}

}  // namespace

std::size_t BacklogOf(std::size_t connections,
                      const ConnectionBudgetSettings& settings) {
  return settings.min_backlog + Part(settings.backlog_share, connections);
}

ConnectionBudget DivideForConnections(
    std::size_t limit_bytes,
    std::size_t bodies,
    const ConnectionNumbers& wanted,
    const ConnectionBudgetSettings& settings) {
  ConnectionBudget budget;
  budget.bound = Part(settings.bound_share, limit_bytes);
  budget.process = Part(settings.process_share, limit_bytes);
  budget.bodies = bodies;
  const std::size_t used = budget.process + budget.bodies;
  const std::size_t left = budget.bound > used ? budget.bound - used : 0;
  budget.numbers = wanted;
  budget.buffer = settings.min_buffer;
  const std::size_t smallest = Cost(wanted, settings.min_buffer, settings);
  if (smallest > left) {
    budget.numbers = Reduced(wanted, left, settings);
  } else {
    const std::size_t largest = Cost(wanted, settings.max_buffer, settings);
    // The cost is linear in the size of a buffer.
    const double share = largest <= left
                             ? 1.0
                             : static_cast<double>(left - smallest) /
                                   static_cast<double>(largest - smallest);
    budget.buffer += Part(share, settings.max_buffer - settings.min_buffer);
  }
  budget.per_connection = Cost(budget.numbers, budget.buffer, settings);
  return budget;
}

}  // namespace chervilpass::memory
