#include "chervilpass/serving/router.h"

#include <fmt/format.h>

#include "chervilpass/core/hash.h"
#include "chervilpass/serving/call_relay.h"
#include "chervilpass/serving/stream_relay.h"
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
  RouterParts parts;
  RouterSettings settings;
  Instant started{};
  std::unique_ptr<StreamRegistry> streams;
  std::optional<Instant> end;
  std::size_t in_flight = 0;
  std::uint64_t served = 0;

  RequestEnd Serve(io::HttpExchange& exchange, RequestContext* context) {
    const auto facts = platform::ReadRequest(exchange.Request());
    if (facts.has_error()) {
      return Refuse(*context, RefusalCode::kMalformed, Executed::kNo,
                    Duration::zero(), facts.error().detail, 0);
    }
    context->facts = facts.value();
    this->AwaitKnowledge(*context);
    context->table = this->parts.world->Table();
    if (!context->table) {
      return Refuse(*context, RefusalCode::kNotReady, Executed::kNo,
                    kNotReadyComeBack, "no configuration is known yet", 0);
    }
    context->route = context->table->Find(WithoutPort(context->facts.host),
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
    const World& world = *this->parts.world;
    const Duration share =
        context.facts.time_left.value_or(this->settings.default_deadline) / 3;
    const Instant end = std::min(this->started + this->settings.start,
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
    if (!context->facts.key) {
      return false;
    }
    const auto* holder = context->table->OrganisationOf(*context->facts.key);
    if (holder == nullptr) {
      return false;
    }
    context->organisation = holder->name;
    return true;
  }

  RequestEnd ServeRouted(RequestContext* context) {
    World& world = *this->parts.world;
    const auto& request = context->exchange->Request();
    context->fingerprint = HashCombine(
        HashText(context->organisation),
        HashCombine(HashText(request.target), HashText(request.body)));
    const WallTime wall = this->parts.runtime->WallNow();
    if (world.Strikes().Judge(context->fingerprint, wall) ==
        quarantine::Verdict::kQuarantined) {
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
        std::string(context->route->PickService(world.Dice().Unit()));
    const auto* service = context->table->Service(context->service);
    if (service == nullptr) {
      return Refuse(*context, RefusalCode::kNoBackend, Executed::kNo,
                    kNotReadyComeBack, "the route's service is not known", 0);
    }
    if (!service->model) {
      return RelayCall(this->parts, *context, time_left);
    }
    if (this->end && *this->end - this->parts.runtime->Now() <
                         this->settings.longest_stream_while_leaving) {
      return Refuse(*context, RefusalCode::kLeaving, Executed::kNo,
                    kLeavingComeBack, "this VM is leaving", 0);
    }
    return RelayStream(this->parts, this->streams.get(), *context,
                       *service->model, time_left);
  }

  Duration TimeFor(const RequestContext& context) const {
    Duration time =
        context.facts.time_left.value_or(this->settings.default_deadline);
    if (context.route->timeout > Duration::zero()) {
      time = std::min(time, context.route->timeout);
    }
    return time - (this->parts.runtime->Now() - context.received);
  }

  void Note(const RequestContext& context, const RequestEnd& end) {
    const Duration elapsed = this->parts.runtime->Now() - context.received;
    this->parts.metrics->Count(
        "chervil_requests_total",
        fmt::format("outcome=\"{}\",code=\"{}\"", end.outcome, end.status));
    this->parts.metrics->Observe("chervil_request_seconds", elapsed);
    const bool late = context.route != nullptr &&
                      ((context.route->gap_objective > Duration::zero() &&
                        end.longest_gap > context.route->gap_objective) ||
                       (context.route->objective > Duration::zero() &&
                        end.first_event > context.route->objective));
    const bool served = end.outcome == "served" && !late;
    if (served && this->served++ % this->settings.log_one_served_in != 0) {
      return;
    }
    const std::uint64_t version = context.table ? context.table->Version() : 0;
    this->parts.log->Info(
        "request.ended",
        {{"request", context.facts.request_id},
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
         {"longest_gap_ms", ToMilliseconds(end.longest_gap)},
         {"config_version", version},
         {"elapsed_ms", ToMilliseconds(elapsed)}});
  }
};

Router::Router(std::unique_ptr<State> state) : state(std::move(state)) {}
Router::~Router() = default;

std::unique_ptr<Router> Router::Create(RouterParts parts,
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
  const RequestEnd end = this->state->Serve(exchange, &context);
  --this->state->in_flight;
  this->state->Note(context, end);
}

io::HttpResponse Router::AnswerUnreadable(unsigned status,
                                          std::string_view detail) {
  Refusal refusal{RefusalCode::kMalformed, Executed::kNo, Duration::zero(),
                  std::string(detail)};
  io::HttpResponse answer = platform::RefusalAnswer(refusal, "");
  answer.status = status;
  return answer;
}

void Router::SetEnd(Instant end) {
  this->state->end = end;
}

void Router::OnPeerFoundUnreachable(const std::string& worker) {
  this->state->streams->OnPeerFoundUnreachable(worker);
}

std::size_t Router::InFlight() const {
  return this->state->in_flight;
}

}  // namespace chervilpass::serving
