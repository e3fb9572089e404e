// Sizes of a socket's buffers in the kernel, and what they hold.
#pragma once

#include <cstddef>

namespace chervilpass::io {

/// Buffers of one connection, in bytes as the kernel accounts them: the data,
/// and for small pieces mostly its own overhead. 0: as the system has it.
struct SocketBuffers {
  std::size_t receive = 0;
  std::size_t send = 0;

  bool operator==(const SocketBuffers&) const = default;
};

/// Sets the buffers of a socket. Of a listener, before it listens: its
/// connections inherit them. False if the system refuses; the socket works as
/// before then. The kernel limits the sizes (net.core.rmem_max and wmem_max).
bool SetBuffers(int socket, const SocketBuffers& buffers);

/// Enlarges the receive buffer of an established connection, and the window
/// that it offers: the kernel has derived that from the listener's buffer.
bool EnlargeReceiveBuffer(int socket, std::size_t bytes);

/// What the kernel holds in the queues of a connection, its overhead included
/// where the system tells it.
std::size_t QueuedBytes(int socket);

}  // namespace chervilpass::io
