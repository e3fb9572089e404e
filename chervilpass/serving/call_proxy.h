// Carries a request to a plain backend server and its whole answer back.
#pragma once

#include "chervilpass/serving/request_context.h"

namespace chervilpass::serving {

/// Serves one request; returns how it ended. The answer has been sent by then.
RequestResult ProxyCall(const RouterDependencies& parts,
                        const RequestContext& context,
                        Duration time_left);

/// Reads the head of the answer to `request_id`. Answers to other requests that
/// come first on the connection are thrown away.
Result<io::HttpResponse, io::HttpError> ReadMatchingHead(
    io::HttpCall* call,
    const std::string& request_id);

/// Answers with a refusal and returns the end for the log.
RequestResult Refuse(const RequestContext& context,
                     admission::RefusalCode code,
                     admission::Executed executed,
                     Duration retry_after,
                     std::string detail,
                     std::uint32_t sends);

}  // namespace chervilpass::serving
