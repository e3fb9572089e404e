// State of one request in the router, and the dependencies that the router's
// classes share.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "chervilpass/core/log.h"
#include "chervilpass/core/metrics.h"
#include "chervilpass/io/http_client.h"
#include "chervilpass/io/http_server.h"
#include "chervilpass/io/runtime.h"
#include "chervilpass/routing/rate_scheduler.h"
#include "chervilpass/serving/call_scope.h"
#include "chervilpass/serving/request_metadata.h"
#include "chervilpass/serving/request_progress.h"
#include "chervilpass/serving/retry_policy.h"
#include "chervilpass/serving/routing_state.h"
#include "chervilpass/serving/shutdown_gate.h"

namespace chervilpass::serving {

class CallScope;

class CrashMonitor;
class LinkMonitor;
struct RequestContext;

/// Dependencies that the router's classes share. All members outlive every
/// request.
struct RouterDependencies {
  io::Runtime* runtime = nullptr;
  RoutingState* routing_state = nullptr;
  io::HttpClient* http = nullptr;
  MetricsRegistry* metrics = nullptr;
  const Logger* log = nullptr;
  RetryPolicySettings retry_policy;
  Duration connect_timeout = milliseconds(400);
  /// Reports to peers and the placement decider a worker that does not respond.
  std::function<void(const std::string& worker)> report_unreachable;
  /// Reports to peers a worker that refuses new work although it has capacity.
  std::function<void(const std::string& worker)> report_refusing;
  /// Reports to peers that a worker has refused a request for lack of capacity;
  /// may be empty.
  std::function<void(const std::string& worker)> report_full;
  /// Reports to peers that a start of a worker has said that it leaves.
  std::function<void(const std::string& worker, WallTime started)>
      report_departure;
  /// Reports to peers the requests that ran on a worker when it crashed.
  std::function<void(const std::vector<quarantine::Strike>&)> report_strikes;
  /// Reports to peers that a request with strikes has completed.
  std::function<void(const quarantine::Clearance&)> report_clearance;
  /// Reserves a time, at most `max_wait` ahead, to send a request to a server
  /// with a rate limit.
  std::function<routing::Reservation(const std::string& server,
                                     Duration max_wait)>
      acquire_permit;
  /// Share of the other VMs that are ready for requests.
  std::function<double()> ready_share;
  /// How much longer this process takes no requests, because the platform may
  /// end it; empty while that is not known.
  std::function<std::optional<Duration>()> hold_left = [] {
    return Duration::zero();
  };
  /// Addresses at which other VMs, which are not cut off, take forwarded
  /// requests.
  std::function<std::vector<io::Endpoint>()> forward_targets;
  LinkMonitor* links = nullptr;
  /// Workers of a path that do not answer; set by the router.
  std::function<std::set<std::string>(const placement::Path&)>
      unanswered_workers;
  /// Set by the router.
  CrashMonitor* crashes = nullptr;
  ShutdownGate* shutdown = nullptr;
  CallScopes* scopes = nullptr;
};

/// Starts the cooldown of a worker that does not respond. If it was not in that
/// cooldown already, logs `evidence` and reports the worker to peers.
void MarkUnreachable(const RouterDependencies& dependencies,
                     const std::string& worker,
                     std::string_view evidence);

/// True if a wait of `timeout` since `start` without an answer proves nothing,
/// since this VM itself was late.
bool VoidsTimeout(const RouterDependencies& dependencies,
                  Instant start,
                  Duration timeout);

/// Records what a server's response states about requests to the server: its
/// rate limit, a rest, and that it is leaving. `started` is the start of the
/// server when the request was sent.
void RecordServerStatements(const RouterDependencies& dependencies,
                            const RequestContext& context,
                            const std::string& server,
                            WallTime started,
                            const ResponseMetadata& response);

/// Records what another VM's response states about the server that it comes
/// from: that the server is leaving.
void RecordPeerStatements(const RouterDependencies& dependencies,
                          const RequestContext& context,
                          const io::HttpResponse& head);

/// The head of the response of `server` to send to the caller or, if another VM
/// has forwarded the request, to that VM, which must know if the server leaves.
io::HttpResponse ResponseForCaller(const RouterDependencies& dependencies,
                                   const RequestContext& context,
                                   const std::string& server,
                                   const io::HttpResponse& head);

/// The longest time for which the request waits for a server's rate limit or
/// rest: it can still be answered in time afterwards. Requests of higher
/// priority wait longer, so that they are sent first while rates are scarce.
Duration MaxSendWait(const RequestContext& context, Duration time_left);

/// Waits until the rest of `server` has ended, reserves a time to send a
/// request to it and waits until then. False if its rest or rate limit does not
/// allow it soon enough, if the server leaves, or once `scope`, which may be
/// null, is stopped.
bool AwaitPermit(const RouterDependencies& dependencies,
                 const RequestContext& context,
                 const std::string& server,
                 Duration max_wait,
                 const CallScope* scope);

/// Logs that a leaving VM sends a request, with the estimates that the decision
/// rests on.
void LogSentWhileLeaving(const RouterDependencies& dependencies,
                         const RequestContext& context,
                         const ShutdownVerdict& verdict);

/// "worker:from-to" of each stage, separated by commas, for the log.
std::string DescribePath(const placement::Path& path);

/// A request while it is read, authenticated, routed and served.
struct RequestContext {
  io::HttpExchange* exchange = nullptr;
  RequestMetadata metadata;
  std::shared_ptr<const routing::RouteTable> table;  ///< keeps `route` alive
  const routing::Route* route = nullptr;
  bool forwarded = false;  ///< by another VM; not to be forwarded again
  /// Bounds the attempts of the route: other VMs have made some already.
  std::uint32_t max_attempts = UINT32_MAX;
  std::string organisation;
  admission::PriorityRank rank;  ///< by organisation and route
  std::string service;
  /// Of its rank among those that use the service; none if there is one.
  std::optional<admission::PriorityClass> priority_class;
  std::uint64_t fingerprint = 0;
  /// This VM has refused it lately for lack of capacity.
  bool returned = false;
  /// Fingerprints of the parts of the prompt; none on plain services.
  std::vector<std::uint64_t> prompt_parts;
  Instant received{};
  /// Kept up to date while the request is served.
  std::shared_ptr<RequestProgress> progress =
      std::make_shared<RequestProgress>();
};

/// The urgency of a request that is stated to its server; none if all requests
/// to its service have the same rank.
std::optional<std::uint32_t> UrgencyOf(const RequestContext& context);

/// What the request asks of the capacity of its service.
admission::CapacityClaim ClaimOf(const RequestContext& context);

/// How a request ended, for the log and the metrics.
struct RequestResult {
  unsigned status = 0;  ///< 0: the response was not completed
  std::string outcome;  ///< "served", "refused", "failed", "broken", "left"
  std::string reason;
  std::string worker;
  std::uint32_t sends = 0;
  /// For streams: the path of the last run, the time until the first event and
  /// the longest time between two events.
  std::string path = {};
  /// What that path was chosen by; empty: by cost alone.
  std::string objective = {};
  Duration first_event{0};
  Duration max_event_interval{0};
  std::uint64_t events = 0;      ///< of a stream, forwarded to the caller
  bool lacked_capacity = false;  ///< found no room on workers at some time
};

}  // namespace chervilpass::serving
