// The orderly end of a router process, from SIGTERM to the exit.
#pragma once

#include <functional>
#include <optional>

#include "chervilpass/core/log.h"
#include "chervilpass/core/time.h"
#include "chervilpass/drain/drain_controller.h"
#include "chervilpass/io/http_server.h"
#include "chervilpass/io/runtime.h"
#include "chervilpass/serving/router.h"
#include "programs/router/settings.h"

namespace chervilpass {

/// What a ShutdownSequence ends. All of it outlives the sequence.
struct ShutdownParts {
  io::Runtime* runtime = nullptr;
  const Logger* log = nullptr;
  serving::Router* router = nullptr;
  io::HttpServer* callers = nullptr;
  io::HttpServer* forwarded = nullptr;
  /// In force.
  const RouterProgramSettings* settings = nullptr;
  Instant started{};  ///< the process
  /// Reads the settings again if they have changed.
  std::function<void()> refresh_settings;
};

/// Carries out what a DrainController decides. Fiber thread only.
class ShutdownSequence {
 public:
  explicit ShutdownSequence(const ShutdownParts& parts);

  /// Returns when the process should exit.
  void Run();

 private:
  drain::DrainSettings Settings() const;
  drain::DrainObservation Observe(std::optional<Duration> wake_delay) const;
  void CarryOut(const drain::DrainStep& step);

  void RefreshSettings();
  void RespondBeforeEnd();
  void RefuseUnread();
  /// Returns how much longer than `duration` it took.
  Duration Sleep(Duration duration);
  void LogDraining(const drain::DrainStep& step);
  void LogStopped() const;

  ShutdownParts parts;
  Instant start;
  drain::DrainController controller;
  Instant settings_read_at{};
  Instant draining_logged_at{};
  std::optional<Instant> in_progress_named_at;
  bool unfinished_logged = false;
  Duration max_wake_delay{0};  ///< of a sleep beyond its duration
};

}  // namespace chervilpass
