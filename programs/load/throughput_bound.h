// The most that a pool of mixed accelerators can do.
#pragma once

#include <vector>

#include "programs/load/experiment.h"

namespace chervilpass::load {

/// Tokens a second that the slowest stage allows when every batch is full, for
/// requests of the experiment's mean prompt and answer. 0 if no pool is given.
double TokensPerSecondBound(const std::vector<StageReplica>& pool,
                            double prompt_tokens,
                            double answer_tokens);

}  // namespace chervilpass::load
