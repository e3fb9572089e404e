#include "chervilpass/serving/standby_run.h"

#include <algorithm>
#include <utility>

#include "chervilpass/serving/link_monitor.h"
#include "platform/request_codec.h"

namespace chervilpass::serving {

using placement::Path;
using placement::PathStage;

namespace {

// A standby run counts as one attempt, also if another VM runs it.
constexpr std::uint32_t kAttemptsOfPeer = 1;
constexpr int kMaxProbeRounds = 3;  // of paths

}  // namespace

std::shared_ptr<StandbyRun> StandbyRun::Start(
    const RouterDependencies* dependencies,
    StandbyRunRequest request,
    std::function<void()> on_done) {
  const std::shared_ptr<StandbyRun> standby(
      new StandbyRun(dependencies, std::move(request), std::move(on_done)));
  dependencies->runtime->Spawn([standby] { standby->Run(); });
  return standby;
}

StandbyRun::StandbyRun(const RouterDependencies* dependencies,
                       StandbyRunRequest request,
                       std::function<void()> on_done)
    : dependencies(dependencies),
      request(std::move(request)),
      on_done(std::move(on_done)),
      forwarder(*dependencies,
                this->request.context,
                this->request.tried_peers) {}

void StandbyRun::Cancel() {
  if (std::exchange(this->cancelled, true)) {
    return;
  }
  if (this->call != nullptr) {
    this->call->Cancel();
  }
  // A fiber that still runs releases them itself.
  if (this->done) {
    this->Release();
    this->begun.call.reset();
  }
}

void StandbyRun::Fail(std::set<std::string> new_ended_workers) {
  if (this->done || !this->MayGoOn()) {
    return;
  }
  this->ended_workers = std::move(new_ended_workers);
  if (this->call != nullptr) {
    this->call->Cancel();
  }
}

void StandbyRun::Run() {
  BegunStreamRun run = this->Begin();
  this->call = nullptr;
  if (run.outcome == SendOutcome::kResponse && this->cancelled) {
    run.outcome = SendOutcome::kUnknown;
  }
  if (run.lost) {
    this->RecordLoss();
    run.worker_ended = this->FirstWorkerEnded();
  }
  this->begun = std::move(run);
  this->done = true;
  if (this->begun.outcome != SendOutcome::kResponse) {
    this->Release();
  }
  if (!this->cancelled) {
    this->on_done();
  }
}

BegunStreamRun StandbyRun::Begin() {
  BegunStreamRun run;
  run.outcome = SendOutcome::kNotSent;
  const CrashMonitor& crashes = *this->dependencies->crashes;
  // Their results may show that the request ends its workers.
  if (crashes.HasStrikes(this->request.run)) {
    for (const auto& [worker, start] : this->request.workers) {
      crashes.AwaitVerdict(start);
    }
  }
  if (!this->MayBeSent()) {
    run.detail = "it may have ended its workers";
    return run;
  }
  run = this->dependencies->links->CutOff() ? this->BeginThroughPeer()
                                            : this->BeginOnPath();
  if (run.outcome == SendOutcome::kResponse) {
    this->AwaitFirstEvent(&run);
  }
  return run;
}

bool StandbyRun::MayBeSent() const {
  const CrashMonitor& crashes = *this->dependencies->crashes;
  return this->MayGoOn() && !crashes.IsQuarantined(this->request.run) &&
         !crashes.MustNotRepeat(this->request.run);
}

Duration StandbyRun::TimeLeft() const {
  return std::max(Duration::zero(),
                  this->request.deadline - this->dependencies->runtime->Now());
}

std::optional<Path> StandbyRun::FindPath() {
  placement::PathQuery& query = this->request.query;
  std::optional<Path> path;
  // Workers that ended with the one that the run waits for are not known yet.
  for (int round = 0; round < kMaxProbeRounds; ++round) {
    const auto found = this->dependencies->routing_state->FindPath(
        this->request.context.service, *this->request.model, query,
        this->dependencies->runtime->Now());
    if (found.has_error()) {
      return path;
    }
    path = found.value().path;
    std::set<std::string> unanswered =
        this->dependencies->unanswered_workers(*path);
    if (unanswered.empty()) {
      return path;
    }
    query.avoided.merge(unanswered);
  }
  return path;
}

BegunStreamRun StandbyRun::BeginOnPath() {
  BegunStreamRun run;
  run.outcome = SendOutcome::kNotSent;
  const Duration max_wait =
      MaxSendWait(this->request.context, this->TimeLeft());
  this->request.query.max_send_wait = max_wait;
  const auto path = this->FindPath();
  if (!path) {
    run.detail = "no other path";
    return run;
  }
  this->Reserve(*path);
  if (!AwaitPermit(*this->dependencies, this->request.context,
                   path->front().worker, max_wait, nullptr) ||
      !this->MayBeSent()) {
    run.detail = "not sent in time";
    return run;
  }
  StreamRunRequest begin;
  begin.request = &this->request.request;
  begin.context = &this->request.context;
  begin.model = this->request.model;
  begin.path = *path;
  begin.time_left = this->TimeLeft();
  begin.last_event_id = this->request.sequence.Last();
  begin.earlier_sends = 1;  // the first run
  begin.set_call = [this](io::HttpCall* opened) {
    return this->SetCall(opened);
  };
  return BeginStreamRun(*this->dependencies, begin);
}

BegunStreamRun StandbyRun::BeginThroughPeer() {
  BegunStreamRun run;
  run.outcome = SendOutcome::kNotSent;
  run.detail = "no other VM takes it";
  this->through_peer = true;
  while (this->forwarder.Possible() && this->MayGoOn()) {
    ForwardedCall forwarded = this->forwarder.Send(
        this->request.request, this->TimeLeft(), kAttemptsOfPeer,
        this->request.sequence.Last(),
        [this](io::HttpCall* opened) { return this->SetCall(opened); });
    this->call = nullptr;
    if (forwarded.outcome == SendOutcome::kResponse &&
        forwarded.head.status == 200) {
      run.outcome = SendOutcome::kResponse;
      run.call = std::move(forwarded.call);
      run.response = std::move(forwarded.head);
      this->call = run.call.get();
      return run;
    }
    const bool refused = forwarded.outcome == SendOutcome::kResponse &&
                         platform::OutcomeOfPeer(forwarded.head) ==
                             platform::PeerOutcome::kRefused;
    if (refused && run.outcome == SendOutcome::kNotSent) {
      run.outcome = SendOutcome::kNotExecuted;
    } else if (!refused && forwarded.outcome != SendOutcome::kNotSent) {
      run.outcome = SendOutcome::kUnknown;
      return run;
    }
  }
  return run;
}

bool StandbyRun::SetCall(io::HttpCall* new_call) {
  if (!this->MayGoOn()) {
    return false;
  }
  this->call = new_call;
  this->sent = true;
  this->sent_at = this->dependencies->runtime->Now();
  return true;
}

// Only a run that has written the next event is known to go on.
void StandbyRun::AwaitFirstEvent(BegunStreamRun* run) {
  this->call = run->call.get();
  run->detail.clear();
  EventSplitter splitter(platform::EventExtensionField());
  EventSequence sequence = this->request.sequence;
  while (true) {
    auto piece = run->call->ReadPiece();
    if (piece.has_error() || piece.value().empty()) {
      run->detail =
          piece.has_error() ? piece.error().detail : "ended without an event";
      run->lost = piece.has_error() && !this->through_peer;
      break;
    }
    run->first_piece += piece.value();
    splitter.Feed(piece.value());
    while (const auto event = splitter.Next()) {
      const EventOrder order = sequence.Accept(*event);
      if (order == EventOrder::kNext) {
        return;
      }
      if (order == EventOrder::kGap) {
        run->detail = "an event is missing";
      } else if (order == EventOrder::kForeign) {
        run->detail = "bytes that are no event of the stream";
      }
    }
    if (splitter.TooLarge()) {
      run->detail = "an event over the limit";
    }
    if (!run->detail.empty()) {
      break;
    }
  }
  run->outcome = SendOutcome::kUnknown;
  run->call.reset();
}

void StandbyRun::Reserve(const Path& path) {
  CrashMonitor& crashes = *this->dependencies->crashes;
  TrackedRun& run = this->request.run;
  crashes.RecordPriorStrikes(&run);
  run.events = 0;
  this->reserved = path;
  this->dependencies->routing_state->Loads().Add(path, this->request.tokens);
  for (const PathStage& stage : path) {
    const ServerStart start =
        crashes.StartOf(stage.worker, stage.address, true);
    this->workers[stage.worker] = start;
    if (!this->request.workers.contains(stage.worker)) {
      crashes.OnRunStarted(run, start);
    }
  }
}

void StandbyRun::Release() {
  if (this->reserved.empty()) {
    return;
  }
  this->dependencies->routing_state->Loads().Remove(this->reserved,
                                                    this->request.tokens);
  this->reserved.clear();
  // The first run still counts for the workers that it uses as well.
  for (const auto& [worker, start] : this->workers) {
    if (!this->request.workers.contains(worker)) {
      this->dependencies->crashes->OnRunEnded(this->request.run, start);
    }
  }
}

void StandbyRun::RecordLoss() {
  for (const PathStage& stage : this->reserved) {
    LossEvidence evidence = LossEvidence::kAbandoned;
    if (this->ended_workers.contains(stage.worker)) {
      evidence = LossEvidence::kEnded;
    } else if (this->MayGoOn() &&
               stage.worker == this->reserved.front().worker) {
      evidence = LossEvidence::kConnectionBroke;
    }
    this->dependencies->crashes->OnRunLost(
        this->request.run, this->workers.at(stage.worker), evidence);
  }
}

// Waits for the probe of the first worker if its result is due soon.
bool StandbyRun::FirstWorkerEnded() const {
  const ServerStart start = this->workers.at(this->reserved.front().worker);
  if (this->MayGoOn()) {
    this->dependencies->crashes->AwaitVerdict(start);
  }
  return this->dependencies->crashes->HasVerifiedEnd(start);
}

BegunStreamRun StandbyRun::Take() {
  this->Release();
  this->cancelled = true;
  return std::move(this->begun);
}

}  // namespace chervilpass::serving
