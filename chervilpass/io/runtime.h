// Fiber runtime of a process: one thread that runs fibers and an io_context.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "chervilpass/core/log.h"
#include "chervilpass/core/time.h"

namespace chervilpass::io {

/// Runs fibers on an io_context. All fibers of a process run on one thread, so
/// code between two waits is atomic with respect to other fibers.
class Runtime {
 public:
  /// Call this first in the main function of a daemon: SIGTERM, SIGINT and
  /// SIGHUP stay pending until they are waited for, and signals that are no
  /// order to end, such as SIGPIPE and SIGUSR1, are ignored.
  static void PrepareSignals();

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

  /// Suspends the calling fiber until SIGTERM or SIGINT arrives. Without
  /// OnFurtherStopSignal, further ones have no effect; without OnReloadSignal,
  /// SIGHUP has none either.
  void WaitForStopSignal();

  /// Calls `on_stop` on a fiber at each SIGTERM or SIGINT after the first one.
  void OnFurtherStopSignal(std::function<void()> on_stop);

  /// Calls `on_reload` on a fiber at each SIGHUP.
  void OnReloadSignal(std::function<void()> on_reload);

  /// Logs each of these signals, and the exception by which the process ends if
  /// none handles it, to `log`, which must outlive the runtime.
  void LogTo(const Logger* log);

  /// The io_context, for the classes of this folder.
  boost::asio::io_context& Context();

 private:
  Runtime();
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace chervilpass::io
