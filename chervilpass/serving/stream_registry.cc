#include "chervilpass/serving/stream_registry.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "chervilpass/serving/link_monitor.h"
#include "chervilpass/serving/standby_run.h"
#include "platform/worker_decoder.h"

namespace chervilpass::serving {
namespace {

using placement::Path;
using placement::PathStage;

constexpr std::size_t kMaxLoggedBodyBytes = 160;  // of a response to an order
constexpr int kMaxMoveOrders = 3;  // orders for one move of one stream
// Doublings of the interval between standby runs that fail.
constexpr std::uint32_t kMaxIntervalDoublings = 4;
// An answer or an event that shows that a worker of a new path lives.
constexpr Duration kRecentAnswer = milliseconds(60);
constexpr int kMaxProbeRounds = 2;  // of paths, in one move
constexpr Duration kPathProbePollInterval = milliseconds(1);
// Workers that end together are found one after the other within this time.
constexpr Duration kJointLossTime = milliseconds(500);
// Streams that lose their workers together spread over the workers that are
// left: each VM knows the new loads of the others only later.
constexpr double kRecoveryCostSpread = 0.5;
// How long the result of a probe is used as evidence for lost runs.
constexpr Duration kFindingLifetime = seconds(2);

}  // namespace

void RecordWorkers(const RouterDependencies& dependencies,
                   ActiveStream* stream,
                   const placement::Path& kept) {
  CrashMonitor& crashes = *dependencies.crashes;
  crashes.RecordPriorStrikes(&stream->run);
  // New workers have to begin to write before they prove anything.
  stream->run.events = 0;
  for (const PathStage& stage : stream->path) {
    const bool is_kept = std::any_of(kept.begin(), kept.end(),
                                     [&stage](const PathStage& kept_stage) {
                                       return kept_stage.worker == stage.worker;
                                     });
    const auto known = stream->workers.find(stage.worker);
    if (known != stream->workers.end()) {
      crashes.OnRunEnded(stream->run, known->second);
    }
    // A worker that the stream returns to may have started again since.
    if (!is_kept || known == stream->workers.end()) {
      stream->workers[stage.worker] =
          crashes.StartOf(stage.worker, stage.address, true);
    }
    crashes.OnRunStarted(stream->run, stream->workers[stage.worker]);
  }
}

void RecordRestarts(const RouterDependencies& dependencies,
                    ActiveStream* stream) {
  placement::Path kept;
  for (const PathStage& stage : stream->path) {
    const auto known = stream->workers.find(stage.worker);
    if (known != stream->workers.end() &&
        dependencies.crashes->StartOf(stage.worker, stage.address, true) ==
            known->second) {
      kept.push_back(stage);
    }
  }
  if (kept.size() < stream->path.size()) {
    RecordWorkers(dependencies, stream, kept);
  }
}

void ForgetWorkers(const RouterDependencies& dependencies,
                   ActiveStream* stream) {
  for (const auto& [worker, start] : stream->workers) {
    dependencies.crashes->OnRunEnded(stream->run, start);
  }
  stream->workers.clear();
}

namespace {

bool IsTimeout(const Result<io::HttpResponse, io::HttpError>& response) {
  return response.has_error() &&
         response.error().code == io::HttpErrorCode::kTimeout;
}

}  // namespace

struct StreamRegistry::State
    : std::enable_shared_from_this<StreamRegistry::State> {
  State(const RouterDependencies* dependencies, StreamRegistrySettings settings)
      : dependencies(dependencies), settings(settings) {}

  void Watch() {
    while (!this->stopped) {
      this->dependencies->runtime->SleepFor(this->settings.check_interval);
      // The dependencies may have ended during the wait.
      if (!this->stopped) {
        this->CheckStreams();
      }
    }
  }

  // True if the stream is still in progress; it may end while a fiber waits.
  bool InProgress(const ActiveStream* stream) const {
    return this->streams.contains(const_cast<ActiveStream*>(stream));
  }

  void CheckStreams() {
    const Instant now = this->dependencies->runtime->Now();
    this->dependencies->routing_state->Stalls().OnTick(now);
    std::erase_if(this->probes_answered, [&](const auto& entry) {
      return now - entry.second > this->settings.probe_interval;
    });
    std::erase_if(this->findings, [&](const auto& entry) {
      return now - entry.second.at > kFindingLifetime;
    });
    std::erase_if(this->last_examined, [&](const auto& entry) {
      return now - entry.second > this->settings.examine_interval;
    });
    const std::set<std::string> active = this->RecentlyActiveWorkers(now);
    for (ActiveStream* stream : this->streams) {
      this->CheckStream(stream, active, now);
    }
    this->ProveWorkers(now);
  }

  // Probes workers whose cooldown after a loss has ended. A request that found
  // out that such a worker is still gone would be late.
  void ProveWorkers(Instant now) {
    for (const routing::BackendServer& worker :
         this->dependencies->routing_state->WorkersToProve(now)) {
      // Events have passed through it during its cooldown.
      if (this->dependencies->links->ReachedWithin(
              worker.id, this->settings.probe_interval)) {
        this->dependencies->routing_state->OnAnswered(worker.id);
        continue;
      }
      if (!this->pending_reports.insert(worker.id).second) {
        continue;
      }
      this->dependencies->metrics->Increment("chervil_proof_probes_total");
      this->dependencies->runtime->Spawn(
          [self = this->shared_from_this(), worker] { self->Prove(worker); });
    }
  }

  // Other VMs are not told of a failure: they ask for themselves.
  void Prove(const routing::BackendServer& worker) {
    const Instant start = this->dependencies->runtime->Now();
    const ProbeResult result = this->ProbeWorker(worker.id, worker.address,
                                                 this->settings.verify_timeout);
    this->pending_reports.erase(worker.id);
    RoutingState& routing_state = *this->dependencies->routing_state;
    if (IsAnswer(result)) {
      this->probes_answered[worker.id] = this->dependencies->runtime->Now();
      routing_state.OnAnswered(worker.id);
    } else if (!this->dependencies->links->CutOff() &&
               (result == ProbeResult::kRefused ||
                !VoidsTimeout(*this->dependencies, start,
                              this->settings.verify_timeout))) {
      routing_state.StartCooldown(worker.id,
                                  routing::CooldownReason::kUnreachable,
                                  this->dependencies->runtime->Now());
    }
  }

  // `active` are workers that have served events just now.
  void CheckStream(ActiveStream* stream,
                   const std::set<std::string>& active,
                   Instant now) {
    if (stream->standby != nullptr) {
      this->CheckStandby(*stream->standby, now);
    }
    if (stream->path.empty() || stream->moving ||
        stream->scope->Reason() != StopReason::kNone) {
      return;
    }
    if (stream->worker_ended && !this->HasEndedStage(*stream)) {
      RecordRestarts(*this->dependencies, stream);
    }
    const Duration silence = now - stream->last_progress;
    if (this->RecoverEarly(stream, silence, now)) {
      return;
    }
    const Duration min_stall = this->MinStall(*stream, now);
    if (silence < std::max(min_stall, this->settings.probe_threshold)) {
      return;
    }
    if (stream->standby != nullptr) {
      if (this->HasEndedStage(*stream)) {
        // The standby run is what follows.
        this->ReportLostStages(stream, now);
        this->LogStall(*stream, "a worker of its path has ended");
        stream->scope->Stop(StopReason::kStalled);
      }
      return;
    }
    if (this->dependencies->links->CutOff()) {
      this->TryResume(stream, "this VM is cut off", {});
      return;
    }
    if (this->HasUnreachableStage(*stream, now) ||
        this->HasEndedStage(*stream)) {
      this->ReportLostStages(stream, now);
      if (!this->TryResume(stream, "a worker of its path is gone", {})) {
        this->StartMove(stream, {});
      }
      return;
    }
    const bool expects_event = ExpectsEvent(*stream);
    if (expects_event) {
      this->ProbePath(stream->path, active);
    }
    if (silence < (expects_event
                       ? std::max(min_stall, this->settings.stall_threshold)
                       : this->settings.first_event_stall_threshold)) {
      return;
    }
    if (silence < this->settings.stall_timeout ||
        !this->TryResume(stream, "no event for too long",
                         {stream->path.front().worker})) {
      this->StartExamining(stream->path.front());
    }
  }

  // False while prompts may be queued: before the first event, and after a move
  // until the next event.
  static bool ExpectsEvent(const ActiveStream& stream) {
    return stream.first_event_seen && !stream.moved;
  }

  bool RecoversEarly() const {
    return this->settings.early_recovery &&
           this->dependencies->routing_state->EarlyRecovery();
  }

  bool HasLostStage(const ActiveStream& stream, Instant now) const {
    return this->HasEndedStage(stream) ||
           this->HasUnreachableStage(stream, now);
  }

  // Lets a stream go on elsewhere whose worker is known to be gone; false if it
  // is not to, or not yet.
  bool RecoverEarly(ActiveStream* stream, Duration silence, Instant now) {
    if (!this->RecoversEarly() || stream->standby != nullptr ||
        !ExpectsEvent(*stream) || this->dependencies->links->CutOff() ||
        !this->HasLostStage(*stream, now)) {
      return false;
    }
    this->last_loss = now;
    routing::LostStream lost;
    lost.smoothed_event_interval = stream->smoothed_event_interval;
    lost.ended = this->HasEndedStage(*stream);
    lost.more_urgent = static_cast<std::size_t>(std::count_if(
        this->streams.begin(), this->streams.end(),
        [&](const ActiveStream* other) {
          return other->priority < stream->priority && !other->path.empty() &&
                 !other->moving && this->HasLostStage(*other, now);
        }));
    if (silence <
        routing::SilenceBeforeRecovery(lost, this->settings.recovery)) {
      return false;
    }
    this->dependencies->metrics->Increment("chervil_early_recoveries_total");
    this->ReportLostStages(stream, now);
    if (!this->TryResume(stream, "a worker of its path is gone", {})) {
      this->StartMove(stream, {});
    }
    return true;
  }

  std::set<std::string> UnansweredWorkers(const Path& path) {
    std::set<std::string> unanswered;
    if (!this->RecoversEarly()) {
      return unanswered;
    }
    const Instant start = this->dependencies->runtime->Now();
    const std::set<std::string> active = this->RecentlyActiveWorkers(start);
    const auto lives = [&](const PathStage& stage) {
      const auto answered = this->probes_answered.find(stage.worker);
      return active.contains(stage.worker) ||
             (answered != this->probes_answered.end() &&
              start - answered->second < kRecentAnswer);
    };
    for (const PathStage& stage : path) {
      if (!lives(stage)) {
        this->StartProbe(stage);
      }
    }
    const auto waits = [&](const PathStage& stage) {
      return !lives(stage) && this->pending_reports.contains(stage.worker);
    };
    const Instant until = start + this->settings.path_probe_wait;
    while (this->dependencies->runtime->Now() < until &&
           std::any_of(path.begin(), path.end(), waits)) {
      this->dependencies->runtime->SleepFor(kPathProbePollInterval);
    }
    if (VoidsTimeout(*this->dependencies, start,
                     this->settings.path_probe_wait)) {
      return unanswered;
    }
    for (const PathStage& stage : path) {
      if (!lives(stage)) {
        unanswered.insert(stage.worker);
      }
    }
    return unanswered;
  }

  // The shortest silence that counts as a stall of this stream. Shorter right
  // after the loss of a worker: others may have ended with it.
  Duration MinStall(const ActiveStream& stream, Instant now) const {
    if (this->RecoversEarly() && now - this->last_loss < kJointLossTime) {
      return duration_cast<Duration>(
          this->settings.recovery.confirming_intervals *
          stream.smoothed_event_interval);
    }
    return duration_cast<Duration>(this->settings.stall_interval_factor *
                                   stream.smoothed_event_interval);
  }

  std::set<std::string> RecentlyActiveWorkers(Instant now) const {
    std::set<std::string> active;
    for (const ActiveStream* stream : this->streams) {
      if (ExpectsEvent(*stream) &&
          now - stream->last_progress < this->settings.recent_event_window) {
        for (const PathStage& stage : stream->path) {
          active.insert(stage.worker);
        }
      }
    }
    return active;
  }

  // Reports lag behind, so an unreachable worker is found sooner by probing all
  // workers of the path that serve no stream with a recent event.
  void ProbePath(const Path& path, const std::set<std::string>& active) {
    for (const PathStage& stage : path) {
      if (!active.contains(stage.worker) &&
          !this->probes_answered.contains(stage.worker)) {
        this->StartProbe(stage);
      }
    }
  }

  void StartProbe(const PathStage& stage) {
    if (!this->pending_reports.insert(stage.worker).second) {
      return;
    }
    this->dependencies->runtime->Spawn(
        [self = this->shared_from_this(), stage] { self->Probe(stage); });
  }

  void Probe(const PathStage& stage) {
    const Instant start = this->dependencies->runtime->Now();
    const ProbeResult result = this->ProbeWorker(stage.worker, stage.address,
                                                 this->settings.verify_timeout);
    this->pending_reports.erase(stage.worker);
    const bool departs = result == ProbeResult::kNotAccepting &&
                         this->IsDeparting(stage.worker, stage.address);
    if (IsAnswer(result) || departs) {
      this->probes_answered[stage.worker] = this->dependencies->runtime->Now();
    } else if (!this->stopped &&
               (result == ProbeResult::kRefused ||
                !VoidsTimeout(*this->dependencies, start,
                              this->settings.verify_timeout))) {
      MarkUnreachable(*this->dependencies, stage.worker,
                      "no answer while a stream waits");
      this->CheckStreams();
    }
  }

  void OnPeerFoundUnreachable(const std::string& worker) {
    const Instant now = this->dependencies->runtime->Now();
    for (const ActiveStream* stream : this->streams) {
      if (!ExpectsEvent(*stream)) {
        continue;
      }
      for (const PathStage& stage : stream->path) {
        const Duration silence = now - stream->last_progress;
        if (stage.worker != worker ||
            silence < this->settings.recent_event_window) {
          continue;
        }
        if (silence < this->settings.probe_threshold) {
          this->StartProbe(stage);
          continue;
        }
        MarkUnreachable(*this->dependencies, worker,
                        "found by a peer, a stream waits");
        this->CheckStreams();
        return;
      }
    }
  }

  bool HasUnreachableStage(const ActiveStream& stream, Instant now) const {
    return std::any_of(
        stream.path.begin(), stream.path.end(), [&](const PathStage& stage) {
          return this->dependencies->routing_state->IsUnreachable(stage.worker,
                                                                  now);
        });
  }

  // The workers may have crashed because of the stream.
  void ReportLostStages(ActiveStream* stream, Instant now) {
    for (const PathStage& stage : stream->path) {
      const bool ended = this->HasEnded(*stream, stage.worker);
      stream->worker_ended |= ended;
      if (ended ||
          this->dependencies->routing_state->IsUnreachable(stage.worker, now)) {
        this->ReportLoss(*stream, stage.worker);
      }
    }
  }

  void ReportLoss(const ActiveStream& stream, const std::string& worker) {
    const auto start = stream.workers.find(worker);
    if (start == stream.workers.end()) {
      return;
    }
    const auto finding = this->findings.find(start->second.Key());
    LossEvidence evidence = LossEvidence::kSuspected;
    if (this->HasEnded(start->second)) {
      evidence = LossEvidence::kEnded;
    } else if (finding != this->findings.end()) {
      evidence = finding->second.evidence;
    }
    this->dependencies->crashes->OnRunLost(stream.run, start->second, evidence);
  }

  bool HasEnded(const ServerStart& start) const {
    const auto finding = this->findings.find(start.Key());
    return (finding != this->findings.end() &&
            finding->second.evidence == LossEvidence::kEnded) ||
           this->dependencies->crashes->HasEnded(start);
  }

  // True if the worker has ended since the run began there.
  bool HasEnded(const ActiveStream& stream, const std::string& worker) const {
    const auto start = stream.workers.find(worker);
    return start != stream.workers.end() && this->HasEnded(start->second);
  }

  // Ends a standby run that cannot go on because a worker of its path has
  // ended.
  void CheckStandby(StandbyRun& standby, Instant now) {
    if (standby.Done() || !standby.MayHaveRun()) {
      return;
    }
    std::set<std::string> ended;
    for (const PathStage& stage : standby.RunPath()) {
      if (this->HasEnded(standby.StartOf(stage.worker))) {
        ended.insert(stage.worker);
      }
    }
    if (!ended.empty()) {
      standby.Fail(std::move(ended));
      return;
    }
    if (now - standby.SentAt() >= this->settings.first_event_stall_threshold) {
      this->ProbePath(standby.RunPath(), this->RecentlyActiveWorkers(now));
    }
  }

  // Starts a standby run on another path, or gives up a run that cannot go on
  // for one there. That resumes sooner than a move: the workers that take over
  // in a move must process the tokens of all streams of the lost worker. False
  // if no other run could follow. `excluded` are workers that it is not to use.
  bool TryResume(ActiveStream* stream,
                 std::string_view reason,
                 const std::set<std::string>& excluded) {
    const Instant now = this->dependencies->runtime->Now();
    routing::RetryBudget& retries =
        this->dependencies->routing_state->Retries();
    const Duration interval =
        this->settings.standby_interval *
        (1U << std::min(stream->failed_standbys, kMaxIntervalDoublings));
    // The search for a path costs most and comes last; the budget is charged
    // only once there is a path.
    if (stream->standby != nullptr ||
        now - stream->last_standby_end < interval ||
        !this->MayRunAgain(*stream) || retries.Balance() < 1) {
      return false;
    }
    const bool may_go_elsewhere = this->dependencies->links->CutOff()
                                      ? stream->may_forward
                                      : this->HasOtherPath(*stream, excluded);
    if (!may_go_elsewhere || !retries.TryRetry()) {
      return false;
    }
    this->LogStall(*stream, reason);
    if (this->HasEndedStage(*stream)) {
      stream->scope->SetRetryPaid();
      stream->scope->Stop(StopReason::kStalled);
    } else {
      stream->start_standby(excluded);
    }
    return true;
  }

  // True if a worker of the path is known to have ended, though it may have
  // started again. Its part of the run is lost: the run cannot go on there, as
  // at a silent worker.
  bool HasEndedStage(const ActiveStream& stream) const {
    return std::any_of(stream.path.begin(), stream.path.end(),
                       [&](const PathStage& stage) {
                         return this->HasEnded(stream, stage.worker);
                       });
  }

  bool HasLostFirstWorker(const ActiveStream& stream) const {
    const auto start = stream.path.empty()
                           ? stream.workers.end()
                           : stream.workers.find(stream.path.front().worker);
    return start != stream.workers.end() &&
           this->dependencies->crashes->HasVerifiedEnd(start->second);
  }

  // False as well for a request that would not be sent again: it is suspected
  // of crashing its workers, or would be refused because this VM leaves.
  bool MayRunAgain(const ActiveStream& stream) const {
    const CrashMonitor& crashes = *this->dependencies->crashes;
    const bool refused_by_shutdown = this->dependencies->shutdown->Leaving() &&
                                     !stream.scope->ResponseBegun();
    const bool attempts_left =
        stream.may_resume ||
        (stream.may_replace_ended && this->HasLostFirstWorker(stream));
    return attempts_left && !refused_by_shutdown &&
           !crashes.IsQuarantined(stream.run) &&
           !crashes.MustNotRepeat(stream.run);
  }

  bool HasOtherPath(const ActiveStream& stream,
                    const std::set<std::string>& excluded) const {
    placement::PathQuery query;
    query.layers = {0, stream.model->layers};
    query.from_data_centre =
        this->dependencies->routing_state->Settings().data_centre;
    query.prompt_tokens = stream.prompt_tokens;
    query.answer_tokens = stream.answer_tokens;
    query.excluded = excluded;
    return this->dependencies->routing_state
        ->FindPath(stream.service, *stream.model, query,
                   this->dependencies->runtime->Now())
        .has_value();
  }

  void LogStall(const ActiveStream& stream, std::string_view reason) {
    this->dependencies->log->Info("stream.stalled",
                                  {{"request", stream.request_id},
                                   {"path", DescribePath(stream.path)},
                                   {"reason", reason}});
    this->dependencies->metrics->Increment("chervil_streams_stalled_total");
  }

  // Asks the first worker of a path which of its requests wait for which
  // workers; one report at a time serves all streams that begin there.
  void StartExamining(const PathStage& first) {
    if (this->last_examined.contains(first.worker) ||
        !this->pending_reports.insert(first.worker).second) {
      return;
    }
    this->last_examined[first.worker] = this->dependencies->runtime->Now();
    this->dependencies->runtime->Spawn(
        [self = this->shared_from_this(), first] { self->Examine(first); });
  }

  void Examine(const PathStage& first) {
    const Instant start = this->dependencies->runtime->Now();
    const auto response =
        this->dependencies->http->Call(first.address, platform::ReportRequest(),
                                       this->settings.report_timeout);
    this->pending_reports.erase(first.worker);
    // Its open connections show whether a departing worker goes on.
    if (response.has_error() &&
        response.error().code == io::HttpErrorCode::kConnect &&
        this->IsDeparting(first.worker, first.address)) {
      return;
    }
    if (IsTimeout(response) && VoidsTimeout(*this->dependencies, start,
                                            this->settings.report_timeout)) {
      return;
    }
    if (response.has_error() || response.value().status != 200) {
      MarkUnreachable(*this->dependencies, first.worker,
                      response.has_error()
                          ? response.error().detail
                          : fmt::format("status {}", response.value().status));
      return;
    }
    this->probes_answered[first.worker] = this->dependencies->runtime->Now();
    const auto report = platform::DecodeReport(response.value().body);
    if (report.has_error()) {
      this->dependencies->log->Warning(
          "worker.report_unreadable",
          {{"worker", first.worker}, {"reason", report.error().detail}});
      return;
    }
    std::map<std::string, WaitingRequests> waiting;  // by worker
    for (const platform::StalledRequest& stalled : report.value().stalled) {
      if (const PathStage* stage = this->StageOf(stalled)) {
        WaitingRequests& requests = waiting[stage->worker];
        requests.address = stage->address;
        requests.ids.insert(stalled.request_id);
      }
    }
    for (const auto& [worker, requests] : waiting) {
      this->StartVerifying(worker, requests);
    }
  }

  // Requests that wait for one worker.
  struct WaitingRequests {
    io::Endpoint address;  // of the worker
    std::set<std::string> ids;
  };

  // The stage that the request waits for, taken from the paths of this VM's
  // streams, since its worker may not be registered any more. Null if there is
  // none.
  const PathStage* StageOf(const platform::StalledRequest& stalled) const {
    for (const ActiveStream* stream : this->streams) {
      if (stream->request_id != stalled.request_id) {
        continue;
      }
      for (const PathStage& stage : stream->path) {
        if (stage.address == stalled.waits_for) {
          return &stage;
        }
      }
    }
    return nullptr;
  }

  // A worker that requests wait for may be unreachable, have no capacity or be
  // giving up layers; probing it tells the first case from the others.
  void StartVerifying(const std::string& worker,
                      const WaitingRequests& requests) {
    if (!this->pending_reports.insert(worker).second) {
      return;
    }
    this->dependencies->runtime->Spawn(
        [self = this->shared_from_this(), worker, requests] {
          self->Verify(worker, requests);
        });
  }

  void Verify(const std::string& worker, const WaitingRequests& requests) {
    const ProbeResult result = this->ProbeWorker(worker, requests.address,
                                                 this->settings.report_timeout);
    this->pending_reports.erase(worker);
    if (result == ProbeResult::kNotAccepting) {
      // Nothing comes from it either: it has ended since it began to leave.
      this->RecordFinding(
          this->dependencies->crashes->StartOf(worker, requests.address, true),
          LossEvidence::kEnded);
    }
    if (result == ProbeResult::kUnknown) {
      return;
    }
    if (!IsAnswer(result)) {
      MarkUnreachable(*this->dependencies, worker, "requests stall there");
      return;
    }
    this->probes_answered[worker] = this->dependencies->runtime->Now();
    this->StartFullCooldown(worker);
    for (ActiveStream* stream : this->streams) {
      if (requests.ids.contains(stream->request_id) && !stream->moving &&
          stream->standby == nullptr && !stream->path.empty()) {
        // It may have crashed and started again.
        this->ReportLoss(*stream, worker);
        this->StartMove(stream, {worker});
      }
    }
  }

  static bool IsAnswer(ProbeResult result) {
    return result == ProbeResult::kAnswers || result == ProbeResult::kRestarted;
  }

  bool IsDeparting(const std::string& worker,
                   const io::Endpoint& address) const {
    const CrashMonitor& crashes = *this->dependencies->crashes;
    return crashes.IsDeparting(crashes.StartOf(worker, address, true));
  }

  void RecordFinding(const ServerStart& start, LossEvidence evidence) {
    this->findings[start.Key()] = {evidence,
                                   this->dependencies->runtime->Now()};
  }

  // Asks the worker for its report and keeps what that shows.
  ProbeResult ProbeWorker(const std::string& worker,
                          const io::Endpoint& address,
                          Duration timeout) {
    const CrashMonitor& crashes = *this->dependencies->crashes;
    const ServerStart start = crashes.StartOf(worker, address, true);
    const ProbeResult result = crashes.Probe(start, timeout);
    switch (result) {
      case ProbeResult::kAnswers:
      case ProbeResult::kNotAccepting:
        this->RecordFinding(start, LossEvidence::kAbandoned);
        break;
      case ProbeResult::kRestarted:
      case ProbeResult::kRefused:
        this->RecordFinding(start, LossEvidence::kEnded);
        break;
      case ProbeResult::kSilent:
      case ProbeResult::kBroken:
        this->RecordFinding(start, LossEvidence::kNoAnswer);
        break;
      case ProbeResult::kUnknown:
        break;
    }
    return result;
  }

  void StartFullCooldown(const std::string& worker) {
    this->dependencies->routing_state->StartCooldown(
        worker, routing::CooldownReason::kFull,
        this->dependencies->runtime->Now());
  }

  // `blocking` are workers that answer, but at which this stream waits.
  void StartMove(ActiveStream* stream, std::set<std::string> blocking) {
    stream->moving = true;
    this->dependencies->runtime->Spawn(
        [self = this->shared_from_this(), stream,
         run = StreamRun{stream->request_id, stream->run_number},
         blocking = std::move(blocking)] {
          self->Move(stream, run, blocking);
        });
  }

  // The path with unreachable, ended and refusing workers replaced; empty if
  // that is impossible.
  Path ReplacementPath(const ActiveStream& stream,
                       const std::set<std::string>& refusing,
                       const std::set<std::string>& unanswered) const {
    RoutingState& routing_state = *this->dependencies->routing_state;
    const Instant now = this->dependencies->runtime->Now();
    Path path;
    std::set<std::string> excluded = refusing;
    excluded.insert(unanswered.begin(), unanswered.end());
    for (const PathStage& stage : stream.path) {
      excluded.insert(stage.worker);
    }
    for (const PathStage& stage : stream.path) {
      if (!refusing.contains(stage.worker) && this->CanKeep(stage, now) &&
          !this->HasEnded(stream, stage.worker)) {
        path.push_back(stage);
        continue;
      }
      if (path.empty()) {
        return {};  // the first worker holds the request
      }
      placement::PathQuery query;
      query.layers = stage.layers;
      const auto* previous = routing_state.Servers().Find(path.back().worker);
      query.from_data_centre = previous == nullptr
                                   ? routing_state.Settings().data_centre
                                   : previous->data_centre;
      query.prompt_tokens = stream.prompt_tokens;
      query.answer_tokens = stream.answer_tokens;
      query.excluded = excluded;
      query.avoided =
          this->dependencies->crashes->WorkersOfOtherSuspects(stream.run);
      query.includes_first_stage = false;
      if (this->RecoversEarly()) {
        query.cost_spread = kRecoveryCostSpread;
      }
      query.stage_loss_cost = routing_state.StageLossCost(
          *stream.model, stream.answer_tokens, stream.pause_objective, now);
      const auto found =
          routing_state.FindPath(stream.service, *stream.model, query, now);
      if (found.has_error()) {
        return {};
      }
      for (const PathStage& replacement : found.value().path) {
        excluded.insert(replacement.worker);
        path.push_back(replacement);
      }
    }
    return path;
  }

  // Ends the cooldown of an unreachable worker that answers again. The first
  // worker of a path holds the run: without it nothing can be moved.
  void RecheckWorker(const PathStage& stage) {
    RoutingState& routing_state = *this->dependencies->routing_state;
    if (!routing_state.IsUnreachable(stage.worker,
                                     this->dependencies->runtime->Now()) ||
        !this->pending_reports.insert(stage.worker).second) {
      return;
    }
    const ProbeResult result = this->ProbeWorker(stage.worker, stage.address,
                                                 this->settings.verify_timeout);
    this->pending_reports.erase(stage.worker);
    if (IsAnswer(result)) {
      this->probes_answered[stage.worker] = this->dependencies->runtime->Now();
      routing_state.OnAnswered(stage.worker);
    }
  }

  // A leaving worker completes its current requests, but accepts no new path.
  bool CanKeep(const PathStage& stage, Instant now) const {
    const RoutingState& routing_state = *this->dependencies->routing_state;
    const auto* server = routing_state.Servers().Find(stage.worker);
    return !routing_state.IsUnreachable(stage.worker, now) &&
           !routing_state.IsRefusing(stage.worker, now) &&
           (server == nullptr || !server->leaving);
  }

  // Identifies a run while fibers wait: another one may follow it, or another
  // stream at the same address.
  struct StreamRun {
    std::string request_id;
    std::uint32_t number = 0;
  };

  bool InProgress(const ActiveStream* stream, const StreamRun& run) const {
    return this->InProgress(stream) && stream->request_id == run.request_id &&
           stream->run_number == run.number && !stream->path.empty();
  }

  // The workers whose probes decide whether a stream with strikes may move;
  // none if it has no strikes or has ended.
  std::map<std::string, ServerStart> SuspectWorkersOf(
      const ActiveStream* stream,
      const StreamRun& run) const {
    const bool suspect = this->InProgress(stream, run) &&
                         this->dependencies->crashes->HasStrikes(stream->run);
    return suspect ? stream->workers : std::map<std::string, ServerStart>{};
  }

  void Move(ActiveStream* stream,
            const StreamRun& run,
            const std::set<std::string>& blocking) {
    std::set<std::string> refusing = blocking;
    for (const auto& [worker, start] : this->SuspectWorkersOf(stream, run)) {
      this->dependencies->crashes->AwaitVerdict(start);
    }
    if (this->InProgress(stream, run)) {
      this->RecheckWorker(PathStage(stream->path.front()));
    }
    std::set<std::string> unanswered;  // probes of new workers
    int probe_rounds = 0;
    for (int i = 0; i < kMaxMoveOrders; ++i) {
      if (!this->InProgress(stream, run)) {
        return;
      }
      const CrashMonitor& crashes = *this->dependencies->crashes;
      // Its workers have ended: no silence, and its run would end the next one.
      if (crashes.IsQuarantined(stream->run)) {
        this->LogStall(*stream, "it has crashed backend servers");
        stream->scope->Stop(StopReason::kStalled);
        return;
      }
      // New workers would run the request again.
      if (crashes.MustNotRepeat(stream->run)) {
        break;
      }
      Path path = this->ReplacementPath(*stream, refusing, unanswered);
      if (path.empty() && !unanswered.empty()) {
        path = this->ReplacementPath(*stream, refusing, {});
        probe_rounds = kMaxProbeRounds;
      }
      if (path.empty()) {
        break;
      }
      if (path == stream->path) {
        stream->moving = false;
        return;
      }
      // Without an answer in time the order is sent after all: a late VM gets
      // none, and nothing else may complete the request.
      if (probe_rounds < kMaxProbeRounds) {
        ++probe_rounds;
        if (!this->ProbeNewStages(*stream, path, &unanswered)) {
          --i;
          continue;
        }
      }
      if (!this->InProgress(stream, run)) {
        return;
      }
      // Reserved before the order is sent, so that other streams that are moved
      // at the same time do not all choose the same workers.
      const Path previous = stream->path;
      this->Reserve(stream, path);
      const PathStage first = path.front();
      const Instant sent = this->dependencies->runtime->Now();
      const auto response = this->dependencies->http->Call(
          first.address,
          platform::OrderRequest(
              first.worker, platform::EncodeRepathOrder(run.request_id, path)),
          this->settings.report_timeout);
      if (!this->InProgress(stream, run)) {
        return;
      }
      if (response.has_error()) {
        this->Reserve(stream, previous);
        if (!IsTimeout(response) ||
            !VoidsTimeout(*this->dependencies, sent,
                          this->settings.report_timeout)) {
          MarkUnreachable(*this->dependencies, first.worker,
                          response.error().detail);
        }
        break;
      }
      const auto outcome = platform::OrderOutcomeOf(response.value().status);
      this->dependencies->log->Info(
          "stream.moved",
          {{"request", run.request_id},
           {"from", DescribePath(previous)},
           {"to", DescribePath(path)},
           {"status", response.value().status},
           {"detail", response.value().body.substr(0, kMaxLoggedBodyBytes)}});
      if (outcome == platform::OrderOutcome::kAccepted ||
          outcome == platform::OrderOutcome::kAlreadyApplied) {
        this->dependencies->metrics->Increment("chervil_streams_moved_total");
        stream->last_progress = this->dependencies->runtime->Now();
        stream->moved = true;
        stream->moving = false;
        return;
      }
      this->Reserve(stream, previous);
      if (outcome != platform::OrderOutcome::kConflict) {
        break;
      }
      // A worker that stays on the path may refuse as well: it is leaving or
      // has given up its layers.
      refusing.merge(this->RefusingWorkers(path, response.value()));
    }
    if (!this->InProgress(stream, run)) {
      return;
    }
    stream->moving = false;
    if (!blocking.empty()) {
      return;  // it may still resume on its current path
    }
    if (!this->TryResume(stream, "its path cannot be mended", {})) {
      // Nothing else can complete it now: wait for the worker.
      RecordRestarts(*this->dependencies, stream);
      stream->last_progress = this->dependencies->runtime->Now();
    }
  }

  // Adds the new workers of the path that do not answer to `unanswered`; true
  // if all answer.
  bool ProbeNewStages(const ActiveStream& stream,
                      const Path& path,
                      std::set<std::string>* unanswered) {
    const Path previous = stream.path;
    Path added;
    for (const PathStage& stage : path) {
      if (std::none_of(previous.begin(), previous.end(),
                       [&stage](const PathStage& kept) {
                         return kept.worker == stage.worker;
                       })) {
        added.push_back(stage);
      }
    }
    std::set<std::string> silent = this->UnansweredWorkers(added);
    const bool all_answer = silent.empty();
    unanswered->merge(silent);
    return all_answer;
  }

  void Reserve(ActiveStream* stream, const Path& path) {
    this->dependencies->routing_state->Loads().Remove(stream->path,
                                                      stream->tokens);
    const Path previous = std::exchange(stream->path, path);
    RecordWorkers(*this->dependencies, stream, previous);
    this->dependencies->routing_state->Loads().Add(stream->path,
                                                   stream->tokens);
  }

  std::set<std::string> RefusingWorkers(const Path& path,
                                        const io::HttpResponse& response) {
    std::set<std::string> refusing;
    const auto named = platform::ReadRefusingWorker(response);
    for (const PathStage& stage : path) {
      if (named && stage.address == *named) {
        refusing.insert(stage.worker);
        this->dependencies->routing_state->StartCooldown(
            stage.worker, routing::CooldownReason::kNotHolding,
            this->dependencies->runtime->Now());
      }
    }
    return refusing;
  }

  struct Finding {
    LossEvidence evidence = LossEvidence::kSuspected;
    Instant at{};
  };

  const RouterDependencies* dependencies;
  StreamRegistrySettings settings;
  std::set<ActiveStream*> streams;
  /// Workers with a report request in flight.
  std::set<std::string> pending_reports;
  /// When probed workers answered, within the last `probe_interval`.
  std::map<std::string, Instant> probes_answered;
  /// What this VM's probes showed, by ServerStart::Key.
  std::map<std::string, Finding> findings;
  /// When first workers were asked, within the last `examine_interval`.
  std::map<std::string, Instant> last_examined;
  Instant last_loss{};  ///< a stream was found with a lost worker
  bool stopped = false;
};

StreamRegistry::StreamRegistry(std::shared_ptr<State> state)
    : state(std::move(state)) {}

StreamRegistry::~StreamRegistry() {
  this->state->stopped = true;
}

std::unique_ptr<StreamRegistry> StreamRegistry::Create(
    const RouterDependencies* dependencies,
    StreamRegistrySettings settings) {
  auto state = std::make_shared<State>(dependencies, settings);
  dependencies->runtime->Spawn([state] { state->Watch(); });
  return std::unique_ptr<StreamRegistry>(new StreamRegistry(std::move(state)));
}

void StreamRegistry::Add(ActiveStream* stream) {
  this->state->streams.insert(stream);
}

void StreamRegistry::Remove(ActiveStream* stream) {
  this->state->streams.erase(stream);
}

std::vector<Duration> StreamRegistry::EventIntervals(
    const std::string& service) const {
  const Instant now = this->state->dependencies->runtime->Now();
  std::vector<Duration> intervals;
  for (const ActiveStream* stream : this->state->streams) {
    if (stream->service != service) {
      continue;
    }
    if (const auto interval = stream->pace.Interval(now - stream->last_event)) {
      intervals.push_back(*interval);
    }
  }
  return intervals;
}

std::set<std::string> StreamRegistry::UnansweredWorkers(
    const placement::Path& path) {
  return this->state->UnansweredWorkers(path);
}

void StreamRegistry::OnPeerFoundUnreachable(const std::string& worker) {
  this->state->OnPeerFoundUnreachable(worker);
}

}  // namespace chervilpass::serving
