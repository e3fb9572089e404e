// Cache of the cells of each pipeline, recomputed only for a new version of the
// configuration.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "chervilpass/routing/cells.h"

namespace chervilpass::routing {

/// Not thread-safe. Invariant: all cached cells are of one configuration
/// version.
class CellCache {
 public:
  /// Returns the cells of a pipeline. The reference is valid until a call with
  /// another configuration version.
  const std::vector<Cell>& CellsOf(const config::FleetConfig& config,
                                   const std::string& pipeline) {
    if (this->version != config.version) {
      this->cells.clear();
      this->version = config.version;
    }
    const auto found = this->cells.find(pipeline);
    if (found != this->cells.end()) {
      return found->second;
    }
    return this->cells.emplace(pipeline, FormCells(config, pipeline))
        .first->second;
  }

 private:
  std::map<std::string, std::vector<Cell>> cells;  ///< by pipeline
  std::uint64_t version = 0;
};

}  // namespace chervilpass::routing
