// Decides which layers each worker holds: every data centre a whole replica
// with room for requests, what is left over as spares that repair it. Works
// from what workers hold now, so that a new decider goes on where the last one
// stopped.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "chervilpass/placement/model_profile.h"

namespace chervilpass::placement {

/// A worker as the planner sees it.
struct PlannedWorker {
  std::string worker;
  std::string data_centre;
  AcceleratorKind kind;
  LayerRange layers;        ///< held, or ordered and not yet confirmed
  bool order_open = false;  ///< an order is on its way or in progress
  /// False while it does not answer: what it holds does not count, but it may
  /// be back soon. Workers that are leaving or gone are left out altogether.
  bool usable = true;
  double slowness = 1;

  bool operator==(const PlannedWorker&) const = default;
};

/// A worker is to hold these layers from now on.
struct PlacementOrder {
  std::string worker;
  LayerRange layers;
  /// Closes a gap: requests wait for it.
  bool urgent = false;

  auto operator<=>(const PlacementOrder&) const = default;
};

/// Describes the planner.
struct PlannerSettings {
  /// Room for requests, as a share of full batches of usual requests, that
  /// ranges aim at. Beyond it more room is worth less than more spares.
  double target_batch_share = 0.65;
  /// Workers for each layer, on average, beyond which more spares are worth
  /// nothing.
  double max_coverage = 1.6;
  /// Worth of one more worker for each layer, against that of the whole room
  /// wanted.
  double coverage_weight = 0.5;
  /// Room below which requests do not fit, in tokens of each layer.
  double min_kv_tokens = 10000;
  double kv_tokens_step = 5000;  ///< of the search
  /// A range may be extended over a gap while this room is left.
  double repair_min_kv_tokens = 12000;

  bool operator==(const PlannerSettings&) const = default;
};

/// Layers that a worker of each kind holds in one data centre.
struct RangeSizes {
  double kv_tokens = 0;  ///< tokens of each layer

  std::uint32_t LayersFor(const ModelProfile& model,
                          const AcceleratorKind& kind) const;

  bool operator==(const RangeSizes&) const = default;
};

/// The sizes that are worth most, of those that cover the model.
RangeSizes ChooseSizes(const ModelProfile& model,
                       const std::vector<PlannedWorker>& workers,
                       const PlannerSettings& settings);

/// Orders to give now; none once nothing can be improved. Orders never exceed
/// a worker's memory, and each worker gets one at most. Data centres too small
/// for a whole replica are planned together.
std::vector<PlacementOrder> PlanPlacement(
    const ModelProfile& model,
    const std::vector<PlannedWorker>& workers,
    const PlannerSettings& settings);

/// Layers that no usable worker of the data centre holds.
std::vector<LayerRange> UncoveredLayers(
    const ModelProfile& model,
    const std::vector<PlannedWorker>& workers);

}  // namespace chervilpass::placement
