// Cells: groups of workers of one pipeline in one data centre that together
// hold all layers. Queueing and ownership are per cell.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "chervilpass/config/fleet_config.h"

namespace chervilpass::routing {

/// The workers that hold one layer range; replicas of each other.
struct Stage {
  std::uint32_t first_layer = 0;
  std::uint32_t last_layer = 0;      ///< inclusive
  std::vector<std::string> workers;  ///< backend server ids

  auto operator<=>(const Stage&) const = default;
};

/// A cell. Invariant: the stages cover layers 0 to n - 1 in order, without gaps
/// or overlaps, and each has at least one worker.
struct Cell {
  std::uint32_t id = 0;  ///< hash of pipeline, data centre and index
  std::string pipeline;
  std::string data_centre;
  std::string region;
  std::vector<Stage> stages;

  auto operator<=>(const Cell&) const = default;
};

/// Computes the cells of a pipeline in all data centres; the same on every node
/// for the same configuration. Workers whose layer ranges are not part of a
/// complete chain in their data centre are left out. Empty if the pipeline is
/// not known.
std::vector<Cell> FormCells(const config::FleetConfig& config,
                            const std::string& pipeline);

/// The cell with that id, or null.
const Cell* FindCell(const std::vector<Cell>& cells, std::uint32_t id);

}  // namespace chervilpass::routing
