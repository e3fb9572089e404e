// Limit of open file descriptors of a process, and its division among what the
// process opens.
#pragma once

#include <cstddef>

namespace chervilpass::io {

/// Raises the process's soft limit of descriptors to `wanted`, or to the hard
/// limit if that is lower. Returns how many the process may open, at most
/// `wanted`.
std::size_t RaiseDescriptorLimit(std::size_t wanted);

/// Connections of one listener.
struct ListenerShare {
  std::size_t connections = 1;
  std::size_t refusals = 1;  ///< connections being refused at a time

  bool operator==(const ListenerShare&) const = default;
};

/// What a router may open at a time. Each connection of a caller and of a VM
/// that forwards has a request that needs one more connection, to a server or
/// another VM.
struct DescriptorDivision {
  /// For the store, peers, gossip, the log, listeners and files.
  std::size_t reserve = 0;
  std::size_t idle_to_servers = 1;  ///< pooled connections without a request
  ListenerShare callers;
  ListenerShare forwarded;
  ListenerShare readiness;
  ListenerShare directory;
  ListenerShare peers;
  ListenerShare metrics;

  /// Descriptors in use if all shares are exhausted.
  std::size_t Sum() const;

  bool operator==(const DescriptorDivision&) const = default;
};

/// Divides `limit` descriptors.
DescriptorDivision DivideDescriptors(std::size_t limit);

}  // namespace chervilpass::io
