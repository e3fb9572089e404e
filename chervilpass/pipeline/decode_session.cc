#include "chervilpass/pipeline/decode_session.h"

#include <cassert>

namespace chervilpass::pipeline {

DecodeSession::DecodeSession(DecodeSessionSettings settings)
    : settings(std::move(settings)) {
  assert(!this->settings.prompt.empty());
}

SessionActions DecodeSession::Start(std::vector<std::string> chain) {
  assert(!chain.empty());
  assert(this->phase != Phase::kEnded);
  this->chain = std::move(chain);
  this->epoch = this->settings.first_epoch + this->start_count++;
  if (this->settings.accepted.size() >= this->settings.max_tokens) {
    this->phase = Phase::kEnded;
    return {SessionDone{}};
  }
  // Prefill: prompt and accepted tokens run through the chain with one step for
  // each stage.
  std::vector<std::uint64_t> values(this->settings.prompt.begin(),
                                    this->settings.prompt.end());
  values.insert(values.end(), this->settings.accepted.begin(),
                this->settings.accepted.end());
  this->stage = 0;
  this->position = 0;
  return this->SendToStage(std::move(values));
}

SessionActions DecodeSession::SendToStage(std::vector<std::uint64_t> values) {
  this->phase = Phase::kWaiting;
  this->value_count = static_cast<std::uint32_t>(values.size());
  StageStep step;
  step.stage = this->stage;
  step.worker = this->chain[this->stage];
  step.epoch = this->epoch;
  step.position = this->position;
  step.values = std::move(values);
  step.sample = this->stage + 1 == this->chain.size();
  return {SendStep{std::move(step)}};
}

SessionActions DecodeSession::OnAnswer(const StepAnswer& answer) {
  const bool expected =
      this->phase == Phase::kWaiting && answer.epoch == this->epoch &&
      answer.stage == this->stage && answer.position == this->position;
  if (!expected) {
    return {};
  }
  switch (answer.status) {
    case StepStatus::kStaleEpoch:
      this->phase = Phase::kEnded;
      return {SessionSuperseded{}};
    case StepStatus::kWrongPosition:
    case StepStatus::kBusy:
      // The stage does not hold the cache that this step continues.
      this->phase = Phase::kNeedsChain;
      return {NeedChain{answer.stage}};
    case StepStatus::kOk:
      break;
  }
  if (this->stage + 1 == this->chain.size()) {
    return this->OnToken(answer.token);
  }
  if (answer.values.size() != this->value_count) {
    // With a missing or extra position, a token would skip the stage's layers.
    this->phase = Phase::kNeedsChain;
    return {NeedChain{answer.stage}};
  }
  ++this->stage;
  return this->SendToStage(answer.values);
}

SessionActions DecodeSession::OnToken(std::uint32_t token) {
  const auto index = static_cast<std::uint32_t>(this->settings.accepted.size());
  this->settings.accepted.push_back(token);
  SessionActions actions = {EmitToken{index, token}};
  if (this->settings.accepted.size() >= this->settings.max_tokens) {
    this->phase = Phase::kEnded;
    actions.push_back(SessionDone{});
    return actions;
  }
  this->position += this->value_count;
  this->stage = 0;
  for (SessionAction& action : this->SendToStage({token})) {
    actions.push_back(std::move(action));
  }
  return actions;
}

SessionActions DecodeSession::OnStageFailed(std::uint32_t stage,
                                            std::uint32_t epoch) {
  if (this->phase != Phase::kWaiting || epoch != this->epoch ||
      stage != this->stage) {
    return {};
  }
  this->phase = Phase::kNeedsChain;
  return {NeedChain{stage}};
}

}  // namespace chervilpass::pipeline
