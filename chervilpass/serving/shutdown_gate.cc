#include "chervilpass/serving/shutdown_gate.h"

#include <fmt/format.h>

#include <algorithm>

namespace chervilpass::serving {
namespace {

std::string TooLong(Duration expected, Duration left) {
  return fmt::format("this VM is leaving: {} ms expected, {} ms left",
                     ToMilliseconds(expected), ToMilliseconds(left));
}

}  // namespace

bool ShutdownGate::MustRespond(Instant now) const {
  return this->end && now >= *this->end - this->settings.final_response_time;
}

Duration ShutdownGate::RetryAfter(double ready_share, Instant now) const {
  if (!this->end || ready_share >= this->settings.min_ready_share) {
    return this->settings.retry_delay;
  }
  if (ready_share > 0) {
    return this->address_lifetime;
  }
  return std::max(Duration::zero(), *this->end - now) +
         this->settings.restart_time;
}

ShutdownVerdict ShutdownGate::JudgeCall(const std::string& route,
                                        Duration objective,
                                        Duration time_left,
                                        Instant now) const {
  ShutdownVerdict verdict;
  verdict.left = *this->end - this->settings.final_response_time - now;
  if (verdict.left <= Duration::zero()) {
    verdict.objection = "this VM is leaving";
    return verdict;
  }
  verdict.expected = time_left;
  if (const auto usual =
          this->run_times.CallTime(route, this->settings.calls)) {
    verdict.expected = std::min(*usual, time_left);
  } else if (objective > Duration::zero()) {
    verdict.expected =
        std::min(duration_cast<Duration>(
                     this->settings.unknown_call_objectives * objective),
                 time_left);
  }
  if (*verdict.expected > verdict.left) {
    verdict.objection = TooLong(*verdict.expected, verdict.left);
  }
  return verdict;
}

ShutdownVerdict ShutdownGate::JudgeStream(
    const std::string& service,
    const std::optional<GenerationSize>& size,
    Duration time_left,
    Instant now,
    const std::vector<Duration>& intervals) const {
  ShutdownVerdict verdict;
  verdict.left = *this->end - now;
  if (this->NoticeEnded(now)) {
    verdict.left -= this->settings.max_end_advance;
    verdict.expected = time_left;
  } else if (size) {
    verdict.expected = this->run_times.StreamTime(
        service, *size, this->settings.streams, intervals);
  }
  if (!verdict.expected) {
    verdict.objection =
        "this VM is leaving, and the stream's duration is not known";
    return verdict;
  }
  if (*verdict.expected > verdict.left || this->MustRespond(now)) {
    verdict.objection = TooLong(*verdict.expected, verdict.left);
  }
  return verdict;
}

std::optional<std::string> ShutdownGate::ObjectionToCall(
    const std::string& route,
    Duration objective,
    Duration time_left,
    Instant now) const {
  return this->end ? this->JudgeCall(route, objective, time_left, now).objection
                   : std::nullopt;
}

std::optional<std::string> ShutdownGate::ObjectionToStream(
    const std::string& service,
    const std::optional<GenerationSize>& size,
    Duration time_left,
    Instant now,
    const std::vector<Duration>& intervals) const {
  return this->end ? this->JudgeStream(service, size, time_left, now, intervals)
                         .objection
                   : std::nullopt;
}

}  // namespace chervilpass::serving
