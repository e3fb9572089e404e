// Lifecycle of one call to a plain service at a dispatcher: claim, send,
// record, answer. Pure state machine.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "chervilpass/admission/refusal.h"
#include "chervilpass/core/time.h"
#include "chervilpass/io/http.h"
#include "chervilpass/ledger/shard_log.h"
#include "chervilpass/routing/retry_budget.h"

namespace chervilpass::ledger {

/// How sending a call to a backend server failed.
enum class SendFailure {
  kNotSent,    ///< Nothing can have reached the backend server.
  kAmbiguous,  ///< The call may have run.
};

/// Claims the idempotency key at the ledger.
struct RequestClaim {
  bool operator==(const RequestClaim&) const = default;
};
/// Sends the call to a backend server that has not failed this call yet.
struct SendCall {
  std::uint32_t number = 0;  ///< from 1
  bool operator==(const SendCall&) const = default;
};
/// Records the outcome in the ledger.
struct RecordOutcome {
  io::HttpResponse outcome;
  bool operator==(const RecordOutcome&) const = default;
};
/// Records in the ledger that the key is released.
struct RecordRelease {
  bool operator==(const RecordRelease&) const = default;
};
/// Answers the caller with the backend server's response; `replayed` if the
/// response comes from the ledger.
struct AnswerCall {
  io::HttpResponse response;
  bool replayed = false;
  bool operator==(const AnswerCall&) const = default;
};
/// Refuses the call, without delay.
struct RefuseCall {
  admission::Refusal refusal;
  bool operator==(const RefuseCall&) const = default;
};

using ServiceAction = std::variant<RequestClaim,
                                   SendCall,
                                   RecordOutcome,
                                   RecordRelease,
                                   AnswerCall,
                                   RefuseCall>;
using ServiceActions = std::vector<ServiceAction>;

/// Settings of a ServiceFlow.
struct ServiceFlowSettings {
  bool repeatable = true;  ///< If false, a claim is needed before sending.
  Instant deadline{};
  std::uint32_t max_sends = 3;

  bool operator==(const ServiceFlowSettings&) const = default;
};

/// The state machine. Not thread-safe.
/// Invariants: a call that may not be repeated is sent only after its claim was
/// granted, and retried only if nothing of the previous send can have reached a
/// backend server; the caller gets exactly one answer or refusal.
class ServiceFlow {
 public:
  ServiceFlow(ServiceFlowSettings settings, routing::RetryBudget* budget)
      : settings(settings), budget(budget) {}

  ServiceActions Start(Instant now);
  ServiceActions OnClaim(const ClaimReply& reply, Instant now);
  ServiceActions OnResponse(const io::HttpResponse& response, Instant now);
  ServiceActions OnSendFailed(SendFailure failure, Instant now);
  /// No other backend server can be tried.
  ServiceActions OnNoBackend(Instant now);
  /// The call has crashed backend servers and must not be sent again.
  ServiceActions OnQuarantined(Duration retry_after);
  /// The requested record is durable; if `durable` is false, it will be written
  /// later.
  ServiceActions OnRecorded(bool durable);

 private:
  ServiceActions SendNext(Instant now);
  ServiceActions GiveUp(admission::Refusal refusal);
  ServiceActions End(ServiceAction action);

  ServiceFlowSettings settings;
  routing::RetryBudget* budget;
  std::uint32_t sends = 0;
  bool claimed = false;
  bool may_have_run = false;
  bool ended = false;
  std::vector<ServiceAction> after_record;  ///< due once the record is done
};

}  // namespace chervilpass::ledger
