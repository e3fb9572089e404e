// Fiber runtime of a process: one thread that runs fibers and an io_context.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "chervilpass/core/time.h"

namespace chervilpass::io {

/// Runs fibers on an io_context. All fibers of a process run on one thread, so
/// code between two waits is atomic with respect to other fibers.
class Runtime {
 public:
  /// Runs `body` as the first fiber on a new thread and returns when it ends.
  /// Other fibers are then never resumed and their resources are not freed:
  /// call this once per process.
  static void Run(const std::function<void(Runtime&)>& body);

  Runtime(const Runtime&) = delete;
  Runtime& operator=(const Runtime&) = delete;
  ~Runtime();

  /// Starts a detached fiber. Fiber thread only.
  void Spawn(std::function<void()> body);

  /// Runs `body` on the fiber thread; it must not block, but may call `Spawn`.
  /// Thread-safe.
  void Post(std::function<void()> body);

  /// Suspends the calling fiber. Fiber thread only.
  void SleepFor(Duration duration);

  /// Reads the monotonic clock.
  Instant Now() const { return std::chrono::steady_clock::now(); }

  /// Reads the wall clock.
  WallTime WallNow() const;

  /// Suspends the calling fiber until SIGTERM or SIGINT arrives.
  void WaitForStopSignal();

  /// Calls `on_reload` on a fiber at each SIGHUP, which terminates the process
  /// by default.
  void OnReloadSignal(std::function<void()> on_reload);

  /// The io_context, for the classes of this folder.
  boost::asio::io_context& Context();

 private:
  Runtime();
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace chervilpass::io
