// Handles callers' requests: reads, authenticates and routes them, then serves
// them through the proxy that fits the route's service.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "chervilpass/io/http_server.h"
#include "chervilpass/serving/crash_monitor.h"
#include "chervilpass/serving/request_context.h"
#include "chervilpass/serving/shutdown_gate.h"
#include "chervilpass/serving/stream_registry.h"

namespace chervilpass::serving {

/// Settings of a Router.
struct RouterSettings {
  StreamRegistrySettings streams;
  CrashMonitorSettings crashes;
  /// For requests without a deadline; a shorter timeout of the route applies.
  Duration default_deadline = seconds(60);
  ShutdownGateSettings shutdown;
  /// During this time after its start a VM delays requests until it knows the
  /// configuration and the backend servers, each request by at most a third of
  /// the time that its caller waits.
  Duration startup_grace = seconds(1);
  /// A configuration that has not been confirmed for longer may lack routes and
  /// keys: requests without theirs are asked to come again. Above the wait of a
  /// watch of the configuration, and a lost response to one.
  Duration config_confirmation_timeout = seconds(3);
  /// Forwarded requests in progress from which on further ones are refused, so
  /// that they do not displace this VM's own callers.
  std::size_t max_forwarded = 256;
  /// One of this many requests that were served in time is logged; all others
  /// are always logged.
  std::uint32_t served_requests_per_log_line = 20;

  bool operator==(const RouterSettings&) const = default;
};

/// Whole responses that connections are still taking.
struct ResponseWrites {
  std::size_t responses = 0;
  std::size_t bytes = 0;  ///< that the system has not taken yet

  bool operator==(const ResponseWrites&) const = default;
};

/// Serves callers' requests. Fiber thread only.
class Router {
 public:
  static std::unique_ptr<Router> Create(RouterDependencies dependencies,
                                        RouterSettings settings);
  ~Router();

  /// Serves one request of a caller.
  void Handle(io::HttpExchange& exchange);

  /// Serves a request that another VM forwards. It is not forwarded again.
  void HandleForwarded(io::HttpExchange& exchange);

  /// The response to a request whose body is still arriving, if its head is
  /// enough to refuse it: the rest need not be read.
  std::optional<io::HttpResponse> RefuseByHead(const io::HttpRequest& head,
                                               bool forwarded);

  /// The response to a request that has arrived in part as this VM leaves.
  io::HttpResponse LeavingResponse(const io::HttpRequest& head,
                                   bool forwarded) const;

  /// True once requests in progress get their final response.
  bool MustRespond() const;

  /// The response to a request that could not be read, or, with status 503, to
  /// a connection for which there is no room.
  static io::HttpResponse UnreadableResponse(unsigned status,
                                             std::string_view detail);

  /// This VM leaves since `start`, and its process ends at `end`: requests that
  /// are not expected to end by then are refused. Callers keep addresses for
  /// `address_lifetime`.
  void SetShutdown(Instant start, Instant end, Duration address_lifetime);

  /// Gives requests without a response one if the process is about to end.
  void RespondBeforeShutdown();

  /// A peer has found a worker unreachable.
  void OnPeerFoundUnreachable(const std::string& worker);

  /// This VM is cut off from all backend servers: calls to them that may be
  /// made again are made through other VMs.
  void OnLinksLost();

  /// Requests in progress.
  std::size_t InFlight() const;

  /// Those of them whose whole response is being written.
  ResponseWrites Writes() const;

  /// Logs requests that have arrived in part, as the process ends.
  void LogUnread(const std::vector<io::UnreadRequest>& unread) const;

  /// Logs responses that callers have not received in full, as the process
  /// ends.
  void LogUnsent(const std::vector<io::UnsentResponse>& unsent) const;

  /// Logs the requests in progress, which end with the process if they do not
  /// end within `left`; zero as it ends. `wake_delay` is the longest one of the
  /// fiber that calls this: events may wait as long in a socket.
  void LogUnfinished(Duration left, Duration wake_delay) const;

  /// The same while the end is further away, for a process that is killed
  /// before it.
  void LogDraining(LogLevel level, Duration left, Duration wake_delay) const;

 private:
  struct State;
  explicit Router(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

}  // namespace chervilpass::serving
