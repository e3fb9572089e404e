// One attempt at an answer over a chain of stages: drives each token through
// every stage once and in order. Pure state machine.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace chervilpass::pipeline {

/// One piece of work for one stage: `values.size()` consecutive positions.
struct StageStep {
  std::uint32_t stage = 0;  ///< index into the chain
  std::string worker;
  std::uint32_t epoch = 0;
  std::uint32_t position = 0;         ///< of the first value
  std::vector<std::uint64_t> values;  ///< token ids or activations
  bool sample = false;  ///< true on the last stage: a token is wanted

  bool operator==(const StageStep&) const = default;
};

/// How a stage answered a step.
enum class StepStatus {
  kOk,
  kStaleEpoch,     ///< A newer epoch of the session is known.
  kWrongPosition,  ///< The stage's cache stands at another position.
  kBusy,           ///< The stage has no room for another session.
};

/// A stage's answer, named by the step it belongs to.
struct StepAnswer {
  std::uint32_t stage = 0;
  std::uint32_t epoch = 0;
  std::uint32_t position = 0;
  StepStatus status = StepStatus::kOk;
  std::vector<std::uint64_t> values;
  std::uint32_t token = 0;

  bool operator==(const StepAnswer&) const = default;
};

/// Sends a step to its worker.
struct SendStep {
  StageStep step;
  bool operator==(const SendStep&) const = default;
};
/// Gives the next token of the answer to the caller.
struct EmitToken {
  std::uint32_t index = 0;  ///< of the answer, from 0
  std::uint32_t token = 0;
  bool operator==(const EmitToken&) const = default;
};
/// The answer is whole.
struct SessionDone {
  bool operator==(const SessionDone&) const = default;
};
/// A newer attempt runs elsewhere; this one must end without a word.
struct SessionSuperseded {
  bool operator==(const SessionSuperseded&) const = default;
};
/// A stage must be replaced before the session can go on.
struct NeedChain {
  std::uint32_t failed_stage = 0;
  bool operator==(const NeedChain&) const = default;
};

using SessionAction = std::
    variant<SendStep, EmitToken, SessionDone, SessionSuperseded, NeedChain>;
using SessionActions = std::vector<SessionAction>;

/// Describes a DecodeSession.
struct DecodeSessionSettings {
  std::vector<std::uint32_t> prompt;    ///< token ids, at least one
  std::vector<std::uint32_t> accepted;  ///< tokens of the answer known already
  std::uint32_t max_tokens = 0;         ///< of the answer, accepted included
  std::uint32_t first_epoch = 0;

  bool operator==(const DecodeSessionSettings&) const = default;
};

/// The state machine. Not thread-safe.
/// Invariants: at most one step is outstanding; a token is emitted only for
/// the answer of the last stage to the outstanding step of the current epoch,
/// so each index is emitted once and in order; each epoch starts by replaying
/// prompt and accepted tokens through the whole chain.
class DecodeSession {
 public:
  explicit DecodeSession(DecodeSessionSettings settings);

  /// Starts, or starts again under a new epoch, on this chain of workers.
  SessionActions Start(std::vector<std::string> chain);

  /// An answer arrived; late, repeated and foreign ones change nothing.
  SessionActions OnAnswer(const StepAnswer& answer);

  /// The outstanding step of that stage and epoch got no answer.
  SessionActions OnStageFailed(std::uint32_t stage, std::uint32_t epoch);

  std::uint32_t Epoch() const { return this->epoch; }
  const std::vector<std::uint32_t>& Accepted() const {
    return this->settings.accepted;
  }
  const std::vector<std::string>& Chain() const { return this->chain; }

 private:
  enum class Phase { kIdle, kWaiting, kNeedsChain, kEnded };

  SessionActions SendToStage(std::vector<std::uint64_t> values);
  SessionActions OnToken(std::uint32_t token);

  DecodeSessionSettings settings;
  Phase phase = Phase::kIdle;
  std::vector<std::string> chain;
  std::uint32_t epoch = 0;
  std::uint32_t starts = 0;
  std::uint32_t stage = 0;     ///< of the outstanding step
  std::uint32_t position = 0;  ///< of the outstanding step
  std::uint32_t count = 0;     ///< values of the outstanding step
};

}  // namespace chervilpass::pipeline
