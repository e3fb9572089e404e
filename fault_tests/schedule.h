// Deterministic simulation for the core fault matrix: virtual time, messages
// with delays, and faults injected at a given step of a request. A schedule is
// one simulated request with its seed and planned faults.
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

/// The step of a request at which a fault is injected.
enum class Step {
  kAccepted,
  kQueued,
  kClaimSent,
  kClaimTaken,  ///< stored; its reply has not arrived yet
  kBeforeFirstByte,
  kPrefill,
  kStageStep,
  kTokenInFlight,
  kLastToken,
  kRunning,  ///< a service is running the call
  kOutcomeWritten,
  kAnswerSent,
};
constexpr int kStepCount = 12;

/// The kinds of faults.
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

/// A safety mechanism that the simulation disables, to prove that the checks
/// detect its absence.
enum class Sabotage {
  kNone,
  kAnyTokenAccepted,    ///< the entry accepts every token
  kEpochsIgnored,       ///< engines run steps of stale epochs
  kPositionsIgnored,    ///< engines run steps at any position
  kNoClaim,             ///< keyed calls are sent without a claim
  kClaimNotDurable,     ///< the claim is granted before it is stored
  kUnconditionalStore,  ///< the store ignores the write's version
  kAmbiguousSentAgain,  ///< a keyed call is retried after a lost answer
  kUntruthfulRefusal,   ///< every refusal says "not run"
  kNoStallTimer,        ///< no timeout on a silent dispatcher
};
constexpr int kSabotageCount = 10;

std::string_view SabotageName(Sabotage sabotage);

/// A fault of a schedule, injected when `step` is reached for the
/// `occurrence`-th time.
struct PlannedFault {
  Fault fault = Fault::kKillEntry;
  Step step = Step::kAccepted;
  std::uint32_t occurrence = 1;  ///< from 1
};

/// A failed check of a schedule.
struct Violation {
  std::string check;
  std::string detail;
};

/// The outcome of a schedule.
struct ScheduleResult {
  std::optional<Violation> violation;  ///< none if every check passed
  bool fault_injected = false;         ///< the first planned fault was injected
};

/// Virtual time and a queue of events ordered by time, then by insertion.
/// Deterministic for a seed.
class EventLoop {
 public:
  explicit EventLoop(std::uint64_t seed) : random(seed) {}

  /// Schedules `action` to run after `delay`.
  void RunAfter(Duration delay, std::function<void()> action) {
    this->events.push({this->now + delay, ++this->sequence, std::move(action)});
  }

  /// Runs events up to and including `end`, or until the queue is empty.
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

    // Inverted: std::priority_queue returns the largest event first.
    bool operator<(const Event& other) const {
      return this->at != other.at ? this->at > other.at
                                  : this->sequence > other.sequence;
    }
  };

  Instant now{};
  std::uint64_t sequence = 0;
  std::priority_queue<Event> events;
};

/// A process that can be killed or frozen. Messages to a frozen process are
/// delivered when it resumes.
struct Process {
  bool alive = true;
  Instant frozen_until{};
};

/// Delivers messages between processes with random delays and link faults.
class Network {
 public:
  explicit Network(EventLoop* loop) : loop(loop) {}

  /// Runs `deliver` when the message reaches `to`. If `to` is dead or the link
  /// is cut by then, runs `on_lost` instead: the sender's connection broke.
  void Send(Process* to,
            std::function<void()> deliver,
            std::function<void()> on_lost = nullptr);

  Instant cut_until{};   ///< messages that arrive before this are lost
  Instant slow_until{};  ///< messages sent before this have an extra delay
  bool reorder = false;  ///< delay messages at random, out of order
  bool repeat = false;   ///< deliver messages twice at random

 private:
  void Arrive(Process* to,
              std::function<void()> deliver,
              std::function<void()> on_lost);

  EventLoop* loop;
};

/// Injects the planned faults as the request reaches their steps.
class FaultPlan {
 public:
  FaultPlan(std::vector<PlannedFault> faults, std::function<void(Fault)> inject)
      : faults(std::move(faults)), inject(std::move(inject)) {}

  /// Records that the request reached `step` and injects the faults due now.
  void OnStepReached(Step step);

  /// Whether the first planned fault was injected.
  bool FirstInjected() const { return this->first_injected; }

 private:
  std::vector<PlannedFault> faults;
  std::function<void(Fault)> inject;
  std::map<Step, std::uint32_t> step_counts;
  bool first_injected = false;
};

/// Simulates one completion on entries, dispatchers and engines that each hold
/// some of the layers.
ScheduleResult RunCompletionSchedule(std::uint64_t seed,
                                     const std::vector<PlannedFault>& faults,
                                     Sabotage sabotage);

/// Simulates one call that may not be repeated, on dispatchers, the ledger, a
/// store and services.
ScheduleResult RunServiceSchedule(std::uint64_t seed,
                                  const std::vector<PlannedFault>& faults,
                                  Sabotage sabotage);

}  // namespace chervilpass::fault_tests
