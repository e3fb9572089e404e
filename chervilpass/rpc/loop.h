// The RPC thread of a process. Cap'n Proto runs on KJ's event loop, which has
// its own thread; work is passed to it in batches.
#pragma once

#include <functional>
#include <memory>

#include "chervilpass/io/runtime.h"

namespace kj {
struct AsyncIoContext;
class TaskSet;
}  // namespace kj

namespace chervilpass::rpc {

/// KJ objects available to code on the RPC thread.
struct LoopContext {
  kj::AsyncIoContext* io = nullptr;
  kj::TaskSet* tasks = nullptr;
};

/// Owns the RPC thread. Thread-safe.
class RpcLoop {
 public:
  static std::shared_ptr<RpcLoop> Create(io::Runtime* runtime);
  ~RpcLoop();

  /// Runs `work` on the RPC thread. Everything posted while the thread is busy
  /// runs in one wake-up.
  void Post(std::function<void(LoopContext&)> work);

  /// The runtime of the fiber thread.
  io::Runtime& FiberRuntime() const;

 private:
  struct State;
  explicit RpcLoop(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

}  // namespace chervilpass::rpc
