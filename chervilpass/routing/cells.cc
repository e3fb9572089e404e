#include "chervilpass/routing/cells.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

#include "chervilpass/core/hash.h"

namespace chervilpass::routing {
namespace {

// Layer range, ordered by first and then last layer.
struct LayerRange {
  std::uint32_t first = 0;
  std::uint32_t last = 0;

  auto operator<=>(const LayerRange&) const = default;
};

using WorkersByRange = std::map<LayerRange, std::vector<std::string>>;

// Chains ranges from layer 0 up. Of the ranges that start at the same layer,
// only the one with the most workers is tried. Empty if the chain ends before
// the last layer.
std::vector<LayerRange> ChainRanges(const WorkersByRange& ranges,
                                    std::uint32_t layers) {
  std::vector<LayerRange> chain;
  std::uint32_t next = 0;
  while (next < layers) {
    const LayerRange* best = nullptr;
    std::size_t best_workers = 0;
    for (const auto& [range, workers] : ranges) {
      if (range.first == next && workers.size() > best_workers) {
        best = &range;
        best_workers = workers.size();
      }
    }
    if (best == nullptr) {
      return {};
    }
    chain.push_back(*best);
    next = best->last + 1;
  }
  return chain;
}

void FormCellsInDataCentre(const config::Pipeline& pipeline,
                           const std::string& data_centre,
                           const std::string& region,
                           const WorkersByRange& ranges,
                           std::vector<Cell>* cells) {
  const std::vector<LayerRange> chain = ChainRanges(ranges, pipeline.layers);
  if (chain.empty()) {
    return;
  }
  std::size_t min_workers = ranges.at(chain.front()).size();
  for (const LayerRange& range : chain) {
    min_workers = std::min(min_workers, ranges.at(range).size());
  }
  const std::size_t count =
      std::max<std::size_t>(1, min_workers / pipeline.cell_replicas);
  for (std::size_t index = 0; index < count; ++index) {
    Cell cell;
    cell.id = static_cast<std::uint32_t>(
        HashText(fmt::format("{}/{}/{}", pipeline.name, data_centre, index)));
    cell.pipeline = pipeline.name;
    cell.data_centre = data_centre;
    cell.region = region;
    for (const LayerRange& range : chain) {
      Stage stage{range.first, range.last, {}};
      const std::vector<std::string>& workers = ranges.at(range);
      for (std::size_t i = index; i < workers.size(); i += count) {
        stage.workers.push_back(workers[i]);
      }
      cell.stages.push_back(std::move(stage));
    }
    cells->push_back(std::move(cell));
  }
}

}  // namespace

std::vector<Cell> FormCells(const config::FleetConfig& config,
                            const std::string& pipeline) {
  std::vector<Cell> cells;
  const auto found = config.pipelines.find(pipeline);
  if (found == config.pipelines.end()) {
    return cells;
  }
  struct DataCentreWorkers {
    std::string region;
    WorkersByRange ranges;
  };
  std::map<std::string, DataCentreWorkers> by_data_centre;
  for (const auto& [id, backend] : config.backends) {
    const auto* stage = std::get_if<config::StageRole>(&backend.role);
    if (stage != nullptr && stage->pipeline == pipeline) {
      DataCentreWorkers& workers = by_data_centre[backend.data_centre];
      workers.region = backend.region;
      workers.ranges[{stage->first_layer, stage->last_layer}].push_back(id);
    }
  }
  for (const auto& [data_centre, workers] : by_data_centre) {
    FormCellsInDataCentre(found->second, data_centre, workers.region,
                          workers.ranges, &cells);
  }
  return cells;
}

const Cell* FindCell(const std::vector<Cell>& cells, std::uint32_t id) {
  const auto found =
      std::find_if(cells.begin(), cells.end(),
                   [id](const Cell& cell) { return cell.id == id; });
  return found == cells.end() ? nullptr : &*found;
}

}  // namespace chervilpass::routing
