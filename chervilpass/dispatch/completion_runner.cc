#include "chervilpass/dispatch/completion_runner.h"

#include <fmt/format.h>

#include <map>

#include "chervilpass/dispatch/cell_queue.h"
#include "chervilpass/pipeline/decode_session.h"
#include "chervilpass/routing/cell_cache.h"

namespace chervilpass::dispatch {
namespace {

using admission::Executed;
using admission::Refusal;
using admission::RefusalCode;

constexpr Duration kRetryAfter = seconds(1);

// Outcome of one session.
enum class SessionResult {
  kDone,
  kFailed,
  kSuperseded,
  kCancelled,
  kQuarantined
};

// The chain that identical running requests share.
struct SharedChain {
  std::vector<std::string> workers;
  std::uint32_t users = 0;  // sessions on the chain
};

}  // namespace

struct CompletionRunner::State
    : std::enable_shared_from_this<CompletionRunner::State> {
  State(io::Runtime* runtime,
        MetricsRegistry* metrics,
        Logger log,
        std::shared_ptr<control::ViewSubscriber> view_subscriber,
        CompletionRunnerSettings settings)
      : runtime(runtime),
        metrics(metrics),
        log(std::move(log)),
        view_subscriber(std::move(view_subscriber)),
        settings(settings),
        strikes(quarantine::StrikeTrackerSettings{}) {}

  CellQueue& QueueOf(std::uint32_t cell) {
    auto& queue = this->queues[cell];
    if (queue == nullptr) {
      queue = std::make_unique<CellQueue>(this->runtime, this->settings.queue);
    }
    return *queue;
  }

  admission::AdaptiveConcurrencyLimit& LimitOf(std::uint32_t cell) {
    return this->limits.try_emplace(cell, this->settings.adaptive_limit)
        .first->second;
  }

  void HeartbeatLoop() {
    while (true) {
      this->runtime->SleepFor(this->settings.heartbeat_interval);
      for (const auto& [number, sink] : this->active) {
        sink->heartbeat();
      }
    }
  }

  // Adds the strikes of a view, which include those of other VMs. Skips strikes
  // that were cleared here.
  void ApplyStrikes(const membership::FleetView& view) {
    const WallTime now = this->runtime->WallNow();
    for (const quarantine::Strike& strike : view.strikes) {
      if (!this->cleared.contains(strike)) {
        this->strikes.Add(strike, now);
      }
    }
  }

  void OnCrash(const std::string& worker,
               const std::vector<std::uint64_t>& blamed) {
    for (const std::uint64_t fingerprint : blamed) {
      const quarantine::Strike strike{fingerprint, worker,
                                      this->runtime->WallNow()};
      this->strikes.Add(strike, strike.at);
      this->view_subscriber->ReportStrike(strike);
    }
  }

  // Clears the strikes of a suspect request that completed: it did not crash
  // its workers.
  void ClearSuspect(std::uint64_t fingerprint) {
    this->strikes.Clear(fingerprint);
    for (const quarantine::Strike& strike :
         this->view_subscriber->Current()->strikes) {
      if (strike.fingerprint == fingerprint) {
        this->cleared.insert(strike);
      }
    }
  }

  quarantine::QuarantineState QuarantineStateOf(std::uint64_t fingerprint) {
    return this->strikes.StateOf(fingerprint, this->runtime->WallNow());
  }

  Refusal QuarantinedRefusal(std::uint64_t fingerprint) {
    return {RefusalCode::kQuarantined, Executed::kUnknown,
            this->strikes.RetryAfter(fingerprint, this->runtime->WallNow()),
            "the request has crashed the backend servers that ran it"};
  }

  // The usable replicas of each stage of a cell.
  std::vector<pipeline::StageReplicas> ReplicasOf(
      const membership::FleetView& view,
      const routing::Cell& cell) {
    std::vector<pipeline::StageReplicas> stages;
    for (const routing::Stage& stage : cell.stages) {
      std::vector<config::Backend> backends;
      for (const std::string& id : stage.workers) {
        const auto backend = view.config->backends.find(id);
        if (backend != view.config->backends.end() &&
            view.AcceptsNewWork(backend->second)) {
          backends.push_back(backend->second);
        }
      }
      stages.push_back(this->workers->Replicas(backends));
    }
    return stages;
  }

  // Session capacity of a cell: the capacity of its smallest stage.
  static std::uint32_t CapacityOf(
      const std::vector<pipeline::StageReplicas>& stages) {
    std::uint32_t capacity = UINT32_MAX;
    for (const pipeline::StageReplicas& replicas : stages) {
      std::uint32_t sum = 0;
      for (const pipeline::ReplicaState& replica : replicas) {
        sum += replica.session_limit;
      }
      capacity = std::min(capacity, sum);
    }
    return stages.empty() ? 0 : capacity;
  }

  io::Runtime* runtime;
  MetricsRegistry* metrics;
  Logger log;
  std::shared_ptr<control::ViewSubscriber> view_subscriber;
  CompletionRunnerSettings settings;
  quarantine::StrikeTracker strikes;
  std::set<quarantine::Strike> cleared;  // strikes of requests that completed
  std::shared_ptr<WorkerPool> workers;
  std::map<std::uint32_t, std::unique_ptr<CellQueue>> queues;
  std::map<std::uint32_t, admission::AdaptiveConcurrencyLimit>
      limits;  // by cell
  routing::CellCache cells;
  std::map<std::uint64_t, SharedChain> shared_chains;       // by fingerprint
  std::map<std::uint64_t, const rpc::AttemptSink*> active;  // by attempt number
  std::uint64_t last_attempt_number = 0;
  std::set<std::uint64_t> running_suspects;  // fingerprints
};

namespace {

// Keeps an attempt registered for heartbeats while it is queued or running.
class ActiveAttempt {
 public:
  ActiveAttempt(CompletionRunner::State* state, const rpc::AttemptSink& sink)
      : state(state), number(++state->last_attempt_number) {
    state->active.emplace(this->number, &sink);
  }
  ~ActiveAttempt() { this->state->active.erase(this->number); }
  ActiveAttempt(const ActiveAttempt&) = delete;
  ActiveAttempt& operator=(const ActiveAttempt&) = delete;

 private:
  CompletionRunner::State* state;
  std::uint64_t number;
};

// Runs one admitted attempt on worker chains of its cell.
class SessionDriver {
 public:
  SessionDriver(CompletionRunner::State* state,
                const rpc::CompletionRequest& request,
                const routing::Cell& cell,
                const rpc::AttemptSink& sink,
                std::shared_ptr<rpc::CancelFlag> cancel,
                std::uint32_t priority)
      : state(state),
        request(request),
        cell(cell),
        sink(sink),
        cancel(std::move(cancel)),
        priority(priority),
        session({request.prompt, request.accepted, request.max_tokens,
                 request.epoch}) {}

  SessionResult Run() {
    for (std::uint32_t chains_tried = 0;
         chains_tried < this->state->settings.max_chains; ++chains_tried) {
      const quarantine::QuarantineState quarantine_state =
          this->state->QuarantineStateOf(this->request.fingerprint);
      if (quarantine_state == quarantine::QuarantineState::kQuarantined) {
        return SessionResult::kQuarantined;
      }
      this->owner = {this->request.fingerprint,
                     quarantine_state == quarantine::QuarantineState::kSuspect};
      // Copies of a suspect request must not run concurrently.
      if (this->owner.suspect &&
          !this->state->running_suspects.insert(this->request.fingerprint)
               .second) {
        return SessionResult::kFailed;
      }
      const auto chain = this->ChooseChain();
      const SessionResult result =
          chain ? this->RunChain(chain->workers) : SessionResult::kFailed;
      if (this->owner.suspect) {
        this->state->running_suspects.erase(this->request.fingerprint);
      }
      if (!chain) {
        return SessionResult::kFailed;
      }
      if (result != SessionResult::kFailed) {
        return result;
      }
    }
    return SessionResult::kFailed;
  }

  bool MayHaveRun() const { return this->steps_sent > 0; }
  bool WasSuspect() const { return this->owner.suspect; }
  std::uint32_t TokenCount() const {
    return static_cast<std::uint32_t>(this->session.Accepted().size());
  }

 private:
  std::optional<pipeline::ChainChoice> ChooseChain() {
    const auto view = this->state->view_subscriber->Current();
    const auto stages = this->state->ReplicasOf(*view, this->cell);
    auto choice = pipeline::ChooseChain(stages, this->owner.suspect);
    if (!choice) {
      this->state->log.Warning("place.none",
                               {{"request", this->request.request_id},
                                {"cell", fmt::format("{:08x}", this->cell.id)},
                                {"suspect", this->owner.suspect}});
      return std::nullopt;
    }
    this->JoinSharedChain(stages, &choice->workers);
    this->state->log.Info(
        "place.chain",
        {{"request", this->request.request_id},
         {"cell", fmt::format("{:08x}", this->cell.id)},
         {"epoch", this->session.Epoch()},
         {"chosen", fmt::format("{}", fmt::join(choice->workers, ">"))},
         {"weighed", pipeline::Describe(*choice)},
         {"reason", "lowest expected step time"}});
    return choice;
  }

  // Replaces the workers of `chain` by those that identical running requests
  // use, so that a request that crashes workers does not crash several replicas
  // of a stage.
  void JoinSharedChain(const std::vector<pipeline::StageReplicas>& stages,
                       std::vector<std::string>* chain) {
    const auto found =
        this->state->shared_chains.find(this->request.fingerprint);
    if (found == this->state->shared_chains.end() ||
        found->second.workers.size() != stages.size()) {
      return;
    }
    for (std::size_t i = 0; i < stages.size(); ++i) {
      for (const pipeline::ReplicaState& replica : stages[i]) {
        if (replica.worker == found->second.workers[i]) {
          (*chain)[i] = replica.worker;
        }
      }
    }
  }

  SessionResult RunChain(const std::vector<std::string>& chain) {
    SharedChain& shared = this->state->shared_chains[this->request.fingerprint];
    shared.workers = chain;
    ++shared.users;
    this->state->workers->PlaceSession(chain, this->owner);
    const SessionResult result = this->Drive(this->session.Start(chain));
    this->state->workers->RemoveSession(chain, this->owner);
    this->ReleaseCaches(chain, result);
    const auto found =
        this->state->shared_chains.find(this->request.fingerprint);
    if (--found->second.users == 0) {
      this->state->shared_chains.erase(found);
    }
    return result;
  }

  void ReleaseCaches(const std::vector<std::string>& chain,
                     SessionResult result) {
    // A newer attempt may still use the caches of a superseded or failed one.
    if (result == SessionResult::kSuperseded ||
        result == SessionResult::kFailed) {
      return;
    }
    const auto view = this->state->view_subscriber->Current();
    for (const std::string& id : chain) {
      const auto backend = view->config->backends.find(id);
      if (backend != view->config->backends.end()) {
        this->state->workers->ReleaseCache(backend->second,
                                           this->request.session);
      }
    }
  }

  // Executes the session's actions until the session ends, needs another chain
  // or is cancelled.
  SessionResult Drive(pipeline::SessionActions actions) {
    while (true) {
      std::optional<pipeline::StageStep> step;
      for (const pipeline::SessionAction& action : actions) {
        if (const auto* send = std::get_if<pipeline::SendStep>(&action)) {
          step = send->step;
        } else if (const auto* token =
                       std::get_if<pipeline::EmitToken>(&action)) {
          this->CountToken();
          this->sink.token(token->index, token->token);
        } else if (std::holds_alternative<pipeline::SessionDone>(action)) {
          return SessionResult::kDone;
        } else if (std::holds_alternative<pipeline::SessionSuperseded>(
                       action)) {
          return SessionResult::kSuperseded;
        } else {
          return SessionResult::kFailed;
        }
      }
      if (this->cancel->cancelled) {
        return SessionResult::kCancelled;
      }
      actions = this->RunStep(*step);
    }
  }

  // Counts a token and reports the time since the last one to the cell's
  // adaptive limit.
  void CountToken() {
    this->state->metrics->Increment("chervil_tokens_total");
    const Instant now = this->state->runtime->Now();
    if (this->last_token != Instant{}) {
      this->state->LimitOf(this->cell.id)
          .OnTokenInterval(now - this->last_token,
                           this->state->QueueOf(this->cell.id).Running(), now);
    }
    this->last_token = now;
  }

  pipeline::SessionActions RunStep(const pipeline::StageStep& step) {
    const auto view = this->state->view_subscriber->Current();
    const auto backend = view->config->backends.find(step.worker);
    if (backend == view->config->backends.end()) {
      return this->session.OnStageFailed(step.stage, step.epoch);
    }
    ++this->steps_sent;
    const auto answer = this->state->workers->RunStep(
        backend->second,
        {this->request.session, this->request.seed, this->priority, step},
        this->owner);
    if (answer.has_error()) {
      return this->session.OnStageFailed(step.stage, step.epoch);
    }
    return this->session.OnAnswer(answer.value());
  }

  CompletionRunner::State* state;
  const rpc::CompletionRequest& request;
  const routing::Cell& cell;
  const rpc::AttemptSink& sink;
  std::shared_ptr<rpc::CancelFlag> cancel;
  std::uint32_t priority;
  pipeline::DecodeSession session;
  StepOwner owner;
  std::uint64_t steps_sent = 0;
  Instant last_token{};  // Instant{} until the first token
};

}  // namespace

CompletionRunner::CompletionRunner(std::shared_ptr<State> state)
    : state(std::move(state)) {}

std::shared_ptr<CompletionRunner> CompletionRunner::Create(
    io::Runtime* runtime,
    MetricsRegistry* metrics,
    Logger log,
    std::shared_ptr<control::ViewSubscriber> view_subscriber,
    CompletionRunnerSettings settings) {
  auto state =
      std::make_shared<State>(runtime, metrics, log, view_subscriber, settings);
  State* raw = state.get();
  state->workers =
      WorkerPool::Create(runtime, metrics, log, settings.workers,
                         [raw](const std::string& worker,
                               const std::vector<std::uint64_t>& blamed) {
                           raw->OnCrash(worker, blamed);
                         });
  view_subscriber->OnChange(
      [raw](const membership::FleetView& view) { raw->ApplyStrikes(view); });
  runtime->Spawn([state] { state->HeartbeatLoop(); });
  return std::shared_ptr<CompletionRunner>(
      new CompletionRunner(std::move(state)));
}

rpc::CompletionOutcome CompletionRunner::Run(
    const rpc::CompletionRequest& request,
    const rpc::AttemptSink& sink,
    const std::shared_ptr<rpc::CancelFlag>& cancel) {
  State& state = *this->state;
  const auto view = state.view_subscriber->Current();
  if (view->config == nullptr) {
    return {Refusal{RefusalCode::kNotReady, Executed::kNo, kRetryAfter,
                    "no configuration is known yet"},
            0, 0};
  }
  const routing::Cell* known = routing::FindCell(
      state.cells.CellsOf(*view->config, request.pipeline), request.cell);
  if (known == nullptr) {
    return {Refusal{RefusalCode::kNoBackend, Executed::kNo, kRetryAfter,
                    "the cell is not known here"},
            0, 0};
  }
  const routing::Cell cell = *known;
  if (state.QuarantineStateOf(request.fingerprint) ==
      quarantine::QuarantineState::kQuarantined) {
    return {state.QuarantinedRefusal(request.fingerprint), 0, 0};
  }
  const config::TableRow row =
      view->config->RowOrDefault(request.organisation, request.pipeline);
  CellQueue& queue = state.QueueOf(request.cell);
  queue.SetCapacity(std::min(State::CapacityOf(state.ReplicasOf(*view, cell)),
                             state.LimitOf(request.cell).Limit()));
  const Instant arrived = state.runtime->Now();
  const auto with_load = [&queue](auto result) {
    return rpc::CompletionOutcome{
        std::move(result), queue.Running() + queue.Waiting(), queue.Capacity()};
  };
  if (queue.Capacity() == 0) {
    return with_load(Refusal{RefusalCode::kNoBackend, Executed::kNo,
                             kRetryAfter,
                             "a stage of the cell has no usable worker"});
  }
  // Sends heartbeats to the entry from here until the attempt ends.
  const ActiveAttempt active(&state, sink);
  const auto entered = queue.Enter(
      {0, request.organisation, row.weight, 0, row.priority,
       static_cast<double>(request.max_tokens), arrived + request.deadline});
  if (entered.has_error()) {
    state.log.Info("queue.refused", {{"request", request.request_id},
                                     {"cell", fmt::format("{:08x}", cell.id)},
                                     {"detail", entered.error().detail}});
    return with_load(entered.error());
  }
  const Instant started = state.runtime->Now();
  state.metrics->Observe("chervil_queue_wait_seconds", started - arrived);
  SessionDriver driver(&state, request, cell, sink, cancel, row.priority);
  const SessionResult result = driver.Run();
  queue.Leave(request.organisation, state.runtime->Now() - started);
  state.log.Info("session.ended", {{"request", request.request_id},
                                   {"tokens", driver.TokenCount()},
                                   {"end", static_cast<int>(result)}});
  const Executed executed =
      driver.MayHaveRun() ? Executed::kYes : Executed::kNo;
  switch (result) {
    case SessionResult::kDone:
      if (driver.WasSuspect()) {
        state.ClearSuspect(request.fingerprint);
      }
      return with_load(rpc::Finished{driver.TokenCount()});
    case SessionResult::kQuarantined:
      return with_load(state.QuarantinedRefusal(request.fingerprint));
    case SessionResult::kSuperseded:
    case SessionResult::kCancelled:
      return with_load(Refusal{RefusalCode::kTimedOut, executed, Duration(0),
                               "the attempt is no longer wanted"});
    case SessionResult::kFailed:
      break;
  }
  return with_load(Refusal{RefusalCode::kBackendFailed, executed, kRetryAfter,
                           "no chain of workers could finish the answer"});
}

std::size_t CompletionRunner::InFlight() const {
  return this->state->active.size();
}

}  // namespace chervilpass::dispatch
