// Shared parts of the RPC servers: listening, and calls answered by fibers.
// For the sources of this folder only.
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

/// Calls of one server that fibers are working on. RPC thread only; fibers
/// name a call by its number, so that nothing of KJ dies on their thread.
template <class T>
class OpenCalls {
 public:
  /// Opens a call; the promise gives its outcome.
  kj::Promise<T> Open(std::uint64_t* call) {
    auto pair = kj::newPromiseAndFulfiller<T>();
    *call = ++this->last;
    this->fulfillers.emplace(*call, kj::mv(pair.fulfiller));
    return kj::mv(pair.promise);
  }

  /// Ends a call with its outcome; a call that was cancelled is ignored.
  void Finish(std::uint64_t call, T outcome) {
    const auto found = this->fulfillers.find(call);
    if (found != this->fulfillers.end()) {
      found->second->fulfill(kj::mv(outcome));
      this->fulfillers.erase(found);
    }
  }

  /// Forgets a call whose caller has gone.
  void Drop(std::uint64_t call) { this->fulfillers.erase(call); }

 private:
  std::uint64_t last = 0;
  std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<T>>> fulfillers;
};

/// Runs `body` on a fiber and gives its value to the RPC thread as a promise.
template <class T>
kj::Promise<T> AnswerOnFiber(RpcLoop* loop,
                             const std::shared_ptr<OpenCalls<T>>& calls,
                             std::function<T()> body) {
  std::uint64_t call = 0;
  kj::Promise<T> promise = calls->Open(&call);
  loop->Fibers().Post([loop, calls, call, body = std::move(body)] {
    loop->Fibers().Spawn([loop, calls, call, body] {
      T outcome = body();
      loop->Post([calls, call, outcome = std::move(outcome)](LoopContext&) {
        calls->Finish(call, outcome);
      });
    });
  });
  return promise.attach(kj::defer([calls, call] { calls->Drop(call); }));
}

/// Listens and serves `make_bootstrap()` to every connection, on the RPC
/// thread. Suspends the calling fiber until the socket listens.
Result<void, RpcError> Serve(
    const std::shared_ptr<RpcLoop>& loop,
    const io::Endpoint& listen,
    std::function<capnp::Capability::Client()> make_bootstrap);

}  // namespace chervilpass::rpc
