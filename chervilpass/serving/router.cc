#include "chervilpass/serving/router.h"

#include <fmt/format.h>

#include "chervilpass/core/hash.h"
#include "chervilpass/serving/call_proxy.h"
#include "chervilpass/serving/stream_proxy.h"
#include "platform/request_codec.h"

namespace chervilpass::serving {
namespace {

using admission::Executed;
using admission::Refusal;
using admission::RefusalCode;

// A VM learns the configuration within a second of its start.
constexpr Duration kNotReadyComeBack = milliseconds(500);
// Another VM can take the request at once.
constexpr Duration kLeavingComeBack = milliseconds(50);
constexpr Duration kStartPoll = milliseconds(20);

std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

struct Router::State {
  RouterDependencies parts;
  RouterSettings settings;
  Instant started{};
  std::unique_ptr<StreamRegistry> streams;
  std::optional<Instant> end;
  std::size_t in_flight = 0;
  std::uint64_t served = 0;

  RequestResult Serve(io::HttpExchange& exchange, RequestContext* context) {
    const auto facts = platform::ReadRequest(exchange.Request());
    if (facts.has_error()) {
      return Refuse(*context, RefusalCode::kMalformed, Executed::kNo,
                    Duration::zero(), facts.error().detail, 0);
    }
    context->metadata = facts.value();
    this->AwaitKnowledge(*context);
    context->table = this->parts.routing_state->Table();
    if (!context->table) {
      return Refuse(*context, RefusalCode::kNotReady, Executed::kNo,
                    kNotReadyComeBack, "no configuration is known yet", 0);
    }
    context->route = context->table->Find(WithoutPort(context->metadata.host),
                                          PathOf(exchange.Request().target));
    if (context->route == nullptr) {
      return Refuse(*context, RefusalCode::kNotFound, Executed::kNo,
                    Duration::zero(), "no route for this host and path", 0);
    }
    if (!this->Authenticate(context)) {
      return Refuse(*context, RefusalCode::kUnauthorized, Executed::kNo,
                    Duration::zero(), "the key is missing or not known", 0);
    }
    return this->ServeRouted(context);
  }

  // After a restart callers are back sooner than the store's answers.
  void AwaitKnowledge(const RequestContext& context) const {
    const RoutingState& world = *this->parts.routing_state;
    const Duration share =
        context.metadata.time_left.value_or(this->settings.default_deadline) /
        3;
    const Instant end = std::min(this->started + this->settings.startup_grace,
                                 context.received + share);
    while ((!world.Table() || world.Servers().Empty()) &&
           this->parts.runtime->Now() < end) {
      this->parts.runtime->SleepFor(kStartPoll);
    }
  }

  // Open routes take any caller and pass no organisation on.
  bool Authenticate(RequestContext* context) const {
    if (context->route->open || !context->table->KeysRequired()) {
      return true;
    }
    if (!context->metadata.key) {
      return false;
    }
    const auto* holder = context->table->OrganisationOf(*context->metadata.key);
    if (holder == nullptr) {
      return false;
    }
    context->organisation = holder->name;
    return true;
  }

  RequestResult ServeRouted(RequestContext* context) {
    RoutingState& world = *this->parts.routing_state;
    const auto& request = context->exchange->Request();
    context->fingerprint = HashCombine(
        HashText(context->organisation),
        HashCombine(HashText(request.target), HashText(request.body)));
    const WallTime wall = this->parts.runtime->WallNow();
    if (world.Strikes().StateOf(context->fingerprint, wall) ==
        quarantine::QuarantineState::kQuarantined) {
      return Refuse(*context, RefusalCode::kOverloaded, Executed::kNo,
                    world.Strikes().RetryAfter(context->fingerprint, wall),
                    "this request has crashed backend servers", 0);
    }
    const Duration time_left = this->TimeFor(*context);
    if (time_left <= Duration::zero()) {
      return Refuse(*context, RefusalCode::kDeadlinePassed, Executed::kNo,
                    Duration::zero(), "no time is left", 0);
    }
    context->service =
        std::string(context->route->PickService(world.Rng().Unit()));
    const auto* service = context->table->Service(context->service);
    if (service == nullptr) {
      return Refuse(*context, RefusalCode::kNoBackend, Executed::kNo,
                    kNotReadyComeBack, "the route's service is not known", 0);
    }
    if (!service->model) {
      return ProxyCall(this->parts, *context, time_left);
    }
    if (this->end && *this->end - this->parts.runtime->Now() <
                         this->settings.max_stream_time_while_leaving) {
      return Refuse(*context, RefusalCode::kLeaving, Executed::kNo,
                    kLeavingComeBack, "this VM is leaving", 0);
    }
    return ProxyStream(this->parts, this->streams.get(), *context,
                       *service->model, time_left);
  }

  Duration TimeFor(const RequestContext& context) const {
    Duration time =
        context.metadata.time_left.value_or(this->settings.default_deadline);
    if (context.route->timeout > Duration::zero()) {
      time = std::min(time, context.route->timeout);
    }
    return time - (this->parts.runtime->Now() - context.received);
  }

  void Note(const RequestContext& context, const RequestResult& end) {
    const Duration elapsed = this->parts.runtime->Now() - context.received;
    this->parts.metrics->Count(
        "chervil_requests_total",
        fmt::format("outcome=\"{}\",code=\"{}\"", end.outcome, end.status));
    this->parts.metrics->Observe("chervil_request_seconds", elapsed);
    const bool late =
        context.route != nullptr &&
        ((context.route->event_interval_objective > Duration::zero() &&
          end.max_event_interval > context.route->event_interval_objective) ||
         (context.route->objective > Duration::zero() &&
          end.first_event > context.route->objective));
    const bool served = end.outcome == "served" && !late;
    if (served &&
        this->served++ % this->settings.served_requests_per_log_line != 0) {
      return;
    }
    const std::uint64_t version = context.table ? context.table->Version() : 0;
    this->parts.log->Info(
        "request.ended",
        {{"request", context.metadata.request_id},
         {"route", context.route == nullptr ? "" : context.route->name},
         {"service", context.service},
         {"outcome", end.outcome},
         {"status", end.status},
         {"reason", end.reason},
         {"worker", end.worker},
         {"sends", end.sends},
         {"late", late},
         {"path", end.path},
         {"first_event_ms", ToMilliseconds(end.first_event)},
         {"longest_gap_ms", ToMilliseconds(end.max_event_interval)},
         {"config_version", version},
         {"elapsed_ms", ToMilliseconds(elapsed)}});
  }
};

Router::Router(std::unique_ptr<State> state) : state(std::move(state)) {}
Router::~Router() = default;

std::unique_ptr<Router> Router::Create(RouterDependencies parts,
                                       RouterSettings settings) {
  auto state = std::make_unique<State>();
  state->parts = std::move(parts);
  state->settings = settings;
  state->started = state->parts.runtime->Now();
  state->streams = StreamRegistry::Create(&state->parts, settings.streams);
  return std::unique_ptr<Router>(new Router(std::move(state)));
}

void Router::Handle(io::HttpExchange& exchange) {
  RequestContext context;
  context.exchange = &exchange;
  context.received = this->state->parts.runtime->Now();
  ++this->state->in_flight;
  const RequestResult end = this->state->Serve(exchange, &context);
  --this->state->in_flight;
  this->state->Note(context, end);
}

io::HttpResponse Router::UnreadableResponse(unsigned status,
                                            std::string_view detail) {
  Refusal refusal{RefusalCode::kMalformed, Executed::kNo, Duration::zero(),
                  std::string(detail)};
  io::HttpResponse answer = platform::RefusalResponse(refusal, "");
  answer.status = status;
  return answer;
}

void Router::SetShutdownDeadline(Instant end) {
  this->state->end = end;
}

void Router::OnPeerFoundUnreachable(const std::string& worker) {
  this->state->streams->OnPeerFoundUnreachable(worker);
}

std::size_t Router::InFlight() const {
  return this->state->in_flight;
}

}  // namespace chervilpass::serving
