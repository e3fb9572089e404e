// Upper bound of the throughput of a pool of mixed accelerators.
#pragma once

#include <vector>

#include "programs/load/experiment.h"

namespace chervilpass::load {

/// Tokens per second of the slowest stage when every batch is full, for
/// requests with the given mean lengths in tokens. 0 if the pool is empty.
double TokensPerSecondBound(const std::vector<StageReplica>& pool,
                            double prompt_tokens,
                            double answer_tokens);

}  // namespace chervilpass::load
