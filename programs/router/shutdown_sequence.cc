#include "programs/router/shutdown_sequence.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "chervilpass/core/build_id.h"

namespace chervilpass {
namespace {

constexpr Duration kDrainPollInterval = milliseconds(50);
// Idle connections are closed at the latest this long before the exit.
constexpr Duration kCloseIdleMargin = milliseconds(900);
// How long requests are read once no connections are accepted any more.
constexpr Duration kLastReadTime = milliseconds(100);
constexpr Duration kLastReadPollInterval = milliseconds(5);
// The part of it that callers have to read a refusal of what is still arriving.
constexpr Duration kRefusalReadTime = milliseconds(60);
// For the responses that are given at the end.
constexpr Duration kFinalWriteTime = milliseconds(20);
// The grace period may change without a signal.
constexpr Duration kSettingsPollInterval = milliseconds(200);
// Peers that have received nothing for so long may have vanished.
constexpr Duration kMaxReceiveSilence = seconds(1);
constexpr Duration kDrainLogInterval = seconds(1);
// The process exits at least this long before the end of the grace period.
constexpr Duration kExitMargin = milliseconds(350);
// Of SIGTERM, of the end, and of the waits for the last requests and writes:
// each may be noticed as late as a sleep was before.
constexpr int kLateSteps = 4;
// Work that goes on in the last sixth of a grace period may be cut.
constexpr int kMaxMarginDivisor = 6;
// Callers may keep using addresses for three times their stated lifetime.
constexpr int kAddressLifetimeFactor = 3;

}  // namespace

ShutdownSequence::ShutdownSequence(const ShutdownParts& parts)
    : parts(parts), start(parts.runtime->Now()) {}

Instant ShutdownSequence::End() const {
  const Duration grace = this->parts.settings->shutdown_grace;
  const Duration margin =
      std::min(kExitMargin + kLateSteps * this->wake_delays.Lasting(),
               std::max(kExitMargin, grace / kMaxMarginDivisor));
  return this->start + grace - margin - kLastReadTime - kFinalWriteTime;
}

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
  this->ServeUntilEnd();
  this->ServeEstablished();
  this->Sleep(kFinalWriteTime);
  this->LogStopped();
}

void ShutdownSequence::ServeUntilEnd() {
  const Instant addresses_expired =
      this->start + kAddressLifetimeFactor * this->parts.settings->address_ttl;
  while (this->parts.runtime->Now() < this->End()) {
    this->RespondBeforeEnd();
    this->LogDraining();
    this->wake_delays.Add(this->Sleep(std::min(
        kDrainPollInterval, this->End() - this->parts.runtime->Now())));
    this->RefreshSettings();
    const Instant now = this->parts.runtime->Now();
    if (now > this->End() - kCloseIdleMargin || now > addresses_expired) {
      this->parts.callers->CloseIdle();
    }
    if (now > addresses_expired && this->parts.router->InFlight() == 0 &&
        !this->parts.settings->whole_grace) {
      return;
    }
  }
}

// Responds to requests that arrive on connections which are open already, and
// waits for callers and other VMs that are still receiving.
void ShutdownSequence::ServeEstablished() {
  this->RespondBeforeEnd();
  // A VM that cannot connect any more knows that its request was not run.
  this->parts.callers->StopAccepting();
  this->parts.forwarded->StopAccepting();
  const Instant until = this->parts.runtime->Now() + kLastReadTime;
  this->received_at = until;
  while (this->parts.runtime->Now() < until
             ? this->Connections() > 0 || this->Unfinished()
             : this->parts.runtime->Now() < this->End() && this->Unfinished()) {
    this->LogDraining();
    this->parts.callers->CloseIdle();
    this->parts.forwarded->CloseIdle();
    this->Sleep(kLastReadPollInterval);
    this->RefreshSettings();
    this->RespondBeforeEnd();
    if (this->parts.runtime->Now() >= until - kRefusalReadTime) {
      this->RefuseUnread();
    }
  }
}

std::size_t ShutdownSequence::Connections() const {
  return this->parts.callers->Connections() +
         this->parts.forwarded->Connections();
}

bool ShutdownSequence::Unfinished() {
  const Instant now = this->parts.runtime->Now();
  if (this->parts.router->InFlight() > 0) {
    this->received_at = now;
    return true;
  }
  std::size_t bytes = 0;
  for (const io::HttpServer* server :
       {this->parts.callers, this->parts.forwarded}) {
    for (const io::UnsentResponse& response : server->Unsent()) {
      bytes += response.bytes;
    }
  }
  if (bytes != this->unsent_bytes) {
    this->received_at = now;
  }
  this->unsent_bytes = bytes;
  return bytes > 0 && now - this->received_at < kMaxReceiveSilence;
}

void ShutdownSequence::RefreshSettings() {
  const Instant now = this->parts.runtime->Now();
  if (now - this->settings_read_at >= kSettingsPollInterval) {
    this->settings_read_at = now;
    this->parts.refresh_settings();
  }
}

void ShutdownSequence::RespondBeforeEnd() {
  this->parts.router->SetShutdown(this->start, this->End(),
                                  this->parts.settings->address_ttl);
  this->parts.router->RespondBeforeShutdown();
  if (this->parts.router->MustRespond()) {
    this->RefuseUnread();
    if (!std::exchange(this->unfinished_logged, true)) {
      // What a process that is killed from now on leaves of them.
      this->parts.router->LogUnfinished(this->End() -
                                        this->parts.runtime->Now());
    }
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
void ShutdownSequence::LogDraining() {
  const Instant now = this->parts.runtime->Now();
  if (now - this->draining_logged_at >= kDrainLogInterval) {
    this->draining_logged_at = now;
    this->parts.log->Info(
        "router.draining",
        {{"in_flight", this->parts.router->InFlight()},
         {"connections", this->parts.callers->Connections()},
         {"unsent_connections", this->parts.callers->Unsent().size()},
         {"max_wake_delay_ms", ToMilliseconds(this->max_wake_delay)},
         {"after_ms", ToMilliseconds(now - this->start)},
         {"left_ms", ToMilliseconds(this->End() - now)}});
  }
  FlushLog();
}

void ShutdownSequence::LogStopped() const {
  std::vector<io::UnreadRequest> unread = this->parts.callers->Unread();
  std::ranges::move(this->parts.forwarded->Unread(),
                    std::back_inserter(unread));
  this->parts.router->LogUnread(unread);
  std::vector<io::UnsentResponse> unsent = this->parts.callers->Unsent();
  std::ranges::move(this->parts.forwarded->Unsent(),
                    std::back_inserter(unsent));
  this->parts.router->LogUnsent(unsent);
  this->parts.router->LogUnfinished(Duration::zero());
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
