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

std::optional<std::string> ShutdownGate::ObjectionToCall(
    const std::string& route,
    Duration objective,
    Duration time_left,
    Instant now) const {
  if (!this->end) {
    return std::nullopt;
  }
  const Duration left = *this->end - this->settings.final_response_time - now;
  if (left <= Duration::zero()) {
    return "this VM is leaving";
  }
  Duration expected = time_left;
  if (const auto usual =
          this->run_times.CallTime(route, this->settings.later)) {
    expected = std::min(*usual, time_left);
  } else if (objective > Duration::zero()) {
    expected = std::min(duration_cast<Duration>(
                            this->settings.unknown_call_objectives * objective),
                        time_left);
  }
  return expected <= left ? std::nullopt
                          : std::optional<std::string>(TooLong(expected, left));
}

std::optional<std::string> ShutdownGate::ObjectionToStream(
    const std::string& service,
    const std::optional<GenerationSize>& size,
    double ready_share,
    Instant now) const {
  if (!this->end) {
    return std::nullopt;
  }
  const bool expired = this->AddressesExpired(now);
  const EstimateCaution& caution =
      expired ? this->settings.later : this->settings.at_first;
  auto expected =
      size ? this->run_times.StreamTime(service, *size, caution) : std::nullopt;
  if (!expected) {
    return "this VM is leaving, and the stream's duration is not known";
  }
  if (expired && ready_share >= this->settings.min_ready_share) {
    *expected += this->settings.max_silence;
  }
  const Duration left = *this->end - now;
  return *expected > left || this->MustRespond(now)
             ? std::optional<std::string>(TooLong(*expected, left))
             : std::nullopt;
}

}  // namespace chervilpass::serving
