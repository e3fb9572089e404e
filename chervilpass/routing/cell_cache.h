// Cells by pipeline, formed again only when the configuration has changed.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "chervilpass/routing/cells.h"

namespace chervilpass::routing {

/// Not thread-safe. Invariant: what is kept was formed from one version.
class CellCache {
 public:
  /// The cells of a pipeline; valid until a call with another version.
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
