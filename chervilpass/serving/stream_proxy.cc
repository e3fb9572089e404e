#include "chervilpass/serving/stream_proxy.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include <fmt/format.h>

#include "chervilpass/serving/call_proxy.h"
#include "chervilpass/serving/event_stream.h"
#include "chervilpass/serving/link_monitor.h"
#include "chervilpass/serving/peer_forwarder.h"
#include "chervilpass/serving/standby_run.h"
#include "platform/request_codec.h"

namespace chervilpass::serving {
namespace {

using admission::Executed;
using admission::RefusalCode;
using placement::NoPathReason;
using placement::Path;
using placement::PathStage;

constexpr std::size_t kMaxFailureBytes = 256 * 1024;  // of a non-stream body
// Without a path callers should retry once the placement has been repaired: a
// range of layers loads in about a second.
constexpr Duration kRetryAfterRepair = milliseconds(900);
// Without capacity callers should retry once running streams have ended.
constexpr Duration kRetryAfterNoCapacity = milliseconds(600);
constexpr Duration kRetryAfterSpread = milliseconds(700);
constexpr double kMinAnswerTokens = 16;
// Weight of the latest event interval in the smoothed one: effectively an
// average over some ten events.
constexpr double kIntervalWeight = 0.2;
// A request that crashes its worker is expected to do so within some event
// intervals after the begin of its answer.
constexpr Duration kMinProvenTime = milliseconds(500);
constexpr Duration kPathPollInterval = milliseconds(50);
constexpr int kMaxProbeRounds = 3;  // of paths after a lost run
constexpr Duration kStandbyPollInterval = milliseconds(2);
// Longest wait for the first event of a standby run once the first run has
// ended. Callers leave after two seconds without an event.
constexpr Duration kMaxStandbyWait = milliseconds(1400);

// Result of one run on one path.
struct RunResult {
  SendOutcome outcome = SendOutcome::kUnknown;
  io::HttpResponse response;  ///< for kFailed: a complete non-stream response
  std::string detail;
  /// The first worker is known to have ended since the run began: the run does
  /// not count as an attempt.
  bool worker_ended = false;
  bool run_lost = false;  ///< it was sent, and no complete response arrived
  bool through_peer = false;
};

class StreamProxy {
 public:
  StreamProxy(const RouterDependencies& dependencies,
              StreamRegistry* registry,
              const RequestContext& context,
              const placement::ModelProfile& model,
              Duration time_left)
      : dependencies(dependencies),
        registry(registry),
        context(context),
        model(model),
        scope(dependencies.runtime,
              context.exchange,
              time_left,
              dependencies.scopes),
        policy(dependencies.retry_policy, *context.route, context.max_attempts),
        forwarder(dependencies, context),
        sequence(context.metadata.last_event_id),
        pace(dependencies.routing_state) {
    this->stream.request_id = context.metadata.request_id;
    this->stream.service = context.service;
    this->stream.model = &model;
    this->stream.scope = &this->scope;
    this->stream.priority = context.rank.priority;
    this->stream.pause_objective = context.route->event_interval_objective;
    this->stream.run = {context.fingerprint, context.metadata.request_id, 0};
    for (const std::uint64_t part : context.prompt_parts) {
      this->stream.run.parts.push_back({part, 0});
    }
    this->EstimateSize();
    if (context.priority_class) {
      this->policy.AllowWaits();
    }
    this->stream.start_standby = [this](const std::set<std::string>& excluded) {
      this->StartStandby(excluded);
    };
    registry->Add(&this->stream);
  }

  ~StreamProxy() {
    this->registry->Remove(&this->stream);
    this->CancelStandby();
  }

  RequestResult Serve() {
    RoutingState& routing_state = *this->dependencies.routing_state;
    routing_state.Retries().OnFirstAttempt();
    while (true) {
      if (this->scope.Stopped()) {
        return this->EndStopped();
      }
      if (this->standby && this->standby->Ready()) {
        const RunResult result = this->TakeOver();
        if (auto ended = this->EndAfter(result)) {
          return std::move(*ended);
        }
        continue;
      }
      if (this->dependencies.crashes->IsQuarantined(this->stream.run)) {
        return this->EndQuarantined();
      }
      if (const auto objection = this->ObjectionToSend(Check::kInAdvance)) {
        return this->EndLeaving(*objection);
      }
      if (this->dependencies.links->CutOff()) {
        if (auto served = this->ServeThroughPeer()) {
          return std::move(*served);
        }
        if (!this->MayWaitForPath()) {
          return RefuseCutOff(this->dependencies, this->context,
                              this->policy.Executed(), this->policy.Sends());
        }
        this->AwaitPath();
        continue;
      }
      const auto path = this->FindPath();
      if (path.has_error()) {
        if (path.error() == NoPathReason::kNoCover &&
            this->dependencies.routing_state->HasUnreachable(
                this->context.service, this->dependencies.runtime->Now())) {
          // Other VMs may reach the workers that this VM does not.
          if (auto served = this->ServeThroughPeer()) {
            return std::move(*served);
          }
        }
        if (this->MayWaitForPath()) {
          this->AwaitPath();
          continue;
        }
        // Workers that have just refused the request count as unusable. Where
        // workers have told when to retry, the caller is told that instead.
        if (this->policy.MayWait(this->scope.TimeLeft()) &&
            this->dependencies.routing_state->RetryAfterRests(
                this->context.service, this->dependencies.runtime->Now()) ==
                Duration::zero()) {
          this->WaitForCapacity();
          continue;
        }
        return this->EndWithoutPath(path.error());
      }
      if (this->after_loss && !this->ProbeNewPath(path.value().path)) {
        continue;
      }
      if (!AwaitPermit(this->dependencies, this->context,
                       path.value().path.front().worker, this->MaxWaitToSend(),
                       &this->scope)) {
        continue;
      }
      if (this->scope.Stopped()) {
        return this->EndStopped();
      }
      if (const auto objection = this->ObjectionToSend(Check::kAtSend)) {
        return this->EndLeaving(*objection);
      }
      const RunResult result = this->RunOn(path.value().path);
      if (auto ended = this->EndAfter(result)) {
        return std::move(*ended);
      }
    }
  }

  /// True if the request found no room on workers at some time.
  bool LackedCapacity() const { return this->lacked_capacity; }

 private:
  // The wait for a permit lies between the two.
  enum class Check { kInAdvance, kAtSend };

  // False if a worker of the path does not answer, and others may be tried.
  // Workers that ended with the one that was lost are not known yet.
  bool ProbeNewPath(const Path& path) {
    if (this->probe_rounds >= kMaxProbeRounds) {
      return true;
    }
    ++this->probe_rounds;
    const WaitLabel label(this->context.progress.get(), "probes of a path");
    std::set<std::string> unanswered = this->registry->UnansweredWorkers(path);
    const bool all_answer = unanswered.empty();
    this->unanswered_workers.merge(unanswered);
    return all_answer;
  }

  // The result of the request after this run; none if another run follows.
  std::optional<RequestResult> EndAfter(const RunResult& result) {
    if (result.outcome == SendOutcome::kResponse) {
      return this->EndServed(result.through_peer);
    }
    if (this->scope.Stopped()) {
      return this->EndStopped();
    }
    this->after_loss = result.run_lost || result.worker_ended;
    this->probe_rounds = 0;
    if (result.worker_ended) {
      this->GrantExtraAttempt("the worker has ended",
                              this->last_path.front().worker);
    }
    this->AwaitStandby();
    if (this->scope.Stopped()) {
      return this->EndStopped();
    }
    const bool standby_ready = this->standby && this->standby->Ready();
    if (result.run_lost && !standby_ready &&
        this->dependencies.crashes->MustNotRepeat(this->stream.run)) {
      return this->EndSuspect();
    }
    const RetryDecision decision = this->policy.OnSendEnded(
        result.outcome, this->scope.TimeLeft(), [this, standby_ready] {
          return standby_ready || this->scope.TakePaidRetry() ||
                 this->TakeRetry();
        });
    if (this->scope.Stopped()) {
      return this->EndStopped();
    }
    const bool may_not_retry_now =
        decision == RetryDecision::kRefuse || decision == RetryDecision::kWait;
    if (may_not_retry_now && !standby_ready &&
        result.outcome == SendOutcome::kNotSent) {
      if (auto served = this->ServeThroughPeer()) {
        return served;
      }
    }
    if (decision == RetryDecision::kWait && !standby_ready) {
      this->LogRetry(result);
      this->WaitForCapacity();
      return std::nullopt;
    }
    if (decision != RetryDecision::kRetry && !standby_ready) {
      this->LogNoRetry(result);
      return this->Finish(decision, result);
    }
    this->LogRetry(result);
    return std::nullopt;
  }

  // Lets capacity become free. Then the workers that refused the request are
  // used again, unless they are still in cooldown.
  void WaitForCapacity() {
    const Instant now = this->dependencies.runtime->Now();
    this->RecordLackOfCapacity();
    const Duration objective_left = this->context.route->response_objective -
                                    (now - this->context.received);
    const Duration wait =
        this->policy.NextWait(this->scope.TimeLeft(), objective_left,
                              this->dependencies.routing_state->Rng().Unit());
    this->Count("chervil_capacity_waits_total");
    const WaitLabel label(this->context.progress.get(), "capacity");
    if (!std::exchange(this->has_waited, true)) {
      this->dependencies.log->Info(
          "request.waits_for_capacity",
          {{"request", this->context.metadata.request_id},
           {"service", this->context.service},
           {"priority", this->context.rank.priority},
           {"sends", this->policy.Sends()},
           {"first_wait_ms", ToMilliseconds(wait)},
           {"objective_left_ms", ToMilliseconds(objective_left)},
           {"time_left_ms", ToMilliseconds(this->scope.TimeLeft())}});
    }
    const Instant until = now + wait;
    while (!this->scope.Stopped() &&
           this->dependencies.runtime->Now() < until) {
      this->dependencies.runtime->SleepFor(std::min(
          until - this->dependencies.runtime->Now(), kPathPollInterval));
    }
    this->refusing_workers.clear();
  }

  // Takes a retry from the budget. An answer that has begun cannot be refused
  // any more, so it waits for the budget.
  bool TakeRetry() {
    routing::RetryBudget& budget = this->dependencies.routing_state->Retries();
    const WaitLabel label(this->context.progress.get(), "retry budget");
    while (!budget.TryRetry()) {
      if (!this->stream_begun || this->scope.Stopped()) {
        return false;
      }
      this->dependencies.runtime->SleepFor(kPathPollInterval);
    }
    return true;
  }

  // `worker` is the first one of the lost run.
  void GrantExtraAttempt(std::string_view reason, const std::string& worker) {
    const bool granted = this->policy.GrantExtraAttempt();
    if (granted) {
      this->dependencies.metrics->Increment("chervil_extra_attempts_total");
    }
    this->dependencies.log->Info(
        "request.extra_attempt",
        {{"request", this->context.metadata.request_id},
         {"reason", reason},
         {"worker", worker},
         {"granted", granted},
         {"attempts", this->context.route->attempts},
         {"sends", this->policy.Sends()}});
  }

  // ---- standby runs ----

  // `excluded` are workers that it is not to use.
  void StartStandby(const std::set<std::string>& excluded) {
    assert(!this->standby);
    StandbyRunRequest request;
    request.context = this->context;
    request.context.exchange = nullptr;
    request.context.progress = std::make_shared<RequestProgress>();
    request.request = this->context.exchange->Request();
    request.model = &this->model;
    request.query = this->Query();
    request.query.excluded.insert(excluded.begin(), excluded.end());
    request.sequence = this->sequence;
    request.tokens = this->stream.tokens;
    request.deadline =
        this->dependencies.runtime->Now() + this->scope.TimeLeft();
    request.run = this->stream.run;
    request.workers = this->stream.workers;
    request.tried_peers = this->forwarder.Tried();
    // Cancelled before this object is destroyed: then it is not called.
    this->standby = StandbyRun::Start(&this->dependencies, std::move(request),
                                      [this] { this->OnStandbyDone(); });
    this->UpdateOptions();
  }

  void OnStandbyDone() {
    this->forwarder.Exclude(this->standby->TriedPeers());
    if (this->standby->Ready()) {
      // Ends the first run, if it has not ended.
      this->scope.Stop(StopReason::kStalled);
      return;
    }
    const BegunStreamRun& failed = this->standby->Result();
    this->dependencies.log->Info(
        "stream.standby_failed",
        {{"request", this->context.metadata.request_id},
         {"path", DescribePath(failed.path)},
         {"reason", failed.detail}});
    if (failed.worker_ended) {
      this->GrantExtraAttempt("the worker of the standby run has ended",
                              failed.path.front().worker);
    }
    this->EndStandby(failed.outcome);
  }

  // Counts the run, which ends without taking over.
  void EndStandby(SendOutcome outcome) {
    if (outcome == SendOutcome::kNotSent) {
      this->dependencies.routing_state->Retries().Return();
    } else if (outcome != SendOutcome::kNotExecuted) {
      this->policy.OnSendEnded(outcome, this->scope.TimeLeft(),
                               [] { return true; });
    }
    this->standby.reset();
    ++this->stream.failed_standbys;
    this->stream.last_standby_end = this->dependencies.runtime->Now();
    this->UpdateOptions();
  }

  // Tells the registry what may follow the run in progress.
  void UpdateOptions() {
    this->stream.standby = this->standby.get();
    this->stream.may_resume = this->policy.MayRunAgain();
    this->stream.may_replace_ended = this->policy.MayReplaceEndedRun();
    this->stream.may_forward = this->forwarder.Possible();
  }

  void CancelStandby() {
    if (this->standby) {
      this->forwarder.Exclude(this->standby->TriedPeers());
      this->standby->Cancel();
      this->EndStandby(this->standby->MayHaveRun() ? SendOutcome::kUnknown
                                                   : SendOutcome::kNotSent);
    }
  }

  // Waits until a standby run, if one is in progress, is ready or has ended.
  // One that does not write soon is cancelled if another run may follow both:
  // its workers may be silent as well.
  void AwaitStandby() {
    this->scope.ResumeAfterStall();
    const WaitLabel label(this->context.progress.get(), "standby run");
    const Instant until = this->dependencies.runtime->Now() + kMaxStandbyWait;
    while (this->standby && !this->standby->Ready() && !this->scope.Stopped()) {
      if (this->dependencies.runtime->Now() >= until &&
          this->policy.MayRunAgain(2)) {
        this->CancelStandby();
        break;
      }
      this->dependencies.runtime->SleepFor(kStandbyPollInterval);
    }
    this->scope.ResumeAfterStall();
  }

  // Continues with the standby run.
  RunResult TakeOver() {
    BegunStreamRun run = std::exchange(this->standby, nullptr)->Take();
    this->stream.last_standby_end = this->dependencies.runtime->Now();
    this->StartRun(run.path);
    this->scope.SetCall(run.call.get());
    const bool through_peer = run.path.empty();
    this->sent_to_peer |= through_peer;
    RunResult result = this->ForwardEvents(run.call.get(), run.path,
                                           run.response, run.first_piece);
    result.through_peer = through_peer;
    this->scope.SetCall(nullptr);
    this->EndRun();
    return result;
  }

  // Serves the request through another VM; none if no other VM can, and the
  // request may still be sent. A stream that has begun goes on there.
  std::optional<RequestResult> ServeThroughPeer() {
    std::optional<io::HttpResponse> refusal;
    while (this->forwarder.Possible()) {
      if (this->scope.Stopped()) {
        return this->EndStopped();
      }
      const std::uint32_t attempts = this->policy.AttemptsForPeer();
      ForwardedCall forwarded = this->SendToPeer(attempts);
      if (forwarded.outcome == SendOutcome::kNotSent) {
        continue;
      }
      this->sent_to_peer = true;
      const RunResult result =
          forwarded.outcome == SendOutcome::kResponse
              ? this->ReadFromPeer(forwarded.call.get(), forwarded.head)
              : RunResult{SendOutcome::kUnknown, {}, forwarded.detail};
      this->scope.SetCall(nullptr);
      if (result.outcome == SendOutcome::kResponse) {
        return this->EndServed(true);
      }
      if (this->scope.Stopped()) {
        return this->EndStopped();
      }
      if (result.outcome == SendOutcome::kNotExecuted) {
        if (platform::OutcomeOfPeer(result.response) ==
            platform::PeerOutcome::kRefused) {
          refusal = result.response;
        }
        continue;
      }
      if (result.outcome == SendOutcome::kFailed && !this->stream_begun) {
        return this->Finish(RetryDecision::kForward, result);
      }
      const RetryDecision decision = this->policy.OnSendEnded(
          result.outcome, this->scope.TimeLeft(),
          [this] { return this->TakeRetry(); }, attempts);
      if (decision != RetryDecision::kRetry) {
        return this->Finish(decision, result);
      }
    }
    if (!refusal || this->stream_begun ||
        this->policy.Executed() != Executed::kNo) {
      return std::nullopt;
    }
    this->context.exchange->Respond(*refusal);
    return this->MakeResult(refusal->status, "refused",
                            "refused by another VM");
  }

  ForwardedCall SendToPeer(std::uint32_t attempts) {
    const WaitLabel label(this->context.progress.get(), "another VM");
    return this->forwarder.Send(
        this->context.exchange->Request(), this->scope.TimeLeft(), attempts,
        this->sequence.Last(),
        [this](io::HttpCall* call) { return this->SetCall(call); });
  }

  // kNotExecuted: the other VM has refused the request.
  RunResult ReadFromPeer(io::HttpCall* call, const io::HttpResponse& head) {
    if (head.status == 200) {
      RequestProgress& progress = *this->context.progress;
      progress.BeginRun("another VM", this->dependencies.runtime->Now());
      RunResult result = this->ForwardEvents(call, {}, head, "");
      progress.EndRun(this->dependencies.runtime->Now());
      return result;
    }
    RunResult result{SendOutcome::kFailed, platform::ResponseOfPeer(head),
                     fmt::format("status {} of another VM", head.status)};
    auto body = call->ReadBody(kMaxFailureBytes);
    if (body.has_error()) {
      return {SendOutcome::kUnknown, {}, body.error().detail};
    }
    call->ReturnToPool();
    result.response.body = std::move(body).value();
    switch (platform::OutcomeOfPeer(head)) {
      case platform::PeerOutcome::kAnswered:
        break;
      case platform::PeerOutcome::kFailed:
        result.outcome = SendOutcome::kUnknown;
        break;
      case platform::PeerOutcome::kRefused:
      case platform::PeerOutcome::kUnknownRequest:
        result.outcome = SendOutcome::kNotExecuted;
        break;
    }
    return result;
  }

  // The caller's estimate of the answer is right only at the median; averaging
  // it with the typical length limits the effect of a wrong one.
  void EstimateSize() {
    const GenerationSize size = this->context.metadata.generation.value_or(
        GenerationSize{this->model.typical_prompt_tokens,
                       2 * this->model.typical_answer_tokens, std::nullopt});
    const double typical = this->model.typical_answer_tokens;
    const double expected = size.expected_answer_tokens.value_or(
        static_cast<std::uint32_t>(typical));
    this->stream.prompt_tokens = size.prompt_tokens;
    this->stream.answer_tokens = std::max(
        kMinAnswerTokens,
        std::min<double>(size.max_answer_tokens, (expected + typical) / 2));
    // During its run a request holds half of its answer on average.
    this->stream.tokens =
        this->stream.prompt_tokens + this->stream.answer_tokens / 2;
  }

  placement::PathQuery Query() const {
    placement::PathQuery query;
    query.layers = {0, this->model.layers};
    query.from_data_centre =
        this->dependencies.routing_state->Settings().data_centre;
    query.prompt_tokens = this->stream.prompt_tokens;
    query.answer_tokens = this->stream.answer_tokens;
    query.excluded = this->refusing_workers;
    query.avoided =
        this->dependencies.crashes->WorkersOfOtherSuspects(this->stream.run);
    query.avoided.insert(this->unanswered_workers.begin(),
                         this->unanswered_workers.end());
    query.max_send_wait = this->MaxWaitToSend();
    if (this->context.priority_class) {
      query.added_delay_weight =
          this->context.priority_class->added_delay_weight;
    }
    query.objective = this->Objective();
    query.stage_loss_cost = this->dependencies.routing_state->StageLossCost(
        this->model, this->stream.answer_tokens, this->stream.pause_objective,
        this->dependencies.runtime->Now());
    return query;
  }

  // None if nothing competes with the request for fast workers, or once it has
  // begun to write.
  placement::StreamObjective Objective() const {
    const routing::Route& route = *this->context.route;
    if (!this->context.priority_class || this->event_seen ||
        route.response_objective <= Duration::zero()) {
      return {};
    }
    return {route.response_objective -
                (this->dependencies.runtime->Now() - this->context.received),
            route.event_interval_objective};
  }

  Result<placement::ChosenPath, NoPathReason> FindPath() {
    RoutingState& routing_state = *this->dependencies.routing_state;
    const Instant now = this->dependencies.runtime->Now();
    const auto find = [&](const std::optional<double>& max_utilisation) {
      placement::PathQuery query = this->Query();
      query.max_utilisation = max_utilisation;
      return routing_state.FindPathByObjective(this->context.service,
                                               this->model, query, now);
    };
    this->bounds = {};
    // A request that may have run must be completed: its run is not given up in
    // favour of others.
    if (!this->stream_begun && this->policy.Executed() == Executed::kNo) {
      this->bounds =
          routing_state.Capacity().BoundsFor(ClaimOf(this->context), now);
    }
    auto found = find(this->bounds.preferred);
    if (found.has_error() && found.error() == NoPathReason::kNoCapacity &&
        this->bounds.limit != this->bounds.preferred) {
      found = find(this->bounds.limit);
      if (found.has_value()) {
        this->Count("chervil_capacity_headroom_lent_total");
      }
    }
    if (found.has_error()) {
      return found.error();
    }
    this->RecordDecision(found.value().decision);
    return std::move(found).value().chosen;
  }

  void RecordDecision(const placement::ObjectiveDecision& decision) {
    if (decision.fit == placement::ObjectiveFit::kNoObjective) {
      return;
    }
    this->objective_decision = Describe(decision);
    if (decision.searched) {
      this->dependencies.metrics->Increment(
          "chervil_objective_paths_total",
          fmt::format("fit=\"{}\",changed=\"{}\"", NameOf(decision.fit),
                      decision.changed));
    }
  }

  void Count(const std::string& counter) const {
    this->dependencies.metrics->Increment(
        counter, fmt::format("priority=\"{}\"", this->context.rank.priority));
  }

  // Less urgent requests leave headroom for some time.
  void RecordLackOfCapacity() {
    this->lacked_capacity = true;
    this->dependencies.routing_state->Capacity().OnLacked(
        ClaimOf(this->context), this->bounds,
        this->dependencies.runtime->Now());
  }

  // When the caller should retry; none if all requests to the service are
  // treated alike.
  std::optional<Duration> RetryAfterLackOfCapacity() const {
    RoutingState& routing_state = *this->dependencies.routing_state;
    admission::CapacityPolicy& capacity = routing_state.Capacity();
    this->Count("chervil_capacity_refusals_total");
    if (!capacity.ActiveFor(this->context.service)) {
      return std::nullopt;
    }
    return capacity.OnRefused(ClaimOf(this->context),
                              this->dependencies.runtime->Now(),
                              routing_state.Rng().Unit());
  }

  Duration MaxWaitToSend() const {
    return MaxSendWait(this->context, this->scope.TimeLeft());
  }

  // A stream that has begun goes on: nothing else could complete it.
  std::optional<std::string> ObjectionToSend(Check check) const {
    const ShutdownGate& shutdown = *this->dependencies.shutdown;
    if (this->stream_begun || !shutdown.Leaving()) {
      return std::nullopt;
    }
    const ShutdownVerdict verdict = shutdown.JudgeStream(
        this->context.service, this->context.metadata.generation,
        this->scope.TimeLeft(), this->dependencies.runtime->Now(),
        this->registry->EventIntervals(this->context.service));
    if (!verdict.objection && check == Check::kAtSend) {
      LogSentWhileLeaving(this->dependencies, this->context, verdict);
    }
    return verdict.objection;
  }

  // Once the response has begun the request cannot be refused any more, but a
  // path that becomes free can complete it. The caller leaves if that takes too
  // long.
  bool MayWaitForPath() const { return this->stream_begun; }

  void AwaitPath() {
    const WaitLabel label(this->context.progress.get(), "path");
    this->dependencies.runtime->SleepFor(kPathPollInterval);
  }

  void StartRun(const Path& path) {
    this->stream.path = path;
    ++this->stream.run_number;
    this->stream.failed_standbys = 0;
    this->stream.last_progress = this->dependencies.runtime->Now();
    this->stream.first_event_seen = false;
    this->stream.run.events = 0;
    this->stream.moved = false;
    this->stream.worker_ended = false;
    this->UpdateOptions();
    RecordWorkers(this->dependencies, &this->stream, {});
    this->last_path = path;
    this->dependencies.routing_state->Loads().Add(path, this->stream.tokens);
    this->run_begun = this->stream.last_progress;
    this->context.progress->BeginRun(
        path.empty() ? "another VM" : path.front().worker, this->run_begun);
    this->counted_run.emplace(&this->dependencies.routing_state->Capacity(),
                              this->context.service, this->context.organisation,
                              this->stream.tokens);
  }

  void EndRun() {
    this->counted_run.reset();
    this->context.progress->EndRun(this->dependencies.runtime->Now());
    ForgetWorkers(this->dependencies, &this->stream);
    // A move may have changed the path.
    this->last_path = this->stream.path;
    this->dependencies.routing_state->Loads().Remove(this->stream.path,
                                                     this->stream.tokens);
    this->stream.path.clear();
    this->stream.moving = false;
  }

  RunResult RunOn(const Path& path) {
    this->StartRun(path);
    this->pace.OnRunBegun(this->context.service, this->model, path,
                          this->stream.prompt_tokens,
                          this->dependencies.runtime->Now());
    RunResult result = this->Send(path);
    this->pace.OnRunEnded(path, result.outcome == SendOutcome::kFailed,
                          this->dependencies.runtime->Now());
    this->EndRun();
    return result;
  }

  bool SetCall(io::HttpCall* call) {
    if (this->scope.Reason() != StopReason::kNone) {
      return false;
    }
    this->scope.SetCall(call);
    return true;
  }

  RunResult Send(const Path& path) {
    StreamRunRequest request;
    request.request = &this->context.exchange->Request();
    request.context = &this->context;
    request.model = &this->model;
    request.path = path;
    request.time_left = this->scope.TimeLeft();
    request.last_event_id = this->sequence.Last();
    request.earlier_sends = this->policy.Sends();
    request.set_call = [this](io::HttpCall* call) {
      return this->SetCall(call);
    };
    BegunStreamRun run = BeginStreamRun(this->dependencies, request);
    RunResult result;
    if (run.outcome == SendOutcome::kResponse) {
      result = this->ForwardEvents(run.call.get(), path, run.response, "");
    } else if (run.lost) {
      this->scope.SetCall(nullptr);
      result = this->Broken(path, run.detail);
    } else {
      result = {run.outcome, std::move(run.response), std::move(run.detail)};
    }
    this->scope.SetCall(nullptr);
    if (run.refusing_worker) {
      this->refusing_workers.insert(*run.refusing_worker);
    }
    return result;
  }

  // The connection broke or the run was given up: the request may have
  // begun to run.
  RunResult Broken(const Path& path, const std::string& detail) {
    if (path.empty()) {  // the run was another VM's
      return {SendOutcome::kUnknown, {}, detail};
    }
    const bool connection_broke = this->scope.Reason() == StopReason::kNone;
    this->ReportLoss(path.front().worker, connection_broke);
    // A connection that broke does not show that the worker has ended, nor does
    // its silence.
    const auto start = this->stream.workers.find(path.front().worker);
    const bool worker_ended =
        start != this->stream.workers.end() &&
        this->dependencies.crashes->HasVerifiedEnd(start->second);
    return {SendOutcome::kUnknown, {}, detail, worker_ended, true};
  }

  // `first_piece` of the body has been read already.
  RunResult ForwardEvents(io::HttpCall* call,
                          const Path& path,
                          const io::HttpResponse& head,
                          std::string_view first_piece) {
    const std::string content_type =
        head.headers.Find("Content-Type").value_or("");
    if (this->stream_begun && content_type != this->content_type) {
      return {SendOutcome::kUnknown, {}, "a response of another type", false};
    }
    if (!this->stream_begun) {
      this->stream_begun = true;
      this->dependencies.routing_state->Capacity().OnServed(
          ClaimOf(this->context), this->dependencies.runtime->Now());
      this->content_type = content_type;
      this->policy.OnResponseBegun();
      this->scope.SetResponseBegun();
      if (!this->context.exchange->BeginStream(
              path.empty()
                  ? platform::ForwardedResponse(head)
                  : ResponseForCaller(this->dependencies, this->context,
                                      path.front().worker, head))) {
        this->scope.Stop(StopReason::kCallerGone);
        return {SendOutcome::kUnknown, {}, "the caller has gone", false};
      }
    }
    EventSplitter splitter(platform::EventExtensionField());
    splitter.Feed(first_piece);
    if (!this->ForwardComplete(&splitter)) {
      return {SendOutcome::kUnknown, {}, this->run_error, false};
    }
    while (true) {
      auto piece = call->ReadPiece();
      if (piece.has_error()) {
        return this->Broken(path, piece.error().detail);
      }
      if (piece.value().empty()) {
        break;
      }
      splitter.Feed(piece.value());
      if (!this->ForwardComplete(&splitter)) {
        return {SendOutcome::kUnknown, {}, this->run_error, false};
      }
    }
    if (splitter.HasPartial()) {
      return this->Broken(path, "ended within an event");
    }
    this->context.progress->EndRun(this->dependencies.runtime->Now());
    call->ReturnToPool();
    for (const PathStage& stage : this->stream.path) {
      this->dependencies.routing_state->OnAnswered(stage.worker);
    }
    return {SendOutcome::kResponse, {}, "", false};
  }

  // Forwards all complete events; false if the run cannot be used any more.
  bool ForwardComplete(EventSplitter* splitter) {
    // The standby run repeats whatever this run has written since.
    if (this->standby && this->standby->Ready()) {
      this->run_error = "another run takes over";
      return false;
    }
    std::string out;
    std::string_view objection;
    std::uint64_t progress = 0;
    while (const auto event = splitter->Next()) {
      const EventOrder order = this->sequence.Accept(*event);
      if (order == EventOrder::kGap) {
        objection = "an event is missing";
        break;
      }
      if (order == EventOrder::kForeign) {
        objection = "bytes that are no event of the stream";
        break;
      }
      if (order != EventOrder::kRepeated) {
        out += event->bytes;
        ++this->events;
        ++this->context.progress->events;
      }
      // A worker that writes comments or repetitions only counts as silent.
      progress += order == EventOrder::kNext ||
                  (order == EventOrder::kUnnumbered && event->has_data);
    }
    if (objection.empty() && splitter->TooLarge()) {
      objection = "an event over the limit";
    }
    if (progress > 0) {
      this->RecordProgress(progress);
    }
    if (!out.empty()) {
      const WaitLabel label(this->context.progress.get(), "caller");
      if (!this->context.exchange->WriteChunk(out)) {
        this->scope.Stop(StopReason::kCallerGone);
        this->run_error = "the caller has gone";
        return false;
      }
    }
    this->run_error = objection;
    return objection.empty();
  }

  // `events` have come at once.
  void RecordProgress(std::uint64_t events) {
    const Instant now = this->dependencies.runtime->Now();
    if (!this->event_seen) {
      this->event_seen = true;
      this->first_event = now - this->context.received;
      this->dependencies.metrics->Observe("chervil_first_event_seconds",
                                          this->first_event);
    } else {
      const Duration interval = now - this->last_event;
      this->stream.pace.OnEvents(events, interval);
      this->max_event_interval = std::max(this->max_event_interval, interval);
      this->stream.smoothed_event_interval += duration_cast<Duration>(
          kIntervalWeight * (interval - this->stream.smoothed_event_interval));
    }
    this->pace.OnEvents(events, this->stream.moved, now);
    this->last_event = now;
    this->stream.last_event = now;
    this->context.progress->latest_event = now;
    this->CancelStandby();
    if (std::exchange(this->stream.worker_ended, false)) {
      RecordRestarts(this->dependencies, &this->stream);
    }
    // An event has passed through all workers of the path.
    for (const PathStage& stage : this->stream.path) {
      this->dependencies.links->OnReached(stage.worker);
    }
    this->RecordRunProgress(now);
    this->stream.last_progress = now;
    this->stream.first_event_seen = true;
    this->stream.moved = false;
  }

  void RecordRunProgress(Instant now) {
    TrackedRun& run = this->stream.run;
    if (run.events++ == 0) {
      run.first_event = now;
    }
    if (!run.proven && now - run.first_event >= kMinProvenTime) {
      this->RecordProof();
    }
  }

  void RecordProof() {
    CrashMonitor& crashes = *this->dependencies.crashes;
    this->stream.run.proven = true;
    crashes.OnPartsProven(this->stream.run);
    for (const auto& [worker, start] : this->stream.workers) {
      crashes.OnRunStarted(this->stream.run, start);
    }
  }

  // Any worker of the path may have crashed. Waits for the probes if their
  // results are due soon or decide whether the request may run again.
  void ReportLoss(const std::string& first_worker, bool connection_broke) {
    CrashMonitor& crashes = *this->dependencies.crashes;
    for (const auto& [worker, start] : this->stream.workers) {
      if (worker == first_worker) {
        crashes.OnRunLost(this->stream.run, start,
                          connection_broke ? LossEvidence::kConnectionBroke
                                           : LossEvidence::kAbandoned);
      } else if (!this->scope.Stopped()) {
        crashes.OnRunLost(this->stream.run, start, LossEvidence::kAbandoned);
      }
    }
    const bool taken_over = this->standby && this->standby->Ready();
    const WaitLabel label(this->context.progress.get(), "crash verdict");
    if (!this->scope.Stopped() && !taken_over &&
        (connection_broke || crashes.HasStrikes(this->stream.run))) {
      for (const auto& [worker, start] : this->stream.workers) {
        crashes.AwaitVerdict(start);
      }
    }
  }

  RequestResult MakeResult(unsigned status,
                           std::string outcome,
                           std::string reason) {
    RequestResult result{
        status, std::move(outcome), std::move(reason),
        this->last_path.empty() ? "" : this->last_path[0].worker,
        this->policy.Sends()};
    result.path = DescribePath(this->last_path);
    result.objective = this->objective_decision;
    result.first_event = this->first_event;
    result.max_event_interval = this->max_event_interval;
    result.events = this->events;
    return result;
  }

  RequestResult EndServed(bool through_peer) {
    const WaitLabel label(this->context.progress.get(), "caller");
    if (!this->context.exchange->EndStream()) {
      return this->MakeResult(0, "left", CallerGone(this->context));
    }
    if (through_peer) {
      return this->MakeResult(200, "served", "through another VM");
    }
    this->dependencies.routing_state->Capacity()
        .RoomOf(this->context.service)
        .OnCompleted(this->dependencies.runtime->Now() - this->run_begun);
    this->dependencies.crashes->OnRunCompleted(this->context.fingerprint);
    if (!this->stream.run.proven) {
      this->RecordProof();
    }
    return this->MakeResult(200, "served", "");
  }

  RequestResult EndLeaving(const std::string& objection) {
    return RefuseLeaving(this->dependencies, this->context,
                         this->policy.Executed(), objection,
                         this->policy.Sends());
  }

  RequestResult EndStopped() {
    if (this->scope.Reason() == StopReason::kCallerGone) {
      this->context.exchange->Abort();
      return this->MakeResult(0, "left", CallerGone(this->context));
    }
    if (this->stream_begun) {
      this->context.exchange->Abort();
      return this->MakeResult(0, "broken", "timed out");
    }
    if (this->scope.Reason() == StopReason::kShutdown) {
      return RefuseLeaving(this->dependencies, this->context,
                           this->last_path.empty() && !this->sent_to_peer
                               ? Executed::kNo
                               : Executed::kUnknown,
                           "this VM is leaving", this->policy.Sends());
    }
    return Refuse(this->context, RefusalCode::kTimedOut, Executed::kUnknown,
                  Duration::zero(), "no answer in time", this->policy.Sends());
  }

  RequestResult EndQuarantined() {
    if (this->stream_begun) {
      this->context.exchange->Abort();
      return this->MakeResult(0, "broken", "it has crashed backend servers");
    }
    return RefuseQuarantined(this->dependencies, this->context,
                             this->policy.Executed(), this->policy.Sends());
  }

  RequestResult EndSuspect() {
    const std::string detail =
        "the run was lost, and requests with a part of this prompt have "
        "crashed "
        "backend servers";
    if (this->stream_begun) {
      this->context.exchange->Abort();
      return this->MakeResult(0, "broken", detail);
    }
    return Refuse(this->context, RefusalCode::kBackendFailed,
                  Executed::kUnknown, Duration::zero(), detail,
                  this->policy.Sends() + 1);
  }

  RequestResult EndWithoutPath(NoPathReason reason) {
    const bool no_capacity = reason == NoPathReason::kNoCapacity;
    std::string detail =
        no_capacity ? "no path has room" : "some layers have no usable worker";
    if (no_capacity && this->bounds.limit) {
      detail += fmt::format(
          " up to a utilisation of {:.2f}, beside {}", *this->bounds.limit,
          this->bounds.limited_by_share ? "organisations under their share"
                                        : "more urgent requests");
    }
    if (this->stream_begun) {
      this->context.exchange->Abort();
      return this->MakeResult(0, "broken", detail);
    }
    if (no_capacity) {
      this->RecordLackOfCapacity();
    } else {
      // Workers in cooldown are no candidates.
      this->lacked_capacity |= this->dependencies.routing_state->HasFull(
          this->context.service, this->dependencies.runtime->Now());
    }
    if (this->policy.Executed() != Executed::kNo) {
      return Refuse(this->context, RefusalCode::kBackendFailed,
                    Executed::kUnknown, Duration::zero(), detail,
                    this->policy.Sends());
    }
    const Duration retry_after =
        no_capacity
            ? this->dependencies.routing_state->OnRefusedByRateLimit(
                  this->context.service, this->dependencies.runtime->Now())
            : Duration::zero();
    if (retry_after > Duration::zero()) {
      return Refuse(this->context, RefusalCode::kOverloaded, Executed::kNo,
                    retry_after, detail, this->policy.Sends());
    }
    return no_capacity
               ? this->RefusedForCapacity(RefusalCode::kOverloaded,
                                          std::move(detail))
               : this->Refused(RefusalCode::kNoBackend, LeastRetryAfter(reason),
                               std::move(detail));
  }

  RequestResult RefusedForCapacity(RefusalCode code, std::string detail) {
    const auto retry_after = this->RetryAfterLackOfCapacity();
    if (!retry_after) {
      return this->Refused(code, LeastRetryAfter(NoPathReason::kNoCapacity),
                           std::move(detail));
    }
    return Refuse(
        this->context, code, Executed::kNo,
        std::max(*retry_after,
                 this->dependencies.routing_state->RetryAfterRests(
                     this->context.service, this->dependencies.runtime->Now())),
        std::move(detail), this->policy.Sends());
  }

  RequestResult Refused(RefusalCode code,
                        Duration min_retry_after,
                        std::string detail) {
    RoutingState& routing_state = *this->dependencies.routing_state;
    const Duration spread =
        duration_cast<Duration>(routing_state.Rng().Unit() * kRetryAfterSpread);
    const Duration retry_after =
        std::max(min_retry_after + spread,
                 routing_state.RetryAfterRests(
                     this->context.service, this->dependencies.runtime->Now()));
    return Refuse(this->context, code, Executed::kNo, retry_after,
                  std::move(detail), this->policy.Sends());
  }

  RequestResult Finish(RetryDecision decision, const RunResult& result) {
    if (this->stream_begun) {
      this->context.exchange->Abort();
      return this->MakeResult(0, "broken", result.detail);
    }
    if (decision == RetryDecision::kForward) {
      this->context.exchange->Respond(result.response);
      return this->MakeResult(result.response.status, "failed", result.detail);
    }
    if (decision == RetryDecision::kRefuse) {
      if (result.outcome == SendOutcome::kNotExecuted) {
        this->RecordLackOfCapacity();
        return this->RefusedForCapacity(RefusalCode::kNoBackend, result.detail);
      }
      return this->Refused(RefusalCode::kNoBackend, kRetryAfterNoCapacity,
                           result.detail);
    }
    return Refuse(this->context, RefusalCode::kBackendFailed,
                  Executed::kUnknown, Duration::zero(), result.detail,
                  this->policy.Sends());
  }

  // Tells which limit forbids another run.
  void LogNoRetry(const RunResult& result) const {
    this->dependencies.log->Info(
        "request.not_repeated",
        {{"request", this->context.metadata.request_id},
         {"path", DescribePath(this->last_path)},
         {"reason", result.detail},
         {"begun", this->stream_begun},
         {"sends", this->policy.Sends()},
         {"may_repeat", this->context.route->MayRepeat()},
         {"attempts",
          std::min(this->context.route->attempts, this->context.max_attempts)},
         {"retry_budget",
          fmt::format("{:.2f}",
                      this->dependencies.routing_state->Retries().Balance())},
         {"time_left_ms", ToMilliseconds(this->scope.TimeLeft())}});
  }

  void LogRetry(const RunResult& result) const {
    this->dependencies.log->Info(
        "request.retry", {{"request", this->context.metadata.request_id},
                          {"path", DescribePath(this->last_path)},
                          {"reason", result.detail},
                          {"sends", this->policy.Sends()},
                          {"resume_after", this->sequence.Last().value_or(0)},
                          {"route", this->context.route->name},
                          {"priority", this->context.rank.priority},
                          {"organisation", this->context.organisation}});
  }

  const RouterDependencies& dependencies;
  StreamRegistry* registry;
  const RequestContext& context;
  const placement::ModelProfile& model;
  CallScope scope;
  RetryPolicy policy;
  PeerForwarder forwarder;
  EventSequence sequence;
  StreamPaceRecorder pace;
  ActiveStream stream;
  std::shared_ptr<StandbyRun> standby;  ///< null if none is in progress
  Path last_path;
  Instant run_begun{};  ///< of the last run
  /// Ends with the run, also if that ends by an exception.
  std::optional<admission::CountedRun> counted_run;
  /// Workers that refused this request or could not be connected to.
  std::set<std::string> refusing_workers;
  /// Workers that did not answer a probe before a run.
  std::set<std::string> unanswered_workers;
  bool after_loss = false;  ///< the last run was lost
  int probe_rounds = 0;     ///< before the next run
  /// Within which the latest path was looked for.
  admission::UtilisationBounds bounds;
  /// What the latest path was chosen by, for the log; empty: by cost alone.
  std::string objective_decision;
  std::string run_error;      ///< why the last run could not be used
  bool sent_to_peer = false;  ///< the request may have run at another VM
  bool lacked_capacity = false;
  bool has_waited = false;    ///< for capacity
  bool stream_begun = false;  ///< the response head has been sent
  std::string content_type;   ///< of the response head
  bool event_seen = false;
  Instant last_event{};
  Duration first_event{0};
  Duration max_event_interval{0};
  std::uint64_t events = 0;  ///< forwarded to the caller
};

}  // namespace

Duration LeastRetryAfter(NoPathReason reason) {
  return reason == NoPathReason::kNoCapacity ? kRetryAfterNoCapacity
                                             : kRetryAfterRepair;
}

RequestResult ProxyStream(const RouterDependencies& dependencies,
                          StreamRegistry* registry,
                          const RequestContext& context,
                          const placement::ModelProfile& model,
                          Duration time_left) {
  StreamProxy proxy(dependencies, registry, context, model, time_left);
  RequestResult result = proxy.Serve();
  result.lacked_capacity = proxy.LackedCapacity();
  return result;
}

}  // namespace chervilpass::serving
