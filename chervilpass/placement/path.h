// Path of a request through the workers that hold a model's layers.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "chervilpass/io/http.h"
#include "chervilpass/placement/model_profile.h"

namespace chervilpass::placement {

/// The layers of a path that one worker runs.
struct PathStage {
  std::string worker;  ///< instance id
  io::Endpoint address;
  LayerRange layers;  ///< layers to run; the worker may hold more

  auto operator<=>(const PathStage&) const = default;
};

/// Stages in the order in which they run.
using Path = std::vector<PathStage>;

/// True if the stages run each layer from 0 to `layers` - 1 once and in order,
/// and no two stages are on the same worker.
bool IsCompletePath(const Path& path, std::uint32_t layers);

}  // namespace chervilpass::placement
