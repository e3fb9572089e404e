#include "chervilpass/rpc/server_core.h"

#include <boost/fiber/future.hpp>

namespace chervilpass::rpc {

Result<void, RpcError> Serve(
    const std::shared_ptr<RpcLoop>& loop,
    const io::Endpoint& listen,
    std::function<capnp::Capability::Client()> make_bootstrap) {
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
            .then([report,
                   make_bootstrap](kj::Own<kj::NetworkAddress>&& address) {
              auto receiver = address->listen();
              auto server = kj::heap<capnp::TwoPartyServer>(make_bootstrap());
              report(success());
              auto accepting = server->listen(*receiver);
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

}  // namespace chervilpass::rpc
