// Decides what follows a send: an answer, another send, or the end. The only
// place where it is decided that a request may run again.
#pragma once

#include <cstdint>

#include "chervilpass/admission/refusal.h"
#include "chervilpass/core/time.h"
#include "chervilpass/routing/route_table.h"

namespace chervilpass::serving {

/// How one send to a backend server ended.
enum class SendOutcome {
  kNotSent,      ///< No byte of the request left.
  kNotExecuted,  ///< The backend server states that it did not run.
  kAnswered,     ///< A whole answer to this request.
  kFailed,       ///< A whole answer that reports a failure of the server.
  kUnknown,      ///< Broken off, garbled or silent: it may have run.
};

/// What to do next.
enum class RetryDecision {
  kForward,  ///< Pass the answer on.
  kRetry,    ///< To another backend server, at once.
  kRefuse,   ///< It has not run and will not: say so.
  kFail,     ///< It may have run: promise nothing.
};

/// Describes a RetryPolicy.
struct RetryPolicySettings {
  /// Sends that did not run, such as refusals of full servers, are bounded by
  /// this: each costs a round trip.
  std::uint32_t max_rejected_sends = 4;
  /// With less time left, another send cannot be answered.
  Duration min_time_left = milliseconds(15);

  bool operator==(const RetryPolicySettings&) const = default;
};

/// The sends of one request. Not thread-safe.
/// Invariants: a request that may not be repeated is sent again only while no
/// send can have run; no more sends may have run than the route allows.
class RetryPolicy {
 public:
  RetryPolicy(RetryPolicySettings settings, const routing::Route& route)
      : settings(settings),
        may_repeat(route.MayRepeat()),
        attempts(route.attempts) {}

  /// A send has ended. `budget_left` says whether the fleet's retry budget
  /// still allows a repeated send; it is asked for only where one would follow.
  template <class Budget>
  RetryDecision OnSendEnded(SendOutcome outcome,
                            Duration time_left,
                            Budget budget) {
    switch (outcome) {
      case SendOutcome::kAnswered:
        return RetryDecision::kForward;
      case SendOutcome::kNotSent:
      case SendOutcome::kNotExecuted:
        ++this->rejected;
        break;
      case SendOutcome::kFailed:
      case SendOutcome::kUnknown:
        ++this->may_have_run;
        break;
    }
    const bool rejected_only = this->may_have_run == 0;
    const bool attempts_left =
        this->may_have_run < this->attempts &&
        this->rejected < this->settings.max_rejected_sends;
    const bool repeatable = rejected_only || this->may_repeat;
    if (repeatable && attempts_left &&
        time_left >= this->settings.min_time_left &&
        (outcome == SendOutcome::kNotSent || budget())) {
      return RetryDecision::kRetry;
    }
    if (outcome == SendOutcome::kFailed) {
      return RetryDecision::kForward;
    }
    return rejected_only ? RetryDecision::kRefuse : RetryDecision::kFail;
  }

  /// A worker was lost in the middle: its run does not count against the route.
  void GrantExtraAttempt() {
    this->forgiven += 1;
    this->attempts += this->forgiven <= kMaxExtraAttempts ? 1 : 0;
  }

  /// True if the send that is in progress may be followed by another one once
  /// it has run in part.
  bool MayRunAgain() const {
    return this->may_repeat && this->may_have_run + 1 < this->attempts;
  }

  /// Whether any send can have run.
  admission::Executed Executed() const {
    return this->may_have_run == 0 ? admission::Executed::kNo
                                   : admission::Executed::kUnknown;
  }

  std::uint32_t Sends() const { return this->rejected + this->may_have_run; }

 private:
  static constexpr std::uint32_t kMaxExtraAttempts = 2;  // lost workers

  RetryPolicySettings settings;
  bool may_repeat;
  std::uint32_t attempts;
  std::uint32_t rejected = 0;
  std::uint32_t may_have_run = 0;
  std::uint32_t forgiven = 0;
};

}  // namespace chervilpass::serving
