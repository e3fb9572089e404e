#include "chervilpass/placement/path.h"

#include <set>

namespace chervilpass::placement {

bool IsCompletePath(const Path& path, std::uint32_t layers) {
  std::uint32_t next = 0;
  std::set<std::string> workers;
  for (const PathStage& part : path) {
    if (part.layers.Empty() || part.layers.from != next ||
        !workers.insert(part.worker).second) {
      return false;
    }
    next = part.layers.to;
  }
  return next == layers && layers > 0;
}

}  // namespace chervilpass::placement
