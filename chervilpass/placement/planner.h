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
  LayerRange layers;  ///< held, or ordered and not yet confirmed
  bool order_open = false;  ///< an order is on its way or in progress
  /// Neither leaving nor unreachable; what others hold does not count.
  bool usable = true;
  double slowness = 1;

  bool operator==(const PlannedWorker&) const = default;
};

/// A worker is to hold these layers from now on.
struct PlaceOrder {
  std::string worker;
  LayerRange layers;
  /// Closes a gap: requests wait for it.
  bool urgent = false;

  auto operator<=>(const PlaceOrder&) const = default;
};

/// Describes the planner.
struct PlannerSettings {
  /// Workers in a data centre for each layer, on average, that the size of
  /// ranges aims at: above 1 leaves spares.
  double coverage = 1.25;
  /// Room for requests, in tokens of each layer, that ranges aim at.
  double most_room = 240000;
  double least_room = 15000;
  double room_step = 5000;
  /// A range may be extended over a gap while this room is left.
  double repair_room = 12000;

  bool operator==(const PlannerSettings&) const = default;
};

/// Layers that a worker of each kind holds in one data centre.
struct RangeSizes {
  double room = 0;  ///< tokens of each layer

  std::uint32_t For(const ModelProfile& model,
                    const AcceleratorKind& kind) const;

  bool operator==(const RangeSizes&) const = default;
};

/// The largest room with which the workers cover the model often enough.
RangeSizes ChooseSizes(const ModelProfile& model,
                       const std::vector<PlannedWorker>& workers,
                       const PlannerSettings& settings);

/// Orders to give now; none once nothing can be improved. Orders never exceed
/// a worker's memory, and each worker gets one at most. Data centres too small
/// for a whole replica are planned together.
std::vector<PlaceOrder> PlanPlacement(const ModelProfile& model,
                                      const std::vector<PlannedWorker>& workers,
                                      const PlannerSettings& settings);

/// Layers that no usable worker of the data centre holds.
std::vector<LayerRange> Gaps(const ModelProfile& model,
                             const std::vector<PlannedWorker>& workers);

}  // namespace chervilpass::placement
