#include "chervilpass/ledger/service_flow.h"

#include <cassert>
#include <type_traits>

namespace chervilpass::ledger {
namespace {

using admission::Executed;
using admission::Refusal;
using admission::RefusalCode;

constexpr Duration kRetryAfter = seconds(1);
constexpr Duration kStoreRetryAfter = seconds(2);

// Returns the refusal for a reply that does not grant the claim.
Refusal RefusalFor(const ClaimReply& reply) {
  return std::visit(
      [](const auto& value) -> Refusal {
        using T = std::decay_t<decltype(value)>;
        if constexpr (std::is_same_v<T, Running>) {
          return {RefusalCode::kInProgress, Executed::kUnknown, kRetryAfter,
                  "a call with this idempotency key is running"};
        } else if constexpr (std::is_same_v<T, Unknown>) {
          return {RefusalCode::kOutcomeUnknown, Executed::kUnknown, kRetryAfter,
                  "an earlier call with this idempotency key may have run; it "
                  "is not run again"};
        } else if constexpr (std::is_same_v<T, Mismatch>) {
          return {RefusalCode::kKeyReused, Executed::kNo, Duration(0),
                  "this idempotency key was used with another request"};
        } else {
          // This call has not run. Whether an earlier call with the key has is
          // known only to a dispatcher that has read the shard.
          bool known_fresh = false;
          if constexpr (std::is_same_v<T, Unavailable>) {
            known_fresh = value.known_fresh;
          }
          return {RefusalCode::kStoreUnavailable,
                  known_fresh ? Executed::kNo : Executed::kUnknown,
                  kStoreRetryAfter,
                  "the claim on the idempotency key cannot be stored now; come "
                  "back with the same key"};
        }
      },
      reply);
}

}  // namespace

ServiceActions ServiceFlow::Start(Instant now) {
  if (now >= this->settings.deadline) {
    return this->End(
        RefuseCall{{RefusalCode::kDeadlinePassed, Executed::kNo, Duration(0),
                    "the deadline has passed already"}});
  }
  this->budget->OnFirstAttempt();
  if (this->settings.repeatable) {
    return this->SendNext(now);
  }
  return {RequestClaim{}};
}

ServiceActions ServiceFlow::OnClaim(const ClaimReply& reply, Instant now) {
  if (this->ended) {
    return {};
  }
  if (std::holds_alternative<Granted>(reply)) {
    this->claimed = true;
    // The claim may have been slow, or this process may have been frozen.
    if (now >= this->settings.deadline) {
      return this->GiveUp({RefusalCode::kDeadlinePassed, Executed::kNo,
                           kRetryAfter,
                           "the deadline passed before the call was sent"});
    }
    return this->SendNext(now);
  }
  if (const auto* completed = std::get_if<Completed>(&reply)) {
    if (completed->body_kept) {
      return this->End(AnswerCall{completed->outcome, true});
    }
    return this->End(
        RefuseCall{{RefusalCode::kOutcomeUnknown, Executed::kYes, Duration(0),
                    "the call has run; its answer was too large to be kept"}});
  }
  return this->End(RefuseCall{RefusalFor(reply)});
}

ServiceActions ServiceFlow::SendNext(Instant now) {
  (void)now;
  ++this->sends;
  return {SendCall{this->sends}};
}

ServiceActions ServiceFlow::OnResponse(const io::HttpResponse& response,
                                       Instant now) {
  (void)now;
  if (this->ended) {
    return {};
  }
  this->may_have_run = true;
  if (!this->claimed) {
    return this->End(AnswerCall{response, false});
  }
  this->after_record = {AnswerCall{response, false}};
  return {RecordOutcome{response}};
}

ServiceActions ServiceFlow::OnSendFailed(SendFailure failure, Instant now) {
  if (this->ended) {
    return {};
  }
  if (failure == SendFailure::kAmbiguous) {
    this->may_have_run = true;
    if (this->claimed) {
      // The claim stays: the call may have run and must not run again.
      return this->End(RefuseCall{
          {RefusalCode::kOutcomeUnknown, Executed::kUnknown, kRetryAfter,
           "the backend server was lost while it ran the call"}});
    }
  }
  const bool may_retry = this->sends < this->settings.max_sends &&
                         now < this->settings.deadline &&
                         this->budget->TryRetry();
  if (may_retry) {
    return this->SendNext(now);
  }
  return this->GiveUp({RefusalCode::kBackendFailed, Executed::kNo, kRetryAfter,
                       "no backend server answered the call"});
}

ServiceActions ServiceFlow::OnNoBackend(Instant now) {
  (void)now;
  if (this->ended) {
    return {};
  }
  return this->GiveUp({RefusalCode::kNoBackend, Executed::kNo, kRetryAfter,
                       "no backend server of this service can take it now"});
}

ServiceActions ServiceFlow::OnQuarantined(Duration retry_after) {
  if (this->ended) {
    return {};
  }
  return this->GiveUp({RefusalCode::kQuarantined, Executed::kNo, retry_after,
                       "the call has crashed the backend servers that ran it"});
}

ServiceActions ServiceFlow::OnRecorded(bool durable) {
  (void)durable;  // If not durable, it is written once the store answers.
  if (this->ended || this->after_record.empty()) {
    return {};
  }
  this->ended = true;
  return std::move(this->after_record);
}

// Ends without an answer from a backend server. If nothing can have run, a
// granted claim is released first, so that the caller can retry with the same
// key.
ServiceActions ServiceFlow::GiveUp(Refusal refusal) {
  if (this->may_have_run) {
    refusal.executed = Executed::kUnknown;
    return this->End(RefuseCall{std::move(refusal)});
  }
  if (!this->claimed) {
    return this->End(RefuseCall{std::move(refusal)});
  }
  this->after_record = {RefuseCall{std::move(refusal)}};
  return {RecordRelease{}};
}

ServiceActions ServiceFlow::End(ServiceAction action) {
  assert(!this->ended);
  this->ended = true;
  return {std::move(action)};
}

}  // namespace chervilpass::ledger
