// What a part of a path costs on a worker: the time that the request takes
// there and the delay that it adds to the requests it shares the worker with.
#pragma once

#include <cstdint>
#include <limits>

#include "chervilpass/placement/path_chooser.h"

namespace chervilpass::placement {

/// Cost of a part that the worker has no room for.
inline constexpr double kNoCapacityCost =
    std::numeric_limits<double>::infinity();

/// Costs of parts for one request. What it is made of must outlive it.
class StageCost {
 public:
  /// Without `check_room` parts are priced as if there were room everywhere.
  StageCost(const ModelProfile& model,
            const PathQuery& query,
            const PathChooserSettings& settings,
            bool check_room);

  /// Seconds for `layers` layers; the first part of a path needs a batch slot.
  double Seconds(const PathCandidate& candidate,
                 std::uint32_t layers,
                 bool first) const;

 private:
  double RoomFill(const PathCandidate& candidate, std::uint32_t layers) const;
  double SlotFill(const PathCandidate& candidate) const;
  double ServiceSeconds(const PathCandidate& candidate) const;
  double PromptSeconds(const PathCandidate& candidate) const;
  double PromptUtilization(const PathCandidate& candidate) const;

  const ModelProfile& model;
  const PathQuery& query;
  const PathChooserSettings& settings;
  double stream_seconds;  ///< of a usual request
  bool check_room;
};

}  // namespace chervilpass::placement
