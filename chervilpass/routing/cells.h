// Cells: groups of workers of one pipeline in one data centre that together
// hold every layer. A cell is the unit of queueing and ownership.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "chervilpass/config/fleet_config.h"

namespace chervilpass::routing {

/// The replicas that hold one range of layers.
struct Stage {
  std::uint32_t first_layer = 0;
  std::uint32_t last_layer = 0;      ///< inclusive
  std::vector<std::string> workers;  ///< backend server ids

  auto operator<=>(const Stage&) const = default;
};

/// A cell. Invariant: the stages cover layers 0 to n - 1 in order, without gap
/// or overlap, and each has at least one worker.
struct Cell {
  std::uint32_t id = 0;  ///< from pipeline, data centre and index
  std::string pipeline;
  std::string data_centre;
  std::string region;
  std::vector<Stage> stages;

  auto operator<=>(const Cell&) const = default;
};

/// Forms the cells of a pipeline over all data centres. Every node forms the
/// same cells from the same configuration. Workers whose ranges do not fit a
/// full chain in their data centre are left out.
std::vector<Cell> FormCells(const config::FleetConfig& config,
                            const std::string& pipeline);

/// The cell of that id, or null.
const Cell* FindCell(const std::vector<Cell>& cells, std::uint32_t id);

}  // namespace chervilpass::routing
