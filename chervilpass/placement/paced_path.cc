#include "chervilpass/placement/paced_path.h"

#include <algorithm>
#include <utility>

namespace chervilpass::placement {
namespace {

// Utilisation of a single request in the capacity that it always has; below
// PathChooserSettings::max_utilisation.
constexpr double kSingleRequestUtilisation = 0.9;

// The share of a worker with a single slot is rounded up to 1.
bool IsPaced(const PathCandidate& candidate) {
  return candidate.capacity_share < 1 || candidate.over_own_part;
}

// Layers of the query that no usable worker without pacing holds.
std::vector<bool> LayersOfPacedOnly(
    const std::vector<PathCandidate>& candidates,
    const PathQuery& query) {
  std::vector<bool> paced_only(query.layers.to, false);
  std::fill(paced_only.begin() + query.layers.from, paced_only.end(), true);
  for (const PathCandidate& candidate : candidates) {
    if (IsPaced(candidate) || query.excluded.contains(candidate.worker)) {
      continue;
    }
    for (std::uint32_t layer = candidate.layers.from;
         layer < std::min(candidate.layers.to, query.layers.to); ++layer) {
      paced_only[layer] = false;
    }
  }
  return paced_only;
}

}  // namespace

double RequestSlots(const ModelProfile& model,
                    const AcceleratorKind& kind,
                    const LayerRange& layers) {
  const double typical_tokens =
      model.typical_prompt_tokens + model.typical_answer_tokens / 2.0;
  const double request = typical_tokens * layers.Size();
  const double batch = std::max(1U, model.batch_limit);
  return request <= 0
             ? batch
             : std::clamp(
                   model.KvCapacityTokenLayers(kind, layers.Size()) / request,
                   1.0, batch);
}

double PacedCapacityShare(double share, double slots) {
  return std::min(1.0,
                  std::max(share, 1 / (kSingleRequestUtilisation * slots)));
}

Result<ChosenPath, NoPathReason> ChoosePacedPath(
    const ModelProfile& model,
    const std::vector<PathCandidate>& candidates,
    const PathQuery& query,
    const PathChooserSettings& settings,
    Random* random) {
  std::vector<PathCandidate> usable;
  std::copy_if(
      candidates.begin(), candidates.end(), std::back_inserter(usable),
      [](const PathCandidate& candidate) { return !candidate.over_own_part; });
  auto found = ChoosePath(model, usable, query, settings, random);
  if (found.has_value()) {
    return found;
  }
  // A request that runs on part of its path already has no other way.
  const bool in_progress = !query.includes_first_stage;
  const std::vector<bool> paced_only = LayersOfPacedOnly(candidates, query);
  bool relaxed = false;
  usable.clear();
  for (PathCandidate candidate : candidates) {
    const auto begin = paced_only.begin();
    const std::uint32_t to = std::min(candidate.layers.to, query.layers.to);
    const bool needed =
        IsPaced(candidate) && candidate.layers.from < to &&
        (in_progress || std::find(begin + candidate.layers.from, begin + to,
                                  true) != begin + to);
    if (needed) {
      candidate.capacity_share = 1;
      candidate.over_own_part = false;
      relaxed = true;
    }
    if (!candidate.over_own_part) {
      usable.push_back(std::move(candidate));
    }
  }
  return relaxed ? ChoosePath(model, usable, query, settings, random) : found;
}

}  // namespace chervilpass::placement
