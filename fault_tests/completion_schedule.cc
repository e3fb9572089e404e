// One completion through the state machines of entry and dispatcher and the
// stand-in engines, under faults.
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
constexpr std::uint32_t kTokens = 4;
constexpr std::uint64_t kModelSeed = 77;
constexpr Duration kFreeze = seconds(4);
constexpr Duration kCut = milliseconds(700);
constexpr Duration kSlow = seconds(2);
constexpr Duration kStepTimeout = milliseconds(1500);
constexpr Duration kTick = milliseconds(50);
constexpr Duration kPatience = seconds(90);
constexpr std::uint32_t kMostChains = 6;
// A caller goes on for as long as its patience lasts.
constexpr std::uint32_t kMostReconnects = 4000;

// An engine that has forgotten one of its checks.
std::string RunWeakened(EngineModel* engine,
                        stand_ins::StepRequest order,
                        Sabotage sabotage,
                        stand_ins::StepResult* result) {
  *result = engine->Run(order);
  const bool forgive =
      (sabotage == Sabotage::kEpochsIgnored &&
       result->status == "stale_epoch") ||
      (sabotage == Sabotage::kPositionsIgnored &&
       (result->status == "wrong_position" || result->status == "stale_epoch"));
  if (forgive) {
    // Runs on whatever cache there is.
    auto cache = engine->Export(order.session);
    if (!cache) {
      order.position = 0;
      *result = engine->Run(order);
    } else {
      cache->epoch = order.epoch;
      cache->next_position = order.position;
      engine->Release(order.session);
      engine->Import(order.session, *cache);
      *result = engine->Run(order);
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
        plan(faults, [this](Fault fault) { this->Strike(fault); }),
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
    this->loop.RunUntil(Instant{} + kPatience + seconds(30));
    ScheduleResult result;
    result.fault_injected = this->plan.FirstInjected();
    result.violation = this->Check();
    return result;
  }

 private:
  // ---- the caller ----

  void Connect() {
    if (this->caller_gone || this->final_word ||
        this->reconnects > kMostReconnects) {
      return;
    }
    const std::uint32_t number = this->reconnects++ % kEntries;
    this->StartRun(number, /*is_callers=*/true);
  }

  void OnCallerToken(std::uint32_t run,
                     std::uint32_t index,
                     std::uint32_t token) {
    if (run == this->callers_run) {
      (void)index;
      this->received.push_back(token);
    }
  }

  void OnCallerEnd(std::uint32_t run, std::optional<Refusal> refusal) {
    if (run == this->callers_run && !this->final_word) {
      this->final_word = true;
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

  void StartRun(std::uint32_t entry, bool is_callers) {
    auto run = std::make_shared<EntryRun>();
    run->number = ++this->runs;
    run->entry = &this->entry_processes[entry];
    run->session = fmt::format("r#{}", run->number);
    run->dispatcher = entry % kDispatchers;
    routing::CompletionFlowSettings settings;
    settings.max_tokens = kTokens;
    settings.deadline = this->loop.Now() + seconds(60);
    settings.stall_timeout =
        this->sabotage == Sabotage::kNoStallTimer ? seconds(3600) : seconds(1);
    if (this->sabotage == Sabotage::kNoStallTimer) {
      settings.deadline = this->loop.Now() + seconds(3600);
    }
    if (is_callers) {
      this->callers_run = run->number;
      this->callers_entry = run->entry;
      settings.accepted = this->received;
    }
    run->flow =
        std::make_unique<routing::CompletionFlow>(settings, &this->budget);
    this->network.Send(
        run->entry,
        [this, run] {
          if (run->started) {
            return;  // A repeated message starts nothing anew.
          }
          run->started = true;
          this->plan.Reach(Step::kAccepted);
          this->Apply(run, run->flow->Start(this->loop.Now()));
          this->Tick(run);
        },
        [this, run] { this->OnEntryLost(run); });
  }

  void OnEntryLost(const std::shared_ptr<EntryRun>& run) {
    if (run->number == this->callers_run && !run->ended) {
      run->ended = true;
      this->loop.After(milliseconds(20), [this] { this->Connect(); });
    }
  }

  void Tick(const std::shared_ptr<EntryRun>& run) {
    this->loop.After(kTick, [this, run] {
      if (run->ended) {
        return;
      }
      if (!run->entry->alive) {
        return this->OnEntryLost(run);
      }
      if (this->loop.Now() >= run->entry->frozen_until) {
        this->Apply(run, run->flow->OnTick(this->loop.Now()));
      } else if (this->loop.Now() + seconds(1) < run->entry->frozen_until &&
                 run->number == this->callers_run) {
        // The caller notices the silence and goes elsewhere.
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
        this->plan.Reach(token->index + 1 == kTokens ? Step::kLastToken
                                                     : Step::kTokenInFlight);
        this->OnCallerToken(run->number, token->index, token->token);
      } else if (std::holds_alternative<routing::CompleteAnswer>(action)) {
        run->ended = true;
        this->plan.Reach(Step::kAnswerSent);
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
      // A cancelled attempt goes on until its dispatcher hears of it; here it
      // is left running, which is the harder case.
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
                                        kTokens, start.epoch});
    this->network.Send(
        &this->dispatch_processes[attempt->dispatcher],
        [this, attempt] {
          if (attempt->chains > 0) {
            return;  // A repeated message starts nothing anew.
          }
          this->plan.Reach(Step::kQueued);
          this->Heartbeat(attempt);
          this->PlaceChain(attempt);
        },
        [this, attempt] {
          this->ToEntry(attempt, [this, attempt] {
            this->Apply(attempt->run, attempt->run->flow->OnAttemptLost(
                                          attempt->number, this->loop.Now()));
          });
        });
    if (this->disagreement) {
      // Another dispatcher believes that it owns the cell, too.
      this->disagreement = false;
      auto twin = std::make_shared<Attempt>();
      twin->run = run;
      twin->number = start.attempt;
      twin->dispatcher = (attempt->dispatcher + 1) % kDispatchers;
      twin->session = std::make_unique<pipeline::DecodeSession>(
          pipeline::DecodeSessionSettings{this->prompt, run->flow->Accepted(),
                                          kTokens, start.epoch + 512});
      this->network.Send(&this->dispatch_processes[twin->dispatcher],
                         [this, twin] {
                           if (twin->chains == 0) {
                             this->PlaceChain(twin);
                           }
                         });
    }
  }

  void ToEntry(const std::shared_ptr<Attempt>& attempt,
               std::function<void()> deliver) {
    this->network.Send(attempt->run->entry, [attempt, deliver] {
      if (!attempt->run->ended) {
        deliver();
      }
    });
  }

  bool DispatcherRuns(const std::shared_ptr<Attempt>& attempt) const {
    const Process& process = this->dispatch_processes[attempt->dispatcher];
    return process.alive && this->loop.Now() >= process.frozen_until;
  }

  void Heartbeat(const std::shared_ptr<Attempt>& attempt) {
    this->loop.After(milliseconds(250), [this, attempt] {
      if (attempt->ended || attempt->run->ended) {
        return;
      }
      if (!this->dispatch_processes[attempt->dispatcher].alive) {
        // The connection breaks; the entry notices.
        attempt->ended = true;
        return this->ToEntry(attempt, [this, attempt] {
          this->Apply(attempt->run, attempt->run->flow->OnAttemptLost(
                                        attempt->number, this->loop.Now()));
        });
      }
      if (this->DispatcherRuns(attempt)) {
        this->ToEntry(attempt, [this, attempt] {
          this->Apply(attempt->run, attempt->run->flow->OnHeartbeat(
                                        attempt->number, this->loop.Now()));
        });
      }
      this->Heartbeat(attempt);
    });
  }

  void PlaceChain(const std::shared_ptr<Attempt>& attempt) {
    if (++attempt->chains > kMostChains) {
      return this->EndAttempt(attempt, RefusalCode::kBackendFailed);
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
        return this->EndAttempt(attempt, RefusalCode::kNoBackend);
      }
      chain.push_back(
          std::to_string(alive[this->loop.random.Below(alive.size())]));
    }
    this->plan.Reach(Step::kBeforeFirstByte);
    this->Drive(attempt, attempt->session->Start(chain));
  }

  void EndAttempt(const std::shared_ptr<Attempt>& attempt, RefusalCode code) {
    attempt->ended = true;
    const Refusal refusal{code, attempt->sent ? Executed::kYes : Executed::kNo,
                          seconds(1), "no chain"};
    this->ToEntry(attempt, [this, attempt, refusal] {
      this->Apply(attempt->run,
                  attempt->run->flow->OnRefused(attempt->number, refusal,
                                                this->loop.Now()));
    });
  }

  void Drive(const std::shared_ptr<Attempt>& attempt,
             const pipeline::SessionActions& actions) {
    for (const pipeline::SessionAction& action : actions) {
      if (const auto* send = std::get_if<pipeline::SendStep>(&action)) {
        this->SendStep(attempt, send->step);
      } else if (const auto* token =
                     std::get_if<pipeline::EmitToken>(&action)) {
        const std::uint32_t index = token->index;
        const std::uint32_t value = token->token;
        this->ToEntry(attempt, [this, attempt, index, value] {
          if (this->sabotage == Sabotage::kAnyTokenAccepted) {
            this->OnCallerToken(attempt->run->number, index, value);
          }
          this->Apply(attempt->run,
                      attempt->run->flow->OnToken(attempt->number, index, value,
                                                  this->loop.Now()));
        });
      } else if (std::holds_alternative<pipeline::SessionDone>(action)) {
        attempt->ended = true;
        // The outcome comes after the tokens on the same connection.
        this->loop.After(milliseconds(40), [this, attempt] {
          this->ToEntry(attempt, [this, attempt] {
            this->Apply(attempt->run,
                        attempt->run->flow->OnFinished(attempt->number, kTokens,
                                                       this->loop.Now()));
          });
        });
      } else if (std::holds_alternative<pipeline::NeedChain>(action)) {
        this->PlaceChain(attempt);
      } else {
        attempt->ended = true;  // Superseded.
        this->EndAttempt(attempt, RefusalCode::kTimedOut);
      }
    }
  }

  void SendStep(const std::shared_ptr<Attempt>& attempt,
                const pipeline::StageStep& step) {
    attempt->sent = true;
    this->plan.Reach(step.position == 0 ? Step::kPrefill : Step::kStageStep);
    Engine* engine = this->engines[std::stoul(step.worker)].get();
    const auto fail = [this, attempt, step] {
      if (!attempt->ended && this->DispatcherRuns(attempt)) {
        this->Drive(attempt,
                    attempt->session->OnStageFailed(step.stage, step.epoch));
      }
    };
    // A step without an answer is given up on in the end.
    const std::uint64_t number = ++attempt->last_step;
    this->loop.After(kStepTimeout, [attempt, step, number, fail] {
      if (attempt->last_step == number) {
        fail();
      }
    });
    this->network.Send(
        &engine->process,
        [this, attempt, step, engine, fail] {
          stand_ins::StepResult result;
          const std::string status =
              RunWeakened(&engine->model,
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
    this->Drive(attempt, attempt->session->OnAnswer(answer));
  }

  // ---- faults ----

  void Strike(Fault fault) {
    const Instant now = this->loop.Now();
    const auto dispatcher = [this]() -> Process& {
      return this->dispatch_processes[this->loop.random.Below(2)];
    };
    switch (fault) {
      case Fault::kKillEntry:
        this->callers_entry->alive = false;
        break;
      case Fault::kFreezeEntry:
        this->callers_entry->frozen_until = now + kFreeze;
        break;
      case Fault::kKillDispatch:
        dispatcher().alive = false;
        break;
      case Fault::kFreezeDispatch:
        dispatcher().frozen_until = now + kFreeze;
        break;
      case Fault::kKillBackend: {
        // One replica of a stage, and with it all caches; a new process
        // answers there after a while.
        Engine* engine =
            this->engines[this->loop.random.Below(this->engines.size())].get();
        engine->process.alive = false;
        const auto index = static_cast<std::uint32_t>(std::distance(
            this->engines.begin(),
            std::find_if(
                this->engines.begin(), this->engines.end(),
                [engine](const auto& e) { return e.get() == engine; })));
        const std::uint32_t stage = index / kReplicas;
        this->loop.After(seconds(3), [engine, stage] {
          engine->model = EngineModel(stage * kLayersPerStage,
                                      (stage + 1) * kLayersPerStage - 1, 64);
          engine->process.alive = true;
        });
        break;
      }
      case Fault::kFreezeBackend:
        this->engines[this->loop.random.Below(this->engines.size())]
            ->process.frozen_until = now + kFreeze;
        break;
      case Fault::kCutLink:
        this->network.cut_until = now + kCut;
        break;
      case Fault::kSlowLink:
      case Fault::kPlatformSlow:
        this->network.slow_until = now + kSlow;
        break;
      case Fault::kReorder:
        this->network.reorder = true;
        break;
      case Fault::kRepeat:
        this->network.repeat = true;
        break;
      case Fault::kPlatformDown:
      case Fault::kPlatformAnswerLost:
        break;  // Completions do not need the platform.
      case Fault::kOwnershipDisagreement:
        this->disagreement = true;
        break;
      case Fault::kCallerGone:
        this->caller_gone = true;
        break;
      case Fault::kCallerRetries:
        this->StartRun(1, /*is_callers=*/false);
        break;
    }
  }

  // ---- checks, from what the caller and the engines recorded ----

  std::optional<Violation> Check() const {
    const auto expected = stand_ins::ReferenceAnswer(
        kStages * kLayersPerStage, this->prompt, kModelSeed, kTokens);
    const std::size_t size = std::min(expected.size(), this->received.size());
    if (!std::equal(this->received.begin(),
                    this->received.begin() + static_cast<std::ptrdiff_t>(size),
                    expected.begin()) ||
        this->received.size() > expected.size()) {
      return Violation{"answer", "the tokens are not the reference model's"};
    }
    if (this->caller_gone) {
      return std::nullopt;
    }
    if (!this->final_word) {
      return Violation{"answered", "the caller got no final word"};
    }
    if (!this->refusal && this->received.size() != expected.size()) {
      return Violation{"whole", "the answer ended before its last token"};
    }
    if (this->refusal && this->refusal->executed == Executed::kNo &&
        this->steps_run > 0) {
      return Violation{"truthful", "'not run' was said, and engines ran it"};
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
  Process* callers_entry = nullptr;
  std::uint32_t runs = 0;
  std::uint32_t callers_run = 0;
  std::uint32_t reconnects = 0;
  std::vector<std::uint32_t> received;
  bool final_word = false;
  bool caller_gone = false;
  bool disagreement = false;
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
