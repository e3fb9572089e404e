#include "chervilpass/placement/stream_times.h"

#include <algorithm>
#include <cmath>

namespace chervilpass::placement {
namespace {

constexpr double kPassWait = 0.5;  // of a pass in progress, on average

// Seconds of the decode steps of one pass through the layers of a stage.
double PassSeconds(const ModelProfile& model, const StageLoad& stage) {
  const double share =
      static_cast<double>(stage.layers.Size()) / std::max(1U, model.layers);
  const double step =
      ToSeconds(model.step_time) +
      ToSeconds(model.step_per_sequence) * stage.load.sequences +
      ToSeconds(model.step_per_1000_context_tokens) / 1000 *
          stage.load.context_tokens;
  return std::max(1U, model.steps_per_pass) * share * stage.kind.step_factor *
         step;
}

double PrefillSeconds(const ModelProfile& model,
                      const StageLoad& stage,
                      double prompt_tokens) {
  const double share =
      static_cast<double>(stage.layers.Size()) / std::max(1U, model.layers);
  return model.prefill_tokens_per_second <= 0
             ? 0
             : share * prompt_tokens * stage.kind.prefill_factor /
                   model.prefill_tokens_per_second;
}

void AddStage(const ModelProfile& model,
              const StageLoad& stage,
              double prompt_tokens,
              StageSeconds* seconds) {
  const double chunks =
      model.prefill_chunk_tokens == 0
          ? 1
          : std::ceil(prompt_tokens / model.prefill_chunk_tokens);
  const double pass = PassSeconds(model, stage);
  seconds->event_interval += pass;
  seconds->first_event += PrefillSeconds(model, stage, prompt_tokens) + pass;
  if (stage.load.sequences > 0) {
    seconds->first_event += (chunks - 1 + kPassWait) * pass;
  }
}

Duration FromSeconds(double value) {
  return duration_cast<Duration>(std::chrono::duration<double>(value));
}

}  // namespace

StreamTimes StageSeconds::ToTimes() const {
  return {FromSeconds(this->first_event), FromSeconds(this->event_interval)};
}

StageSeconds PredictStage(const ModelProfile& model,
                          const StageLoad& stage,
                          double prompt_tokens) {
  StageSeconds seconds;
  AddStage(model, stage, prompt_tokens, &seconds);
  return seconds;
}

StreamTimes PredictStreamTimes(const ModelProfile& model,
                               const std::vector<StageLoad>& stages,
                               double prompt_tokens) {
  StageSeconds seconds;
  for (const StageLoad& stage : stages) {
    AddStage(model, stage, prompt_tokens, &seconds);
  }
  return seconds.ToTimes();
}

}  // namespace chervilpass::placement
