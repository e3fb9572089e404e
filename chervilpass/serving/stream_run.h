// Begins one run of a stream: sends the request to the first worker of a path
// and reads the head of the response.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "chervilpass/serving/request_context.h"

namespace chervilpass::serving {

/// What a run is begun with.
struct StreamRunRequest {
  const io::HttpRequest* request = nullptr;  ///< of the caller
  const RequestContext* context = nullptr;
  const placement::ModelProfile* model = nullptr;
  placement::Path path;
  Duration time_left{0};
  std::optional<std::uint64_t> last_event_id;  ///< the run goes on after it
  std::uint32_t earlier_sends = 0;             ///< of the same request
  /// Called with the call before the request is sent, so that another fiber can
  /// cancel it; false if the request is not to be sent any more.
  std::function<bool(io::HttpCall*)> set_call;
};

/// A run whose response has begun, or the reason why there is none.
struct BegunStreamRun {
  /// kResponse: `response` is the head of a success, its body has not been
  /// read. kFailed: `response` is a complete one.
  SendOutcome outcome = SendOutcome::kUnknown;
  placement::Path path;
  std::unique_ptr<io::HttpCall> call;  ///< for kResponse
  io::HttpResponse response;
  std::string first_piece;  ///< of the body, if it has been read already
  std::string detail;
  bool lost = false;  ///< it was sent, and the connection broke
  /// For a lost run: its first worker is known to have ended.
  bool worker_ended = false;
  /// Refused the request or could not be connected to.
  std::optional<std::string> refusing_worker;
};

/// Sends a request to the first worker of a path. Records what the response, or
/// its lack, says about the workers, except for lost runs.
BegunStreamRun BeginStreamRun(const RouterDependencies& dependencies,
                              const StreamRunRequest& request);

}  // namespace chervilpass::serving
