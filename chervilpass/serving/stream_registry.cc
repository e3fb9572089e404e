#include "chervilpass/serving/stream_registry.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

#include "platform/worker_decoder.h"

namespace chervilpass::serving {
namespace {

using placement::Path;
using placement::PathStage;

constexpr std::size_t kLoggedBody = 160;  // bytes of an answer
constexpr int kMostMoves = 3;             // orders for one fault of one stream

}  // namespace

struct StreamRegistry::State
    : std::enable_shared_from_this<StreamRegistry::State> {
  State(const RouterDependencies* parts, StreamRegistrySettings settings)
      : parts(parts), settings(settings) {}

  void Watch() {
    while (!this->stopped) {
      this->parts->runtime->SleepFor(this->settings.check_interval);
      this->LookAtAll();
    }
  }

  // True if the stream is still in progress; it may have ended during a wait.
  bool Alive(const ActiveStream* stream) const {
    return this->streams.contains(const_cast<ActiveStream*>(stream));
  }

  void LookAtAll() {
    const Instant now = this->parts->runtime->Now();
    if (now - this->last_look > this->settings.local_stall_threshold) {
      this->last_stall = now;
    }
    this->last_look = now;
    std::erase_if(this->answered, [&](const auto& entry) {
      return now - entry.second > this->settings.probe_interval;
    });
    std::erase_if(this->examined_at, [&](const auto& entry) {
      return now - entry.second > this->settings.examine_interval;
    });
    const std::set<std::string> lively = this->LivelyWorkers(now);
    for (ActiveStream* stream : this->streams) {
      if (stream->path.empty() || stream->moving ||
          stream->scope->Reason() != StopReason::kNone) {
        continue;
      }
      const Duration silent = now - stream->last_progress;
      const Duration unusual = this->UnusualPause(*stream);
      if (silent < std::max(unusual, this->settings.probe_threshold)) {
        continue;
      }
      if (this->HasUnreachablePart(*stream, now)) {
        if (!this->TryResume(stream)) {
          this->StartMove(stream, {});
        }
        continue;
      }
      const bool expects_event = ExpectsEvent(*stream);
      if (expects_event) {
        this->ProbePath(*stream, lively);
      }
      if (silent < (expects_event
                        ? std::max(unusual, this->settings.stall_threshold)
                        : this->settings.first_event_stall_threshold)) {
        continue;
      }
      if (silent >= this->settings.stall_timeout && stream->may_resume) {
        this->GiveUp(stream, "no event for too long");
      } else {
        this->StartExamining(stream->path.front());
      }
    }
  }

  // Prompts wait for their turn, at first and on workers that a stream has been
  // moved to.
  static bool ExpectsEvent(const ActiveStream& stream) {
    return stream.first_event_seen && !stream.moved;
  }

  Duration UnusualPause(const ActiveStream& stream) const {
    return duration_cast<Duration>(this->settings.pause_factor *
                                   stream.smoothed_event_interval);
  }

  std::set<std::string> LivelyWorkers(Instant now) const {
    std::set<std::string> lively;
    for (const ActiveStream* stream : this->streams) {
      if (ExpectsEvent(*stream) &&
          now - stream->last_progress < this->settings.recent_event_window) {
        for (const PathStage& part : stream->path) {
          lively.insert(part.worker);
        }
      }
    }
    return lively;
  }

  // Reports lag behind, so that a worker which is gone is found sooner by
  // asking each that no other stream has just come through.
  void ProbePath(const ActiveStream& stream,
                 const std::set<std::string>& lively) {
    for (const PathStage& part : stream.path) {
      if (!lively.contains(part.worker) &&
          !this->answered.contains(part.worker)) {
        this->StartProbe(part);
      }
    }
  }

  void StartProbe(const PathStage& part) {
    if (!this->examined.insert(part.worker).second) {
      return;
    }
    this->parts->runtime->Spawn(
        [self = this->shared_from_this(), part] { self->Probe(part); });
  }

  void Probe(const PathStage& part) {
    const Instant start = this->parts->runtime->Now();
    const bool answers =
        this->AnswersAt(part.address, this->settings.verify_timeout);
    this->examined.erase(part.worker);
    if (answers) {
      this->answered[part.worker] = this->parts->runtime->Now();
    } else if (this->last_stall < start && !this->stopped) {
      NoteUnreachable(*this->parts, part.worker,
                      "no answer while a stream waits");
      this->LookAtAll();
    }
  }

  void OnPeerFoundUnreachable(const std::string& worker) {
    const Instant now = this->parts->runtime->Now();
    for (const ActiveStream* stream : this->streams) {
      if (!ExpectsEvent(*stream)) {
        continue;
      }
      for (const PathStage& part : stream->path) {
        const Duration silent = now - stream->last_progress;
        if (part.worker != worker ||
            silent < this->settings.recent_event_window) {
          continue;
        }
        if (silent < this->settings.probe_threshold) {
          this->StartProbe(part);
          continue;
        }
        NoteUnreachable(*this->parts, worker,
                        "found by a peer, a stream waits");
        this->LookAtAll();
        return;
      }
    }
  }

  bool HasUnreachablePart(const ActiveStream& stream, Instant now) const {
    return std::any_of(
        stream.path.begin(), stream.path.end(), [&](const PathStage& part) {
          return this->parts->routing_state->IsUnreachable(part.worker, now);
        });
  }

  // Another run on a path of its own goes on sooner than a move: the workers
  // that take over in a move read the tokens of all streams of the lost one.
  bool TryResume(ActiveStream* stream) {
    if (!stream->may_resume || !this->HasOtherPath(*stream) ||
        !this->parts->routing_state->Retries().TryRetry()) {
      return false;
    }
    stream->retry_budget_charged = true;
    this->GiveUp(stream, "a worker of its path is gone");
    return true;
  }

  bool HasOtherPath(const ActiveStream& stream) const {
    placement::PathQuery query;
    query.layers = {0, stream.model->layers};
    query.from_data_centre = this->parts->routing_state->Settings().data_centre;
    query.prompt_tokens = stream.prompt_tokens;
    query.answer_tokens = stream.answer_tokens;
    return this->parts->routing_state
        ->FindPath(stream.service, *stream.model, query,
                   this->parts->runtime->Now())
        .has_value();
  }

  void GiveUp(ActiveStream* stream, std::string_view reason) {
    this->parts->log->Info("stream.stalled",
                           {{"request", stream->request_id},
                            {"path", DescribePath(stream->path)},
                            {"reason", reason}});
    this->parts->metrics->Count("chervil_streams_stalled_total");
    stream->scope->Stop(StopReason::kStalled);
  }

  // Asks the first worker of a path which of its requests wait for whom; one
  // question at a time serves all streams that begin there.
  void StartExamining(const PathStage& first) {
    if (this->examined_at.contains(first.worker) ||
        !this->examined.insert(first.worker).second) {
      return;
    }
    this->examined_at[first.worker] = this->parts->runtime->Now();
    this->parts->runtime->Spawn(
        [self = this->shared_from_this(), first] { self->Examine(first); });
  }

  void Examine(const PathStage& first) {
    io::HttpRequest request;
    request.path = platform::ReportPath();
    const auto answer = this->parts->http->Call(first.address, request,
                                                this->settings.report_timeout);
    this->examined.erase(first.worker);
    if (answer.has_error() || answer.value().status != 200) {
      NoteUnreachable(*this->parts, first.worker,
                      answer.has_error()
                          ? answer.error().detail
                          : fmt::format("status {}", answer.value().status));
      return;
    }
    const auto report = platform::DecodeReport(answer.value().body);
    if (report.has_error()) {
      this->parts->log->Warning(
          "worker.report_unreadable",
          {{"worker", first.worker}, {"reason", report.error().detail}});
      return;
    }
    std::map<std::string, std::set<std::string>> waiting;  // ids by worker
    for (const platform::StalledRequest& stalled : report.value().stalled) {
      if (const auto worker = this->PartAt(stalled)) {
        waiting[*worker].insert(stalled.request_id);
      }
    }
    for (const auto& [worker, ids] : waiting) {
      this->StartVerifying(worker, ids);
    }
  }

  // The worker of one of our streams that the request waits for, also if it is
  // not registered any more.
  std::optional<std::string> PartAt(
      const platform::StalledRequest& stalled) const {
    for (const ActiveStream* stream : this->streams) {
      if (stream->request_id != stalled.request_id) {
        continue;
      }
      for (const PathStage& part : stream->path) {
        if (part.address == stalled.waits_for) {
          return part.worker;
        }
      }
    }
    return std::nullopt;
  }

  // A worker that requests wait for is gone, or merely has no room or is giving
  // layers up. Only its own word tells which.
  void StartVerifying(const std::string& worker,
                      const std::set<std::string>& ids) {
    if (!this->examined.insert(worker).second) {
      return;
    }
    this->parts->runtime->Spawn([self = this->shared_from_this(), worker, ids] {
      self->Verify(worker, ids);
    });
  }

  void Verify(const std::string& worker, const std::set<std::string>& ids) {
    const bool answers = this->Answers(worker);
    this->examined.erase(worker);
    if (!answers) {
      NoteUnreachable(*this->parts, worker, "requests stall there");
      return;
    }
    this->AvoidAsFull(worker);
    for (ActiveStream* stream : this->streams) {
      if (ids.contains(stream->request_id) && !stream->moving &&
          !stream->path.empty()) {
        this->StartMove(stream, {worker});
      }
    }
  }

  // True if the worker answers a question about itself.
  bool Answers(const std::string& worker) const {
    const auto* server = this->parts->routing_state->Servers().Find(worker);
    return server != nullptr &&
           this->AnswersAt(server->address, this->settings.report_timeout);
  }

  bool AnswersAt(const io::Endpoint& address, Duration timeout) const {
    io::HttpRequest request;
    request.path = platform::ReportPath();
    const auto answer = this->parts->http->Call(address, request, timeout,
                                                io::ConnectionUse::kFresh);
    return answer.has_value() && answer.value().status == 200;
  }

  void AvoidAsFull(const std::string& worker) {
    this->parts->routing_state->StartCooldown(
        worker, routing::CooldownReason::kFull, this->parts->runtime->Now());
  }

  void VerifyWorker(const std::string& worker,
                    const std::string& evidence,
                    const std::function<void()>& on_dead) {
    this->AvoidAsFull(worker);
    if (this->Answers(worker)) {
      return;
    }
    NoteUnreachable(*this->parts, worker, evidence);
    if (!this->stopped) {
      on_dead();
    }
  }

  // `waited_for` are workers that answer, but at which this stream waits.
  void StartMove(ActiveStream* stream, std::set<std::string> waited_for) {
    stream->moving = true;
    this->parts->runtime->Spawn([self = this->shared_from_this(), stream,
                                 id = stream->request_id,
                                 waited_for = std::move(waited_for)] {
      self->Move(stream, id, waited_for);
    });
  }

  // The path with unreachable and refusing parts replaced; empty if that cannot
  // be done.
  Path Replacement(const ActiveStream& stream,
                   const std::set<std::string>& refusing) const {
    RoutingState& world = *this->parts->routing_state;
    const Instant now = this->parts->runtime->Now();
    Path path;
    std::set<std::string> used = refusing;
    for (const PathStage& part : stream.path) {
      used.insert(part.worker);
    }
    for (const PathStage& part : stream.path) {
      if (!refusing.contains(part.worker) && this->CanKeep(part, now)) {
        path.push_back(part);
        continue;
      }
      if (path.empty()) {
        return {};  // the first worker holds the request
      }
      placement::PathQuery query;
      query.layers = part.layers;
      const auto* before = world.Servers().Find(path.back().worker);
      query.from_data_centre = before == nullptr ? world.Settings().data_centre
                                                 : before->data_centre;
      query.prompt_tokens = stream.prompt_tokens;
      query.answer_tokens = stream.answer_tokens;
      query.excluded = used;
      query.includes_first_stage = false;
      const auto found =
          world.FindPath(stream.service, *stream.model, query, now);
      if (found.has_error()) {
        return {};
      }
      for (const PathStage& replacement : found.value().path) {
        used.insert(replacement.worker);
        path.push_back(replacement);
      }
    }
    return path;
  }

  // A worker that is leaving goes on with what it has, but takes no part in a
  // new path.
  bool CanKeep(const PathStage& part, Instant now) const {
    const RoutingState& world = *this->parts->routing_state;
    const auto* server = world.Servers().Find(part.worker);
    return !world.IsUnreachable(part.worker, now) &&
           !world.IsRefusing(part.worker, now) &&
           (server == nullptr || !server->leaving);
  }

  void Move(ActiveStream* stream,
            const std::string& id,
            const std::set<std::string>& waited_for) {
    std::set<std::string> refusing = waited_for;
    for (int i = 0; i < kMostMoves; ++i) {
      if (!this->Alive(stream) || stream->request_id != id ||
          stream->path.empty()) {
        return;
      }
      const Path path = this->Replacement(*stream, refusing);
      if (path.empty()) {
        break;
      }
      if (path == stream->path) {
        stream->moving = false;
        return;
      }
      // Counted before the order is sent: other streams that are moved at the
      // same time must not all choose the same workers.
      const Path old = stream->path;
      this->Reserve(stream, path);
      io::HttpRequest order;
      order.method = "POST";
      order.path = platform::OrderPath();
      order.headers.Add("Content-Type", "application/json");
      order.body = platform::EncodeRepathOrder(id, path);
      const PathStage first = path.front();
      const auto answer = this->parts->http->Call(
          first.address, order, this->settings.report_timeout);
      if (!this->Alive(stream) || stream->request_id != id ||
          stream->path.empty()) {
        return;
      }
      if (answer.has_error()) {
        this->Reserve(stream, old);
        NoteUnreachable(*this->parts, first.worker, answer.error().detail);
        break;
      }
      const auto outcome = platform::OrderOutcomeOf(answer.value().status);
      this->parts->log->Info(
          "stream.moved",
          {{"request", id},
           {"from", DescribePath(old)},
           {"to", DescribePath(path)},
           {"status", answer.value().status},
           {"detail", answer.value().body.substr(0, kLoggedBody)}});
      if (outcome == platform::OrderOutcome::kAccepted ||
          outcome == platform::OrderOutcome::kAlreadyApplied) {
        this->parts->metrics->Count("chervil_streams_moved_total");
        stream->last_progress = this->parts->runtime->Now();
        stream->moved = true;
        stream->moving = false;
        return;
      }
      this->Reserve(stream, old);
      if (outcome != platform::OrderOutcome::kConflict) {
        break;
      }
      // A part that was kept may refuse as well: it is leaving, or has given
      // its layers up.
      refusing.merge(this->RefusingParts(path, answer.value()));
    }
    if (!this->Alive(stream)) {
      return;
    }
    stream->moving = false;
    if (!waited_for.empty()) {
      return;  // it may still go on where it is
    }
    if (stream->may_resume) {
      this->GiveUp(stream, "its path cannot be mended");
    } else {
      // Nothing else can finish it: keep hoping for the worker.
      stream->last_progress = this->parts->runtime->Now();
    }
  }

  void Reserve(ActiveStream* stream, const Path& path) {
    this->parts->routing_state->Loads().Remove(stream->path, stream->tokens);
    stream->path = path;
    this->parts->routing_state->Loads().Add(stream->path, stream->tokens);
  }

  std::set<std::string> RefusingParts(const Path& path,
                                      const io::HttpResponse& answer) {
    std::set<std::string> refusing;
    const auto named = platform::ReadRefusingWorker(answer);
    for (const PathStage& part : path) {
      if (named && part.address == *named) {
        refusing.insert(part.worker);
        this->parts->routing_state->StartCooldown(
            part.worker, routing::CooldownReason::kNotHolding,
            this->parts->runtime->Now());
      }
    }
    return refusing;
  }

  const RouterDependencies* parts;
  StreamRegistrySettings settings;
  std::set<ActiveStream*> streams;
  std::set<std::string> examined;  ///< workers whose report is asked for now
  std::map<std::string, Instant> answered;     ///< probed workers, lately
  std::map<std::string, Instant> examined_at;  ///< first workers, lately
  Instant last_look{};
  Instant last_stall{};  ///< this VM has stood still until then
  bool stopped = false;
};

StreamRegistry::StreamRegistry(std::shared_ptr<State> state)
    : state(std::move(state)) {}

StreamRegistry::~StreamRegistry() {
  this->state->stopped = true;
}

std::unique_ptr<StreamRegistry> StreamRegistry::Create(
    const RouterDependencies* parts,
    StreamRegistrySettings settings) {
  auto state = std::make_shared<State>(parts, settings);
  parts->runtime->Spawn([state] { state->Watch(); });
  return std::unique_ptr<StreamRegistry>(new StreamRegistry(std::move(state)));
}

void StreamRegistry::Add(ActiveStream* stream) {
  this->state->streams.insert(stream);
}

void StreamRegistry::Remove(ActiveStream* stream) {
  this->state->streams.erase(stream);
}

void StreamRegistry::VerifyWorker(const std::string& worker,
                                  std::string evidence,
                                  std::function<void()> on_dead) {
  this->state->parts->runtime->Spawn([state = this->state, worker,
                                      evidence = std::move(evidence),
                                      on_dead = std::move(on_dead)] {
    state->VerifyWorker(worker, evidence, on_dead);
  });
}

void StreamRegistry::OnPeerFoundUnreachable(const std::string& worker) {
  this->state->OnPeerFoundUnreachable(worker);
}

}  // namespace chervilpass::serving
