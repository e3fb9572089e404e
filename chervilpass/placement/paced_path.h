// Chooses paths while some workers are paced: they get no more than their
// share, unless only they hold a layer.
#pragma once

#include <vector>

#include "chervilpass/placement/path_chooser.h"

namespace chervilpass::placement {

/// Requests that a worker with these layers can have in flight at the same
/// time: its batch slots or, if fewer, the typical requests that its KV cache
/// holds.
double RequestSlots(const ModelProfile& model,
                    const AcceleratorKind& kind,
                    const LayerRange& layers);

/// The share of the capacity to use for a worker that is paced at `share`: one
/// request always fits.
double PacedCapacityShare(double share, double slots);

/// Returns the path of least cost that leaves out the workers over this VM's
/// own part. If there is none, paced workers that hold a layer which no other
/// worker holds are used as if they were not paced; all paced ones for a
/// request that runs on part of its path already.
Result<ChosenPath, NoPathReason> ChoosePacedPath(
    const ModelProfile& model,
    const std::vector<PathCandidate>& candidates,
    const PathQuery& query,
    const PathChooserSettings& settings,
    Random* random);

}  // namespace chervilpass::placement
