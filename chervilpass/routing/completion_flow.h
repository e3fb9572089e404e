// The life of one completion at an entry: attempts, tokens, stalls, retries and
// the final answer. Pure state machine.
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

/// Describes a CompletionFlow.
struct CompletionFlowSettings {
  std::uint32_t max_tokens = 0;         ///< of the whole answer
  std::vector<std::uint32_t> accepted;  ///< tokens the caller has already
  Instant deadline{};                   ///< for the whole answer
  Duration stall_timeout = seconds(1);  ///< without a token or heartbeat
  std::uint32_t max_attempts = 6;

  bool operator==(const CompletionFlowSettings&) const = default;
};

/// Epochs of one attempt; a dispatcher uses the ones below for its own
/// restarts.
constexpr std::uint32_t kEpochsPerAttempt = 1024;

/// Starts an attempt with the tokens accepted so far.
struct StartAttempt {
  std::uint32_t attempt = 0;  ///< from 1
  std::uint32_t epoch = 0;    ///< first epoch of the attempt
  bool operator==(const StartAttempt&) const = default;
};
/// Ends an attempt that is no longer wanted.
struct CancelAttempt {
  std::uint32_t attempt = 0;
  bool operator==(const CancelAttempt&) const = default;
};
/// Gives the caller the next token.
struct DeliverToken {
  std::uint32_t index = 0;
  std::uint32_t token = 0;
  bool operator==(const DeliverToken&) const = default;
};
/// The caller has the whole answer.
struct CompleteAnswer {
  bool operator==(const CompleteAnswer&) const = default;
};
/// The caller gets a refusal, at once.
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
/// Invariants: one attempt is current at most; only its tokens are taken, each
/// index once and in order; exactly one of CompleteAnswer and RefuseAnswer is
/// given, unless the caller leaves; a refusal says kNo only if no attempt can
/// have reached a backend server.
class CompletionFlow {
 public:
  CompletionFlow(CompletionFlowSettings settings, RetryBudget* budget);

  CompletionActions Start(Instant now);
  CompletionActions OnToken(std::uint32_t attempt,
                            std::uint32_t index,
                            std::uint32_t token,
                            Instant now);
  CompletionActions OnHeartbeat(std::uint32_t attempt, Instant now);
  /// The attempt says that it has generated the whole answer.
  CompletionActions OnFinished(std::uint32_t attempt,
                               std::uint32_t tokens,
                               Instant now);
  CompletionActions OnRefused(std::uint32_t attempt,
                              const admission::Refusal& refusal,
                              Instant now);
  /// The dispatcher of the attempt is gone; what it did is unknown.
  CompletionActions OnAttemptLost(std::uint32_t attempt, Instant now);
  /// No dispatcher could be reached: nothing was sent.
  CompletionActions OnNotSent(std::uint32_t attempt, Instant now);
  /// No cell is left to try; the last refusal, if there was one, is final.
  CompletionActions OnNoChoice(std::uint32_t attempt, Instant now);
  CompletionActions OnCallerGone();
  /// To be called a few times within the stall time.
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
  bool may_have_run = false;
  std::optional<admission::Refusal> last_refusal;
  Instant last_progress{};
};

/// True if another cell or dispatcher may do better than the one that refused.
bool IsRetryable(admission::RefusalCode code);

}  // namespace chervilpass::routing
