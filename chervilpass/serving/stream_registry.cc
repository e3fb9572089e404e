#include "chervilpass/serving/stream_registry.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

#include "platform/worker_decoder.h"

namespace chervilpass::serving {
namespace {

using placement::Path;
using placement::PathPart;

constexpr std::size_t kLoggedBody = 160;  // bytes of an answer
constexpr int kMostMoves = 3;             // orders for one fault of one stream

}  // namespace

struct StreamRegistry::State
    : std::enable_shared_from_this<StreamRegistry::State> {
  State(const RouterParts* parts, StreamRegistrySettings settings)
      : parts(parts), settings(settings) {}

  void Watch() {
    while (!this->stopped) {
      this->parts->runtime->SleepFor(this->settings.tick);
      this->LookAtAll();
    }
  }

  // True if the stream is still in progress; it may have ended during a wait.
  bool Alive(const ActiveStream* stream) const {
    return this->streams.contains(const_cast<ActiveStream*>(stream));
  }

  void LookAtAll() {
    const Instant now = this->parts->runtime->Now();
    for (ActiveStream* stream : this->streams) {
      if (stream->path.empty() || stream->moving || stream->scope->Ended()) {
        continue;
      }
      const Duration silent = now - stream->last_progress;
      const Duration limit = stream->first_event_seen || stream->moved
                                 ? this->settings.event_gap
                                 : this->settings.first_event_gap;
      if (silent < limit) {
        continue;
      }
      if (this->HasUnreachablePart(*stream, now)) {
        this->StartMove(stream, {});
      } else if (silent >= this->settings.give_up_gap && stream->resumable) {
        this->GiveUp(stream, "no event for too long");
      } else {
        this->StartExamining(stream->path.front());
      }
    }
  }

  bool HasUnreachablePart(const ActiveStream& stream, Instant now) const {
    return std::any_of(
        stream.path.begin(), stream.path.end(), [&](const PathPart& part) {
          return this->parts->world->IsUnreachable(part.worker, now);
        });
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
  void StartExamining(const PathPart& first) {
    if (!this->examined.insert(first.worker).second) {
      return;
    }
    this->parts->runtime->Spawn(
        [self = this->shared_from_this(), first] { self->Examine(first); });
  }

  void Examine(const PathPart& first) {
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
      for (const PathPart& part : stream->path) {
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
    const auto* server = this->parts->world->Servers().Find(worker);
    if (server == nullptr) {
      return false;
    }
    io::HttpRequest request;
    request.path = platform::ReportPath();
    const auto answer = this->parts->http->Call(server->address, request,
                                                this->settings.report_timeout,
                                                io::ConnectionUse::kFresh);
    return answer.has_value() && answer.value().status == 200;
  }

  void AvoidAsFull(const std::string& worker) {
    this->parts->world->Avoid(worker, routing::AvoidReason::kFull,
                              this->parts->runtime->Now());
  }

  void Suspect(const std::string& worker,
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
    World& world = *this->parts->world;
    const Instant now = this->parts->runtime->Now();
    Path path;
    std::set<std::string> used = refusing;
    for (const PathPart& part : stream.path) {
      used.insert(part.worker);
    }
    for (const PathPart& part : stream.path) {
      if (!world.IsUnreachable(part.worker, now) &&
          !refusing.contains(part.worker)) {
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
      query.first_part_included = false;
      const auto found =
          world.FindPath(stream.service, *stream.model, query, now);
      if (found.has_error()) {
        return {};
      }
      for (const PathPart& replacement : found.value().path) {
        used.insert(replacement.worker);
        path.push_back(replacement);
      }
    }
    return path;
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
      const PathPart first = path.front();
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
      if (outcome == platform::OrderOutcome::kBegun ||
          outcome == platform::OrderOutcome::kHolds) {
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
    if (stream->resumable) {
      this->GiveUp(stream, "its path cannot be mended");
    } else {
      // Nothing else can finish it: keep hoping for the worker.
      stream->last_progress = this->parts->runtime->Now();
    }
  }

  void Reserve(ActiveStream* stream, const Path& path) {
    this->parts->world->Loads().Remove(stream->path, stream->tokens);
    stream->path = path;
    this->parts->world->Loads().Add(stream->path, stream->tokens);
  }

  std::set<std::string> RefusingParts(const Path& path,
                                      const io::HttpResponse& answer) {
    std::set<std::string> refusing;
    const auto named = platform::ReadRefusingWorker(answer);
    for (const PathPart& part : path) {
      if (named && part.address == *named) {
        refusing.insert(part.worker);
        this->parts->world->Avoid(part.worker,
                                  routing::AvoidReason::kNotHolding,
                                  this->parts->runtime->Now());
      }
    }
    return refusing;
  }

  const RouterParts* parts;
  StreamRegistrySettings settings;
  std::set<ActiveStream*> streams;
  std::set<std::string> examined;  ///< workers whose report is asked for now
  bool stopped = false;
};

StreamRegistry::StreamRegistry(std::shared_ptr<State> state)
    : state(std::move(state)) {}

StreamRegistry::~StreamRegistry() {
  this->state->stopped = true;
}

std::unique_ptr<StreamRegistry> StreamRegistry::Create(
    const RouterParts* parts,
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

void StreamRegistry::Suspect(const std::string& worker,
                             std::string evidence,
                             std::function<void()> on_dead) {
  this->state->parts->runtime->Spawn([state = this->state, worker,
                                      evidence = std::move(evidence),
                                      on_dead = std::move(on_dead)] {
    state->Suspect(worker, evidence, on_dead);
  });
}

std::size_t StreamRegistry::Count() const {
  return this->state->streams.size();
}

}  // namespace chervilpass::serving
