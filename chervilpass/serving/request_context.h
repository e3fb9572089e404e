// One request on its way through the router, and what all parts of the router
// share.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "chervilpass/core/log.h"
#include "chervilpass/core/metrics.h"
#include "chervilpass/io/http_client.h"
#include "chervilpass/io/http_server.h"
#include "chervilpass/io/runtime.h"
#include "chervilpass/serving/request_metadata.h"
#include "chervilpass/serving/retry_policy.h"
#include "chervilpass/serving/routing_state.h"

namespace chervilpass::serving {

/// What the parts of the router share. All members outlive every request.
struct RouterDependencies {
  io::Runtime* runtime = nullptr;
  RoutingState* routing_state = nullptr;
  io::HttpClient* http = nullptr;
  MetricsRegistry* metrics = nullptr;
  const Logger* log = nullptr;
  RetryPolicySettings retry_policy;
  Duration connect_timeout = milliseconds(400);
  /// Tells peers and the placement decider of a worker that does not answer.
  std::function<void(const std::string& worker)> report_unreachable;
  /// Tells peers of a worker that takes no new work though it has room.
  std::function<void(const std::string& worker)> report_refusing;
  /// Tells peers of a request that was running on a worker when it crashed.
  std::function<void(const quarantine::Strike&)> report_strike;
};

/// Notes that a worker does not answer and, if that is news, tells peers.
void NoteUnreachable(const RouterDependencies& parts,
                     const std::string& worker,
                     std::string_view evidence);

/// "worker:from-to" of each part, for the log.
std::string DescribePath(const placement::Path& path);

/// A request that has been authenticated and routed.
struct RequestContext {
  io::HttpExchange* exchange = nullptr;
  RequestMetadata metadata;
  std::shared_ptr<const routing::RouteTable> table;  ///< keeps `route` alive
  const routing::Route* route = nullptr;
  std::string organisation;
  std::string service;
  std::uint64_t fingerprint = 0;
  Instant received{};
};

/// How a request ended, for the log and the metrics.
struct RequestResult {
  unsigned status = 0;  ///< 0: the connection was closed without an answer
  std::string outcome;  ///< "served", "refused", "failed", "broken", "left"
  std::string reason;
  std::string worker;
  std::uint32_t sends = 0;
  /// For streams: the path of the last run, and the longest time without an
  /// event before the first one and between two.
  std::string path = {};
  Duration first_event{0};
  Duration max_event_interval{0};
};

}  // namespace chervilpass::serving
