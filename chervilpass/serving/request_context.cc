#include "chervilpass/serving/request_context.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "chervilpass/serving/call_scope.h"
#include "chervilpass/serving/link_monitor.h"
#include "platform/request_codec.h"

namespace chervilpass::serving {
namespace {

// Shares of a route's response objective and of the time left that a request
// may wait for a rate limit or a rest.
constexpr double kSendWaitObjectiveShare = 0.5;
constexpr double kSendWaitDeadlineShare = 0.125;
// Limits are kept in thousandths, as gossip carries them: VMs would take two
// roundings of one limit for a change.
constexpr double kRateLimitUnits = 1000;  // per request a second
constexpr double kMaxRateLimit = 1e6;     // requests per second
// For routes without a response objective.
constexpr Duration kDefaultSendWait = milliseconds(250);
// Of a wait, at the end of the process.
constexpr Duration kStopPollInterval = milliseconds(20);
// Servers round the rests that they state. Asked a moment too soon they would
// refuse again, and a request may be refused only a few times.
constexpr Duration kRestMargin = milliseconds(5);

void RecordRateLimit(const RouterDependencies& dependencies,
                     const std::string& server,
                     const RateLimitField& field) {
  if (field.unreadable) {
    dependencies.metrics->Increment("chervil_unreadable_rate_limits_total");
    dependencies.log->Warning("rate_limit.unreadable", {{"worker", server}});
    return;
  }
  if (field.limit) {
    dependencies.metrics->Increment("chervil_rate_limited_responses_total");
  }
  std::optional<double> limit = field.limit;
  if (limit) {
    limit = std::round(std::min(*limit, kMaxRateLimit) * kRateLimitUnits) /
            kRateLimitUnits;
  }
  if (dependencies.routing_state->RecordRateLimit(
          server, {limit, dependencies.runtime->Now()})) {
    dependencies.log->Info(
        "rate_limit.changed",
        {{"worker", server},
         {"limited", limit.has_value()},
         {"per_second", fmt::format("{:.3f}", limit.value_or(0))}});
  }
}

void RecordRest(const RouterDependencies& dependencies,
                const RequestContext& context,
                const std::string& server,
                WallTime started,
                const RestField& field) {
  if (field.unreadable) {
    dependencies.metrics->Increment("chervil_unreadable_rests_total");
    dependencies.log->Warning(
        "rest.unreadable",
        {{"request", context.metadata.request_id}, {"worker", server}});
  }
  if (!field.rest) {
    return;
  }
  dependencies.metrics->Increment("chervil_rests_total");
  if (dependencies.routing_state->RecordRest(server, started,
                                             *field.rest + kRestMargin,
                                             dependencies.runtime->Now())) {
    dependencies.log->Info("rest.began",
                           {{"request", context.metadata.request_id},
                            {"worker", server},
                            {"rest_ms", ToMilliseconds(*field.rest)}});
  }
}

bool IsLeaving(const RouterDependencies& dependencies,
               const std::string& server) {
  return dependencies.routing_state->Servers().IsLeaving(server);
}

// False once `scope` is stopped: a request that waits is to be answered before
// the process ends.
bool SleepUnlessStopped(const RouterDependencies& dependencies,
                        Duration duration,
                        const CallScope* scope) {
  const Instant until = dependencies.runtime->Now() + duration;
  while (dependencies.runtime->Now() < until) {
    if (scope != nullptr && scope->Stopped()) {
      return false;
    }
    dependencies.runtime->SleepFor(
        std::min(kStopPollInterval, until - dependencies.runtime->Now()));
  }
  return true;
}

// Waits until the server does not rest; false if that would be after `latest`.
bool AwaitRest(const RouterDependencies& dependencies,
               const RequestContext& context,
               const std::string& server,
               Instant latest,
               const CallScope* scope) {
  while (true) {
    const Instant now = dependencies.runtime->Now();
    const Duration left = dependencies.routing_state->RestLeft(server, now);
    if (left == Duration::zero()) {
      return true;
    }
    const bool in_time = now + left <= latest;
    dependencies.metrics->Increment("chervil_rested_requests_total");
    dependencies.log->Info("request.rested",
                           {{"request", context.metadata.request_id},
                            {"worker", server},
                            {"waits", in_time},
                            {"rest_ms", ToMilliseconds(left)},
                            {"max_wait_ms", ToMilliseconds(latest - now)}});
    if (!in_time) {
      return false;
    }
    if (!SleepUnlessStopped(dependencies, left, scope)) {
      return false;
    }
  }
}

void RecordLeaving(const RouterDependencies& dependencies,
                   const RequestContext& context,
                   const std::string& server,
                   WallTime started) {
  dependencies.metrics->Increment("chervil_leaving_responses_total");
  routing::ServerRegistry& servers = dependencies.routing_state->Servers();
  // A later start that is registered by now must be the one that has answered.
  started = std::max(started, servers.StartOf(server));
  const routing::BackendServer* registered = servers.Find(server);
  if (registered == nullptr || registered->started != started) {
    dependencies.metrics->Increment("chervil_unregistered_departures_total");
    dependencies.log->Info(
        "worker.leaving_unregistered",
        {{"request", context.metadata.request_id},
         {"worker", server},
         {"started", started.milliseconds},
         {"registered", registered != nullptr},
         {"registered_start",
          registered == nullptr ? 0 : registered->started.milliseconds}});
  }
  if (!servers.MarkLeaving(server, started)) {
    return;
  }
  dependencies.report_departure(server, started);
  dependencies.log->Info("worker.leaving",
                         {{"request", context.metadata.request_id},
                          {"worker", server},
                          {"started", started.milliseconds}});
}

}  // namespace

void MarkUnreachable(const RouterDependencies& dependencies,
                     const std::string& worker,
                     std::string_view evidence) {
  // Links that are all lost say nothing about the worker.
  if (dependencies.links->CutOff()) {
    return;
  }
  const Instant now = dependencies.runtime->Now();
  if (dependencies.routing_state->StartCooldown(
          worker, routing::CooldownReason::kUnreachable, now)) {
    dependencies.routing_state->RecordLoss(worker, now);
    dependencies.log->Warning("worker.unreachable",
                              {{"worker", worker}, {"evidence", evidence}});
    dependencies.report_unreachable(worker);
  }
}

bool VoidsTimeout(const RouterDependencies& dependencies,
                  Instant start,
                  Duration timeout) {
  const bool voids = dependencies.routing_state->Stalls().VoidsTimeout(
      start, dependencies.runtime->Now(), timeout);
  if (voids) {
    dependencies.metrics->Increment("chervil_timeouts_void_total");
  }
  return voids;
}

void RecordServerStatements(const RouterDependencies& dependencies,
                            const RequestContext& context,
                            const std::string& server,
                            WallTime started,
                            const ResponseMetadata& response) {
  RecordRateLimit(dependencies, server, response.rate_limit);
  RecordRest(dependencies, context, server, started, response.rest);
  if (response.leaving) {
    RecordLeaving(dependencies, context, server, started);
  }
}

void RecordPeerStatements(const RouterDependencies& dependencies,
                          const RequestContext& context,
                          const io::HttpResponse& head) {
  const auto departure = platform::ReadDeparture(head);
  if (departure && dependencies.routing_state->Servers().MarkLeaving(
                       departure->server, departure->started)) {
    dependencies.log->Info("worker.departure_learned",
                           {{"request", context.metadata.request_id},
                            {"worker", departure->server},
                            {"started", departure->started.milliseconds}});
  }
}

io::HttpResponse ResponseForCaller(const RouterDependencies& dependencies,
                                   const RequestContext& context,
                                   const std::string& server,
                                   const io::HttpResponse& head) {
  io::HttpResponse response = platform::ForwardedResponse(head);
  if (context.forwarded && platform::ReadResponse(head).leaving) {
    platform::AddDeparture(
        &response, {server, dependencies.routing_state->StartedOf(server)});
  }
  return response;
}

Duration MaxSendWait(const RequestContext& context, Duration time_left) {
  const Duration objective = context.route->response_objective;
  const Duration useful =
      objective > Duration::zero()
          ? duration_cast<Duration>(kSendWaitObjectiveShare * objective)
          : kDefaultSendWait;
  return std::min(useful / (1 + context.rank.priority),
                  duration_cast<Duration>(kSendWaitDeadlineShare * time_left));
}

bool AwaitPermit(const RouterDependencies& dependencies,
                 const RequestContext& context,
                 const std::string& server,
                 Duration max_wait,
                 const CallScope* scope) {
  const WaitLabel label(context.progress.get(), "permit");
  const Instant latest = dependencies.runtime->Now() + max_wait;
  // A rest may begin while the request waits for its permit, and the server may
  // begin to leave.
  while (AwaitRest(dependencies, context, server, latest, scope) &&
         !IsLeaving(dependencies, server)) {
    const Duration wait_left =
        std::max(Duration::zero(), latest - dependencies.runtime->Now());
    const routing::Reservation reservation =
        dependencies.acquire_permit(server, wait_left);
    if (reservation.wait > Duration::zero()) {
      dependencies.log->Info("request.rate_limited",
                             {{"request", context.metadata.request_id},
                              {"worker", server},
                              {"granted", reservation.granted},
                              {"wait_ms", ToMilliseconds(reservation.wait)},
                              {"max_wait_ms", ToMilliseconds(wait_left)}});
    }
    if (!reservation.granted) {
      return false;
    }
    if (!SleepUnlessStopped(dependencies, reservation.wait, scope)) {
      return false;
    }
    if (dependencies.routing_state->RestLeft(
            server, dependencies.runtime->Now()) == Duration::zero()) {
      return !IsLeaving(dependencies, server);
    }
  }
  return false;
}

void LogSentWhileLeaving(const RouterDependencies& dependencies,
                         const RequestContext& context,
                         const ShutdownVerdict& verdict) {
  context.progress->sent_while_leaving = dependencies.runtime->Now();
  context.progress->expected = verdict.expected;
  dependencies.log->Info(
      "request.sent_while_leaving",
      {{"request", context.metadata.request_id},
       {"route", context.route->name},
       {"service", context.service},
       {"age_ms",
        ToMilliseconds(dependencies.runtime->Now() - context.received)},
       {"expected_ms",
        verdict.expected ? ToMilliseconds(*verdict.expected) : -1},
       {"left_ms", ToMilliseconds(verdict.left)}});
}

std::string DescribePath(const placement::Path& path) {
  std::string text;
  for (const placement::PathStage& stage : path) {
    text += fmt::format("{}{}:{}-{}", text.empty() ? "" : ",", stage.worker,
                        stage.layers.from, stage.layers.to);
  }
  return text;
}

std::optional<std::uint32_t> UrgencyOf(const RequestContext& context) {
  return context.priority_class
             ? std::optional<std::uint32_t>(context.priority_class->urgency)
             : std::nullopt;
}

admission::CapacityClaim ClaimOf(const RequestContext& context) {
  return {context.service, context.rank, context.organisation,
          context.returned};
}

}  // namespace chervilpass::serving
