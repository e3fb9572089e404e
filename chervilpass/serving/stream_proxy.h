// Forwards a generation request to a path of workers and its events to the
// caller, one by one. A broken run is resumed on another path within the same
// response.
#pragma once

#include "chervilpass/serving/request_context.h"
#include "chervilpass/serving/stream_registry.h"

namespace chervilpass::serving {

/// Serves one request, including the response; returns how it ended.
RequestResult ProxyStream(const RouterDependencies& dependencies,
                          StreamRegistry* registry,
                          const RequestContext& context,
                          const placement::ModelProfile& model,
                          Duration time_left);

/// Least time after which callers retry a request that was refused for lack of
/// a path.
Duration LeastRetryAfter(placement::NoPathReason reason);

}  // namespace chervilpass::serving
