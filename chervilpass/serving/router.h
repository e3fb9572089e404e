// The router's answer to callers: reads, authenticates, routes, and hands over
// to the relay that fits the route.
#pragma once

#include <memory>

#include "chervilpass/io/http_server.h"
#include "chervilpass/serving/request_context.h"
#include "chervilpass/serving/stream_registry.h"

namespace chervilpass::serving {

/// Describes a Router.
struct RouterSettings {
  StreamRegistrySettings streams;
  /// For requests that name no deadline and whose route has none.
  Duration default_deadline = seconds(60);
  /// A leaving VM refuses streams that would not end before it does.
  Duration max_stream_time_while_leaving = milliseconds(4500);
  /// For so long after its start a VM lets requests wait until it knows the
  /// configuration and the backend servers, a third of their time at most.
  Duration startup_grace = seconds(1);
  /// Requests served in time that get a line in the log: one in so many. Others
  /// get one always.
  std::uint32_t served_requests_per_log_line = 20;

  bool operator==(const RouterSettings&) const = default;
};

/// Fiber thread only.
class Router {
 public:
  static std::unique_ptr<Router> Create(RouterDependencies parts,
                                        RouterSettings settings);
  ~Router();

  /// Answers one request of a caller.
  void Handle(io::HttpExchange& exchange);

  /// The answer to a request that could not be read.
  static io::HttpResponse UnreadableResponse(unsigned status,
                                             std::string_view detail);

  /// The process will end at `end`: what cannot be finished by then is refused.
  void SetShutdownDeadline(Instant end);

  /// Requests in progress.
  /// A peer has found a worker unreachable.
  void OnPeerFoundUnreachable(const std::string& worker);

  std::size_t InFlight() const;

 private:
  struct State;
  explicit Router(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

}  // namespace chervilpass::serving
