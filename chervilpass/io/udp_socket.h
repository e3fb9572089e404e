// UDP socket for fibers.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "chervilpass/core/result.h"
#include "chervilpass/io/http.h"
#include "chervilpass/io/runtime.h"

namespace chervilpass::io {

/// A bound datagram socket. Fiber thread only.
class UdpSocket {
 public:
  /// Binds to `listen`; kConnect if the address cannot be used.
  static Result<std::unique_ptr<UdpSocket>, HttpError> Create(
      Runtime* runtime,
      const Endpoint& listen);
  ~UdpSocket();

  /// Sends a datagram. It is dropped without an error if it cannot be sent now.
  void Send(const Endpoint& to, std::string_view datagram);

  /// Suspends the fiber until a datagram arrives; empty on a socket error.
  /// Sets `from`, unless it is null, to the address of the sender.
  std::string Receive(Endpoint* from = nullptr);

  /// Payload bytes and datagrams sent since the start, including those dropped
  /// by Send().
  std::uint64_t BytesSent() const;
  std::uint64_t DatagramsSent() const;

 private:
  struct State;
  explicit UdpSocket(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

}  // namespace chervilpass::io
