#include "chervilpass/placement/path.h"

#include <set>

namespace chervilpass::placement {

bool IsCompletePath(const Path& path, std::uint32_t layers) {
  std::uint32_t next = 0;
  std::set<std::string> workers;
  for (const PathStage& stage : path) {
    if (stage.layers.Empty() || stage.layers.from != next ||
        !workers.insert(stage.worker).second) {
      return false;
    }
    next = stage.layers.to;
  }
  return next == layers && layers > 0;
}

}  // namespace chervilpass::placement
