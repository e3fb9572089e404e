// The seeded scheduler of the core fault matrix: virtual time, messages that
// take time, and faults that strike at a named step of a request.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <string_view>
#include <vector>

#include "chervilpass/core/random.h"
#include "chervilpass/core/time.h"

namespace chervilpass::fault_tests {

/// Where a request stands when a fault strikes.
enum class Step {
  kAccepted,
  kQueued,
  kClaimSent,
  kClaimTaken,  ///< stored, the answer not yet back
  kBeforeFirstByte,
  kPrefill,
  kStageStep,
  kTokenInFlight,
  kLastToken,
  kRunning,  ///< a service runs the call
  kOutcomeWritten,
  kAnswerSent,
};
constexpr int kStepCount = 12;

/// What goes wrong.
enum class Fault {
  kKillEntry,
  kFreezeEntry,
  kKillDispatch,
  kFreezeDispatch,
  kKillBackend,
  kFreezeBackend,
  kCutLink,
  kSlowLink,
  kReorder,
  kRepeat,
  kPlatformDown,
  kPlatformSlow,
  kPlatformAnswerLost,
  kOwnershipDisagreement,
  kCallerGone,
  kCallerRetries,
};
constexpr int kFaultCount = 16;

std::string_view StepName(Step step);
std::string_view FaultName(Fault fault);

/// A mechanism taken away in the test wiring, to show that its check works.
enum class Sabotage {
  kNone,
  kAnyTokenAccepted,    ///< the entry takes tokens as they come
  kEpochsIgnored,       ///< engines run steps of older epochs
  kPositionsIgnored,    ///< engines run steps at any position
  kNoClaim,             ///< keyed calls are sent without a claim
  kClaimNotDurable,     ///< the claim is granted before it is stored
  kUnconditionalStore,  ///< the store takes writes of any version
  kAmbiguousSentAgain,  ///< a keyed call is sent again after a lost answer
  kUntruthfulRefusal,   ///< refusals say "not run" whatever happened
  kNoStallTimer,        ///< a silent dispatcher is waited for
};
constexpr int kSabotageCount = 10;

std::string_view SabotageName(Sabotage sabotage);

/// Faults of one schedule; each strikes when its step is reached for the n-th
/// time.
struct PlannedFault {
  Fault fault = Fault::kKillEntry;
  Step step = Step::kAccepted;
  std::uint32_t occurrence = 1;
};

/// What a schedule showed to be wrong; empty if nothing.
struct Violation {
  std::string check;
  std::string detail;
};

/// How a schedule ended.
struct ScheduleResult {
  std::optional<Violation> violation;
  bool fault_injected = false;  ///< the first planned fault did strike
};

/// Virtual time and pending events, in order of time. Deterministic.
class EventLoop {
 public:
  explicit EventLoop(std::uint64_t seed) : random(seed) {}

  /// Runs `action` after `delay`.
  void After(Duration delay, std::function<void()> action) {
    this->events.push({this->now + delay, ++this->sequence, std::move(action)});
  }

  /// Runs events until `end` or until none is left.
  void RunUntil(Instant end) {
    while (!this->events.empty() && this->events.top().at <= end) {
      Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.action();
    }
  }

  Instant Now() const { return this->now; }

  Random random;

 private:
  struct Event {
    Instant at;
    std::uint64_t sequence;
    std::function<void()> action;

    bool operator<(const Event& other) const {
      return this->at != other.at ? this->at > other.at
                                  : this->sequence > other.sequence;
    }
  };

  Instant now{};
  std::uint64_t sequence = 0;
  std::priority_queue<Event> events;
};

/// A process that can die and freeze. What reaches a frozen one is delivered
/// when it wakes.
struct Process {
  bool alive = true;
  Instant frozen_until{};
};

/// Messages between processes, with the faults of links.
class Network {
 public:
  explicit Network(EventLoop* loop) : loop(loop) {}

  /// Delivers to `to`, unless it or the link is dead by then; `on_lost` tells
  /// the sender that the connection broke.
  void Send(Process* to,
            std::function<void()> deliver,
            std::function<void()> on_lost = nullptr);

  Instant cut_until{};
  Instant slow_until{};
  bool reorder = false;
  bool repeat = false;

 private:
  void Arrive(Process* to,
              std::function<void()> deliver,
              std::function<void()> on_lost);

  EventLoop* loop;
};

/// Strikes with the planned faults as steps are reached.
class FaultPlan {
 public:
  FaultPlan(std::vector<PlannedFault> faults, std::function<void(Fault)> strike)
      : faults(std::move(faults)), strike(std::move(strike)) {}

  /// The request has reached a step.
  void Reach(Step step);

  bool FirstInjected() const { return this->first_struck; }

 private:
  std::vector<PlannedFault> faults;
  std::function<void(Fault)> strike;
  std::map<Step, std::uint32_t> reached;
  bool first_struck = false;
};

/// Runs one completion through entries, dispatchers and split engines.
ScheduleResult RunCompletionSchedule(std::uint64_t seed,
                                     const std::vector<PlannedFault>& faults,
                                     Sabotage sabotage);

/// Runs one call that may not be repeated.
ScheduleResult RunServiceSchedule(std::uint64_t seed,
                                  const std::vector<PlannedFault>& faults,
                                  Sabotage sabotage);

}  // namespace chervilpass::fault_tests
