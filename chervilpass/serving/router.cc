#include "chervilpass/serving/router.h"

#include <fmt/format.h>

#include <set>

#include "chervilpass/core/build_id.h"
#include "chervilpass/core/hash.h"
#include "chervilpass/serving/call_proxy.h"
#include "chervilpass/serving/forwarded_methods.h"
#include "chervilpass/serving/stream_proxy.h"
#include "platform/request_codec.h"

namespace chervilpass::serving {
namespace {

using admission::Executed;
using admission::Refusal;
using admission::RefusalCode;

// A VM learns the configuration within a second of its start.
constexpr Duration kNotReadyRetryAfter = milliseconds(500);
constexpr Duration kNoRoomRetryAfter = seconds(1);
constexpr Duration kStartupPollInterval = milliseconds(20);
// Log lines about requests that are in progress when the process ends.
constexpr std::size_t kMaxUnfinishedLogged = 500;

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

// Counts a request as in progress during its lifetime, also if it ends by an
// exception.
class InProgress {
 public:
  InProgress(std::set<const RequestContext*>* all,
             std::size_t* forwarded,
             const RequestContext* context)
      : all(all), forwarded(forwarded), context(context) {
    this->all->insert(this->context);
    *this->forwarded += this->context->forwarded ? 1 : 0;
  }
  ~InProgress() {
    this->all->erase(this->context);
    *this->forwarded -= this->context->forwarded ? 1 : 0;
  }
  InProgress(const InProgress&) = delete;
  InProgress& operator=(const InProgress&) = delete;

 private:
  std::set<const RequestContext*>* all;
  std::size_t* forwarded;
  const RequestContext* context;
};

}  // namespace

struct Router::State {
  RouterDependencies dependencies;
  RouterSettings settings;
  Instant started{};
  std::unique_ptr<CrashMonitor> crashes;
  std::unique_ptr<StreamRegistry> streams;
  std::unique_ptr<ShutdownGate> shutdown;
  CallScopes scopes;
  std::set<const RequestContext*> in_flight;
  std::size_t forwarded_in_flight = 0;
  std::uint64_t served_count = 0;
  std::optional<Instant> shutdown_start;

  void Handle(io::HttpExchange& exchange, RequestContext* context) {
    context->exchange = &exchange;
    context->received = this->dependencies.runtime->Now();
    const InProgress in_progress(&this->in_flight, &this->forwarded_in_flight,
                                 context);
    RequestResult result = this->ServeOrFail(exchange, context);
    if (result.outcome == "served" &&
        exchange.HowPeerEnded() == io::PeerEnd::kWriteFailed) {
      result.status = 0;
      result.outcome = "left";
      result.reason = CallerGone(*context);
    }
    this->RecordResult(*context, result);
  }

  // An exception ends its own request only.
  RequestResult ServeOrFail(io::HttpExchange& exchange,
                            RequestContext* context) {
    std::string detail;
    try {
      return this->Serve(exchange, context);
    } catch (const std::exception& exception) {
      detail = exception.what();
    }
    this->dependencies.metrics->Increment("chervil_request_exceptions_total");
    this->dependencies.log->Error(
        "request.exception",
        {{"request", context->metadata.request_id}, {"detail", detail}});
    if (exchange.ResponseBegun()) {
      exchange.Abort();
      return {0, "broken", "exception: " + detail, "", 0};
    }
    return Refuse(*context, RefusalCode::kBackendFailed, Executed::kUnknown,
                  Duration::zero(), "internal error", 0);
  }

  RequestResult Serve(io::HttpExchange& exchange, RequestContext* context) {
    if (const auto objection = ObjectionToMethod(exchange.Request().method)) {
      return Refuse(*context, *objection, Executed::kNo, Duration::zero(),
                    "the method is not forwarded", 0);
    }
    const auto metadata = platform::ReadRequest(exchange.Request());
    if (metadata.has_error()) {
      return Refuse(*context, RefusalCode::kMalformed, Executed::kNo,
                    Duration::zero(), metadata.error().detail, 0);
    }
    context->metadata = metadata.value();
    if (context->forwarded) {
      context->max_attempts =
          context->metadata.attempts_left.value_or(UINT32_MAX);
    }
    if (context->forwarded &&
        this->forwarded_in_flight > this->settings.max_forwarded) {
      return Refuse(*context, RefusalCode::kOverloaded, Executed::kNo,
                    kNotReadyRetryAfter, "too many forwarded requests", 0);
    }
    this->AwaitRoutingState(*context);
    if (const auto refusal = this->ObjectionByHold()) {
      return Refuse(*context, refusal->code, refusal->executed,
                    refusal->retry_after, refusal->detail, 0);
    }
    context->table = this->dependencies.routing_state->Table();
    if (!context->table) {
      return Refuse(*context, RefusalCode::kNotReady, Executed::kNo,
                    kNotReadyRetryAfter, "no configuration is known yet", 0);
    }
    if (const auto refusal =
            this->ObjectionByConfig(exchange.Request(), context)) {
      return Refuse(*context, refusal->code, refusal->executed,
                    refusal->retry_after, refusal->detail, 0);
    }
    return this->ServeRouted(context);
  }

  // Until the grace period of an earlier process has ended, the platform may
  // end this one.
  std::optional<Refusal> ObjectionByHold() const {
    const Duration left =
        this->dependencies.hold_left().value_or(Duration::zero());
    if (left <= Duration::zero()) {
      return std::nullopt;
    }
    const bool others = this->dependencies.ready_share() > 0;
    return Refusal{RefusalCode::kNotReady, Executed::kNo,
                   others ? this->settings.shutdown.retry_delay : left,
                   "an earlier process of this VM is being stopped"};
  }

  // Finds the route and the organisation of a request.
  std::optional<Refusal> ObjectionByConfig(const io::HttpRequest& request,
                                           RequestContext* context) const {
    context->route =
        context->table->Find(context->metadata.host, PathOf(request.target));
    if (context->route == nullptr) {
      return this->MissingInConfig(RefusalCode::kNotFound,
                                   "no route for this host and path");
    }
    if (!this->Authenticate(context)) {
      return this->MissingInConfig(RefusalCode::kUnauthorized,
                                   "the key is missing or not known");
    }
    return std::nullopt;
  }

  // Refuses what the configuration does not have. Callers do not come again
  // after such a refusal, so only a recent configuration is a reason for it.
  Refusal MissingInConfig(RefusalCode code, std::string_view detail) const {
    const Instant now = this->dependencies.runtime->Now();
    const Duration unconfirmed =
        this->dependencies.routing_state->ConfigUnconfirmedFor(now).value_or(
            now - this->started);
    if (unconfirmed <= this->settings.config_confirmation_timeout) {
      return {code, Executed::kNo, Duration::zero(), std::string(detail)};
    }
    this->dependencies.metrics->Increment("chervil_unconfirmed_refusals_total");
    return {RefusalCode::kNotReady, Executed::kNo, kNotReadyRetryAfter,
            fmt::format("{}, and the configuration may be old", detail)};
  }

  // Why a request is refused whose body is still arriving; empty if the rest is
  // needed to tell.
  std::optional<Refusal> ObjectionToHead(const io::HttpRequest& head,
                                         RequestContext* context) const {
    if (const auto objection = ObjectionToMethod(head.method)) {
      return Refusal{*objection, Executed::kNo, Duration::zero(),
                     "the method is not forwarded"};
    }
    const auto metadata = platform::ReadRequest(head);
    if (metadata.has_error()) {
      return Refusal{RefusalCode::kMalformed, Executed::kNo, Duration::zero(),
                     metadata.error().detail};
    }
    context->metadata = metadata.value();
    if (this->shutdown->MustRespond(this->dependencies.runtime->Now())) {
      return this->LeavingRefusal();
    }
    context->table = this->dependencies.routing_state->Table();
    return context->table ? this->ObjectionByConfig(head, context)
                          : std::nullopt;
  }

  Refusal LeavingRefusal() const {
    return {RefusalCode::kLeaving, Executed::kNo,
            this->shutdown->RetryAfter(this->dependencies.ready_share(),
                                       this->dependencies.runtime->Now()),
            "this VM is leaving"};
  }

  // The response to a request that is not read to its end.
  io::HttpResponse RefuseUnread(const Refusal& refusal,
                                const std::string& request_id,
                                bool forwarded) const {
    const io::HttpResponse response =
        platform::RefusalResponse(refusal, request_id);
    this->dependencies.metrics->Increment(
        "chervil_unread_refusals_total",
        fmt::format("code=\"{}\"", response.status));
    this->dependencies.log->Info(
        "request.refused_unread",
        {{"request", request_id},
         {"forwarded", forwarded},
         {"status", response.status},
         {"reason", fmt::format("{}: {}", admission::RefusalName(refusal.code),
                                refusal.detail)}});
    return response;
  }

  // After a restart requests arrive before the store has answered.
  void AwaitRoutingState(const RequestContext& context) const {
    const RoutingState& routing_state = *this->dependencies.routing_state;
    const Duration max_wait =
        context.metadata.time_left.value_or(this->settings.default_deadline) /
        3;
    const Instant wait_until =
        std::min(this->started + this->settings.startup_grace,
                 context.received + max_wait);
    while ((!routing_state.Table() || routing_state.Servers().Empty() ||
            !routing_state.StrikesLoaded() ||
            !this->dependencies.hold_left()) &&
           this->dependencies.runtime->Now() < wait_until) {
      this->dependencies.runtime->SleepFor(kStartupPollInterval);
    }
  }

  // Open routes accept any caller and forward no organisation.
  bool Authenticate(RequestContext* context) const {
    context->rank = admission::RankOf(std::nullopt, context->route->priority);
    if (context->route->open || !context->table->KeysRequired()) {
      return true;
    }
    if (!context->metadata.key) {
      return false;
    }
    const auto* organisation =
        context->table->OrganisationOf(*context->metadata.key);
    if (organisation == nullptr) {
      return false;
    }
    context->organisation = organisation->name;
    context->rank =
        admission::RankOf(organisation->priority, context->route->priority);
    return true;
  }

  RequestResult ServeRouted(RequestContext* context) {
    RoutingState& routing_state = *this->dependencies.routing_state;
    const auto& request = context->exchange->Request();
    context->fingerprint = HashCombine(
        HashText(context->organisation),
        HashCombine(HashText(request.target), HashText(request.body)));
    context->returned = routing_state.Capacity().Refusals().TakeReturn(
        context->fingerprint, context->received);
    if (this->crashes->IsQuarantined(context->fingerprint)) {
      return RefuseQuarantined(this->dependencies, *context, Executed::kNo, 0);
    }
    const Duration time_left = this->TimeLeftFor(*context);
    if (time_left <= Duration::zero()) {
      return Refuse(*context, RefusalCode::kDeadlinePassed, Executed::kNo,
                    Duration::zero(), "no time is left", 0);
    }
    context->service =
        std::string(context->route->PickService(routing_state.Rng().Unit()));
    context->priority_class =
        routing_state.Capacity().ClassesOf(context->service).Of(context->rank);
    const auto* service = context->table->Service(context->service);
    if (service == nullptr) {
      return Refuse(*context, RefusalCode::kNoBackend, Executed::kNo,
                    kNotReadyRetryAfter, "the route's service is not known", 0);
    }
    if (!service->model) {
      return ProxyCall(this->dependencies, *context, time_left);
    }
    if (context->metadata.foreign_event_id) {
      // Events of these streams are numbered: no event has this id.
      return Refuse(*context, RefusalCode::kMalformed, Executed::kNo,
                    Duration::zero(), "the last event's id is not a number", 0);
    }
    for (const std::string& part : context->metadata.prompt_parts) {
      context->prompt_parts.push_back(
          quarantine::PromptPartEvidence::FingerprintOf(part));
    }
    if (this->crashes->QuarantinedPart(context->prompt_parts)) {
      return RefuseQuarantined(this->dependencies, *context, Executed::kNo, 0);
    }
    return ProxyStream(this->dependencies, this->streams.get(), *context,
                       *service->model, time_left);
  }

  Duration TimeLeftFor(const RequestContext& context) const {
    Duration time =
        context.metadata.time_left.value_or(this->settings.default_deadline);
    if (context.route->timeout > Duration::zero()) {
      time = std::min(time, context.route->timeout);
    }
    return time - (this->dependencies.runtime->Now() - context.received);
  }

  // Retries are left out: runs seldom need one.
  void RecordRunTime(const RequestContext& context,
                     const RequestResult& result,
                     Duration elapsed) {
    if (result.outcome != "served" || result.sends > 0) {
      return;
    }
    RunTimeEstimator& run_times = this->shutdown->RunTimes();
    if (result.events == 0) {
      run_times.OnCallEnded(context.route->name, elapsed);
    } else if (context.metadata.generation && !context.metadata.last_event_id) {
      run_times.OnStreamEnded(context.service,
                              {result.first_event, elapsed, result.events,
                               *context.metadata.generation});
    }
  }

  // Of the fields in the log line, those that tell which process wrote it and
  // what became of the request come first: collectors may shorten lines.
  void RecordResult(const RequestContext& context,
                    const RequestResult& result) {
    const Duration elapsed =
        this->dependencies.runtime->Now() - context.received;
    this->RecordRunTime(context, result, elapsed);
    if (result.outcome == "refused" && result.lacked_capacity) {
      this->dependencies.routing_state->Capacity().Refusals().OnRefused(
          context.fingerprint, this->dependencies.runtime->Now());
    }
    this->dependencies.metrics->Increment(
        "chervil_requests_total", fmt::format("outcome=\"{}\",code=\"{}\"",
                                              result.outcome, result.status));
    this->dependencies.metrics->Observe("chervil_request_seconds", elapsed);
    const bool late =
        context.route != nullptr &&
        ((context.route->event_interval_objective > Duration::zero() &&
          result.max_event_interval >
              context.route->event_interval_objective) ||
         (context.route->response_objective > Duration::zero() &&
          result.first_event > context.route->response_objective));
    // While this VM leaves, a request without a line did not end.
    const bool served =
        result.outcome == "served" && !late && !this->shutdown->Leaving();
    if (served &&
        this->served_count++ % this->settings.served_requests_per_log_line !=
            0) {
      return;
    }
    const std::uint32_t weight =
        served ? this->settings.served_requests_per_log_line : 1;
    const std::uint64_t version = context.table ? context.table->Version() : 0;
    const auto unconfirmed =
        this->dependencies.routing_state->ConfigUnconfirmedFor(
            this->dependencies.runtime->Now());
    const GenerationSize size = context.metadata.generation.value_or(
        GenerationSize{0, 0, std::nullopt});
    // The caller got no response that tells why.
    const bool unexplained =
        result.outcome == "broken" ||
        (result.outcome == "left" && this->shutdown->Leaving());
    this->dependencies.log->Write(
        unexplained ? LogLevel::kWarning : LogLevel::kInfo, "request.ended",
        {{"request", context.metadata.request_id},
         {"uptime_ms",
          ToMilliseconds(this->dependencies.runtime->Now() - this->started)},
         {"outcome", result.outcome},
         {"elapsed_ms", ToMilliseconds(elapsed)},
         {"events", result.events},
         {"reason", result.reason},
         {"route", context.route == nullptr ? "" : context.route->name},
         {"service", context.service},
         {"priority", context.rank.priority},
         {"organisation", context.organisation},
         {"data_centre",
          this->dependencies.routing_state->Settings().data_centre},
         {"forwarded", context.forwarded},
         {"returned", context.returned},
         {"weight", weight},
         {"status", result.status},
         {"worker", result.worker},
         {"sends", result.sends},
         {"late", late},
         {"path", result.path},
         {"objective", result.objective},
         {"first_event_ms", ToMilliseconds(result.first_event)},
         {"longest_gap_ms", ToMilliseconds(result.max_event_interval)},
         {"prompt_tokens", size.prompt_tokens},
         {"max_answer_tokens", size.max_answer_tokens},
         {"expected_answer_tokens", size.expected_answer_tokens.value_or(0)},
         {"config_version", version},
         {"config_unconfirmed_ms",
          unconfirmed ? ToMilliseconds(*unconfirmed) : -1}});
  }

  // Names each request in progress. The facts that tell why it is come first:
  // collectors may shorten lines. A time of -1 means never.
  void LogInFlight(LogLevel level,
                   std::string_view event,
                   Duration left,
                   Duration wake_delay) const {
    const Instant now = this->dependencies.runtime->Now();
    const auto since = [now](const std::optional<Instant>& at) {
      return at ? ToMilliseconds(now - *at) : -1;
    };
    std::size_t logged = 0;
    for (const RequestContext* context : this->in_flight) {
      if (++logged > kMaxUnfinishedLogged) {
        return;
      }
      const RequestProgress& progress = *context->progress;
      this->dependencies.log->Write(
          level, event,
          {{"request", context->metadata.request_id},
           progress.Runs() && progress.waits_for.empty()
               ? LogField("run_ms", since(progress.run_changed))
               : LogField("waits_for", progress.waits_for),
           {"quiet_ms", since(progress.latest_event)},
           {"age_ms", ToMilliseconds(now - context->received)},
           {"leaving_ms", since(this->shutdown_start)},
           {"expected_ms",
            progress.expected ? ToMilliseconds(*progress.expected) : -1},
           {"sent_while_leaving_ms", since(progress.sent_while_leaving)},
           {"worker", progress.server},
           {"run_changed_ms", since(progress.run_changed)},
           {"events", progress.events},
           {"begun", context->exchange->ResponseBegun()},
           {"forwarded", context->forwarded},
           {"left_ms", ToMilliseconds(left)},
           {"max_wake_delay_ms", ToMilliseconds(wake_delay)},
           {"route", context->route == nullptr ? "" : context->route->name},
           {"service", context->service},
           {"build", BuildId()}});
    }
  }
};

Router::Router(std::unique_ptr<State> state) : state(std::move(state)) {}
Router::~Router() = default;

std::unique_ptr<Router> Router::Create(RouterDependencies dependencies,
                                       RouterSettings settings) {
  auto state = std::make_unique<State>();
  state->dependencies = std::move(dependencies);
  state->settings = settings;
  state->started = state->dependencies.runtime->Now();
  state->crashes = CrashMonitor::Create(&state->dependencies, settings.crashes);
  state->dependencies.crashes = state->crashes.get();
  state->shutdown = std::make_unique<ShutdownGate>(settings.shutdown);
  state->dependencies.shutdown = state->shutdown.get();
  state->dependencies.scopes = &state->scopes;
  state->streams =
      StreamRegistry::Create(&state->dependencies, settings.streams);
  state->dependencies.unanswered_workers =
      [streams = state->streams.get()](const placement::Path& path) {
        return streams->UnansweredWorkers(path);
      };
  return std::unique_ptr<Router>(new Router(std::move(state)));
}

void Router::Handle(io::HttpExchange& exchange) {
  RequestContext context;
  this->state->Handle(exchange, &context);
}

void Router::HandleForwarded(io::HttpExchange& exchange) {
  RequestContext context;
  context.forwarded = true;
  this->state->Handle(exchange, &context);
}

std::optional<io::HttpResponse> Router::RefuseByHead(
    const io::HttpRequest& head,
    bool forwarded) {
  RequestContext context;
  context.forwarded = forwarded;
  const auto refusal = this->state->ObjectionToHead(head, &context);
  if (!refusal) {
    return std::nullopt;
  }
  return this->state->RefuseUnread(*refusal, platform::RequestIdOf(head),
                                   forwarded);
}

io::HttpResponse Router::LeavingResponse(const io::HttpRequest& head,
                                         bool forwarded) const {
  return this->state->RefuseUnread(this->state->LeavingRefusal(),
                                   platform::RequestIdOf(head), forwarded);
}

bool Router::MustRespond() const {
  return this->state->shutdown->MustRespond(
      this->state->dependencies.runtime->Now());
}

io::HttpResponse Router::UnreadableResponse(unsigned status,
                                            std::string_view detail) {
  const bool no_room = status == 503;
  const Refusal refusal{
      no_room ? RefusalCode::kNotReady : RefusalCode::kMalformed, Executed::kNo,
      no_room ? kNoRoomRetryAfter : Duration::zero(), std::string(detail)};
  io::HttpResponse response = platform::RefusalResponse(refusal, "");
  response.status = status;
  return response;
}

void Router::SetShutdown(Instant start,
                         Instant end,
                         Duration address_lifetime) {
  this->state->shutdown_start = start;
  this->state->shutdown->SetEnd(start, end, address_lifetime);
}

void Router::RespondBeforeShutdown() {
  if (!this->MustRespond()) {
    return;
  }
  const CallScopes scopes = this->state->scopes;
  for (CallScope* scope : scopes) {
    if (!scope->ResponseBegun()) {
      scope->Stop(StopReason::kShutdown);
    }
  }
}

void Router::OnPeerFoundUnreachable(const std::string& worker) {
  this->state->streams->OnPeerFoundUnreachable(worker);
}

void Router::OnLinksLost() {
  const CallScopes scopes = this->state->scopes;
  const RouterDependencies& dependencies = this->state->dependencies;
  for (CallScope* scope : scopes) {
    // Without another VM or a retry the call in progress is the only chance.
    if (scope->Restartable() && !dependencies.forward_targets().empty() &&
        dependencies.routing_state->Retries().TryRetry()) {
      scope->SetRetryPaid();
      scope->Stop(StopReason::kStalled);
    }
  }
}

std::size_t Router::InFlight() const {
  return this->state->in_flight.size();
}

ResponseWrites Router::Writes() const {
  ResponseWrites writes;
  for (const RequestContext* context : this->state->in_flight) {
    if (const auto unwritten = context->exchange->UnwrittenBytes()) {
      ++writes.responses;
      writes.bytes += *unwritten;
    }
  }
  return writes;
}

void Router::LogUnread(const std::vector<io::UnreadRequest>& unread) const {
  std::size_t logged = 0;
  for (const io::UnreadRequest& request : unread) {
    if (++logged > kMaxUnfinishedLogged) {
      return;
    }
    this->state->dependencies.log->Warning(
        "request.unread", {{"request", platform::RequestIdOf(request.head)},
                           {"peer", request.peer.ToText()},
                           {"has_head", request.has_head},
                           {"bytes", request.bytes},
                           {"age_ms", ToMilliseconds(request.age)}});
  }
}

void Router::LogUnsent(const std::vector<io::UnsentResponse>& unsent) const {
  std::size_t logged = 0;
  for (const io::UnsentResponse& response : unsent) {
    if (++logged > kMaxUnfinishedLogged) {
      return;
    }
    this->state->dependencies.log->Warning(
        "response.unsent", {{"request", platform::RequestIdOf(response.head)},
                            {"peer", response.peer.ToText()},
                            {"bytes", response.bytes}});
  }
}

void Router::LogUnfinished(Duration left, Duration wake_delay) const {
  this->state->LogInFlight(
      LogLevel::kWarning,
      left <= Duration::zero() ? "request.cut" : "request.unfinished", left,
      wake_delay);
}

void Router::LogDraining(LogLevel level,
                         Duration left,
                         Duration wake_delay) const {
  this->state->LogInFlight(level, "request.draining", left, wake_delay);
}

}  // namespace chervilpass::serving
