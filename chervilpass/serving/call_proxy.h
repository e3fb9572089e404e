// Forwards a request to a plain backend server and the complete response to the
// caller.
#pragma once

#include "chervilpass/serving/request_context.h"

namespace chervilpass::serving {

/// Refuses a request because this VM is leaving.
RequestResult RefuseLeaving(const RouterDependencies& dependencies,
                            const RequestContext& context,
                            admission::Executed executed,
                            std::string detail,
                            std::uint32_t sends);

/// Refuses a request because this VM reaches no backend server, and no other VM
/// takes the request.
RequestResult RefuseCutOff(const RouterDependencies& dependencies,
                           const RequestContext& context,
                           admission::Executed executed,
                           std::uint32_t sends);

/// Ends a request that has crashed too many backend servers to be sent on.
RequestResult RefuseQuarantined(const RouterDependencies& dependencies,
                                const RequestContext& context,
                                admission::Executed executed,
                                std::uint32_t sends);

/// Least time after which callers retry a call for which there was no server.
Duration LeastCallRetryAfter();

/// Serves one request, including the response; returns how it ended.
RequestResult ProxyCall(const RouterDependencies& dependencies,
                        const RequestContext& context,
                        Duration time_left);

/// The connection for a request that was sent `earlier_sends` times before. It
/// is repeated on a new one only: on a connection that has carried its refusal,
/// a faulty server may write the same refusal again while the request runs.
io::ConnectionUse ConnectionFor(std::uint32_t earlier_sends);

/// Reads the head of the response to `request_id`. Responses to other requests
/// that arrive first on the connection are discarded; after three of them it
/// fails with kProtocol. So it does for a response without a request id on a
/// connection that has carried other requests: it may answer one of those.
Result<io::HttpResponse, io::HttpError> ReadMatchingHead(
    io::HttpCall* call,
    const std::string& request_id);

/// Why a request ended whose caller has gone, with how that was seen.
std::string CallerGone(const RequestContext& context);

/// Responds with a refusal; returns the result for the log and the metrics.
RequestResult Refuse(const RequestContext& context,
                     admission::RefusalCode code,
                     admission::Executed executed,
                     Duration retry_after,
                     std::string detail,
                     std::uint32_t sends);

}  // namespace chervilpass::serving
