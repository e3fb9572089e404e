// One attempt at an answer on a chain of stages: runs each token through every
// stage once and in order. State machine without I/O.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace chervilpass::pipeline {

/// One step of one stage: `values.size()` consecutive positions.
struct StageStep {
  std::uint32_t stage = 0;  ///< index into the chain
  std::string worker;
  std::uint32_t epoch = 0;
  std::uint32_t position = 0;         ///< of the first value
  std::vector<std::uint64_t> values;  ///< token ids or activations
  bool sample = false;  ///< true on the last stage, which returns a token

  bool operator==(const StageStep&) const = default;
};

/// Status of a stage's answer to a step.
enum class StepStatus {
  kOk,
  kStaleEpoch,     ///< The stage has seen a newer epoch of the session.
  kWrongPosition,  ///< The stage's cache ends at another position.
  kBusy,           ///< The stage cannot hold another session.
};

/// A stage's answer to the step with the same stage, epoch and position.
struct StepAnswer {
  std::uint32_t stage = 0;
  std::uint32_t epoch = 0;
  std::uint32_t position = 0;
  StepStatus status = StepStatus::kOk;
  std::vector<std::uint64_t> values;  ///< activations, one for each position
  std::uint32_t token = 0;            ///< from the last stage

  bool operator==(const StepAnswer&) const = default;
};

/// Sends a step to its worker.
struct SendStep {
  StageStep step;
  bool operator==(const SendStep&) const = default;
};
/// Emits the next token of the answer.
struct EmitToken {
  std::uint32_t index = 0;  ///< position in the answer, from 0
  std::uint32_t token = 0;
  bool operator==(const EmitToken&) const = default;
};
/// The answer is complete.
struct SessionDone {
  bool operator==(const SessionDone&) const = default;
};
/// A newer attempt has taken over; this one ends without emitting anything.
struct SessionSuperseded {
  bool operator==(const SessionSuperseded&) const = default;
};
/// The session can continue only after Start() with a chain in which the failed
/// stage works.
struct NeedChain {
  std::uint32_t failed_stage = 0;
  bool operator==(const NeedChain&) const = default;
};

using SessionAction = std::
    variant<SendStep, EmitToken, SessionDone, SessionSuperseded, NeedChain>;
using SessionActions = std::vector<SessionAction>;

/// Settings of a DecodeSession.
struct DecodeSessionSettings {
  std::vector<std::uint32_t> prompt;    ///< token ids, at least one
  std::vector<std::uint32_t> accepted;  ///< known tokens of the answer
  std::uint32_t max_tokens = 0;         ///< of the answer, including accepted
  std::uint32_t first_epoch = 0;

  bool operator==(const DecodeSessionSettings&) const = default;
};

/// State machine of one decode session. Not thread-safe.
/// Invariants: at most one step is outstanding; a token is emitted only for
/// the last stage's answer to the outstanding step of the current epoch, so
/// each index is emitted once and in order; each epoch starts by replaying
/// prompt and accepted tokens through all stages.
class DecodeSession {
 public:
  explicit DecodeSession(DecodeSessionSettings settings);

  /// Starts the session on a chain of workers, one for each stage. A restart
  /// uses a new epoch. Must not be called after the session has ended.
  SessionActions Start(std::vector<std::string> chain);

  /// Handles an answer. Answers to any other than the outstanding step are
  /// ignored.
  SessionActions OnAnswer(const StepAnswer& answer);

  /// Handles the failure of the outstanding step. Ignored if `stage` and
  /// `epoch` are not those of the outstanding step.
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
  std::uint32_t start_count = 0;
  std::uint32_t stage = 0;        ///< of the outstanding step
  std::uint32_t position = 0;     ///< of the outstanding step
  std::uint32_t value_count = 0;  ///< values of the outstanding step
};

}  // namespace chervilpass::pipeline
