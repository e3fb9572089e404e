#include "chervilpass/placement/stage_cost.h"

#include <algorithm>

namespace chervilpass::placement {
namespace {

// Work that arrives during a forward pass waits for the next one: half a pass
// on average on a busy worker.
constexpr double kPassWait = 0.5;
constexpr double kBusySequences = 8;  // from here on a pass always runs
constexpr double kMinStreamSeconds = 0.1;
// Weight of the squared excess of KV cache or batch utilisation over
// PathChooserSettings::high_utilisation.
constexpr double kHighUtilisationWeight = 6;
// Utilisation above which the queueing delay of prompts follows its tangent, so
// that the cost stays finite and grows with the load beyond saturation.
constexpr double kTangentUtilisation = 0.85;

// Marginal cost of one more request, as a multiple of its service time, on a
// worker that spends the share `utilisation` of its time on prompts. The delay
// of a queue is 1 / (1 - u); including the delay that the request adds to
// others it is 1 / (1 - u)^2.
double QueueingFactor(double utilisation) {
  const double u = std::min(utilisation, kTangentUtilisation);
  const double idle = 1 - u;
  const double slope = 2 / (idle * idle * idle);
  return 1 / (idle * idle) + slope * (utilisation - u);
}

// Delay of the request itself in that queue, without what it adds to others.
double OwnQueueingFactor(double utilisation) {
  const double u = std::min(utilisation, kTangentUtilisation);
  const double idle = 1 - u;
  return 1 / idle + (utilisation - u) / (idle * idle);
}

// Seconds that a typical request takes through all layers, averaged over the
// kinds of accelerators; used to estimate the arrival rate of requests.
double TypicalStreamSeconds(const ModelProfile& model) {
  double factors = 0;
  for (const auto& [name, kind] : model.accelerator_kinds) {
    factors += kind.step_factor;
  }
  const double factor =
      model.accelerator_kinds.empty()
          ? 1
          : factors / static_cast<double>(model.accelerator_kinds.size());
  return std::max(kMinStreamSeconds, model.typical_answer_tokens * factor *
                                         (1 + kPassWait) *
                                         ToSeconds(model.step_time));
}

}  // namespace

StageCost::StageCost(const ModelProfile& model,
                     const PathQuery& query,
                     const PathChooserSettings& settings,
                     bool check_capacity)
    : model(model),
      query(query),
      settings(settings),
      stream_seconds(TypicalStreamSeconds(model)),
      check_capacity(check_capacity) {}

double StageCost::Seconds(const PathCandidate& candidate,
                          std::uint32_t layers,
                          bool first) const {
  const double utilisation =
      std::max(this->KvUtilisation(candidate, layers),
               first ? this->BatchUtilisation(candidate) : 0) /
      candidate.capacity_share;
  if (this->check_capacity &&
      utilisation > this->query.max_utilisation.value_or(
                        this->settings.max_utilisation)) {
    return kNoCapacityCost;
  }
  const double excess_utilisation = std::max(
      0.0, std::min(utilisation, 2.0) - this->settings.high_utilisation);
  const double high_utilisation_factor =
      1 + kHighUtilisationWeight * excess_utilisation * excess_utilisation;
  if (this->query.weights) {
    const CostWeights& weights = *this->query.weights;
    return this->WeightedSeconds(candidate, layers, weights) *
               high_utilisation_factor +
           ToSeconds(this->query.stage_loss_cost) +
           weights.first_event *
               this->Predict(candidate, layers, first).first_event;
  }
  const double hop_seconds =
      this->query.answer_tokens * ToSeconds(this->settings.hop_delay);
  return (this->LayerShare(layers) * candidate.slowdown_factor *
              this->ServiceSeconds(candidate, this->query.added_delay_weight) *
              QueueingFactor(this->PromptUtilisation(candidate) /
                             candidate.capacity_share) +
          hop_seconds) *
             high_utilisation_factor +
         ToSeconds(this->query.stage_loss_cost);
}

StageSeconds StageCost::Predict(const PathCandidate& candidate,
                                std::uint32_t layers,
                                bool first) const {
  StageSeconds seconds =
      PredictStage(this->model, {candidate.kind, {0, layers}, candidate.load},
                   this->query.prompt_tokens);
  const double factor = candidate.slowdown_factor *
                        OwnQueueingFactor(this->PromptUtilisation(candidate) /
                                          candidate.capacity_share);
  const double hop = ToSeconds(this->settings.hop_delay);
  seconds.first_event = factor * seconds.first_event + hop +
                        (first ? ToSeconds(candidate.send_wait) : 0);
  seconds.event_interval = factor * seconds.event_interval + hop;
  return seconds;
}

double StageCost::LayerShare(std::uint32_t layers) const {
  return static_cast<double>(layers) / std::max(1U, this->model.layers);
}

// The request's own time and the delay that it adds to others, which Seconds
// computes in one, with a weight of the first.
double StageCost::WeightedSeconds(const PathCandidate& candidate,
                                  std::uint32_t layers,
                                  const CostWeights& weights) const {
  const double share = this->LayerShare(layers) * candidate.slowdown_factor;
  const double own = share * this->ServiceSeconds(candidate, 0);
  const double with_added =
      share * this->ServiceSeconds(candidate, this->query.added_delay_weight);
  const double utilisation =
      this->PromptUtilisation(candidate) / candidate.capacity_share;
  const double own_delayed = own * OwnQueueingFactor(utilisation);
  const double hop_seconds =
      this->query.answer_tokens * ToSeconds(this->settings.hop_delay);
  return weights.own_time * (own_delayed + hop_seconds) +
         with_added * QueueingFactor(utilisation) - own_delayed;
}

// Share of the worker's KV cache in use with the request added.
double StageCost::KvUtilisation(const PathCandidate& candidate,
                                std::uint32_t layers) const {
  const double tokens = this->query.prompt_tokens + this->query.answer_tokens;
  const double capacity = this->model.KvCapacityTokenLayers(
      candidate.kind, candidate.layers.Size());
  return capacity <= 0
             ? kNoCapacityCost
             : (candidate.load.kv_token_layers + tokens * layers) / capacity;
}

// Share of the worker's batch slots in use with the request added. Counts all
// requests, since a worker with the first layer runs the first stage of nearly
// all paths through it.
double StageCost::BatchUtilisation(const PathCandidate& candidate) const {
  return this->model.batch_limit == 0
             ? 0
             : (candidate.load.sequences + 1) / this->model.batch_limit;
}

// Seconds that the request takes through all layers on this worker, plus the
// weighted time that it adds to the steps of the other requests in the batch.
// A step of the request takes the time of 1 + sequences requests, and each of
// the others gets longer by the time of one.
double StageCost::ServiceSeconds(const PathCandidate& candidate,
                                 double added_weight) const {
  const double tokens = this->query.prompt_tokens + this->query.answer_tokens;
  const double sequences = candidate.load.sequences;
  const double step = ToSeconds(this->model.step_time) +
                      ToSeconds(this->model.step_per_sequence) *
                          (1 + (1 + added_weight) * sequences) +
                      ToSeconds(this->model.step_per_1000_context_tokens) /
                          1000 *
                          (tokens * (1 + added_weight * sequences) +
                           candidate.load.context_tokens);
  const double pass_wait_factor =
      1 + kPassWait * std::min(1.0, sequences / kBusySequences);
  const double decode = this->query.answer_tokens * pass_wait_factor *
                        candidate.kind.step_factor * step;
  return decode + this->query.prompt_tokens * this->PromptSeconds(candidate);
}

// Prefill time of one prompt token through all layers, in seconds.
double StageCost::PromptSeconds(const PathCandidate& candidate) const {
  return this->model.prefill_tokens_per_second <= 0
             ? 0
             : candidate.kind.prefill_factor /
                   this->model.prefill_tokens_per_second;
}

// Share of its time that the worker spends on prompts. By Little's law the
// arrival rate of its requests is their number divided by their duration. The
// number of layers that they run follows from the KV cache that they reserve.
double StageCost::PromptUtilisation(const PathCandidate& candidate) const {
  const double typical_tokens = this->model.typical_prompt_tokens +
                                this->model.typical_answer_tokens / 2.0;
  if (typical_tokens <= 0 || this->model.layers == 0) {
    return 0;
  }
  const double full_model_requests =
      candidate.load.kv_token_layers / typical_tokens / this->model.layers;
  return full_model_requests / this->stream_seconds *
         this->model.typical_prompt_tokens * candidate.slowdown_factor *
         this->PromptSeconds(candidate);
}

}  // namespace chervilpass::placement
