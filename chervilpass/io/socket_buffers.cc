#include "chervilpass/io/socket_buffers.h"

#include <linux/sock_diag.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>

namespace chervilpass::io {
namespace {

// The kernel doubles the value that it is given, and accounts its overhead
// against the result.
bool SetBuffer(int socket, int option, std::size_t bytes) {
  const int value = static_cast<int>(bytes / 2);
  return bytes == 0 ||
         ::setsockopt(socket, SOL_SOCKET, option, &value, sizeof(value)) == 0;
}

}  // namespace

bool SetBuffers(int socket, const SocketBuffers& buffers) {
  const bool received = SetBuffer(socket, SO_RCVBUF, buffers.receive);
  return SetBuffer(socket, SO_SNDBUF, buffers.send) && received;
}

bool EnlargeReceiveBuffer(int socket, std::size_t bytes) {
  const int clamp = static_cast<int>(bytes / 2);
  return SetBuffer(socket, SO_RCVBUF, bytes) &&
         ::setsockopt(socket, IPPROTO_TCP, TCP_WINDOW_CLAMP, &clamp,
                      sizeof(clamp)) == 0;
}

std::size_t QueuedBytes(int socket) {
  std::array<unsigned, SK_MEMINFO_VARS> memory{};
  socklen_t size = sizeof(memory);
  if (::getsockopt(socket, SOL_SOCKET, SO_MEMINFO, memory.data(), &size) == 0) {
    return std::size_t{memory[SK_MEMINFO_RMEM_ALLOC]} +
           memory[SK_MEMINFO_WMEM_QUEUED];
  }
  std::size_t queued = 0;
  for (const unsigned long request : {SIOCINQ, SIOCOUTQ}) {
    int bytes = 0;
    if (::ioctl(socket, request, &bytes) == 0 && bytes > 0) {
      queued += static_cast<std::size_t>(bytes);
    }
  }
  return queued;
}

}  // namespace chervilpass::io
