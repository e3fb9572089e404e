// Lifecycle of one completion at an entry VM: attempts, tokens, stalls, retries
// and the final answer. Pure state machine.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "chervilpass/admission/refusal.h"
#include "chervilpass/core/time.h"
#include "chervilpass/routing/retry_budget.h"

namespace chervilpass::routing {

/// Settings of a CompletionFlow.
struct CompletionFlowSettings {
  std::uint32_t max_tokens = 0;         ///< of the complete answer
  std::vector<std::uint32_t> accepted;  ///< tokens that the caller has received
  Instant deadline{};                   ///< for the complete answer
  Duration stall_timeout = seconds(1);  ///< since the last token or heartbeat
  std::uint32_t max_attempts = 6;

  bool operator==(const CompletionFlowSettings&) const = default;
};

/// Number of epochs reserved for each attempt. The dispatcher uses those after
/// the first one for its own restarts.
constexpr std::uint32_t kEpochsPerAttempt = 1024;

/// Starts an attempt with the tokens accepted so far.
struct StartAttempt {
  std::uint32_t attempt = 0;  ///< from 1
  std::uint32_t epoch = 0;    ///< first epoch of the attempt
  bool operator==(const StartAttempt&) const = default;
};
/// Cancels an attempt whose result is no longer needed.
struct CancelAttempt {
  std::uint32_t attempt = 0;
  bool operator==(const CancelAttempt&) const = default;
};
/// Delivers the next token to the caller.
struct DeliverToken {
  std::uint32_t index = 0;
  std::uint32_t token = 0;
  bool operator==(const DeliverToken&) const = default;
};
/// Ends the request: the answer is complete.
struct CompleteAnswer {
  bool operator==(const CompleteAnswer&) const = default;
};
/// Ends the request with a refusal, without delay.
struct RefuseAnswer {
  admission::Refusal refusal;
  bool operator==(const RefuseAnswer&) const = default;
};

using CompletionAction = std::variant<StartAttempt,
                                      CancelAttempt,
                                      DeliverToken,
                                      CompleteAnswer,
                                      RefuseAnswer>;
using CompletionActions = std::vector<CompletionAction>;

/// The state machine. Not thread-safe.
/// Invariants: at most one attempt is current; events of other attempts are
/// ignored; each token index is accepted once and in order; exactly one of
/// CompleteAnswer and RefuseAnswer is returned, unless the caller disconnects;
/// a refusal has Executed::kNo only if no attempt can have reached a backend
/// server.
class CompletionFlow {
 public:
  CompletionFlow(CompletionFlowSettings settings, RetryBudget* budget);

  CompletionActions Start(Instant now);
  CompletionActions OnToken(std::uint32_t attempt,
                            std::uint32_t index,
                            std::uint32_t token,
                            Instant now);
  CompletionActions OnHeartbeat(std::uint32_t attempt, Instant now);
  /// The attempt reports that the answer is complete with `tokens` tokens.
  CompletionActions OnFinished(std::uint32_t attempt,
                               std::uint32_t tokens,
                               Instant now);
  CompletionActions OnRefused(std::uint32_t attempt,
                              const admission::Refusal& refusal,
                              Instant now);
  /// The dispatcher of the attempt was lost; how far the attempt got is
  /// unknown.
  CompletionActions OnAttemptLost(std::uint32_t attempt, Instant now);
  /// No dispatcher could be reached: nothing was sent.
  CompletionActions OnNotSent(std::uint32_t attempt, Instant now);
  /// No other cell can be tried. Refuses with the last refusal, if there is
  /// one.
  CompletionActions OnNoCellLeft(std::uint32_t attempt, Instant now);
  CompletionActions OnCallerGone();
  /// Must be called several times within each stall timeout.
  CompletionActions OnTick(Instant now);

  bool Ended() const { return this->ended; }
  const std::vector<std::uint32_t>& Accepted() const {
    return this->settings.accepted;
  }

 private:
  bool IsCurrent(std::uint32_t attempt) const {
    return !this->ended && attempt == this->current;
  }
  CompletionActions Retry(const admission::Refusal& reason, Instant now);
  CompletionActions Refuse(admission::Refusal refusal);

  CompletionFlowSettings settings;
  RetryBudget* budget;
  std::uint32_t current = 0;  ///< number of the current attempt; 0: none yet
  bool ended = false;
  bool may_have_run = false;  ///< An attempt may have reached a backend server.
  std::optional<admission::Refusal> last_refusal;
  Instant last_progress{};
};

/// True if a retry on another cell or dispatcher may succeed.
bool IsRetryable(admission::RefusalCode code);

}  // namespace chervilpass::routing
