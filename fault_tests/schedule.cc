#include "fault_tests/schedule.h"

namespace chervilpass::fault_tests {
namespace {

constexpr std::string_view kStepNames[kStepCount] = {
    "accepted",          "queued",  "claim-sent",      "claim-taken",
    "before-first-byte", "prefill", "stage-step",      "token-on-its-way",
    "last-token",        "running", "outcome-written", "answer-sent"};

constexpr std::string_view kFaultNames[kFaultCount] = {"kill-entry",
                                                       "freeze-entry",
                                                       "kill-dispatch",
                                                       "freeze-dispatch",
                                                       "kill-backend",
                                                       "freeze-backend",
                                                       "cut-link",
                                                       "slow-link",
                                                       "reorder",
                                                       "repeat",
                                                       "platform-down",
                                                       "platform-slow",
                                                       "platform-answer-lost",
                                                       "ownership-disagreement",
                                                       "caller-gone",
                                                       "caller-asks-again"};

constexpr std::string_view kSabotageNames[kSabotageCount] = {
    "none",
    "any-token-accepted",
    "epochs-ignored",
    "positions-ignored",
    "no-claim",
    "claim-not-durable",
    "unconditional-store",
    "ambiguous-sent-again",
    "untruthful-refusal",
    "no-stall-timer"};

constexpr Duration kSlowDelay = milliseconds(400);
constexpr Duration kReorderDelay = milliseconds(30);

}  // namespace

std::string_view StepName(Step step) {
  return kStepNames[static_cast<int>(step)];
}

std::string_view FaultName(Fault fault) {
  return kFaultNames[static_cast<int>(fault)];
}

std::string_view SabotageName(Sabotage sabotage) {
  return kSabotageNames[static_cast<int>(sabotage)];
}

void Network::Send(Process* to,
                   std::function<void()> deliver,
                   std::function<void()> on_lost) {
  Duration delay =
      microseconds(100 + static_cast<int>(this->loop->random.Below(900)));
  if (this->loop->Now() < this->slow_until) {
    delay += kSlowDelay;
  }
  if (this->reorder && this->loop->random.Chance(0.5)) {
    delay += kReorderDelay;
  }
  if (this->repeat && this->loop->random.Chance(0.5)) {
    this->loop->RunAfter(
        2 * delay, [this, to, deliver] { this->Arrive(to, deliver, nullptr); });
  }
  this->loop->RunAfter(delay, [this, to, deliver = std::move(deliver),
                               on_lost = std::move(on_lost)] {
    this->Arrive(to, deliver, on_lost);
  });
}

void Network::Arrive(Process* to,
                     std::function<void()> deliver,
                     std::function<void()> on_lost) {
  if (!to->alive || this->loop->Now() < this->cut_until) {
    if (on_lost) {
      on_lost();
    }
    return;
  }
  if (this->loop->Now() < to->frozen_until) {
    this->loop->RunAfter(
        to->frozen_until - this->loop->Now(),
        [this, to, deliver, on_lost] { this->Arrive(to, deliver, on_lost); });
    return;
  }
  deliver();
}

void FaultPlan::OnStepReached(Step step) {
  const std::uint32_t count = ++this->step_counts[step];
  for (std::size_t i = 0; i < this->faults.size(); ++i) {
    if (this->faults[i].step == step && this->faults[i].occurrence == count) {
      this->first_injected = this->first_injected || i == 0;
      this->inject(this->faults[i].fault);
    }
  }
}

}  // namespace chervilpass::fault_tests
