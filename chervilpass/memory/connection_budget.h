// Division of what a process's memory limit leaves for connections: how many of
// them there may be, and how large their buffers in the kernel. Without I/O.
#pragma once

#include <cstddef>

namespace chervilpass::memory {

/// Connections of a process, by what each of them can hold.
struct ConnectionNumbers {
  std::size_t callers = 0;    ///< each with a request to a server
  std::size_t forwarded = 0;  ///< of other VMs, each with a request to a server
  std::size_t control = 0;    ///< readiness, directory, other VMs, metrics
  std::size_t refusals = 0;   ///< being refused
  std::size_t idle_to_servers = 0;

  bool operator==(const ConnectionNumbers&) const = default;
};

/// What connections hold at most. The costs are estimates; the sum of all is
/// checked by fault_tests/unfinished_bodies.py.
struct ConnectionBudgetSettings {
  /// Of the memory limit, for all that the process and the kernel hold.
  double bound_share = 0.8;
  /// Of the memory limit, for what does not depend on connections:
  /// configuration, members, routing state.
  double process_share = 0.15;
  /// A connection's objects in the kernel, without its queues.
  std::size_t kernel_objects = 4 * 1024;
  /// A fiber's stack, a head, a body without a share of the budget, buffers.
  std::size_t serving = 48 * 1024;
  /// A call to a server, with its buffers.
  std::size_t call = 20 * 1024;
  /// A fiber's stack.
  std::size_t refusal = 16 * 1024;
  /// Each of a connection's two buffers in the kernel. The smallest one has a
  /// window of about 8 KiB: a head of 16 KiB arrives in three round trips.
  /// A body that has been granted memory gets a larger one.
  std::size_t min_buffer = 16 * 1024;
  std::size_t max_buffer = 256 * 1024;
  /// Connections that wait to be accepted: so many of each listener, and in
  /// addition this share of its connections. With 8 some of 40 callers that
  /// connected at once to a listener with 4 connections waited for 6 s.
  std::size_t min_backlog = 32;
  double backlog_share = 0.5;
  std::size_t listeners = 6;
  /// Where not all fit, so many for control and idle ones to servers are kept,
  /// as long as they take at most half of the memory for connections: a VM
  /// that relays the configuration serves those of its data centre (58 at the
  /// target).
  std::size_t kept_control = 132;
  std::size_t kept_idle = 64;
  std::size_t min_connections = 4;  ///< of each kind, whatever they hold

  bool operator==(const ConnectionBudgetSettings&) const = default;
};

/// What connections may hold. Immutable.
struct ConnectionBudget {
  ConnectionNumbers numbers;       ///< at most those that were wanted
  std::size_t buffer = 0;          ///< of a connection, in each direction
  std::size_t bound = 0;           ///< for all that the process holds
  std::size_t process = 0;         ///< of it, whatever the connections
  std::size_t bodies = 0;          ///< of it, the limits of the memory budget
  std::size_t per_connection = 0;  ///< of it, the sum over all connections

  /// What the process and the kernel hold at most.
  std::size_t Sum() const {
    return this->process + this->bodies + this->per_connection;
  }

  bool operator==(const ConnectionBudget&) const = default;
};

/// How many connections may wait to be accepted by a listener of
/// `connections`.
std::size_t BacklogOf(std::size_t connections,
                      const ConnectionBudgetSettings& settings = {});

/// Divides `limit_bytes`, of which bodies hold `bodies`. If the wanted numbers
/// do not fit with the smallest buffers, they are reduced; otherwise the
/// buffers grow.
ConnectionBudget DivideForConnections(
    std::size_t limit_bytes,
    std::size_t bodies,
    const ConnectionNumbers& wanted,
    const ConnectionBudgetSettings& settings = {});

}  // namespace chervilpass::memory
