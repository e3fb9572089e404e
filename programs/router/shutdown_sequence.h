// The orderly end of a router process, from SIGTERM to the exit.
#pragma once

#include <functional>

#include "chervilpass/core/log.h"
#include "chervilpass/core/recent_delays.h"
#include "chervilpass/core/time.h"
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

/// Refuses work that would not end in time, and waits for requests in progress
/// until shortly before the end of the grace period. Fiber thread only.
class ShutdownSequence {
 public:
  explicit ShutdownSequence(const ShutdownParts& parts);

  /// Returns when the process should exit.
  void Run();

 private:
  /// When the last responses are sent, by the settings in force. Comes nearer
  /// while the process's fibers run late.
  Instant End() const;

  /// Open ones of callers and of other VMs.
  std::size_t Connections() const;

  /// True while a request is in progress or a peer is receiving a response.
  bool Unfinished();

  void RefreshSettings();

  void ServeUntilEnd();
  void ServeEstablished();
  void RespondBeforeEnd();
  void RefuseUnread();
  /// Returns how much longer than `duration` it took.
  Duration Sleep(Duration duration);
  void LogDraining();
  void LogStopped() const;

  ShutdownParts parts;
  Instant start;
  Instant settings_read_at{};
  Instant draining_logged_at{};
  bool unfinished_logged = false;
  std::size_t unsent_bytes = 0;
  Instant received_at{};       ///< when peers last received a part of them
  RecentDelays wake_delays;    ///< while requests are served
  Duration max_wake_delay{0};  ///< of a sleep beyond its duration
};

}  // namespace chervilpass
