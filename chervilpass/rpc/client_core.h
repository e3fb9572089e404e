// Shared parts of the RPC clients: connection keeping and calls that fibers
// can wait for and cancel. For the sources of this folder only.
#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <boost/fiber/future.hpp>
#include <functional>
#include <map>
#include <memory>

#include "chervilpass/core/result.h"
#include "chervilpass/io/http.h"
#include "chervilpass/rpc/loop.h"
#include "chervilpass/rpc/messages.h"

namespace chervilpass::rpc {

/// One connection to a peer, on the RPC thread only.
class Connection {
 public:
  /// The peer's bootstrap capability; connects first if need be.
  kj::Promise<capnp::Capability::Client> Bootstrap(LoopContext& context,
                                                   const io::Endpoint& to);

  /// Counts the connections made so far.
  std::uint64_t Generation() const { return this->generation; }

  /// Drops the connection if it is still the one of that generation; the next
  /// Bootstrap makes a new one.
  void Reset(std::uint64_t failed_generation);

 private:
  bool StillOpen() const;

  kj::Own<kj::AsyncIoStream> stream;
  kj::Own<capnp::TwoPartyClient> client;
  std::uint64_t generation = 0;
};

/// Turns a KJ exception into this layer's error.
RpcError FromKj(const kj::Exception& exception);

/// A result that the fiber side waits for. The first outcome counts.
template <class T>
class PendingCall {
 public:
  /// Fiber thread only.
  void Resolve(Result<T, RpcError> result) {
    if (!this->resolved) {
      this->resolved = true;
      this->promise.set_value(std::move(result));
    }
  }

  /// Suspends the calling fiber until the outcome is there.
  Result<T, RpcError> Wait() { return this->promise.get_future().get(); }

 private:
  bool resolved = false;
  boost::fibers::promise<Result<T, RpcError>> promise;
};

/// A peer as the RPC thread sees it: its address, its connection and the calls
/// that can still be ended. Lives and dies on the RPC thread.
struct Peer {
  explicit Peer(io::Endpoint address) : address(std::move(address)) {}

  io::Endpoint address;
  Connection connection;
  std::map<std::uint64_t, kj::Own<kj::Canceler>> running;  // by call number

  /// Ends a running call; unknown numbers are calls that have ended.
  void Cancel(std::uint64_t call);
};

/// Sends one call and hands its outcome to the fiber side. `send` builds and
/// sends the request on the bootstrap capability and returns a promise of a T.
template <class T, class Send>
void StartCall(const std::shared_ptr<RpcLoop>& loop,
               const std::shared_ptr<Peer>& peer,
               std::uint64_t call,
               const std::shared_ptr<PendingCall<T>>& pending,
               Send send) {
  RpcLoop* raw = loop.get();
  loop->Post([raw, peer, call, pending, send](LoopContext& context) {
    auto finish = [raw, peer, call, pending](Result<T, RpcError> result) {
      peer->running.erase(call);
      raw->Fibers().Post(
          [pending, result = std::move(result)] { pending->Resolve(result); });
    };
    auto canceler = kj::heap<kj::Canceler>();
    // Only the connection that the call was sent on may be dropped for it.
    const auto used = std::make_shared<std::uint64_t>(0);
    auto answer =
        peer->connection.Bootstrap(context, peer->address)
            .then([peer, used, send](capnp::Capability::Client client) {
              *used = peer->connection.Generation();
              return send(client);
            });
    auto guarded = canceler->wrap(kj::mv(answer));
    peer->running.emplace(call, kj::mv(canceler));
    context.tasks->add(
        guarded.then([finish](T&& value) { finish(std::move(value)); },
                     [finish, peer, used](kj::Exception&& exception) {
                       const RpcError error = FromKj(exception);
                       if (error.code == RpcErrorCode::kDisconnected) {
                         peer->connection.Reset(*used);
                       }
                       finish(error);
                     }));
  });
}

/// Resolves `pending` with a timeout if it has no outcome by then.
template <class T>
void ArmTimeout(const std::shared_ptr<RpcLoop>& loop,
                const std::shared_ptr<Peer>& peer,
                std::uint64_t call,
                const std::shared_ptr<PendingCall<T>>& pending,
                Duration timeout) {
  loop->Fibers().Spawn([loop, peer, call, pending, timeout] {
    loop->Fibers().SleepFor(timeout);
    if (pending.use_count() > 1) {
      pending->Resolve(RpcError{RpcErrorCode::kTimeout, "no answer in time"});
      loop->Post([peer, call](LoopContext&) { peer->Cancel(call); });
    }
  });
}

}  // namespace chervilpass::rpc
