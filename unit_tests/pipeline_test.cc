// Tests of the tokenizer, of decode sessions on stand-in engines, of the engine
// model and of the chain chooser.
#include <criterion/criterion.h>

#include <vector>

#include "chervilpass/core/random.h"
#include "chervilpass/pipeline/chain_chooser.h"
#include "chervilpass/pipeline/decode_session.h"
#include "chervilpass/pipeline/tokenizer.h"
#include "stand_ins/engine/engine_model.h"
#include "stand_ins/model/reference_model.h"

using namespace chervilpass;
using namespace chervilpass::pipeline;
using stand_ins::EngineModel;

namespace {

constexpr std::uint32_t kLayers = 8;
constexpr std::uint64_t kSeed = 5;

std::vector<EngineModel> MakeChain() {
  std::vector<EngineModel> chain;
  for (std::uint32_t stage = 0; stage < 4; ++stage) {
    chain.emplace_back(stage * 2, stage * 2 + 1, 16);
  }
  return chain;
}

StepAnswer RunOn(EngineModel* engine, const StageStep& step) {
  const stand_ins::StepResult result = engine->Run(
      {"s", step.epoch, step.position, kSeed, 0, step.sample, step.values});
  StepAnswer answer{step.stage,      step.epoch,    step.position,
                    StepStatus::kOk, result.values, result.token};
  if (result.status == "stale_epoch") {
    answer.status = StepStatus::kStaleEpoch;
  } else if (result.status == "wrong_position") {
    answer.status = StepStatus::kWrongPosition;
  } else if (result.status == "busy") {
    answer.status = StepStatus::kBusy;
  }
  return answer;
}

const std::vector<std::string> kChainNames = {"a", "b", "c", "d"};

}  // namespace

Test(tokenizer, whitespace_does_not_change_tokens) {
  cr_assert(Tokenize("one  two\nthree") == Tokenize("one two three"));
  cr_assert_eq(Tokenize("").size(), 1);
}

Test(session, answer_matches_the_reference_model) {
  const std::vector<std::uint32_t> prompt = {1, 2, 3};
  auto engines = MakeChain();
  DecodeSession session({prompt, {}, 6, 0});
  std::vector<std::uint32_t> tokens;
  SessionActions actions = session.Start(kChainNames);
  bool done = false;
  while (!done) {
    std::optional<StageStep> step;
    for (const SessionAction& action : actions) {
      if (const auto* send = std::get_if<SendStep>(&action)) {
        step = send->step;
      } else if (const auto* token = std::get_if<EmitToken>(&action)) {
        cr_assert_eq(token->index, tokens.size());
        tokens.push_back(token->token);
      } else {
        done = std::holds_alternative<SessionDone>(action);
      }
    }
    if (step) {
      actions = session.OnAnswer(RunOn(&engines[step->stage], *step));
    }
  }
  cr_assert(tokens == stand_ins::ReferenceAnswer(kLayers, prompt, kSeed, 6));
}

// Drops, repeats and delays answers and restarts stages at random. The session
// must still produce the reference model's answer.
Test(session, faults_at_any_step_do_not_change_the_answer) {
  for (std::uint64_t seed = 0; seed < 2000; ++seed) {
    Random random(seed);
    const std::vector<std::uint32_t> prompt = {4, 5};
    auto engines = MakeChain();
    DecodeSession session({prompt, {}, 5, 0});
    std::vector<std::uint32_t> tokens;
    std::vector<StepAnswer> late_answers;
    SessionActions actions = session.Start(kChainNames);
    bool done = false;
    int steps = 0;
    while (!done) {
      cr_assert_lt(++steps, 10000);
      std::optional<StageStep> step;
      bool need_chain = false;
      for (const SessionAction& action : actions) {
        if (const auto* send = std::get_if<SendStep>(&action)) {
          step = send->step;
        } else if (const auto* token = std::get_if<EmitToken>(&action)) {
          cr_assert_eq(token->index, tokens.size(), "seed %lu", seed);
          tokens.push_back(token->token);
        } else if (std::holds_alternative<NeedChain>(action)) {
          need_chain = true;
        } else {
          done = std::holds_alternative<SessionDone>(action);
        }
      }
      if (done) {
        break;
      }
      if (need_chain) {
        actions = session.Start(kChainNames);
        continue;
      }
      if (!step) {
        // Late answers are ignored, so a step is always outstanding here.
        cr_assert(false, "no step, seed %lu", seed);
      }
      const StepAnswer answer = RunOn(&engines[step->stage], *step);
      if (random.Chance(0.05)) {  // The stage is replaced and loses its cache.
        engines[step->stage] =
            EngineModel(step->stage * 2, step->stage * 2 + 1, 16);
      }
      while (!late_answers.empty() && random.Chance(0.5)) {
        cr_assert(session.OnAnswer(late_answers.back()).empty(), "seed %lu",
                  seed);
        late_answers.pop_back();
      }
      if (random.Chance(0.05)) {  // The answer is lost.
        late_answers.push_back(answer);
        actions = session.OnStageFailed(step->stage, step->epoch);
        continue;
      }
      actions = session.OnAnswer(answer);
      if (random.Chance(0.2)) {
        late_answers.push_back(answer);
      }
    }
    cr_assert(tokens == stand_ins::ReferenceAnswer(kLayers, prompt, kSeed, 5),
              "seed %lu", seed);
  }
}

Test(session, accepted_tokens_are_replayed_and_not_emitted_again) {
  const std::vector<std::uint32_t> prompt = {9};
  const auto reference = stand_ins::ReferenceAnswer(kLayers, prompt, kSeed, 4);
  auto engines = MakeChain();
  DecodeSession session({prompt, {reference[0], reference[1]}, 4, 7});
  SessionActions actions = session.Start(kChainNames);
  std::vector<std::uint32_t> tokens;
  while (true) {
    std::optional<StageStep> step;
    for (const SessionAction& action : actions) {
      if (const auto* send = std::get_if<SendStep>(&action)) {
        step = send->step;
        cr_assert_eq(step->epoch, 7);
      } else if (const auto* token = std::get_if<EmitToken>(&action)) {
        tokens.push_back(token->token);
      }
    }
    if (!step) {
      break;
    }
    actions = session.OnAnswer(RunOn(&engines[step->stage], *step));
  }
  cr_assert(tokens == (std::vector<std::uint32_t>{reference[2], reference[3]}));
}

Test(session, a_stale_epoch_ends_the_older_session_without_a_token) {
  auto engines = MakeChain();
  DecodeSession older({{1}, {}, 4, 0});
  DecodeSession newer({{1}, {}, 4, 1024});
  const auto older_step =
      std::get<SendStep>(older.Start(kChainNames).front()).step;
  const auto newer_step =
      std::get<SendStep>(newer.Start(kChainNames).front()).step;
  RunOn(&engines[0], newer_step);
  const auto actions = older.OnAnswer(RunOn(&engines[0], older_step));
  cr_assert_eq(actions.size(), 1);
  cr_assert(std::holds_alternative<SessionSuperseded>(actions.front()));
}

Test(session, a_stage_that_drops_a_position_is_replaced) {
  DecodeSession session({{1, 2, 3}, {}, 4, 0});
  session.Start(kChainNames);
  const auto actions = session.OnAnswer({0, 0, 0, StepStatus::kOk, {1, 2}, 0});
  cr_assert(std::holds_alternative<NeedChain>(actions.front()));
}

Test(engine_model, a_repeated_step_returns_the_same_result) {
  EngineModel engine(0, 3, 4);
  const stand_ins::StepRequest request{"s", 1, 0, kSeed, 0, false, {1, 2}};
  const auto first = engine.Run(request);
  const auto second = engine.Run(request);
  cr_assert(first.values == second.values);
  cr_assert(engine.Run({"s", 1, 5, kSeed, 0, false, {1}}).status ==
            "wrong_position");
  cr_assert(engine.Run({"s", 0, 2, kSeed, 0, false, {1}}).status ==
            "stale_epoch");
}

Test(engine_model, an_imported_cache_continues_at_the_exported_position) {
  EngineModel source(0, 3, 4);
  EngineModel target(0, 3, 4);
  source.Run({"s", 1, 0, kSeed, 0, false, {1, 2}});
  cr_assert(target.Import("s", *source.Export("s")));
  cr_assert(source.Run({"s", 1, 2, kSeed, 0, false, {3}}).values ==
            target.Run({"s", 1, 2, kSeed, 0, false, {3}}).values);
}

Test(chain_chooser, chooses_the_replica_with_the_lowest_expected_step_time) {
  const std::vector<StageReplicas> stages = {
      {{"a", 0, 8, milliseconds(4), false},
       {"b", 0, 8, milliseconds(1), false}},
      {{"c", 7, 8, milliseconds(2), false},
       {"d", 0, 8, milliseconds(2), false}}};
  cr_assert(ChooseChain(stages, false)->workers ==
            (std::vector<std::string>{"b", "d"}));
}

Test(chain_chooser, a_suspect_avoids_workers_that_run_a_suspect) {
  const std::vector<StageReplicas> stages = {
      {{"a", 0, 8, milliseconds(1), true},
       {"b", 0, 8, milliseconds(9), false}}};
  cr_assert(ChooseChain(stages, true)->workers.front() == "b");
  cr_assert(ChooseChain(stages, false)->workers.front() == "a");
  cr_assert(!ChooseChain({{{"a", 0, 8, milliseconds(1), true}}}, true));
  cr_assert(!ChooseChain({{{"a", 8, 8, milliseconds(1), false}}}, false));
}
