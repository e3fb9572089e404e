// Decides what follows a send: forward the response, retry, or give up. The
// only place that decides whether a request may run again.
#pragma once

#include <algorithm>
#include <cstdint>

#include "chervilpass/admission/refusal.h"
#include "chervilpass/core/time.h"
#include "chervilpass/routing/route_table.h"

namespace chervilpass::serving {

/// How one send to a backend server ended.
enum class SendOutcome {
  kNotSent,      ///< No byte of the request was sent.
  kNotExecuted,  ///< The backend server states that the request did not run.
  kResponse,     ///< A complete response to this request.
  kFailed,       ///< A complete response that reports a server failure.
  kUnknown,      ///< Interrupted, invalid or no response: it may have run.
};

/// What to do after a send.
enum class RetryDecision {
  kForward,  ///< Forward the response.
  kRetry,    ///< Retry on another backend server at once.
  kWait,     ///< Retry after RetryPolicy::NextWait, once capacity may be free.
  kRefuse,   ///< Refuse, stating that the request has not run.
  kFail,     ///< Fail, stating that the request may have run.
};

/// Settings of a RetryPolicy.
struct RetryPolicySettings {
  /// Limit of sends that did not run, such as refusals by full servers: each
  /// costs a round trip.
  std::uint32_t max_rejected_sends = 4;
  /// With less time left there is no retry, since no response could arrive.
  Duration min_time_left = milliseconds(15);
  /// Waits for capacity: the first one, which doubles with each further one,
  /// and the longest. About as long as the time between two ends of streams on
  /// a full worker, and half a second, so that a caller sees a response soon
  /// after capacity is free.
  Duration first_wait = milliseconds(20);
  Duration max_wait = milliseconds(500);
  /// Share of the time to the response objective, and later of the time left,
  /// that one wait takes at most.
  double max_wait_of_objective = 0.25;
  double max_wait_of_time_left = 0.125;
  /// With less time left there is no wait: a response would hardly arrive.
  Duration min_time_left_to_wait = milliseconds(250);

  bool operator==(const RetryPolicySettings&) const = default;
};

/// Counts the sends of one request and decides on retries. Not thread-safe.
/// Invariants: a request that may not be repeated is retried only while no send
/// can have run; no more sends may have run than the route's attempts allow,
/// apart from those on servers that have ended.
class RetryPolicy {
 public:
  /// `max_attempts` bounds the attempts of the route further.
  RetryPolicy(RetryPolicySettings settings,
              const routing::Route& route,
              std::uint32_t max_attempts = UINT32_MAX)
      : settings(settings),
        may_repeat(route.MayRepeat()),
        attempts(std::min(route.attempts, max_attempts)) {}

  /// Records the end of a send, which has run `runs` times at most if it may
  /// have run. `budget` takes a retry from the fleet's retry
  /// budget and returns false if none is left; it is called only if everything
  /// else allows a retry, and not after kNotSent.
  template <class Budget>
  RetryDecision OnSendEnded(SendOutcome outcome,
                            Duration time_left,
                            Budget budget,
                            std::uint32_t runs = 1) {
    switch (outcome) {
      case SendOutcome::kResponse:
        return RetryDecision::kForward;
      case SendOutcome::kNotSent:
      case SendOutcome::kNotExecuted:
        ++this->rejected_sends;
        this->server_rejections += outcome == SendOutcome::kNotExecuted ? 1 : 0;
        break;
      case SendOutcome::kFailed:
      case SendOutcome::kUnknown:
        this->may_have_run += runs;
        break;
    }
    const bool rejected_only = this->may_have_run == 0;
    const bool attempts_left =
        this->may_have_run < this->attempts &&
        (this->response_begun ||
         this->rejected_sends < this->settings.max_rejected_sends);
    const bool repeatable = rejected_only || this->may_repeat;
    if (repeatable && attempts_left &&
        time_left >= this->settings.min_time_left &&
        (outcome == SendOutcome::kNotSent || budget())) {
      return RetryDecision::kRetry;
    }
    const bool rejections_used_up =
        this->rejected_sends >= this->settings.max_rejected_sends;
    const bool did_not_run = outcome == SendOutcome::kNotSent ||
                             outcome == SendOutcome::kNotExecuted;
    if (did_not_run && rejections_used_up && this->MayWait(time_left) &&
        (outcome == SendOutcome::kNotSent || budget())) {
      return RetryDecision::kWait;
    }
    if (outcome == SendOutcome::kFailed) {
      return RetryDecision::kForward;
    }
    return rejected_only ? RetryDecision::kRefuse : RetryDecision::kFail;
  }

  /// Lets the request wait for capacity.
  void AllowWaits() { this->waits_allowed = true; }

  /// True if the request may wait for capacity instead of being refused:
  /// servers have rejected it, and no send has run.
  bool MayWait(Duration time_left) const {
    return this->waits_allowed && this->may_have_run == 0 &&
           !this->response_begun && this->server_rejections > 0 &&
           time_left >= this->settings.min_time_left_to_wait;
  }

  /// The next wait for capacity; `draw` is uniform in [0, 1). `objective_left`
  /// is the time to the response objective, negative if there is none any more.
  Duration NextWait(Duration time_left, Duration objective_left, double draw) {
    const auto share = [](double of, Duration time) {
      return duration_cast<Duration>(of * time);
    };
    const Duration limit =
        objective_left > this->settings.first_wait
            ? share(this->settings.max_wait_of_objective, objective_left)
            : share(this->settings.max_wait_of_time_left, time_left);
    const Duration doubled =
        this->settings.first_wait * (1 << std::min(this->waits, 10U));
    ++this->waits;
    return share(0.5 + draw / 2,
                 std::min({doubled, limit, this->settings.max_wait}));
  }

  /// Allows one more attempt after a run whose server is known to have ended,
  /// at most `kMaxExtraAttempts` times. False if there were as many before.
  bool GrantExtraAttempt() {
    if (this->extra_attempts >= kMaxExtraAttempts) {
      return false;
    }
    ++this->extra_attempts;
    ++this->attempts;
    return true;
  }

  /// The response has begun, so the request cannot be refused any more: sends
  /// that do not run are not limited from now on.
  void OnResponseBegun() { this->response_begun = true; }

  /// True if another run may follow the `runs` in progress even if all of them
  /// have run in part.
  bool MayRunAgain(std::uint32_t runs = 1) const {
    return this->may_repeat && this->may_have_run + runs < this->attempts;
  }

  /// True if another run may follow the run in progress, whose server has
  /// ended.
  bool MayReplaceEndedRun() const {
    return this->may_repeat &&
           (this->MayRunAgain() || this->extra_attempts < kMaxExtraAttempts);
  }

  /// How often another VM may run the request. One attempt is kept back, if
  /// there are several, for the case that the other VM is lost.
  std::uint32_t AttemptsForPeer() const {
    return this->may_have_run + 1 < this->attempts
               ? this->attempts - this->may_have_run - 1
               : 1;
  }

  /// Whether any send may have run.
  admission::Executed Executed() const {
    return this->may_have_run == 0 ? admission::Executed::kNo
                                   : admission::Executed::kUnknown;
  }

  std::uint32_t Sends() const {
    return this->rejected_sends + this->may_have_run;
  }

 private:
  static constexpr std::uint32_t kMaxExtraAttempts = 2;

  RetryPolicySettings settings;
  bool may_repeat;
  std::uint32_t attempts;
  std::uint32_t rejected_sends = 0;
  std::uint32_t server_rejections = 0;  ///< of these, by a server
  std::uint32_t waits = 0;
  bool waits_allowed = false;
  std::uint32_t may_have_run = 0;
  std::uint32_t extra_attempts = 0;
  bool response_begun = false;
};

}  // namespace chervilpass::serving
