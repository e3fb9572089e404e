#include "chervilpass/dispatch/worker_pool.h"

#include <boost/fiber/future.hpp>
#include <deque>
#include <map>
#include <set>

namespace chervilpass::dispatch {
namespace {

constexpr Duration kProbeTimeout = milliseconds(300);
constexpr Duration kReleaseTimeout = seconds(1);
constexpr Duration kReleaseDelay = milliseconds(20);  // to batch sessions

using StepResult = Result<pipeline::StepAnswer, engine::EngineError>;

struct QueuedStep {
  engine::EngineStep step;
  StepOwner owner;
  boost::fibers::promise<StepResult> answer;
};

using QueuedStepPtr = std::shared_ptr<QueuedStep>;

struct Worker {
  config::Backend backend;
  std::deque<QueuedStepPtr> queue;
  std::vector<std::string> sessions_to_release;
  bool release_scheduled = false;
  std::uint32_t batches_in_flight = 0;
  std::multiset<quarantine::RunningRequest> running;  // one for each step
  std::uint32_t sessions = 0;
  std::uint32_t suspect_sessions = 0;
  bool diagnosing_loss = false;
  std::string boot_id;  // of the engine process; empty until known
};

// Identifies the engine process: one that starts again can crash again.
std::string ProcessOf(const Worker& worker) {
  return worker.boot_id.empty() ? worker.backend.id
                                : worker.backend.id + "@" + worker.boot_id;
}

std::uint32_t SessionLimit(const config::Backend& backend) {
  const auto* stage = std::get_if<config::StageRole>(&backend.role);
  return stage == nullptr ? 0 : stage->session_limit;
}

}  // namespace

struct WorkerPool::State : std::enable_shared_from_this<WorkerPool::State> {
  State(io::Runtime* runtime,
        MetricsRegistry* metrics,
        Logger log,
        WorkerPoolSettings settings)
      : runtime(runtime),
        metrics(metrics),
        log(std::move(log)),
        settings(settings),
        client(runtime),
        health(settings.health) {}

  Worker& Get(const config::Backend& backend) {
    Worker& worker = this->workers[backend.id];
    worker.backend = backend;
    return worker;
  }

  // Sends queued steps in batches, of which at most `max_batches_in_flight` are
  // outstanding at a time. Further steps stay queued for the next batch.
  void SendBatches(Worker* worker) {
    while (!worker->queue.empty() &&
           worker->batches_in_flight < this->settings.max_batches_in_flight) {
      const std::size_t size = std::min<std::size_t>(
          this->settings.max_batch_steps, worker->queue.size());
      std::vector<QueuedStepPtr> batch(
          worker->queue.begin(),
          worker->queue.begin() + static_cast<std::ptrdiff_t>(size));
      worker->queue.erase(
          worker->queue.begin(),
          worker->queue.begin() + static_cast<std::ptrdiff_t>(size));
      ++worker->batches_in_flight;
      this->runtime->Spawn(
          [self = this->shared_from_this(), worker, batch = std::move(batch)] {
            self->RunBatch(worker, batch);
          });
    }
  }

  void RunBatch(Worker* worker, const std::vector<QueuedStepPtr>& batch) {
    std::vector<engine::EngineStep> steps;
    steps.reserve(batch.size());
    for (const QueuedStepPtr& queued : batch) {
      steps.push_back(queued->step);
      worker->running.insert(
          {queued->owner.fingerprint, queued->owner.suspect});
    }
    const Instant sent = this->runtime->Now();
    const auto answers = this->client.RunSteps(worker->backend.address, steps,
                                               this->settings.step_timeout);
    const Instant now = this->runtime->Now();
    if (answers.has_error()) {
      this->OnBatchFailed(worker, answers.error(), now);
    } else {
      this->health.OnSuccess(worker->backend.id, now - sent, now);
    }
    for (const QueuedStepPtr& queued : batch) {
      worker->running.erase(worker->running.find(
          {queued->owner.fingerprint, queued->owner.suspect}));
    }
    --worker->batches_in_flight;
    for (std::size_t i = 0; i < batch.size(); ++i) {
      batch[i]->answer.set_value(answers.has_error()
                                     ? StepResult(answers.error())
                                     : StepResult(answers.value()[i]));
    }
    this->SendBatches(worker);
  }

  void OnBatchFailed(Worker* worker,
                     const engine::EngineError& error,
                     Instant now) {
    this->metrics->Increment("chervil_step_failures_total");
    this->log.Warning("worker.batch-failed", {{"worker", worker->backend.id},
                                              {"detail", error.detail}});
    switch (error.code) {
      case engine::EngineErrorCode::kUnreachable:
        this->health.OnRefusedConnection(worker->backend.id, now);
        break;
      case engine::EngineErrorCode::kLost:
        this->DiagnoseConnectionLoss(worker, now);
        break;
      default:
        this->health.OnFailure(worker->backend.id, now);
        break;
    }
  }

  // Handles a connection that broke while steps were running. It counts as a
  // crash if no new connection can be established or a process with another
  // boot id answers, and as a network failure otherwise. The first batch that
  // fails reports the crash for all batches in flight, so that it is counted
  // once.
  void DiagnoseConnectionLoss(Worker* worker, Instant now) {
    if (worker->diagnosing_loss) {
      this->health.OnRefusedConnection(worker->backend.id, now);
      return;
    }
    worker->diagnosing_loss = true;
    const std::vector<quarantine::RunningRequest> running(
        worker->running.begin(), worker->running.end());
    const std::string process = ProcessOf(*worker);
    const auto load =
        this->client.ReadLoad(worker->backend.address, kProbeTimeout);
    worker->diagnosing_loss = false;
    const bool unreachable =
        load.has_error() &&
        load.error().code == engine::EngineErrorCode::kUnreachable;
    const bool restarted = load.has_value() && !worker->boot_id.empty() &&
                           load.value().boot_id != worker->boot_id;
    if (load.has_value()) {
      worker->boot_id = load.value().boot_id;
    }
    if (!unreachable && !restarted) {
      this->health.OnFailure(worker->backend.id, now);
      return;
    }
    if (unreachable) {
      worker->boot_id.clear();
      this->health.OnRefusedConnection(worker->backend.id, now);
    }
    const auto blamed = quarantine::BlameForCrash(running);
    this->metrics->Increment("chervil_worker_crashes_total");
    this->log.Warning("worker.crashed", {{"worker", worker->backend.id},
                                         {"running", running.size()},
                                         {"blamed", blamed.size()}});
    this->on_crash(process, blamed);
  }

  // Reads the boot id of the worker's process, to detect a later restart.
  void FetchBootId(Worker* worker) {
    this->runtime->Spawn([self = this->shared_from_this(), worker] {
      const auto load =
          self->client.ReadLoad(worker->backend.address, kProbeTimeout);
      if (load.has_value() && worker->boot_id.empty()) {
        worker->boot_id = load.value().boot_id;
      }
    });
  }

  void SendReleases(Worker* worker) {
    worker->release_scheduled = false;
    const std::vector<std::string> sessions =
        std::move(worker->sessions_to_release);
    worker->sessions_to_release.clear();
    const auto released = this->client.ReleaseSessions(
        worker->backend.address, sessions, kReleaseTimeout);
    if (released.has_error()) {
      this->log.Debug("worker.release-failed",
                      {{"worker", worker->backend.id},
                       {"detail", released.error().detail}});
    }
  }

  io::Runtime* runtime;
  MetricsRegistry* metrics;
  Logger log;
  WorkerPoolSettings settings;
  engine::EngineClient client;
  routing::WorkerHealth health;
  std::map<std::string, Worker> workers;
  std::function<void(const std::string&, const std::vector<std::uint64_t>&)>
      on_crash;
};

WorkerPool::WorkerPool(std::shared_ptr<State> state)
    : state(std::move(state)) {}

std::shared_ptr<WorkerPool> WorkerPool::Create(
    io::Runtime* runtime,
    MetricsRegistry* metrics,
    Logger log,
    WorkerPoolSettings settings,
    std::function<void(const std::string&, const std::vector<std::uint64_t>&)>
        on_crash) {
  auto state =
      std::make_shared<State>(runtime, metrics, std::move(log), settings);
  state->on_crash = std::move(on_crash);
  return std::shared_ptr<WorkerPool>(new WorkerPool(std::move(state)));
}

StepResult WorkerPool::RunStep(const config::Backend& backend,
                               const engine::EngineStep& step,
                               const StepOwner& owner) {
  Worker& worker = this->state->Get(backend);
  auto queued = std::make_shared<QueuedStep>();
  queued->step = step;
  queued->owner = owner;
  auto answer = queued->answer.get_future();
  worker.queue.push_back(std::move(queued));
  this->state->SendBatches(&worker);
  return answer.get();
}

void WorkerPool::PlaceSession(const std::vector<std::string>& chain,
                              const StepOwner& owner) {
  for (const std::string& id : chain) {
    Worker& worker = this->state->workers[id];
    ++worker.sessions;
    worker.suspect_sessions += owner.suspect ? 1 : 0;
    if (worker.boot_id.empty()) {
      this->state->FetchBootId(&worker);
    }
  }
}

void WorkerPool::RemoveSession(const std::vector<std::string>& chain,
                               const StepOwner& owner) {
  for (const std::string& id : chain) {
    Worker& worker = this->state->workers[id];
    --worker.sessions;
    worker.suspect_sessions -= owner.suspect ? 1 : 0;
  }
}

void WorkerPool::ReleaseCache(const config::Backend& backend,
                              const std::string& session) {
  Worker& worker = this->state->Get(backend);
  worker.sessions_to_release.push_back(session);
  if (worker.release_scheduled) {
    return;
  }
  worker.release_scheduled = true;
  this->state->runtime->Spawn([state = this->state, worker = &worker] {
    state->runtime->SleepFor(kReleaseDelay);
    state->SendReleases(worker);
  });
}

pipeline::StageReplicas WorkerPool::Replicas(
    const std::vector<config::Backend>& backends) {
  std::vector<std::string> ids;
  for (const config::Backend& backend : backends) {
    ids.push_back(backend.id);
    this->state->Get(backend);
  }
  pipeline::StageReplicas replicas;
  for (const std::string& id :
       this->state->health.Usable(ids, this->state->runtime->Now())) {
    const Worker& worker = this->state->workers[id];
    replicas.push_back({id, worker.sessions, SessionLimit(worker.backend),
                        this->state->health.StepTime(id),
                        worker.suspect_sessions > 0});
  }
  return replicas;
}

}  // namespace chervilpass::dispatch
