#include "chervilpass/rpc/client_core.h"

#include <kj/exception.h>
#include <kj/string.h>
#include <sys/socket.h>

#include <cerrno>

namespace chervilpass::rpc {

kj::Promise<capnp::Capability::Client> Connection::Bootstrap(
    LoopContext& context,
    const io::Endpoint& to) {
  if (this->client.get() != nullptr && this->IsOpen()) {
    return this->client->bootstrap();
  }
  this->Reset(this->generation);
  return context.io->provider->getNetwork()
      .parseAddress(to.ip, to.port)
      .then([](kj::Own<kj::NetworkAddress>&& address) {
        auto promise = address->connect();
        return promise.attach(kj::mv(address));
      })
      .then([this](kj::Own<kj::AsyncIoStream>&& stream)
                -> capnp::Capability::Client {
        // Another call may have connected in the meantime.
        if (this->client.get() == nullptr) {
          this->stream = kj::mv(stream);
          this->client = kj::heap<capnp::TwoPartyClient>(*this->stream);
          ++this->generation;
        }
        return this->client->bootstrap();
      });
}

// KJ does not report that an idle connection was closed by the peer, and treats
// a call on such a connection as a programming error.
bool Connection::IsOpen() const {
  KJ_IF_MAYBE (fd, this->stream->getFd()) {
    char byte = 0;
    const ssize_t peeked = ::recv(*fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return peeked > 0 ||
           (peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
  }
  return true;
}

void Connection::Reset(std::uint64_t failed_generation) {
  if (failed_generation == this->generation) {
    this->client = nullptr;
    this->stream = nullptr;
  }
}

void Peer::Cancel(std::uint64_t call) {
  const auto found = this->running.find(call);
  if (found == this->running.end()) {
    return;
  }
  // The continuation that the cancellation triggers erases the entry too.
  kj::Own<kj::Canceler> canceler = kj::mv(found->second);
  this->running.erase(found);
  // Not of type DISCONNECTED: the connection works, and other calls are running
  // on it.
  canceler->cancel(kj::Exception(kj::Exception::Type::FAILED, __FILE__,
                                 __LINE__, kj::str("cancelled by the caller")));
}

RpcError FromKj(const kj::Exception& exception) {
  const std::string detail(exception.getDescription().cStr());
  switch (exception.getType()) {
    case kj::Exception::Type::DISCONNECTED:
      return {RpcErrorCode::kDisconnected, detail};
    case kj::Exception::Type::OVERLOADED:
      return {RpcErrorCode::kTimeout, detail};
    default:
      return {RpcErrorCode::kFailed, detail};
  }
}

}  // namespace chervilpass::rpc
