// Simulates one completion under faults, with the state machines of entries and
// dispatchers and the stand-in engines.
#include <fmt/format.h>

#include <memory>

#include "chervilpass/pipeline/decode_session.h"
#include "chervilpass/routing/completion_flow.h"
#include "fault_tests/schedule.h"
#include "stand_ins/engine/engine_model.h"
#include "stand_ins/model/reference_model.h"

namespace chervilpass::fault_tests {
namespace {

using admission::Executed;
using admission::Refusal;
using admission::RefusalCode;
using stand_ins::EngineModel;

constexpr std::uint32_t kStages = 3;
constexpr std::uint32_t kReplicas = 2;
constexpr std::uint32_t kDispatchers = 3;
constexpr std::uint32_t kEntries = 3;
constexpr std::uint32_t kLayersPerStage = 2;
constexpr std::uint32_t kAnswerTokens = 4;
constexpr std::uint64_t kModelSeed = 77;
constexpr Duration kFreezeTime = seconds(4);
constexpr Duration kCutTime = milliseconds(700);
constexpr Duration kSlowTime = seconds(2);
constexpr Duration kStepTimeout = milliseconds(1500);
constexpr Duration kTickInterval = milliseconds(50);
constexpr Duration kCallerTimeout = seconds(90);
constexpr std::uint32_t kMaxChains = 6;
// High enough that the caller reconnects for the whole schedule.
constexpr std::uint32_t kMaxReconnects = 4000;

// Runs a step on an engine without the check that the sabotage disables.
std::string RunWithSabotage(EngineModel* engine,
                            stand_ins::StepRequest request,
                            Sabotage sabotage,
                            stand_ins::StepResult* result) {
  *result = engine->Run(request);
  const bool skip_check =
      (sabotage == Sabotage::kEpochsIgnored &&
       result->status == "stale_epoch") ||
      (sabotage == Sabotage::kPositionsIgnored &&
       (result->status == "wrong_position" || result->status == "stale_epoch"));
  if (skip_check) {
    // Sets the cache to the step's epoch and position, then runs the step.
    auto cache = engine->Export(request.session);
    if (!cache) {
      request.position = 0;
      *result = engine->Run(request);
    } else {
      cache->epoch = request.epoch;
      cache->next_position = request.position;
      engine->Release(request.session);
      engine->Import(request.session, *cache);
      *result = engine->Run(request);
    }
  }
  return result->status;
}

struct Engine {
  Process process;
  EngineModel model;
  std::uint64_t steps = 0;
};

class Simulation {
 public:
  Simulation(std::uint64_t seed,
             const std::vector<PlannedFault>& faults,
             Sabotage sabotage)
      : loop(seed),
        network(&this->loop),
        sabotage(sabotage),
        plan(faults, [this](Fault fault) { this->Inject(fault); }),
        prompt({1, 2, 3}) {
    for (std::uint32_t stage = 0; stage < kStages; ++stage) {
      for (std::uint32_t replica = 0; replica < kReplicas; ++replica) {
        this->engines.push_back(std::make_unique<Engine>(
            Engine{{},
                   EngineModel(stage * kLayersPerStage,
                               (stage + 1) * kLayersPerStage - 1, 64),
                   0}));
      }
    }
  }

  ScheduleResult Run() {
    this->Connect();
    this->loop.RunUntil(Instant{} + kCallerTimeout + seconds(30));
    ScheduleResult result;
    result.fault_injected = this->plan.FirstInjected();
    result.violation = this->FindViolation();
    return result;
  }

 private:
  // ---- the caller ----

  void Connect() {
    if (this->caller_gone || this->answered ||
        this->reconnects > kMaxReconnects) {
      return;
    }
    const std::uint32_t number = this->reconnects++ % kEntries;
    this->StartEntryRun(number, /*from_caller=*/true);
  }

  void OnCallerToken(std::uint32_t run,
                     std::uint32_t index,
                     std::uint32_t token) {
    if (run == this->caller_run) {
      (void)index;
      this->received.push_back(token);
    }
  }

  void OnCallerEnd(std::uint32_t run, std::optional<Refusal> refusal) {
    if (run == this->caller_run && !this->answered) {
      this->answered = true;
      this->refusal = std::move(refusal);
    }
  }

  // ---- entries ----

  struct EntryRun {
    std::uint32_t number = 0;
    Process* entry = nullptr;
    std::string session;
    std::unique_ptr<routing::CompletionFlow> flow;
    std::uint32_t dispatcher = 0;
    bool started = false;
    bool ended = false;
  };

  // Starts a run on an entry. The caller receives the answer of the latest run
  // with `from_caller`; any other run is a duplicate of the caller's request.
  void StartEntryRun(std::uint32_t entry, bool from_caller) {
    auto run = std::make_shared<EntryRun>();
    run->number = ++this->runs;
    run->entry = &this->entry_processes[entry];
    run->session = fmt::format("r#{}", run->number);
    run->dispatcher = entry % kDispatchers;
    routing::CompletionFlowSettings settings;
    settings.max_tokens = kAnswerTokens;
    settings.deadline = this->loop.Now() + seconds(60);
    settings.stall_timeout =
        this->sabotage == Sabotage::kNoStallTimer ? seconds(3600) : seconds(1);
    if (this->sabotage == Sabotage::kNoStallTimer) {
      settings.deadline = this->loop.Now() + seconds(3600);
    }
    if (from_caller) {
      this->caller_run = run->number;
      this->caller_entry = run->entry;
      settings.accepted = this->received;
    }
    run->flow =
        std::make_unique<routing::CompletionFlow>(settings, &this->budget);
    this->network.Send(
        run->entry,
        [this, run] {
          if (run->started) {
            return;  // A duplicate message must not start a second run.
          }
          run->started = true;
          this->plan.OnStepReached(Step::kAccepted);
          this->Apply(run, run->flow->Start(this->loop.Now()));
          this->Tick(run);
        },
        [this, run] { this->OnEntryLost(run); });
  }

  void OnEntryLost(const std::shared_ptr<EntryRun>& run) {
    if (run->number == this->caller_run && !run->ended) {
      run->ended = true;
      this->loop.RunAfter(milliseconds(20), [this] { this->Connect(); });
    }
  }

  void Tick(const std::shared_ptr<EntryRun>& run) {
    this->loop.RunAfter(kTickInterval, [this, run] {
      if (run->ended) {
        return;
      }
      if (!run->entry->alive) {
        return this->OnEntryLost(run);
      }
      if (this->loop.Now() >= run->entry->frozen_until) {
        this->Apply(run, run->flow->OnTick(this->loop.Now()));
      } else if (this->loop.Now() + seconds(1) < run->entry->frozen_until &&
                 run->number == this->caller_run) {
        // The caller notices the silence and reconnects to another entry.
        return this->OnEntryLost(run);
      }
      this->Tick(run);
    });
  }

  void Apply(const std::shared_ptr<EntryRun>& run,
             const routing::CompletionActions& actions) {
    for (const routing::CompletionAction& action : actions) {
      if (const auto* start = std::get_if<routing::StartAttempt>(&action)) {
        this->StartAttempt(run, *start);
      } else if (const auto* token =
                     std::get_if<routing::DeliverToken>(&action)) {
        this->plan.OnStepReached(token->index + 1 == kAnswerTokens
                                     ? Step::kLastToken
                                     : Step::kTokenInFlight);
        this->OnCallerToken(run->number, token->index, token->token);
      } else if (std::holds_alternative<routing::CompleteAnswer>(action)) {
        run->ended = true;
        this->plan.OnStepReached(Step::kAnswerSent);
        this->OnCallerEnd(run->number, std::nullopt);
      } else if (const auto* refuse =
                     std::get_if<routing::RefuseAnswer>(&action)) {
        run->ended = true;
        Refusal refusal = refuse->refusal;
        if (this->sabotage == Sabotage::kUntruthfulRefusal) {
          refusal.executed = Executed::kNo;
        }
        this->OnCallerEnd(run->number, refusal);
      }
      // Cancellations are ignored: an attempt that keeps running is the harder
      // case, and a real attempt also runs until its dispatcher receives the
      // cancellation.
    }
  }

  // ---- dispatchers ----

  struct Attempt {
    std::shared_ptr<EntryRun> run;
    std::uint32_t number = 0;
    std::uint32_t dispatcher = 0;
    std::unique_ptr<pipeline::DecodeSession> session;
    std::uint32_t chains = 0;
    std::uint64_t last_step = 0;
    bool ended = false;
    bool sent = false;
  };

  void StartAttempt(const std::shared_ptr<EntryRun>& run,
                    const routing::StartAttempt& start) {
    run->dispatcher =
        (run->dispatcher + (start.attempt > 1 ? 1 : 0)) % kDispatchers;
    auto attempt = std::make_shared<Attempt>();
    attempt->run = run;
    attempt->number = start.attempt;
    attempt->dispatcher = run->dispatcher;
    attempt->session = std::make_unique<pipeline::DecodeSession>(
        pipeline::DecodeSessionSettings{this->prompt, run->flow->Accepted(),
                                        kAnswerTokens, start.epoch});
    this->network.Send(
        &this->dispatch_processes[attempt->dispatcher],
        [this, attempt] {
          if (attempt->chains > 0) {
            return;  // A duplicate message must not start a second attempt.
          }
          this->plan.OnStepReached(Step::kQueued);
          this->Heartbeat(attempt);
          this->PlaceChain(attempt);
        },
        [this, attempt] {
          this->SendToEntry(attempt, [this, attempt] {
            this->Apply(attempt->run, attempt->run->flow->OnAttemptLost(
                                          attempt->number, this->loop.Now()));
          });
        });
    if (this->disagreement) {
      // A second dispatcher also considers itself the cell's owner. It uses the
      // upper half of the attempt's epochs.
      this->disagreement = false;
      auto duplicate = std::make_shared<Attempt>();
      duplicate->run = run;
      duplicate->number = start.attempt;
      duplicate->dispatcher = (attempt->dispatcher + 1) % kDispatchers;
      duplicate->session = std::make_unique<pipeline::DecodeSession>(
          pipeline::DecodeSessionSettings{this->prompt, run->flow->Accepted(),
                                          kAnswerTokens, start.epoch + 512});
      this->network.Send(&this->dispatch_processes[duplicate->dispatcher],
                         [this, duplicate] {
                           if (duplicate->chains == 0) {
                             this->PlaceChain(duplicate);
                           }
                         });
    }
  }

  void SendToEntry(const std::shared_ptr<Attempt>& attempt,
                   std::function<void()> deliver) {
    this->network.Send(attempt->run->entry, [attempt, deliver] {
      if (!attempt->run->ended) {
        deliver();
      }
    });
  }

  bool IsDispatcherRunning(const std::shared_ptr<Attempt>& attempt) const {
    const Process& process = this->dispatch_processes[attempt->dispatcher];
    return process.alive && this->loop.Now() >= process.frozen_until;
  }

  void Heartbeat(const std::shared_ptr<Attempt>& attempt) {
    this->loop.RunAfter(milliseconds(250), [this, attempt] {
      if (attempt->ended || attempt->run->ended) {
        return;
      }
      if (!this->dispatch_processes[attempt->dispatcher].alive) {
        // The entry sees the broken connection.
        attempt->ended = true;
        return this->SendToEntry(attempt, [this, attempt] {
          this->Apply(attempt->run, attempt->run->flow->OnAttemptLost(
                                        attempt->number, this->loop.Now()));
        });
      }
      if (this->IsDispatcherRunning(attempt)) {
        this->SendToEntry(attempt, [this, attempt] {
          this->Apply(attempt->run, attempt->run->flow->OnHeartbeat(
                                        attempt->number, this->loop.Now()));
        });
      }
      this->Heartbeat(attempt);
    });
  }

  void PlaceChain(const std::shared_ptr<Attempt>& attempt) {
    if (++attempt->chains > kMaxChains) {
      return this->RefuseAttempt(attempt, RefusalCode::kBackendFailed);
    }
    std::vector<std::string> chain;
    for (std::uint32_t stage = 0; stage < kStages; ++stage) {
      std::vector<std::uint32_t> alive;
      for (std::uint32_t replica = 0; replica < kReplicas; ++replica) {
        const std::uint32_t index = stage * kReplicas + replica;
        if (this->engines[index]->process.alive) {
          alive.push_back(index);
        }
      }
      if (alive.empty()) {
        return this->RefuseAttempt(attempt, RefusalCode::kNoBackend);
      }
      chain.push_back(
          std::to_string(alive[this->loop.random.Below(alive.size())]));
    }
    this->plan.OnStepReached(Step::kBeforeFirstByte);
    this->ApplySessionActions(attempt, attempt->session->Start(chain));
  }

  void RefuseAttempt(const std::shared_ptr<Attempt>& attempt,
                     RefusalCode code) {
    attempt->ended = true;
    const Refusal refusal{code, attempt->sent ? Executed::kYes : Executed::kNo,
                          seconds(1), "no chain"};
    this->SendToEntry(attempt, [this, attempt, refusal] {
      this->Apply(attempt->run,
                  attempt->run->flow->OnRefused(attempt->number, refusal,
                                                this->loop.Now()));
    });
  }

  void ApplySessionActions(const std::shared_ptr<Attempt>& attempt,
                           const pipeline::SessionActions& actions) {
    for (const pipeline::SessionAction& action : actions) {
      if (const auto* send = std::get_if<pipeline::SendStep>(&action)) {
        this->SendStep(attempt, send->step);
      } else if (const auto* token =
                     std::get_if<pipeline::EmitToken>(&action)) {
        const std::uint32_t index = token->index;
        const std::uint32_t value = token->token;
        this->SendToEntry(attempt, [this, attempt, index, value] {
          if (this->sabotage == Sabotage::kAnyTokenAccepted) {
            this->OnCallerToken(attempt->run->number, index, value);
          }
          this->Apply(attempt->run,
                      attempt->run->flow->OnToken(attempt->number, index, value,
                                                  this->loop.Now()));
        });
      } else if (std::holds_alternative<pipeline::SessionDone>(action)) {
        attempt->ended = true;
        // The outcome follows the tokens on the same connection; the delay is
        // longer than that of a reordered token.
        this->loop.RunAfter(milliseconds(40), [this, attempt] {
          this->SendToEntry(attempt, [this, attempt] {
            this->Apply(attempt->run,
                        attempt->run->flow->OnFinished(
                            attempt->number, kAnswerTokens, this->loop.Now()));
          });
        });
      } else if (std::holds_alternative<pipeline::NeedChain>(action)) {
        this->PlaceChain(attempt);
      } else {
        attempt->ended = true;  // Superseded by a newer epoch.
        this->RefuseAttempt(attempt, RefusalCode::kTimedOut);
      }
    }
  }

  void SendStep(const std::shared_ptr<Attempt>& attempt,
                const pipeline::StageStep& step) {
    attempt->sent = true;
    this->plan.OnStepReached(step.position == 0 ? Step::kPrefill
                                                : Step::kStageStep);
    Engine* engine = this->engines[std::stoul(step.worker)].get();
    const auto fail = [this, attempt, step] {
      if (!attempt->ended && this->IsDispatcherRunning(attempt)) {
        this->ApplySessionActions(
            attempt, attempt->session->OnStageFailed(step.stage, step.epoch));
      }
    };
    // A step without an answer times out.
    const std::uint64_t number = ++attempt->last_step;
    this->loop.RunAfter(kStepTimeout, [attempt, step, number, fail] {
      if (attempt->last_step == number) {
        fail();
      }
    });
    this->network.Send(
        &engine->process,
        [this, attempt, step, engine, fail] {
          stand_ins::StepResult result;
          const std::string status =
              RunWithSabotage(&engine->model,
                              {attempt->run->session, step.epoch, step.position,
                               kModelSeed, 0, step.sample, step.values},
                              this->sabotage, &result);
          engine->steps += status == "ok" ? 1 : 0;
          ++this->steps_run;
          this->network.Send(
              &this->dispatch_processes[attempt->dispatcher],
              [this, attempt, step, result] {
                this->OnStepAnswer(attempt, step, result);
              },
              fail);
        },
        fail);
  }

  void OnStepAnswer(const std::shared_ptr<Attempt>& attempt,
                    const pipeline::StageStep& step,
                    const stand_ins::StepResult& result) {
    if (attempt->ended) {
      return;
    }
    pipeline::StepAnswer answer{step.stage,    step.epoch,
                                step.position, pipeline::StepStatus::kOk,
                                result.values, result.token};
    if (result.status == "stale_epoch") {
      answer.status = pipeline::StepStatus::kStaleEpoch;
    } else if (result.status == "wrong_position") {
      answer.status = pipeline::StepStatus::kWrongPosition;
    } else if (result.status == "busy") {
      answer.status = pipeline::StepStatus::kBusy;
    }
    this->ApplySessionActions(attempt, attempt->session->OnAnswer(answer));
  }

  // ---- faults ----

  void Inject(Fault fault) {
    const Instant now = this->loop.Now();
    const auto pick_dispatcher = [this]() -> Process& {
      return this->dispatch_processes[this->loop.random.Below(2)];
    };
    switch (fault) {
      case Fault::kKillEntry:
        this->caller_entry->alive = false;
        break;
      case Fault::kFreezeEntry:
        this->caller_entry->frozen_until = now + kFreezeTime;
        break;
      case Fault::kKillDispatch:
        pick_dispatcher().alive = false;
        break;
      case Fault::kFreezeDispatch:
        pick_dispatcher().frozen_until = now + kFreezeTime;
        break;
      case Fault::kKillBackend: {
        // Kills one replica of a stage and loses its caches; a new process
        // replaces it after 3 s.
        Engine* engine =
            this->engines[this->loop.random.Below(this->engines.size())].get();
        engine->process.alive = false;
        const auto index = static_cast<std::uint32_t>(std::distance(
            this->engines.begin(),
            std::find_if(
                this->engines.begin(), this->engines.end(),
                [engine](const auto& e) { return e.get() == engine; })));
        const std::uint32_t stage = index / kReplicas;
        this->loop.RunAfter(seconds(3), [engine, stage] {
          engine->model = EngineModel(stage * kLayersPerStage,
                                      (stage + 1) * kLayersPerStage - 1, 64);
          engine->process.alive = true;
        });
        break;
      }
      case Fault::kFreezeBackend:
        this->engines[this->loop.random.Below(this->engines.size())]
            ->process.frozen_until = now + kFreezeTime;
        break;
      case Fault::kCutLink:
        this->network.cut_until = now + kCutTime;
        break;
      case Fault::kSlowLink:
      case Fault::kPlatformSlow:
        this->network.slow_until = now + kSlowTime;
        break;
      case Fault::kReorder:
        this->network.reorder = true;
        break;
      case Fault::kRepeat:
        this->network.repeat = true;
        break;
      case Fault::kPlatformDown:
      case Fault::kPlatformAnswerLost:
        break;  // Completions do not use the platform.
      case Fault::kOwnershipDisagreement:
        this->disagreement = true;
        break;
      case Fault::kCallerGone:
        this->caller_gone = true;
        break;
      case Fault::kCallerRetries:
        this->StartEntryRun(1, /*from_caller=*/false);
        break;
    }
  }

  // ---- checks of what the caller and the engines recorded ----

  std::optional<Violation> FindViolation() const {
    const auto expected = stand_ins::ReferenceAnswer(
        kStages * kLayersPerStage, this->prompt, kModelSeed, kAnswerTokens);
    const std::size_t size = std::min(expected.size(), this->received.size());
    if (!std::equal(this->received.begin(),
                    this->received.begin() + static_cast<std::ptrdiff_t>(size),
                    expected.begin()) ||
        this->received.size() > expected.size()) {
      return Violation{"answer",
                       "the tokens differ from the reference model's"};
    }
    if (this->caller_gone) {
      return std::nullopt;
    }
    if (!this->answered) {
      return Violation{"answered",
                       "the caller received neither an answer nor a refusal"};
    }
    if (!this->refusal && this->received.size() != expected.size()) {
      return Violation{"whole", "the answer ended before its last token"};
    }
    if (this->refusal && this->refusal->executed == Executed::kNo &&
        this->steps_run > 0) {
      return Violation{"truthful",
                       "the refusal says 'not run', but engines ran steps"};
    }
    return std::nullopt;
  }

  EventLoop loop;
  Network network;
  Sabotage sabotage;
  FaultPlan plan;
  std::vector<std::uint32_t> prompt;
  std::vector<std::unique_ptr<Engine>> engines;
  Process entry_processes[kEntries];
  Process dispatch_processes[kDispatchers];
  routing::RetryBudget budget{routing::RetryBudgetSettings{}};
  Process* caller_entry = nullptr;
  std::uint32_t runs = 0;
  std::uint32_t caller_run = 0;
  std::uint32_t reconnects = 0;
  std::vector<std::uint32_t> received;
  bool answered = false;
  bool caller_gone = false;
  bool disagreement = false;  ///< start the next attempt on two dispatchers
  std::optional<Refusal> refusal;
  std::uint64_t steps_run = 0;
};

}  // namespace

ScheduleResult RunCompletionSchedule(std::uint64_t seed,
                                     const std::vector<PlannedFault>& faults,
                                     Sabotage sabotage) {
  return Simulation(seed, faults, sabotage).Run();
}

}  // namespace chervilpass::fault_tests
