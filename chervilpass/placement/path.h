// The way of a request through the workers that hold a model's layers.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "chervilpass/io/http.h"
#include "chervilpass/placement/model_profile.h"

namespace chervilpass::placement {

/// One worker's part of a path.
struct PathStage {
  std::string worker;  ///< instance id
  io::Endpoint address;
  LayerRange layers;  ///< the part to run; the worker may hold more

  auto operator<=>(const PathStage&) const = default;
};

/// Parts in the order in which they run.
using Path = std::vector<PathStage>;

/// True if the parts run each layer from 0 to `layers` once and in order, each
/// on a worker of its own.
bool IsCompletePath(const Path& path, std::uint32_t layers);

}  // namespace chervilpass::placement
