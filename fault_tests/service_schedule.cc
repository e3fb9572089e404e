// Simulates, under faults, one call that may not be repeated, with the state
// machines of dispatchers and the ledger, a fake store and services that count
// their executions.
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
constexpr Duration kFreezeTime = seconds(4);
constexpr Duration kCutTime = milliseconds(700);
constexpr Duration kOutageTime = seconds(3);
constexpr Duration kStoreTimeout = seconds(1);
constexpr Duration kCallTimeout = seconds(10);
constexpr Duration kEntryTimeout = seconds(2);
constexpr Duration kTickInterval = milliseconds(20);
constexpr std::uint32_t kMaxSubmissions = 12;
const ClaimKey kKey{"org", "filing"};

// A fake store with conditional writes, outages, slow calls and lost answers.
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
  int responses_to_drop = 0;  ///< next writes to apply without a response

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
        plan(faults, [this](Fault fault) { this->Inject(fault); }) {
    for (std::uint32_t i = 0; i < kDispatchers; ++i) {
      this->dispatchers.push_back(std::make_unique<Dispatcher>());
      this->TickLog(this->dispatchers.back().get());
    }
  }

  ScheduleResult Run() {
    this->Submit();
    this->loop.RunUntil(Instant{} + seconds(120));
    ScheduleResult result;
    result.fault_injected = this->plan.FirstInjected();
    result.violation = this->FindViolation();
    return result;
  }

 private:
  struct Dispatcher {
    Process process;
    ShardLog log{ShardLogSettings{}};
    // Callbacks for the ledger's replies, by attempt.
    std::map<std::string, std::function<void(const ClaimReply&)>> claims;
    std::map<std::string, std::function<void(bool)>> records;
  };

  struct Call {
    Dispatcher* dispatcher = nullptr;
    std::string attempt;
    std::unique_ptr<ServiceFlow> flow;
    std::function<void(std::optional<std::string>, std::optional<Refusal>)>
        answer;
    std::uint32_t submission = 0;  ///< numbered from 1
    std::uint32_t next_service = 0;
    bool started = false;
  };

  // ---- the caller and its entry, simulated as one process ----

  void Submit() {
    if (this->caller_gone || this->answered ||
        this->submissions >= kMaxSubmissions) {
      return;
    }
    ++this->submissions;
    this->plan.OnStepReached(Step::kAccepted);
    const std::uint32_t number = this->submissions;
    // After the loss of a dispatcher the next one is the owner; in an ownership
    // disagreement two dispatchers receive the call.
    Dispatcher* dispatcher =
        this->dispatchers[this->owner % kDispatchers].get();
    this->SendToDispatcher(dispatcher, number);
    if (this->disagreement) {
      this->disagreement = false;
      ++this->submissions;
      this->SendToDispatcher(
          this->dispatchers[(this->owner + 1) % kDispatchers].get(),
          this->submissions);
    }
    // The entry times out on a silent dispatcher, and a caller that lost its
    // entry retries with the same key.
    this->loop.RunAfter(kEntryTimeout, [this, number] {
      if (!this->answered && this->submissions >= number &&
          this->timed_out_submission < number) {
        this->timed_out_submission = this->submissions;
        ++this->owner;
        this->Submit();
      }
    });
  }

  void SendToDispatcher(Dispatcher* dispatcher, std::uint32_t number) {
    auto call = std::make_shared<Call>();
    call->dispatcher = dispatcher;
    call->submission = number;
    call->attempt = fmt::format("a{}-{}", number, this->calls++);
    call->answer = [this, number](std::optional<std::string> body,
                                  std::optional<Refusal> refusal) {
      this->OnAnswer(number, std::move(body), std::move(refusal));
    };
    this->network.Send(&dispatcher->process, [this, call] {
      if (call->started) {
        return;  // A duplicate message must not start a second call.
      }
      call->started = true;
      this->plan.OnStepReached(Step::kQueued);
      call->flow = std::make_unique<ServiceFlow>(
          ServiceFlowSettings{false, this->loop.Now() + kCallTimeout, 3},
          &this->budget);
      this->Apply(call, call->flow->Start(this->loop.Now()));
    });
  }

  void OnAnswer(std::uint32_t number,
                std::optional<std::string> body,
                std::optional<Refusal> refusal) {
    if (this->answered || this->lost_submission == number) {
      return;
    }
    if (refusal) {
      if (refusal->executed == Executed::kNo) {
        // "Not run" covers this submission and all earlier ones; a later
        // submission gets its own answer.
        this->untruthful =
            this->untruthful || (this->first_executed_submission != 0 &&
                                 this->first_executed_submission <= number);
      }
      const bool retry = refusal->retry_after > Duration(0) &&
                         (refusal->executed == Executed::kNo ||
                          refusal->code == RefusalCode::kStoreUnavailable ||
                          refusal->code == RefusalCode::kInProgress);
      if (retry && this->submissions < kMaxSubmissions) {
        this->loop.RunAfter(refusal->retry_after, [this] { this->Submit(); });
        return;
      }
      if (retry) {
        return;
      }
    }
    this->answered = true;
    this->body = std::move(body);
  }

  // ---- dispatchers ----

  void Apply(const std::shared_ptr<Call>& call, ServiceActions actions) {
    for (ServiceAction& action : actions) {
      std::visit([this, &call](auto& item) { this->Perform(call, item); },
                 action);
    }
  }

  // Runs `action` now, or when a frozen dispatcher resumes; drops it if the
  // dispatcher is dead.
  void WhenAwake(Dispatcher* dispatcher, std::function<void()> action) {
    if (!dispatcher->process.alive) {
      return;
    }
    const Duration left = dispatcher->process.frozen_until - this->loop.Now();
    if (left.count() > 0) {
      this->loop.RunAfter(left, [this, dispatcher, action] {
        this->WhenAwake(dispatcher, action);
      });
      return;
    }
    action();
  }

  void Perform(const std::shared_ptr<Call>& call, const RequestClaim&) {
    this->plan.OnStepReached(Step::kClaimSent);
    if (this->sabotage == Sabotage::kNoClaim) {
      return this->Apply(call,
                         call->flow->OnClaim(Granted{}, this->loop.Now()));
    }
    Dispatcher* dispatcher = call->dispatcher;
    dispatcher->claims[call->attempt] = [this, call](const ClaimReply& reply) {
      this->WhenAwake(call->dispatcher, [this, call, reply] {
        if (std::holds_alternative<Granted>(reply)) {
          this->plan.OnStepReached(Step::kClaimTaken);
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

  void Perform(const std::shared_ptr<Call>& call, const SendCall&) {
    this->plan.OnStepReached(Step::kBeforeFirstByte);
    this->WhenAwake(call->dispatcher, [this, call] {
      Service* service = &this->services[call->next_service++ % kServices];
      if (!service->process.alive) {
        return this->OnSendFailed(call, SendFailure::kNotSent);
      }
      const auto on_lost = [this, call] {
        this->OnSendFailed(call, SendFailure::kAmbiguous);
      };
      // An established connection delivers the call at most once, so the
      // network does not duplicate this message.
      const bool repeats = this->network.repeat;
      this->network.repeat = false;
      this->network.Send(
          &service->process,
          [this, call, service, on_lost] {
            this->Execute(call, service, on_lost);
          },
          on_lost);
      this->network.repeat = repeats;
    });
  }

  void Execute(const std::shared_ptr<Call>& call,
               Service* service,
               const std::function<void()>& on_lost) {
    ++service->executions;
    if (this->first_executed_submission == 0) {
      this->first_executed_submission = call->submission;
    }
    this->plan.OnStepReached(Step::kRunning);
    this->loop.RunAfter(milliseconds(20), [this, call, service, on_lost] {
      if (!service->process.alive) {
        return this->WhenAwake(call->dispatcher, on_lost);
      }
      this->network.Send(
          &call->dispatcher->process,
          [this, call] {
            this->Apply(call, call->flow->OnResponse({200, {}, "filed"},
                                                     this->loop.Now()));
          },
          on_lost);
    });
  }

  void OnSendFailed(const std::shared_ptr<Call>& call, SendFailure failure) {
    if (failure == SendFailure::kAmbiguous &&
        this->sabotage == Sabotage::kAmbiguousSentAgain) {
      failure = SendFailure::kNotSent;
    }
    this->Apply(call, call->flow->OnSendFailed(failure, this->loop.Now()));
  }

  void Perform(const std::shared_ptr<Call>& call, const RecordOutcome& record) {
    if (this->sabotage == Sabotage::kNoClaim ||
        this->sabotage == Sabotage::kClaimNotDurable) {
      return this->Apply(call, call->flow->OnRecorded(true));
    }
    this->AwaitRecord(call);
    this->Apply(call->dispatcher,
                call->dispatcher->log.Finish(
                    kKey, call->attempt, record.outcome, {}, this->loop.Now()));
  }

  void Perform(const std::shared_ptr<Call>& call, const RecordRelease&) {
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
      this->plan.OnStepReached(Step::kOutcomeWritten);
      this->WhenAwake(call->dispatcher, [this, call, durable] {
        this->Apply(call, call->flow->OnRecorded(durable));
      });
    };
  }

  void Perform(const std::shared_ptr<Call>& call, AnswerCall& answer) {
    this->plan.OnStepReached(Step::kAnswerSent);
    this->network.Send(&this->caller, [call, body = answer.response.body] {
      call->answer(body, std::nullopt);
    });
  }

  void Perform(const std::shared_ptr<Call>& call, RefuseCall& refuse) {
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
    this->loop.RunAfter(kTickInterval, [this, dispatcher] {
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
    this->loop.RunAfter(
        std::min(delay, kStoreTimeout), [this, dispatcher, read, fails] {
          const ReadResult result =
              fails ? ReadResult(StoreFailed{}) : this->store.Read(read.index);
          this->WhenAwake(dispatcher, [this, dispatcher, read, result] {
            this->Apply(dispatcher, dispatcher->log.OnRead(read.index, result,
                                                           this->loop.Now()));
          });
        });
  }

  // A slow write takes effect when it reaches the store, even after its sender
  // timed out.
  void StoreWrite(Dispatcher* dispatcher, const WriteSegment& write) {
    const Duration delay = this->StoreDelay();
    const bool down = this->loop.Now() < this->store.down_until;
    const bool late = delay > kStoreTimeout;
    const bool lost = !down && !late && this->store.responses_to_drop > 0;
    this->store.responses_to_drop -= lost ? 1 : 0;
    const auto result = std::make_shared<WriteResult>(WriteOutcomeUnknown{});
    if (!down) {
      this->loop.RunAfter(delay, [this, write, result, late, lost] {
        const WriteResult written = this->store.Write(
            write, this->sabotage == Sabotage::kUnconditionalStore);
        if (!late && !lost) {
          *result = written;
        }
      });
    }
    this->loop.RunAfter(
        std::min(delay, kStoreTimeout) + microseconds(1),
        [this, dispatcher, result] {
          this->WhenAwake(dispatcher, [this, dispatcher, result] {
            this->Apply(dispatcher,
                        dispatcher->log.OnWrite(*result, this->loop.Now()));
          });
        });
  }

  // ---- faults ----

  void Inject(Fault fault) {
    const Instant now = this->loop.Now();
    Dispatcher* owner = this->dispatchers[this->owner % kDispatchers].get();
    Service& service = this->services[this->loop.random.Below(kServices)];
    switch (fault) {
      case Fault::kKillEntry:
        // The caller receives no answer to this submission and retries through
        // another entry.
        this->lost_submission = this->submissions;
        break;
      case Fault::kFreezeEntry:
        this->caller.frozen_until = now + kFreezeTime;
        break;
      case Fault::kKillDispatch:
        owner->process.alive = false;
        break;
      case Fault::kFreezeDispatch:
        owner->process.frozen_until = now + kFreezeTime;
        break;
      case Fault::kKillBackend:
        service.process.alive = false;
        break;
      case Fault::kFreezeBackend:
        service.process.frozen_until = now + kFreezeTime;
        break;
      case Fault::kCutLink:
        this->network.cut_until = now + kCutTime;
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
        this->store.down_until = now + kOutageTime;
        break;
      case Fault::kPlatformSlow:
        this->store.slow_until = now + kOutageTime;
        break;
      case Fault::kPlatformAnswerLost:
        this->store.responses_to_drop = 2;
        break;
      case Fault::kOwnershipDisagreement:
        // The caller retries through an entry that knows another owner, so
        // two submissions are in flight at once.
        ++this->submissions;
        this->SendToDispatcher(
            this->dispatchers[(this->owner + 1) % kDispatchers].get(),
            this->submissions);
        this->disagreement = true;
        break;
      case Fault::kCallerGone:
        this->caller_gone = true;
        break;
      case Fault::kCallerRetries:
        ++this->owner;
        this->loop.RunAfter(Duration(1), [this] { this->Submit(); });
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

  // ---- checks of what the caller and the services recorded ----

  std::optional<Violation> FindViolation() const {
    const int executions = this->Executions();
    if (executions > 1) {
      return Violation{"at-most-once", fmt::format("ran {} times", executions)};
    }
    if (this->untruthful) {
      return Violation{"truthful",
                       "a refusal says 'not run' after the call ran"};
    }
    if (this->body && executions != 1) {
      return Violation{
          "answer", "the caller received an outcome, but the call did not run"};
    }
    if (!this->caller_gone && !this->answered &&
        this->submissions < kMaxSubmissions) {
      return Violation{"answered",
                       "the caller received neither an answer nor a refusal"};
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
  std::uint32_t submissions = 0;
  std::uint32_t calls = 0;
  std::uint32_t lost_submission = 0;
  bool disagreement = false;  ///< send the next call to two dispatchers
  bool caller_gone = false;
  bool answered = false;
  std::optional<std::string> body;
  std::uint32_t first_executed_submission = 0;  ///< 0 if the call has not run
  std::uint32_t timed_out_submission = 0;  ///< all up to this one timed out
  bool untruthful = false;
};

}  // namespace

ScheduleResult RunServiceSchedule(std::uint64_t seed,
                                  const std::vector<PlannedFault>& faults,
                                  Sabotage sabotage) {
  return Simulation(seed, faults, sabotage).Run();
}

}  // namespace chervilpass::fault_tests
