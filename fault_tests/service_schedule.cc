// One call that may not be repeated, through the state machines of dispatchers
// and the ledger, a fake store and a counting service, under faults.
#include <fmt/format.h>

#include <map>
#include <memory>

#include "chervilpass/ledger/service_flow.h"
#include "chervilpass/ledger/shard_log.h"
#include "fault_tests/schedule.h"

namespace chervilpass::fault_tests {
namespace {

using admission::Executed;
using admission::Refusal;
using admission::RefusalCode;
using namespace chervilpass::ledger;

constexpr std::uint32_t kDispatchers = 3;
constexpr std::uint32_t kServices = 2;
constexpr Duration kFreeze = seconds(4);
constexpr Duration kCut = milliseconds(700);
constexpr Duration kOutage = seconds(3);
constexpr Duration kStoreTimeout = seconds(1);
constexpr Duration kCallTimeout = seconds(10);
constexpr Duration kEntryPatience = seconds(2);
constexpr Duration kTick = milliseconds(20);
constexpr std::uint32_t kMostAsks = 12;
const ClaimKey kKey{"org", "filing"};

// The store: conditional writes, with outages, slowness and lost answers.
class Store {
 public:
  ReadResult Read(std::uint64_t index) const {
    const auto found = this->objects.find(index);
    return found == this->objects.end() ? ReadResult(SegmentMissing{})
                                        : ReadResult(found->second);
  }

  WriteResult Write(const WriteSegment& write, bool unconditional) {
    const auto found = this->objects.find(write.index);
    const std::uint64_t current =
        found == this->objects.end() ? 0 : found->second.version;
    if (current != write.version && !unconditional) {
      return WriteConflict{};
    }
    this->objects[write.index] = {current + 1, write.segment};
    return WriteCommitted{current + 1};
  }

  Instant down_until{};
  Instant slow_until{};
  int lose_answers = 0;

 private:
  std::map<std::uint64_t, SegmentRead> objects;
};

struct Service {
  Process process;
  int executions = 0;
};

class Simulation {
 public:
  Simulation(std::uint64_t seed,
             const std::vector<PlannedFault>& faults,
             Sabotage sabotage)
      : loop(seed),
        network(&this->loop),
        sabotage(sabotage),
        plan(faults, [this](Fault fault) { this->Strike(fault); }) {
    for (std::uint32_t i = 0; i < kDispatchers; ++i) {
      this->dispatchers.push_back(std::make_unique<Dispatcher>());
      this->TickLog(this->dispatchers.back().get());
    }
  }

  ScheduleResult Run() {
    this->Ask();
    this->loop.RunUntil(Instant{} + seconds(120));
    ScheduleResult result;
    result.fault_injected = this->plan.FirstInjected();
    result.violation = this->Check();
    return result;
  }

 private:
  struct Dispatcher {
    Process process;
    ShardLog log{ShardLogSettings{}};
    std::map<std::string, std::function<void(const ClaimReply&)>> claims;
    std::map<std::string, std::function<void(bool)>> records;
  };

  struct Call {
    Dispatcher* dispatcher = nullptr;
    std::string attempt;
    std::unique_ptr<ServiceFlow> flow;
    std::function<void(std::optional<std::string>, std::optional<Refusal>)>
        answer;
    std::uint32_t ask = 0;  ///< number of the caller's ask
    std::uint32_t next_service = 0;
    bool started = false;
  };

  // ---- the caller, with its entry folded in ----

  void Ask() {
    if (this->caller_gone || this->final_word || this->asks >= kMostAsks) {
      return;
    }
    ++this->asks;
    this->plan.Reach(Step::kAccepted);
    const std::uint32_t number = this->asks;
    // Ownership disagreement and lost dispatchers lead to other dispatchers.
    Dispatcher* dispatcher =
        this->dispatchers[this->owner % kDispatchers].get();
    this->SendTo(dispatcher, number);
    if (this->disagreement) {
      this->disagreement = false;
      ++this->asks;
      this->SendTo(this->dispatchers[(this->owner + 1) % kDispatchers].get(),
                   this->asks);
    }
    // The entry gives up on a silent dispatcher; a caller whose entry is lost
    // asks again with the same key.
    this->loop.After(kEntryPatience, [this, number] {
      if (!this->final_word && this->asks >= number &&
          this->gave_up_on < number) {
        this->gave_up_on = this->asks;
        ++this->owner;
        this->Ask();
      }
    });
  }

  void SendTo(Dispatcher* dispatcher, std::uint32_t number) {
    auto call = std::make_shared<Call>();
    call->dispatcher = dispatcher;
    call->ask = number;
    call->attempt = fmt::format("a{}-{}", number, this->calls++);
    call->answer = [this, number](std::optional<std::string> body,
                                  std::optional<Refusal> refusal) {
      this->OnAnswer(number, std::move(body), std::move(refusal));
    };
    this->network.Send(&dispatcher->process, [this, call] {
      if (call->started) {
        return;  // A repeated message starts nothing anew.
      }
      call->started = true;
      this->plan.Reach(Step::kQueued);
      call->flow = std::make_unique<ServiceFlow>(
          ServiceFlowSettings{false, this->loop.Now() + kCallTimeout, 3},
          &this->budget);
      this->Apply(call, call->flow->Start(this->loop.Now()));
    });
  }

  void OnAnswer(std::uint32_t number,
                std::optional<std::string> body,
                std::optional<Refusal> refusal) {
    if (this->final_word || this->entry_dead_for == number) {
      return;
    }
    if (refusal) {
      if (refusal->executed == Executed::kNo) {
        // "Not run" speaks of this ask and of all before it; a later ask that
        // the caller has made meanwhile has an answer of its own.
        this->untruthful =
            this->untruthful || (this->first_executed_ask != 0 &&
                                 this->first_executed_ask <= number);
      }
      const bool again = refusal->retry_after > Duration(0) &&
                         (refusal->executed == Executed::kNo ||
                          refusal->code == RefusalCode::kStoreUnavailable ||
                          refusal->code == RefusalCode::kInProgress);
      if (again && this->asks < kMostAsks) {
        this->loop.After(refusal->retry_after, [this] { this->Ask(); });
        return;
      }
      if (again) {
        return;
      }
    }
    this->final_word = true;
    this->body = std::move(body);
  }

  // ---- dispatchers ----

  void Apply(const std::shared_ptr<Call>& call, ServiceActions actions) {
    for (ServiceAction& action : actions) {
      std::visit([this, &call](auto& item) { this->Do(call, item); }, action);
    }
  }

  // What a frozen dispatcher was about to do it does when it wakes.
  void WhenAwake(Dispatcher* dispatcher, std::function<void()> action) {
    if (!dispatcher->process.alive) {
      return;
    }
    const Duration left = dispatcher->process.frozen_until - this->loop.Now();
    if (left.count() > 0) {
      this->loop.After(left, [this, dispatcher, action] {
        this->WhenAwake(dispatcher, action);
      });
      return;
    }
    action();
  }

  void Do(const std::shared_ptr<Call>& call, const AskClaim&) {
    this->plan.Reach(Step::kClaimSent);
    if (this->sabotage == Sabotage::kNoClaim) {
      return this->Apply(call,
                         call->flow->OnClaim(Granted{}, this->loop.Now()));
    }
    Dispatcher* dispatcher = call->dispatcher;
    dispatcher->claims[call->attempt] = [this, call](const ClaimReply& reply) {
      this->WhenAwake(call->dispatcher, [this, call, reply] {
        if (std::holds_alternative<Granted>(reply)) {
          this->plan.Reach(Step::kClaimTaken);
        }
        this->WhenAwake(call->dispatcher, [this, call, reply] {
          this->Apply(call, call->flow->OnClaim(reply, this->loop.Now()));
        });
      });
    };
    const ShardLogActions actions =
        dispatcher->log.Claim(kKey, call->attempt, 1, {}, this->loop.Now());
    if (this->sabotage == Sabotage::kClaimNotDurable) {
      const auto reply = dispatcher->claims[call->attempt];
      dispatcher->claims.erase(call->attempt);
      reply(Granted{});
      this->Apply(dispatcher, actions);
      return;
    }
    this->Apply(dispatcher, actions);
  }

  void Do(const std::shared_ptr<Call>& call, const SendCall&) {
    this->plan.Reach(Step::kBeforeFirstByte);
    this->WhenAwake(call->dispatcher, [this, call] {
      Service* service = &this->services[call->next_service++ % kServices];
      if (!service->process.alive) {
        return this->OnSendFailed(call, SendFailure::kNotSent);
      }
      const auto lost = [this, call] {
        this->OnSendFailed(call, SendFailure::kAmbiguous);
      };
      // A connection that is made delivers the call once or not at all:
      // repeats happen above it, not below.
      const bool repeats = this->network.repeat;
      this->network.repeat = false;
      this->network.Send(
          &service->process,
          [this, call, service, lost] { this->Execute(call, service, lost); },
          lost);
      this->network.repeat = repeats;
    });
  }

  void Execute(const std::shared_ptr<Call>& call,
               Service* service,
               const std::function<void()>& lost) {
    ++service->executions;
    if (this->first_executed_ask == 0) {
      this->first_executed_ask = call->ask;
    }
    this->plan.Reach(Step::kRunning);
    this->loop.After(milliseconds(20), [this, call, service, lost] {
      if (!service->process.alive) {
        return this->WhenAwake(call->dispatcher, lost);
      }
      this->network.Send(
          &call->dispatcher->process,
          [this, call] {
            this->Apply(call, call->flow->OnResponse({200, {}, "filed"},
                                                     this->loop.Now()));
          },
          lost);
    });
  }

  void OnSendFailed(const std::shared_ptr<Call>& call, SendFailure failure) {
    if (failure == SendFailure::kAmbiguous &&
        this->sabotage == Sabotage::kAmbiguousSentAgain) {
      failure = SendFailure::kNotSent;
    }
    this->Apply(call, call->flow->OnSendFailed(failure, this->loop.Now()));
  }

  void Do(const std::shared_ptr<Call>& call, const RecordOutcome& record) {
    if (this->sabotage == Sabotage::kNoClaim ||
        this->sabotage == Sabotage::kClaimNotDurable) {
      return this->Apply(call, call->flow->OnRecorded(true));
    }
    this->AwaitRecord(call);
    this->Apply(call->dispatcher,
                call->dispatcher->log.Finish(
                    kKey, call->attempt, record.outcome, {}, this->loop.Now()));
  }

  void Do(const std::shared_ptr<Call>& call, const RecordRelease&) {
    if (this->sabotage == Sabotage::kNoClaim ||
        this->sabotage == Sabotage::kClaimNotDurable) {
      return this->Apply(call, call->flow->OnRecorded(true));
    }
    this->AwaitRecord(call);
    this->Apply(call->dispatcher,
                call->dispatcher->log.Release(kKey, call->attempt, {},
                                              this->loop.Now()));
  }

  void AwaitRecord(const std::shared_ptr<Call>& call) {
    call->dispatcher->records[call->attempt] = [this, call](bool durable) {
      this->plan.Reach(Step::kOutcomeWritten);
      this->WhenAwake(call->dispatcher, [this, call, durable] {
        this->Apply(call, call->flow->OnRecorded(durable));
      });
    };
  }

  void Do(const std::shared_ptr<Call>& call, AnswerCall& answer) {
    this->plan.Reach(Step::kAnswerSent);
    this->network.Send(&this->caller, [call, body = answer.response.body] {
      call->answer(body, std::nullopt);
    });
  }

  void Do(const std::shared_ptr<Call>& call, RefuseCall& refuse) {
    Refusal refusal = refuse.refusal;
    if (this->sabotage == Sabotage::kUntruthfulRefusal) {
      refusal.executed = Executed::kNo;
    }
    this->network.Send(&this->caller, [call, refusal] {
      call->answer(std::nullopt, refusal);
    });
  }

  // ---- ledger and store ----

  void TickLog(Dispatcher* dispatcher) {
    this->loop.After(kTick, [this, dispatcher] {
      if (this->loop.Now() > Instant{} + seconds(100)) {
        return;
      }
      if (dispatcher->process.alive &&
          this->loop.Now() >= dispatcher->process.frozen_until) {
        this->Apply(dispatcher, dispatcher->log.OnTick(this->loop.Now()));
      }
      this->TickLog(dispatcher);
    });
  }

  void Apply(Dispatcher* dispatcher, const ShardLogActions& actions) {
    for (const ShardLogAction& action : actions) {
      if (const auto* read = std::get_if<ReadSegment>(&action)) {
        this->StoreRead(dispatcher, *read);
      } else if (const auto* write = std::get_if<WriteSegment>(&action)) {
        this->StoreWrite(dispatcher, *write);
      } else if (const auto* reply = std::get_if<ReplyToClaim>(&action)) {
        const auto found = dispatcher->claims.find(reply->attempt);
        if (found != dispatcher->claims.end()) {
          const auto callback = found->second;
          dispatcher->claims.erase(found);
          callback(reply->reply);
        }
      } else {
        const auto& record = std::get<ReplyToRecord>(action);
        const auto found = dispatcher->records.find(record.attempt);
        if (found != dispatcher->records.end()) {
          const auto callback = found->second;
          dispatcher->records.erase(found);
          callback(record.durable);
        }
      }
    }
  }

  Duration StoreDelay() {
    const Duration base =
        microseconds(500 + static_cast<int>(this->loop.random.Below(3000)));
    return this->loop.Now() < this->store.slow_until
               ? base + milliseconds(this->loop.random.Below(2500))
               : base;
  }

  void StoreRead(Dispatcher* dispatcher, const ReadSegment& read) {
    const Duration delay = this->StoreDelay();
    const bool fails =
        this->loop.Now() < this->store.down_until || delay > kStoreTimeout;
    this->loop.After(
        std::min(delay, kStoreTimeout), [this, dispatcher, read, fails] {
          const ReadResult result =
              fails ? ReadResult(StoreFailed{}) : this->store.Read(read.index);
          this->WhenAwake(dispatcher, [this, dispatcher, read, result] {
            this->Apply(dispatcher, dispatcher->log.OnRead(read.index, result,
                                                           this->loop.Now()));
          });
        });
  }

  // A slow write takes effect when it arrives, even if its sender has given up
  // on the answer long since.
  void StoreWrite(Dispatcher* dispatcher, const WriteSegment& write) {
    const Duration delay = this->StoreDelay();
    const bool down = this->loop.Now() < this->store.down_until;
    const bool late = delay > kStoreTimeout;
    const bool lost = !down && !late && this->store.lose_answers > 0;
    this->store.lose_answers -= lost ? 1 : 0;
    const auto result = std::make_shared<WriteResult>(WriteOutcomeUnknown{});
    if (!down) {
      this->loop.After(delay, [this, write, result, late, lost] {
        const WriteResult taken = this->store.Write(
            write, this->sabotage == Sabotage::kUnconditionalStore);
        if (!late && !lost) {
          *result = taken;
        }
      });
    }
    this->loop.After(
        std::min(delay, kStoreTimeout) + microseconds(1),
        [this, dispatcher, result] {
          this->WhenAwake(dispatcher, [this, dispatcher, result] {
            this->Apply(dispatcher,
                        dispatcher->log.OnWrite(*result, this->loop.Now()));
          });
        });
  }

  // ---- faults ----

  void Strike(Fault fault) {
    const Instant now = this->loop.Now();
    Dispatcher* owner = this->dispatchers[this->owner % kDispatchers].get();
    Service& service = this->services[this->loop.random.Below(kServices)];
    switch (fault) {
      case Fault::kKillEntry:
        // The caller hears nothing of this ask and asks again elsewhere.
        this->entry_dead_for = this->asks;
        break;
      case Fault::kFreezeEntry:
        this->caller.frozen_until = now + kFreeze;
        break;
      case Fault::kKillDispatch:
        owner->process.alive = false;
        break;
      case Fault::kFreezeDispatch:
        owner->process.frozen_until = now + kFreeze;
        break;
      case Fault::kKillBackend:
        service.process.alive = false;
        break;
      case Fault::kFreezeBackend:
        service.process.frozen_until = now + kFreeze;
        break;
      case Fault::kCutLink:
        this->network.cut_until = now + kCut;
        break;
      case Fault::kSlowLink:
        this->network.slow_until = now + seconds(2);
        break;
      case Fault::kReorder:
        this->network.reorder = true;
        break;
      case Fault::kRepeat:
        this->network.repeat = true;
        break;
      case Fault::kPlatformDown:
        this->store.down_until = now + kOutage;
        break;
      case Fault::kPlatformSlow:
        this->store.slow_until = now + kOutage;
        break;
      case Fault::kPlatformAnswerLost:
        this->store.lose_answers = 2;
        break;
      case Fault::kOwnershipDisagreement:
        // The caller asks again through an entry that believes in another
        // owner; both asks are under way at once.
        ++this->asks;
        this->SendTo(this->dispatchers[(this->owner + 1) % kDispatchers].get(),
                     this->asks);
        this->disagreement = true;
        break;
      case Fault::kCallerGone:
        this->caller_gone = true;
        break;
      case Fault::kCallerRetries:
        ++this->owner;
        this->loop.After(Duration(1), [this] { this->Ask(); });
        break;
    }
  }

  int Executions() const {
    int sum = 0;
    for (const Service& service : this->services) {
      sum += service.executions;
    }
    return sum;
  }

  // ---- checks, from what the caller and the services recorded ----

  std::optional<Violation> Check() const {
    const int executions = this->Executions();
    if (executions > 1) {
      return Violation{"at-most-once", fmt::format("ran {} times", executions)};
    }
    if (this->untruthful) {
      return Violation{"truthful", "'not run' was said after it had run"};
    }
    if (this->body && executions != 1) {
      return Violation{"answer", "an outcome without an execution"};
    }
    if (!this->caller_gone && !this->final_word && this->asks < kMostAsks) {
      return Violation{"answered", "the caller got no final word"};
    }
    return std::nullopt;
  }

  EventLoop loop;
  Network network;
  Sabotage sabotage;
  FaultPlan plan;
  Store store;
  std::vector<std::unique_ptr<Dispatcher>> dispatchers;
  Service services[kServices];
  Process caller;
  routing::RetryBudget budget{routing::RetryBudgetSettings{}};
  std::uint32_t owner = 0;
  std::uint32_t asks = 0;
  std::uint32_t calls = 0;
  std::uint32_t entry_dead_for = 0;
  bool disagreement = false;
  bool caller_gone = false;
  bool final_word = false;
  std::optional<std::string> body;
  std::uint32_t first_executed_ask = 0;  ///< 0: none has been
  std::uint32_t gave_up_on = 0;  ///< last ask that the caller gave up on
  bool untruthful = false;
};

}  // namespace

ScheduleResult RunServiceSchedule(std::uint64_t seed,
                                  const std::vector<PlannedFault>& faults,
                                  Sabotage sabotage) {
  return Simulation(seed, faults, sabotage).Run();
}

}  // namespace chervilpass::fault_tests
