#include "chervilpass/serving/stream_proxy.h"

#include <utility>

#include <fmt/format.h>

#include "chervilpass/serving/call_proxy.h"
#include "chervilpass/serving/event_stream.h"
#include "platform/request_codec.h"

namespace chervilpass::serving {
namespace {

using admission::Executed;
using admission::RefusalCode;
using placement::NoPathReason;
using placement::Path;
using placement::PathStage;

constexpr std::size_t kLargestFailure = 256 * 1024;  // bytes of a non-stream
// Without a path callers come back once the placement has been repaired: a
// range of layers loads in about a second.
constexpr Duration kComeBackAfterRepair = milliseconds(900);
// Without room they come back when running streams have ended.
constexpr Duration kComeBackForRoom = milliseconds(600);
constexpr Duration kComeBackSpread = milliseconds(700);
// A lost worker is forgiven to the route's number of attempts only if the run
// broke off in the middle, not if the worker refused.
constexpr double kLeastAnswerTokens = 16;
// Weight of the latest pause in the smoothed one: some ten events count.
constexpr double kPauseWeight = 0.2;
// Callers leave a stream after two seconds without an event.
constexpr Duration kLongestWaitForPath = milliseconds(1500);
constexpr Duration kPathPoll = milliseconds(50);

// How one run on one path ended.
struct Run {
  SendOutcome outcome = SendOutcome::kUnknown;
  io::HttpResponse answer;  ///< for kFailed: a whole answer that is no stream
  std::string detail;
  bool worker_lost = false;
};

class StreamRelay {
 public:
  StreamRelay(const RouterDependencies& parts,
              StreamRegistry* registry,
              const RequestContext& context,
              const placement::ModelProfile& model,
              Duration time_left)
      : parts(parts),
        registry(registry),
        context(context),
        model(model),
        scope(parts.runtime, context.exchange, time_left),
        policy(parts.retry_policy, *context.route),
        sequence(context.metadata.last_event_id) {
    this->stream.request_id = context.metadata.request_id;
    this->stream.service = context.service;
    this->stream.model = &model;
    this->stream.scope = &this->scope;
    this->SizeRequest();
    registry->Add(&this->stream);
  }

  ~StreamRelay() { this->registry->Remove(&this->stream); }

  RequestResult Serve() {
    RoutingState& world = *this->parts.routing_state;
    world.Retries().OnFirstAttempt();
    while (true) {
      if (this->scope.Ended()) {
        return this->EndStopped();
      }
      const auto path = this->FindPath();
      if (path.has_error()) {
        if (this->MayWaitForPath()) {
          this->parts.runtime->SleepFor(kPathPoll);
          continue;
        }
        return this->EndWithoutPath(path.error());
      }
      const Run run = this->RunOn(path.value().path);
      if (run.outcome == SendOutcome::kAnswered) {
        return this->EndServed();
      }
      if (this->scope.Ended()) {
        return this->EndStopped();
      }
      this->scope.ResumeAfterStall();
      if (run.worker_lost) {
        this->policy.GrantExtraAttempt();
      }
      const RetryDecision next = this->policy.OnSendEnded(
          run.outcome, this->scope.TimeLeft(), [this, &world] {
            return std::exchange(this->stream.retry_budget_charged, false) ||
                   world.Retries().TryRetry();
          });
      if (next != RetryDecision::kRetry) {
        return this->Finish(next, run);
      }
      this->LogRetry(run);
    }
  }

 private:
  // The caller's guess of the answer is right at the median only; the usual
  // length bounds what one wrong guess can do.
  void SizeRequest() {
    const GenerationSize size = this->context.metadata.generation.value_or(
        GenerationSize{this->model.typical_prompt_tokens,
                       2 * this->model.typical_answer_tokens, std::nullopt});
    const double usual = this->model.typical_answer_tokens;
    const double guess =
        size.expected_answer_tokens.value_or(static_cast<std::uint32_t>(usual));
    this->stream.prompt_tokens = size.prompt_tokens;
    this->stream.answer_tokens =
        std::max(kLeastAnswerTokens,
                 std::min<double>(size.max_answer_tokens, (guess + usual) / 2));
    // Over its life a request holds half of its answer on average.
    this->stream.tokens =
        this->stream.prompt_tokens + this->stream.answer_tokens / 2;
  }

  Result<placement::ChosenPath, NoPathReason> FindPath() {
    placement::PathQuery query;
    query.layers = {0, this->model.layers};
    query.from_data_centre = this->parts.routing_state->Settings().data_centre;
    query.prompt_tokens = this->stream.prompt_tokens;
    query.answer_tokens = this->stream.answer_tokens;
    query.excluded = this->refusing;
    return this->parts.routing_state->FindPath(
        this->context.service, this->model, query, this->parts.runtime->Now());
  }

  // Once the caller has got events there is nothing to refuse any more: a path
  // that is free soon completes the answer.
  bool MayWaitForPath() const {
    return this->begun &&
           this->parts.runtime->Now() - this->last_event < kLongestWaitForPath;
  }

  Run RunOn(const Path& path) {
    RoutingState& world = *this->parts.routing_state;
    this->stream.path = path;
    this->stream.last_progress = this->parts.runtime->Now();
    this->stream.first_event_seen = false;
    this->stream.moved = false;
    this->stream.may_resume = this->policy.MayRunAgain();
    this->last_path = path;
    world.Loads().Add(this->stream.path, this->stream.tokens);
    Run run = this->Send(path);
    // The path may have been changed since.
    this->last_path = this->stream.path;
    world.Loads().Remove(this->stream.path, this->stream.tokens);
    this->stream.path.clear();
    this->stream.moving = false;
    return run;
  }

  Run Send(const Path& path) {
    const PathStage& first = path.front();
    auto opened = this->parts.http->Open(
        first.address,
        std::min(this->parts.connect_timeout, this->scope.TimeLeft()));
    if (opened.has_error()) {
      this->refusing.insert(first.worker);
      this->registry->VerifyWorker(first.worker, opened.error().detail, [] {});
      return {SendOutcome::kNotSent, {}, opened.error().detail, false};
    }
    const auto call = std::move(opened).value();
    if (this->scope.Reason() != StopReason::kNone) {
      return {SendOutcome::kNotSent, {}, "stopped before it was sent", false};
    }
    this->scope.SetCall(call.get());
    Run run = this->Exchange(call.get(), path);
    this->scope.SetCall(nullptr);
    return run;
  }

  Run Exchange(io::HttpCall* call, const Path& path) {
    ForwardMetadata facts;
    facts.instance = path.front().worker;
    facts.organisation = this->context.organisation;
    facts.time_left = this->scope.TimeLeft();
    facts.last_event_id = this->sequence.Last();
    facts.path = path;
    const auto request =
        platform::ForwardedRequest(this->context.exchange->Request(), facts);
    if (auto sent = call->Send(request, facts.time_left); sent.has_error()) {
      return this->Broken(path, sent.error().detail);
    }
    auto head = ReadMatchingHead(call, this->context.metadata.request_id);
    if (head.has_error()) {
      return this->Broken(path, head.error().detail);
    }
    const ResponseMetadata answer = platform::ReadResponse(head.value());
    if (answer.load) {
      if (const auto* server =
              this->parts.routing_state->Servers().Find(path.front().worker)) {
        this->parts.routing_state->Loads().OnReportedRunning(
            server->id, server->data_centre, answer.load->running,
            this->parts.runtime->Now());
      }
    }
    if (answer.not_executed) {
      return this->Rejected(call, path, answer);
    }
    if (!answer.Successful()) {
      return this->FailedWhole(call, answer, head.value());
    }
    if (!answer.sealed || answer.encoded) {
      return {SendOutcome::kUnknown,
              {},
              "success without a valid signature",
              false};
    }
    return this->RelayEvents(call, path, head.value());
  }

  // The connection broke or was given up: the run may have begun.
  Run Broken(const Path& path, const std::string& detail) {
    const bool connection_broke = this->scope.Reason() == StopReason::kNone;
    if (connection_broke) {
      this->SuspectCrash(path.front().worker, detail);
    }
    // A run that was given up for the sake of another part counts in full.
    const bool first_lost =
        connection_broke ||
        this->parts.routing_state->IsUnreachable(path.front().worker,
                                                 this->parts.runtime->Now());
    return {SendOutcome::kUnknown, {}, detail, first_lost};
  }

  Run Rejected(io::HttpCall* call,
               const Path& path,
               const ResponseMetadata& answer) {
    if (call->ReadBody(kLargestFailure).has_value()) {
      call->Finish();
    }
    const Instant now = this->parts.runtime->Now();
    std::string culprit = path.front().worker;
    for (const PathStage& part : path) {
      if (answer.faulty_worker && part.address == *answer.faulty_worker) {
        culprit = part.worker;
      }
    }
    this->refusing.insert(culprit);
    if (answer.status == 421) {
      this->parts.routing_state->StartCooldown(
          culprit, routing::CooldownReason::kNotHolding, now);
    } else if (this->parts.routing_state->NoteRefusal(culprit, this->model,
                                                      now)) {
      this->parts.log->Info("worker.refusing",
                            {{"worker", culprit}, {"status", answer.status}});
      this->parts.report_refusing(culprit);
    }
    return {SendOutcome::kNotExecuted,
            {},
            fmt::format("status {} from {}", answer.status, culprit),
            false};
  }

  Run FailedWhole(io::HttpCall* call,
                  const ResponseMetadata& answer,
                  const io::HttpResponse& head) {
    auto body = call->ReadBody(kLargestFailure);
    const bool promise =
        answer.status == 503 || answer.status == 429 || answer.status == 408;
    if (body.has_error() || promise) {
      return {SendOutcome::kUnknown,
              {},
              fmt::format("status {}", answer.status),
              false};
    }
    call->Finish();
    Run run{SendOutcome::kFailed, platform::ForwardedResponse(head),
            fmt::format("status {}", answer.status), false};
    run.answer.body = std::move(body).value();
    return run;
  }

  Run RelayEvents(io::HttpCall* call,
                  const Path& path,
                  const io::HttpResponse& head) {
    if (!this->begun) {
      this->begun = true;
      if (!this->context.exchange->BeginStream(
              platform::ForwardedResponse(head))) {
        this->scope.Stop(StopReason::kCallerGone);
        return {SendOutcome::kUnknown, {}, "the caller has gone", false};
      }
    }
    EventSplitter splitter;
    while (true) {
      auto piece = call->ReadPiece();
      if (piece.has_error()) {
        return this->Broken(path, piece.error().detail);
      }
      if (piece.value().empty()) {
        break;
      }
      splitter.Feed(piece.value());
      if (!this->Forward(&splitter)) {
        return {SendOutcome::kUnknown, {}, this->fault, false};
      }
    }
    if (splitter.HasPartial()) {
      return this->Broken(path, "ended within an event");
    }
    call->Finish();
    for (const PathStage& part : this->stream.path) {
      this->parts.routing_state->OnServed(part.worker);
    }
    return {SendOutcome::kAnswered, {}, "", false};
  }

  // Sends all whole events on; false if the run is of no use any more.
  bool Forward(EventSplitter* splitter) {
    std::string out;
    while (const auto event = splitter->Next()) {
      const EventOrder order = this->sequence.Accept(event->id);
      if (order == EventOrder::kGap) {
        this->fault = "an event is missing";
        return false;
      }
      if (order != EventOrder::kRepeated) {
        out += event->bytes;
      }
    }
    if (out.empty()) {
      return true;
    }
    this->NoteProgress();
    if (!this->context.exchange->WriteChunk(out)) {
      this->scope.Stop(StopReason::kCallerGone);
      this->fault = "the caller has gone";
      return false;
    }
    return true;
  }

  void NoteProgress() {
    const Instant now = this->parts.runtime->Now();
    if (!this->any_event) {
      this->any_event = true;
      this->first_event = now - this->context.received;
      this->parts.metrics->Observe("chervil_first_event_seconds",
                                   this->first_event);
    } else {
      const Duration pause = now - this->last_event;
      this->longest_gap = std::max(this->longest_gap, pause);
      this->stream.smoothed_event_interval += duration_cast<Duration>(
          kPauseWeight * (pause - this->stream.smoothed_event_interval));
    }
    this->last_event = now;
    this->stream.last_progress = now;
    this->stream.first_event_seen = true;
    this->stream.moved = false;
  }

  // The request gets a strike only if the worker is really gone.
  void SuspectCrash(const std::string& worker, const std::string& detail) {
    const RouterDependencies& shared = this->parts;
    const std::uint64_t fingerprint = this->context.fingerprint;
    this->registry->VerifyWorker(
        worker, detail, [&shared, fingerprint, worker] {
          const WallTime wall = shared.runtime->WallNow();
          const quarantine::Strike strike{fingerprint, worker, wall};
          if (shared.routing_state->Strikes().Add(strike, wall)) {
            shared.report_strike(strike);
          }
        });
  }

  RequestResult End(unsigned status, std::string outcome, std::string reason) {
    RequestResult end{status, std::move(outcome), std::move(reason),
                      this->last_path.empty() ? "" : this->last_path[0].worker,
                      this->policy.Sends()};
    end.path = DescribePath(this->last_path);
    end.first_event = this->first_event;
    end.max_event_interval = this->longest_gap;
    return end;
  }

  RequestResult EndServed() {
    if (!this->context.exchange->EndStream()) {
      return this->End(0, "left", "the caller has gone");
    }
    this->parts.routing_state->Strikes().Clear(this->context.fingerprint);
    return this->End(200, "served", "");
  }

  RequestResult EndStopped() {
    if (this->scope.Reason() == StopReason::kCallerGone) {
      this->context.exchange->Abort();
      return this->End(0, "left", "the caller has gone");
    }
    if (this->begun) {
      this->context.exchange->Abort();
      return this->End(0, "broken", "timed out");
    }
    return Refuse(this->context, RefusalCode::kTimedOut, Executed::kUnknown,
                  Duration::zero(), "no answer in time", this->policy.Sends());
  }

  RequestResult EndWithoutPath(NoPathReason reason) {
    const bool no_room = reason == NoPathReason::kNoCapacity;
    const std::string detail =
        no_room ? "no path has room" : "some layers have no usable worker";
    if (this->begun) {
      this->context.exchange->Abort();
      return this->End(0, "broken", detail);
    }
    if (this->policy.Executed() != Executed::kNo) {
      return Refuse(this->context, RefusalCode::kBackendFailed,
                    Executed::kUnknown, Duration::zero(), detail,
                    this->policy.Sends());
    }
    return this->Refused(
        no_room ? RefusalCode::kOverloaded : RefusalCode::kNoBackend,
        no_room ? kComeBackForRoom : kComeBackAfterRepair, detail);
  }

  RequestResult Refused(RefusalCode code, Duration least, std::string detail) {
    const Duration spread = duration_cast<Duration>(
        this->parts.routing_state->Rng().Unit() * kComeBackSpread);
    return Refuse(this->context, code, Executed::kNo, least + spread,
                  std::move(detail), this->policy.Sends());
  }

  RequestResult Finish(RetryDecision next, const Run& run) {
    if (this->begun) {
      this->context.exchange->Abort();
      return this->End(0, "broken", run.detail);
    }
    if (next == RetryDecision::kForward) {
      this->context.exchange->Respond(run.answer);
      return this->End(run.answer.status, "failed", run.detail);
    }
    if (next == RetryDecision::kRefuse) {
      return this->Refused(RefusalCode::kNoBackend, kComeBackForRoom,
                           run.detail);
    }
    return Refuse(this->context, RefusalCode::kBackendFailed,
                  Executed::kUnknown, Duration::zero(), run.detail,
                  this->policy.Sends());
  }

  void LogRetry(const Run& run) const {
    this->parts.log->Info(
        "request.retry", {{"request", this->context.metadata.request_id},
                          {"path", DescribePath(this->last_path)},
                          {"reason", run.detail},
                          {"sends", this->policy.Sends()},
                          {"resume_after", this->sequence.Last().value_or(0)}});
  }

  const RouterDependencies& parts;
  StreamRegistry* registry;
  const RequestContext& context;
  const placement::ModelProfile& model;
  CallScope scope;
  RetryPolicy policy;
  EventSequence sequence;
  ActiveStream stream;
  Path last_path;
  std::set<std::string> refusing;  ///< workers that did not run this request
  std::string fault;               ///< why the last run was of no use
  bool begun = false;              ///< the answer's head has been sent
  bool any_event = false;
  Instant last_event{};
  Duration first_event{0};
  Duration longest_gap{0};
};

}  // namespace

RequestResult ProxyStream(const RouterDependencies& parts,
                          StreamRegistry* registry,
                          const RequestContext& context,
                          const placement::ModelProfile& model,
                          Duration time_left) {
  return StreamRelay(parts, registry, context, model, time_left).Serve();
}

}  // namespace chervilpass::serving
