// Common code of the RPC clients: connection management and calls that fibers
// can wait for and cancel. Internal to this folder.
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

/// One connection to a peer. RPC thread only.
class Connection {
 public:
  /// The peer's bootstrap capability; connects first if there is no open
  /// connection.
  kj::Promise<capnp::Capability::Client> Bootstrap(LoopContext& context,
                                                   const io::Endpoint& to);

  /// Number of connections established so far.
  std::uint64_t Generation() const { return this->generation; }

  /// Closes the connection if it is still the one of `failed_generation`; the
  /// next Bootstrap opens a new one.
  void Reset(std::uint64_t failed_generation);

 private:
  bool IsOpen() const;

  kj::Own<kj::AsyncIoStream> stream;
  kj::Own<capnp::TwoPartyClient> client;
  std::uint64_t generation = 0;
};

/// Converts a KJ exception to an RpcError.
RpcError FromKj(const kj::Exception& exception);

/// The result of a call, which a fiber waits for. Only the first result is
/// used.
template <class T>
class PendingCall {
 public:
  /// Sets the result unless there is one already. Fiber thread only.
  void Resolve(Result<T, RpcError> result) {
    if (!this->resolved) {
      this->resolved = true;
      this->promise.set_value(std::move(result));
    }
  }

  /// Suspends the calling fiber until the result is set.
  Result<T, RpcError> Wait() { return this->promise.get_future().get(); }

 private:
  bool resolved = false;
  boost::fibers::promise<Result<T, RpcError>> promise;
};

/// State of a peer on the RPC thread: its address, its connection and the calls
/// that can still be cancelled. Used and destroyed on the RPC thread only.
struct Peer {
  explicit Peer(io::Endpoint address) : address(std::move(address)) {}

  io::Endpoint address;
  Connection connection;
  std::map<std::uint64_t, kj::Own<kj::Canceler>> running;  // by call number

  /// Cancels a running call; no effect if the call has ended.
  void Cancel(std::uint64_t call);
};

/// Sends one call and resolves `pending` with its result on the fiber thread.
/// `send` builds and sends the request on the bootstrap capability and returns
/// a promise of a T.
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
      raw->FiberRuntime().Post(
          [pending, result = std::move(result)] { pending->Resolve(result); });
    };
    auto canceler = kj::heap<kj::Canceler>();
    // A failed call may only close the connection that it was sent on.
    const auto generation = std::make_shared<std::uint64_t>(0);
    auto response =
        peer->connection.Bootstrap(context, peer->address)
            .then([peer, generation, send](capnp::Capability::Client client) {
              *generation = peer->connection.Generation();
              return send(client);
            });
    auto guarded = canceler->wrap(kj::mv(response));
    peer->running.emplace(call, kj::mv(canceler));
    context.tasks->add(
        guarded.then([finish](T&& value) { finish(std::move(value)); },
                     [finish, peer, generation](kj::Exception&& exception) {
                       const RpcError error = FromKj(exception);
                       if (error.code == RpcErrorCode::kDisconnected) {
                         peer->connection.Reset(*generation);
                       }
                       finish(error);
                     }));
  });
}

/// Resolves `pending` with kTimeout and cancels the call if there is no result
/// within `timeout`.
template <class T>
void ArmTimeout(const std::shared_ptr<RpcLoop>& loop,
                const std::shared_ptr<Peer>& peer,
                std::uint64_t call,
                const std::shared_ptr<PendingCall<T>>& pending,
                Duration timeout) {
  loop->FiberRuntime().Spawn([loop, peer, call, pending, timeout] {
    loop->FiberRuntime().SleepFor(timeout);
    if (pending.use_count() > 1) {
      pending->Resolve(RpcError{RpcErrorCode::kTimeout, "no answer in time"});
      loop->Post([peer, call](LoopContext&) { peer->Cancel(call); });
    }
  });
}

}  // namespace chervilpass::rpc
