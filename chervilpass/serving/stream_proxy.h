// Carries a generation over a path of workers and its events back, one by one.
// A run that breaks is resumed on another path within the same answer.
#pragma once

#include "chervilpass/serving/request_context.h"
#include "chervilpass/serving/stream_registry.h"

namespace chervilpass::serving {

/// Serves one request; returns how it ended. The answer has been sent by then.
RequestResult ProxyStream(const RouterDependencies& parts,
                          StreamRegistry* registry,
                          const RequestContext& context,
                          const placement::ModelProfile& model,
                          Duration time_left);

}  // namespace chervilpass::serving
