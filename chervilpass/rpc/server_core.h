// Common code of the RPC servers: listening, and running calls on fibers.
// Internal to this folder.
#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <functional>
#include <map>
#include <memory>

#include "chervilpass/core/result.h"
#include "chervilpass/io/http.h"
#include "chervilpass/rpc/loop.h"
#include "chervilpass/rpc/messages.h"

namespace chervilpass::rpc {

/// Calls of one server that are running on fibers. RPC thread only; fibers
/// refer to a call by its number, so that no KJ object is destroyed on their
/// thread.
template <class T>
class OpenCalls {
 public:
  /// Adds a call and sets `call` to its number; the promise resolves to its
  /// outcome.
  kj::Promise<T> Open(std::uint64_t* call) {
    auto pair = kj::newPromiseAndFulfiller<T>();
    *call = ++this->last_call;
    this->fulfillers.emplace(*call, kj::mv(pair.fulfiller));
    return kj::mv(pair.promise);
  }

  /// Completes a call with its outcome; no effect if it was cancelled.
  void Finish(std::uint64_t call, T outcome) {
    const auto found = this->fulfillers.find(call);
    if (found != this->fulfillers.end()) {
      found->second->fulfill(kj::mv(outcome));
      this->fulfillers.erase(found);
    }
  }

  /// Removes a call that has ended or was cancelled.
  void Drop(std::uint64_t call) { this->fulfillers.erase(call); }

 private:
  std::uint64_t last_call = 0;
  std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<T>>> fulfillers;
};

/// Runs `body` on a new fiber; the promise resolves to its value on the RPC
/// thread.
template <class T>
kj::Promise<T> RunOnFiber(RpcLoop* loop,
                          const std::shared_ptr<OpenCalls<T>>& calls,
                          std::function<T()> body) {
  std::uint64_t call = 0;
  kj::Promise<T> promise = calls->Open(&call);
  loop->FiberRuntime().Post([loop, calls, call, body = std::move(body)] {
    loop->FiberRuntime().Spawn([loop, calls, call, body] {
      T outcome = body();
      loop->Post([calls, call, outcome = std::move(outcome)](LoopContext&) {
        calls->Finish(call, outcome);
      });
    });
  });
  return promise.attach(kj::defer([calls, call] { calls->Drop(call); }));
}

/// Listens on `listen` and serves `make_bootstrap()` to every connection, on
/// the RPC thread. Suspends the calling fiber until the socket listens; kFailed
/// if it cannot.
Result<void, RpcError> Serve(
    const std::shared_ptr<RpcLoop>& loop,
    const io::Endpoint& listen,
    std::function<capnp::Capability::Client()> make_bootstrap);

}  // namespace chervilpass::rpc
