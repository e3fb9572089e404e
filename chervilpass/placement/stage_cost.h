// Cost of a path stage on a worker: the time that the request takes there and
// the delay that it adds to the requests with which it shares the worker.
#pragma once

#include <cstdint>
#include <limits>

#include "chervilpass/placement/path_chooser.h"

namespace chervilpass::placement {

/// Cost of a stage for which the worker has no capacity.
inline constexpr double kNoCapacityCost =
    std::numeric_limits<double>::infinity();

/// Computes costs of stages for one request. The constructor's arguments must
/// outlive it.
class StageCost {
 public:
  /// Without `check_capacity`, stages are priced even beyond the worker's
  /// capacity.
  StageCost(const ModelProfile& model,
            const PathQuery& query,
            const PathChooserSettings& settings,
            bool check_capacity);

  /// Returns the cost of `layers` layers in seconds, or kNoCapacityCost. The
  /// first stage of a path needs a batch slot.
  double Seconds(const PathCandidate& candidate,
                 std::uint32_t layers,
                 bool first) const;

  /// Predicts the times of the request in a stage of `layers` layers, with the
  /// queueing of prompts and, on the first stage, the wait for its rate limit.
  StageSeconds Predict(const PathCandidate& candidate,
                       std::uint32_t layers,
                       bool first) const;

 private:
  double KvUtilisation(const PathCandidate& candidate,
                       std::uint32_t layers) const;
  double BatchUtilisation(const PathCandidate& candidate) const;
  double LayerShare(std::uint32_t layers) const;
  double ServiceSeconds(const PathCandidate& candidate,
                        double added_weight) const;
  double WeightedSeconds(const PathCandidate& candidate,
                         std::uint32_t layers,
                         const CostWeights& weights) const;
  double PromptSeconds(const PathCandidate& candidate) const;
  double PromptUtilisation(const PathCandidate& candidate) const;

  const ModelProfile& model;
  const PathQuery& query;
  const PathChooserSettings& settings;
  double stream_seconds;  ///< duration of a typical request
  bool check_capacity;
};

}  // namespace chervilpass::placement
