#include "chervilpass/drain/drain_controller.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace chervilpass::drain {
namespace {

constexpr Duration kServingPollInterval = milliseconds(50);
constexpr Duration kEstablishedPollInterval = milliseconds(5);
// Idle connections are closed at the latest this long before the end.
constexpr Duration kCloseIdleMargin = milliseconds(900);
// How long requests are read once no connections are accepted any more.
constexpr Duration kLastReadTime = milliseconds(100);
// The part of it that callers have to read a refusal of what is still arriving.
constexpr Duration kRefusalReadTime = milliseconds(60);
// For the responses that are given at the end.
constexpr Duration kFinalWriteTime = milliseconds(20);
// Peers that have received nothing for so long may have vanished.
constexpr Duration kMaxReceiveSilence = seconds(1);
// The process exits at least this long before the end of the grace period.
constexpr Duration kExitMargin = milliseconds(350);
// Of the order to stop, of the end, and of the waits for the last requests and
// writes: each may be noticed as late as a wait was before.
constexpr int kLateSteps = 4;
// After requests have been read: of the last such wait, and of final writes.
constexpr int kLateStepsAfterReads = 2;
// What callers that read a refusal leave of kExitMargin.
constexpr Duration kMinExitMargin = milliseconds(100);
// Work that goes on in the last sixth of a grace period may be cut.
constexpr int kMaxMarginDivisor = 6;
// Callers may keep using addresses for three times their stated lifetime.
constexpr int kAddressLifetimeFactor = 3;

}  // namespace

std::string_view DrainPhaseName(DrainPhase phase) {
  switch (phase) {
    case DrainPhase::kServing:
      return "serving";
    case DrainPhase::kEstablished:
      return "established connections";
    case DrainPhase::kFinalWrites:
      return "final writes";
    case DrainPhase::kEnded:
      return "ended";
  }
  return "";
}

Instant DrainController::End(const DrainSettings& settings) const {
  const Duration margin =
      std::min(kExitMargin + kLateSteps * this->wake_delays.Lasting(),
               std::max(kExitMargin, settings.grace / kMaxMarginDivisor));
  return this->start + settings.grace - margin - kLastReadTime -
         kFinalWriteTime;
}

DrainStep DrainController::Next(const DrainSettings& settings,
                                const DrainObservation& observation) {
  assert(this->phase != DrainPhase::kEnded);
  const Instant now = observation.now;
  DrainStep step;
  switch (this->phase) {
    case DrainPhase::kServing:
      if (observation.wake_delay) {
        this->wake_delays.Add(*observation.wake_delay);
      }
      if (now < this->End(settings) &&
          !this->MayEndEarly(settings, observation)) {
        return this->ServingStep(settings, now);
      }
      this->phase = DrainPhase::kEstablished;
      this->reads_until = now + kLastReadTime;
      this->received_at = this->reads_until;
      // Accepts what has arrived, which the next observation counts.
      step.stop_accepting = true;
      break;
    case DrainPhase::kEstablished: {
      step.refuse_unread = now >= this->reads_until - kRefusalReadTime;
      if (step.refuse_unread && !std::exchange(this->unread_refused, true)) {
        this->ExtendReads(settings, now);
      }
      const bool unfinished = this->Unfinished(observation);
      if (now < this->reads_until ? observation.connections > 0 || unfinished
                                  : now < this->End(settings) && unfinished) {
        step.close_idle_callers = true;
        step.close_idle_peers = true;
        step.wait = kEstablishedPollInterval;
      } else {
        this->phase = DrainPhase::kFinalWrites;
        step.wait = kFinalWriteTime;
      }
      break;
    }
    case DrainPhase::kFinalWrites:
    case DrainPhase::kEnded:
      this->phase = DrainPhase::kEnded;
      break;
  }
  step.phase = this->phase;
  step.end = this->End(settings);
  return step;
}

DrainStep DrainController::ServingStep(const DrainSettings& settings,
                                       Instant now) const {
  DrainStep step;
  step.end = this->End(settings);
  const Instant addresses_expired =
      this->start + kAddressLifetimeFactor * settings.address_ttl;
  step.close_idle_callers =
      now > step.end - kCloseIdleMargin || now > addresses_expired;
  step.wait = std::min(kServingPollInterval, step.end - now);
  return step;
}

// A late wait leaves callers no less time to read a refusal, unless the process
// would be killed.
void DrainController::ExtendReads(const DrainSettings& settings, Instant now) {
  const Instant latest = this->start + settings.grace - kMinExitMargin -
                         kFinalWriteTime -
                         kLateStepsAfterReads * this->wake_delays.Lasting();
  if (now + kRefusalReadTime <= latest) {
    this->reads_until = std::max(this->reads_until, now + kRefusalReadTime);
  }
}

bool DrainController::MayEndEarly(const DrainSettings& settings,
                                  const DrainObservation& observation) const {
  return !settings.whole_grace && observation.in_flight == 0 &&
         observation.now >
             this->start + kAddressLifetimeFactor * settings.address_ttl;
}

bool DrainController::Unfinished(const DrainObservation& observation) {
  if (observation.in_flight > 0 ||
      observation.unsent_bytes != this->unsent_bytes) {
    this->received_at = std::max(this->received_at, observation.now);
  }
  if (observation.in_flight > 0) {
    return true;
  }
  this->unsent_bytes = observation.unsent_bytes;
  return observation.unsent_bytes > 0 &&
         observation.now - this->received_at < kMaxReceiveSilence;
}

}  // namespace chervilpass::drain
