#include "chervilpass/placement/stage_cost.h"

#include <algorithm>

namespace chervilpass::placement {
namespace {

// Work that arrives during a pass waits for the next one: half a pass on
// average once a worker is busy.
constexpr double kPassWait = 0.5;
constexpr double kBusySequences = 8;  // from here on a pass is always running
constexpr double kLeastStreamSeconds = 0.1;
// Weight of KV or slot fill beyond the crowded mark.
constexpr double kCrowdingWeight = 6;
// Utilization from which the queueing delay of prompts is continued by its
// tangent: beyond saturation the cost still has to grow with the load.
constexpr double kSteepUtilization = 0.85;

// What one more request costs a worker that is busy to a share `utilization`
// of its time with prompts, as a multiple of its service time. The delay of a
// queue is 1 / (1 - u); with what the request adds to the delay of others it is
// 1 / (1 - u)^2.
double QueueingFactor(double utilization) {
  const double u = std::min(utilization, kSteepUtilization);
  const double idle = 1 - u;
  const double slope = 2 / (idle * idle * idle);
  return 1 / (idle * idle) + slope * (utilization - u);
}

// Time that a usual request takes through all layers, for the estimate of how
// many begin in a second; workers of all kinds taken alike.
double UsualStreamSeconds(const ModelProfile& model) {
  double factors = 0;
  for (const auto& [name, kind] : model.kinds) {
    factors += kind.step_factor;
  }
  const double factor = model.kinds.empty()
                            ? 1
                            : factors / static_cast<double>(model.kinds.size());
  return std::max(kLeastStreamSeconds, model.typical_answer_tokens * factor *
                                           (1 + kPassWait) *
                                           ToSeconds(model.step_time));
}

}  // namespace

StageCost::StageCost(const ModelProfile& model,
                     const PathQuery& query,
                     const PathChooserSettings& settings,
                     bool check_room)
    : model(model),
      query(query),
      settings(settings),
      stream_seconds(UsualStreamSeconds(model)),
      check_room(check_room) {}

double StageCost::Seconds(const PathCandidate& candidate,
                          std::uint32_t layers,
                          bool first) const {
  const double fill = std::max(this->RoomFill(candidate, layers),
                               first ? this->SlotFill(candidate) : 0);
  if (this->check_room && fill > this->settings.max_utilisation) {
    return kNoCapacityCost;
  }
  const double share =
      static_cast<double>(layers) / std::max(1U, this->model.layers);
  const double crowding =
      std::max(0.0, std::min(fill, 2.0) - this->settings.high_utilisation);
  const double hops =
      this->query.answer_tokens * ToSeconds(this->settings.hop_delay);
  return (share * candidate.slowness * this->ServiceSeconds(candidate) *
              QueueingFactor(this->PromptUtilization(candidate)) +
          hops) *
         (1 + kCrowdingWeight * crowding * crowding);
}

// KV room in use once the request is there.
double StageCost::RoomFill(const PathCandidate& candidate,
                           std::uint32_t layers) const {
  const double tokens = this->query.prompt_tokens + this->query.answer_tokens;
  const double room =
      this->model.KvTokenLayers(candidate.kind, candidate.layers.Size());
  return room <= 0 ? kNoCapacityCost
                   : (candidate.load.kv_token_layers + tokens * layers) / room;
}

// Batch slots in use once the request is there. A worker that holds the first
// layer is the first of nearly all paths through it.
double StageCost::SlotFill(const PathCandidate& candidate) const {
  return this->model.batch_limit == 0
             ? 0
             : (candidate.load.sequences + 1) / this->model.batch_limit;
}

// Time of the whole model's layers on the worker for this request, with the
// time that it adds to the steps of the requests in the same batch.
double StageCost::ServiceSeconds(const PathCandidate& candidate) const {
  const double tokens = this->query.prompt_tokens + this->query.answer_tokens;
  const double sequences = candidate.load.sequences;
  const double step =
      ToSeconds(this->model.step_time) +
      ToSeconds(this->model.step_per_sequence) * (1 + 2 * sequences) +
      ToSeconds(this->model.step_per_1000_context_tokens) / 1000 *
          (tokens * (1 + sequences) + candidate.load.context_tokens);
  const double busy = 1 + kPassWait * std::min(1.0, sequences / kBusySequences);
  const double decode =
      this->query.answer_tokens * busy * candidate.kind.step_factor * step;
  return decode + this->query.prompt_tokens * this->PromptSeconds(candidate);
}

// Time to read one prompt token through all layers.
double StageCost::PromptSeconds(const PathCandidate& candidate) const {
  return this->model.prefill_tokens_per_second <= 0
             ? 0
             : candidate.kind.prefill_factor /
                   this->model.prefill_tokens_per_second;
}

// Share of its time that the worker spends on prompts: by Little's law its
// requests begin at the rate of their number over their duration. How many
// layers each runs there follows from the room that they reserve.
double StageCost::PromptUtilization(const PathCandidate& candidate) const {
  const double usual_tokens = this->model.typical_prompt_tokens +
                              this->model.typical_answer_tokens / 2.0;
  if (usual_tokens <= 0 || this->model.layers == 0) {
    return 0;
  }
  const double whole_models =
      candidate.load.kv_token_layers / usual_tokens / this->model.layers;
  return whole_models / this->stream_seconds *
         this->model.typical_prompt_tokens * candidate.slowness *
         this->PromptSeconds(candidate);
}

}  // namespace chervilpass::placement
