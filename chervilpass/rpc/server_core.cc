#include "chervilpass/rpc/server_core.h"

#include <errno.h>

#include <boost/asio/error.hpp>
#include <boost/fiber/future.hpp>
#include <cstring>

#include "chervilpass/io/address_wait.h"

namespace chervilpass::rpc {
namespace {

constexpr auto kAcceptRetryDelay = 10 * kj::MILLISECONDS;

// Accepts until the loop ends; begins anew if that fails, most likely for want
// of descriptors.
kj::Promise<void> AcceptConnections(capnp::TwoPartyServer& server,
                                    kj::ConnectionReceiver& receiver,
                                    kj::Timer& timer) {
  // A failure may be thrown as well as returned.
  return kj::evalNow([&] { return server.listen(receiver); })
      .catch_([&server, &receiver, &timer](kj::Exception&&) {
        return timer.afterDelay(kAcceptRetryDelay)
            .then([&server, &receiver, &timer] {
              return AcceptConnections(server, receiver, timer);
            });
      });
}

// KJ reports the system's error as a text only.
bool IsAddressInUse(const RpcError& error) {
  return error.detail.find(std::strerror(EADDRINUSE)) != std::string::npos;
}

Result<void, RpcError> TryServe(
    const std::shared_ptr<RpcLoop>& loop,
    const io::Endpoint& listen,
    const std::function<capnp::Capability::Client()>& make_bootstrap) {
  using Listening = Result<void, RpcError>;
  const auto listening = std::make_shared<boost::fibers::promise<Listening>>();
  RpcLoop* raw = loop.get();
  loop->Post([raw, listen, listening, make_bootstrap](LoopContext& context) {
    const auto report = [raw, listening](Listening result) {
      raw->FiberRuntime().Post(
          [listening, result] { listening->set_value(result); });
    };
    auto serving =
        context.io->provider->getNetwork()
            .parseAddress(listen.ip, listen.port)
            .then([report, make_bootstrap,
                   &timer = context.io->provider->getTimer()](
                      kj::Own<kj::NetworkAddress>&& address) {
              auto receiver = address->listen();
              auto server = kj::heap<capnp::TwoPartyServer>(make_bootstrap());
              report(success());
              auto accepting = AcceptConnections(*server, *receiver, timer);
              return accepting.attach(kj::mv(server), kj::mv(receiver));
            })
            .catch_([report](kj::Exception&& exception) {
              report(RpcError{RpcErrorCode::kFailed,
                              exception.getDescription().cStr()});
            });
    context.tasks->add(kj::mv(serving));
  });
  return listening->get_future().get();
}

}  // namespace

Result<void, RpcError> Serve(
    const std::shared_ptr<RpcLoop>& loop,
    const io::Endpoint& listen,
    std::function<capnp::Capability::Client()> make_bootstrap) {
  Result<void, RpcError> serving = success();
  io::BindWhenFree(&loop->FiberRuntime(), listen, [&] {
    serving = TryServe(loop, listen, make_bootstrap);
    const bool in_use = serving.has_error() && IsAddressInUse(serving.error());
    return in_use
               ? boost::system::error_code(boost::asio::error::address_in_use)
               : boost::system::error_code();
  });
  return serving;
}

}  // namespace chervilpass::rpc
