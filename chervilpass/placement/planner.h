// Plans which layers each worker holds: each data centre has a complete replica
// with KV cache for requests, and the remaining workers are spares for repairs.
// The plan starts from the layers that workers hold, so a new decider continues
// the work of the previous one.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "chervilpass/placement/model_profile.h"

namespace chervilpass::placement {

/// Input of the planner for one worker.
struct PlannedWorker {
  std::string worker;
  std::string data_centre;
  AcceleratorKind kind;
  LayerRange layers;        ///< held, or those of its open order
  bool order_open = false;  ///< an order has been sent and is not complete
  /// False while the worker does not respond: its layers don't count, but it
  /// may return soon. Workers that are leaving or gone are not in the input.
  bool usable = true;
  /// For so long it has not been usable.
  Duration unusable_for{0};
  /// Factor of its times; 1 is the speed of its kind.
  double slowdown_factor = 1;
  /// It takes only part of its load now: of several spares that are as good
  /// for a repair the others come first.
  bool paced = false;

  bool operator==(const PlannedWorker&) const = default;
};

/// Tells a worker which layers to hold.
struct PlacementOrder {
  std::string worker;
  LayerRange layers;
  /// True if the order covers layers that no worker holds: requests wait for
  /// it.
  bool urgent = false;

  auto operator<=>(const PlacementOrder&) const = default;
};

/// Settings of PlanPlacement.
struct PlannerSettings {
  /// Target KV cache capacity, as a share of a full batch of typical requests.
  /// Capacity beyond it is worth less than more spares.
  double target_batch_share = 0.65;
  /// Average number of workers per layer above which more spares are worth
  /// nothing.
  double max_coverage = 1.6;
  /// Value of one more worker for each layer, relative to the value of the
  /// whole target capacity.
  double coverage_weight = 0.5;
  /// Minimum KV cache capacity for serving requests, in tokens of each layer.
  double min_kv_tokens = 10000;
  double kv_tokens_step = 5000;  ///< step of the search, tokens of each layer
  /// KV cache capacity that a range must keep when it is extended over
  /// uncovered layers, in tokens of each layer.
  double repair_min_kv_tokens = 12000;
  /// A worker that does not respond for this long, though it is still
  /// registered, is not expected back: serving workers may be moved to cover
  /// its layers. Registrations of crashed workers last up to 15 s.
  Duration return_time = seconds(4);
  /// The same while no data centre has a whole replica: paths across data
  /// centres, if there are any, carry only a few requests.
  Duration return_time_without_replica = milliseconds(1200);

  bool operator==(const PlannerSettings&) const = default;
};

/// Number of layers that a worker of each kind holds in one data centre.
struct RangeSizes {
  double kv_tokens = 0;  ///< KV cache capacity, tokens of each layer

  /// Layers that leave `kv_tokens` free on an accelerator; at least 1 if one
  /// fits into its memory.
  std::uint32_t LayersFor(const ModelProfile& model,
                          const AcceleratorKind& kind) const;

  bool operator==(const RangeSizes&) const = default;
};

/// Returns the sizes with the highest value among those that cover the model;
/// without `kv_tokens` if none do.
RangeSizes ChooseSizes(const ModelProfile& model,
                       const std::vector<PlannedWorker>& workers,
                       const PlannerSettings& settings);

/// Returns the orders to send now, urgent ones first; none once nothing can be
/// improved. No order exceeds a worker's memory, and each worker gets at most
/// one. Data centres too small for a complete replica are planned together.
std::vector<PlacementOrder> PlanPlacement(
    const ModelProfile& model,
    const std::vector<PlannedWorker>& workers,
    const PlannerSettings& settings);

/// Returns the ranges of layers that no usable worker of `workers` holds.
std::vector<LayerRange> UncoveredLayers(
    const ModelProfile& model,
    const std::vector<PlannedWorker>& workers);

}  // namespace chervilpass::placement
