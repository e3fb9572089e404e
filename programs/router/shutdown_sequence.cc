#include "programs/router/shutdown_sequence.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "chervilpass/core/build_id.h"

namespace chervilpass {
namespace {

// The grace period may change without a signal.
constexpr Duration kSettingsPollInterval = milliseconds(200);
constexpr Duration kDrainLogInterval = seconds(1);
// What is in progress is named so often, should the process be killed.
constexpr Duration kNameInProgressInterval = milliseconds(2500);

}  // namespace

ShutdownSequence::ShutdownSequence(const ShutdownParts& parts)
    : parts(parts), start(parts.runtime->Now()), controller(this->start) {}

void ShutdownSequence::Run() {
  this->RefreshSettings();
  this->parts.log->Info(
      "router.leaving",
      {{"build", BuildId()},
       {"uptime_ms", ToMilliseconds(this->start - this->parts.started)},
       {"in_flight", this->parts.router->InFlight()},
       {"grace_ms", ToMilliseconds(this->parts.settings->shutdown_grace)}});
  this->parts.callers->DisableKeepAlive();
  this->parts.forwarded->DisableKeepAlive();
  std::optional<Duration> wake_delay;
  while (this->controller.Phase() != drain::DrainPhase::kEnded) {
    this->RespondBeforeEnd();
    const drain::DrainStep step =
        this->controller.Next(this->Settings(), this->Observe(wake_delay));
    this->CarryOut(step);
    this->LogDraining(step);
    if (step.wait > Duration::zero()) {
      wake_delay = this->Sleep(step.wait);
      this->RefreshSettings();
    }
  }
  this->LogStopped();
}

drain::DrainSettings ShutdownSequence::Settings() const {
  const RouterProgramSettings& settings = *this->parts.settings;
  return {settings.shutdown_grace, settings.address_ttl, settings.whole_grace};
}

drain::DrainObservation ShutdownSequence::Observe(
    std::optional<Duration> wake_delay) const {
  drain::DrainObservation observation;
  observation.now = this->parts.runtime->Now();
  // Peers that have stopped receiving may have vanished: the rest of a response
  // that awaits them is no work in progress, however small the send buffer is.
  const serving::ResponseWrites writes = this->parts.router->Writes();
  observation.in_flight = this->parts.router->InFlight() - writes.responses;
  observation.unsent_bytes = writes.bytes;
  observation.wake_delay = wake_delay;
  for (const io::HttpServer* server :
       {this->parts.callers, this->parts.forwarded}) {
    observation.connections += server->Connections();
    // Two system calls a connection; earlier phases do not depend on them.
    if (this->controller.Phase() == drain::DrainPhase::kEstablished) {
      for (const io::UnsentResponse& response : server->Unsent()) {
        observation.unsent_bytes += response.bytes;
      }
    }
  }
  return observation;
}

void ShutdownSequence::CarryOut(const drain::DrainStep& step) {
  if (step.refuse_unread) {
    this->RefuseUnread();
  }
  if (step.stop_accepting) {
    // A VM that cannot connect any more knows that its request was not run.
    this->parts.callers->StopAccepting();
    this->parts.forwarded->StopAccepting();
  }
  if (step.close_idle_callers) {
    this->parts.callers->CloseIdle();
  }
  if (step.close_idle_peers) {
    this->parts.forwarded->CloseIdle();
  }
}

void ShutdownSequence::RefreshSettings() {
  const Instant now = this->parts.runtime->Now();
  if (now - this->settings_read_at >= kSettingsPollInterval) {
    this->settings_read_at = now;
    this->parts.refresh_settings();
  }
}

void ShutdownSequence::RespondBeforeEnd() {
  const Instant end = this->controller.End(this->Settings());
  this->parts.router->SetShutdown(this->start, end,
                                  this->parts.settings->address_ttl);
  this->parts.router->RespondBeforeShutdown();
  const Instant now = this->parts.runtime->Now();
  if (this->parts.router->MustRespond()) {
    this->RefuseUnread();
    if (!std::exchange(this->unfinished_logged, true)) {
      // What a process that is killed from now on leaves of them.
      this->parts.router->LogUnfinished(end - now, this->max_wake_delay);
    }
  } else if (!this->in_progress_named_at ||
             now >= *this->in_progress_named_at + kNameInProgressInterval) {
    // What is in progress at SIGTERM is no anomaly.
    this->parts.router->LogDraining(
        this->in_progress_named_at ? LogLevel::kWarning : LogLevel::kInfo,
        end - now, this->max_wake_delay);
    this->in_progress_named_at = now;
  }
}

// Also in time for callers that are still sending to read the response.
void ShutdownSequence::RefuseUnread() {
  this->parts.callers->RefuseUnread([this](const io::HttpRequest& head) {
    return this->parts.router->LeavingResponse(head, false);
  });
  this->parts.forwarded->RefuseUnread([this](const io::HttpRequest& head) {
    return this->parts.router->LeavingResponse(head, true);
  });
}

Duration ShutdownSequence::Sleep(Duration duration) {
  const Instant begun = this->parts.runtime->Now();
  this->parts.runtime->SleepFor(duration);
  const Duration delay = this->parts.runtime->Now() - begun - duration;
  this->max_wake_delay = std::max(this->max_wake_delay, delay);
  return delay;
}

// Lines of a leaving process are written out at once: it may be killed.
void ShutdownSequence::LogDraining(const drain::DrainStep& step) {
  const Instant now = this->parts.runtime->Now();
  if (now - this->draining_logged_at >= kDrainLogInterval) {
    this->draining_logged_at = now;
    this->parts.log->Info(
        "router.draining",
        {{"phase", drain::DrainPhaseName(step.phase)},
         {"in_flight", this->parts.router->InFlight()},
         {"connections", this->parts.callers->Connections()},
         {"unsent_connections", this->parts.callers->Unsent().size()},
         {"max_wake_delay_ms", ToMilliseconds(this->max_wake_delay)},
         {"after_ms", ToMilliseconds(now - this->start)},
         {"left_ms", ToMilliseconds(step.end - now)}});
  }
  FlushLog();
}

void ShutdownSequence::LogStopped() const {
  this->parts.router->LogUnfinished(Duration::zero(), this->max_wake_delay);
  std::vector<io::UnreadRequest> unread = this->parts.callers->Unread();
  std::ranges::move(this->parts.forwarded->Unread(),
                    std::back_inserter(unread));
  this->parts.router->LogUnread(unread);
  std::vector<io::UnsentResponse> unsent = this->parts.callers->Unsent();
  std::ranges::move(this->parts.forwarded->Unsent(),
                    std::back_inserter(unsent));
  this->parts.router->LogUnsent(unsent);
  std::size_t unsent_bytes = 0;
  for (const io::UnsentResponse& response : unsent) {
    unsent_bytes += response.bytes;
  }
  this->parts.log->Info(
      "router.stopped",
      {{"in_flight", this->parts.router->InFlight()},
       {"unread", unread.size()},
       {"connections", this->parts.callers->Connections()},
       {"unsent_bytes", unsent_bytes},
       {"max_wake_delay_ms", ToMilliseconds(this->max_wake_delay)},
       {"log_lines_dropped", DroppedLogLines()},
       {"after_ms", ToMilliseconds(this->parts.runtime->Now() - this->start)}});
}

}  // namespace chervilpass
