// Client and server of the Dispatch interface, for use from fibers.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "chervilpass/core/result.h"
#include "chervilpass/io/http.h"
#include "chervilpass/rpc/loop.h"
#include "chervilpass/rpc/messages.h"

namespace chervilpass::rpc {

/// Callbacks for the progress of an attempt, in the order sent. At the entry
/// they run on the fiber thread; at the dispatcher they send a message without
/// blocking.
struct AttemptSink {
  std::function<void(std::uint32_t index, std::uint32_t token)> token;
  std::function<void()> heartbeat;  ///< the attempt is queued or running
};

/// Handle of a running call, to cancel it. Fiber thread only.
class CallHandle {
 public:
  /// Cancels the call: its result becomes kTimeout at once and the cancellation
  /// is sent to the peer.
  void Cancel();

  struct State;
  explicit CallHandle(std::shared_ptr<State> state);

 private:
  std::shared_ptr<State> state;
};

/// Calls one dispatcher. Reconnects by itself. Fiber thread only.
class DispatchClient {
 public:
  static std::shared_ptr<DispatchClient> Create(std::shared_ptr<RpcLoop> loop,
                                                io::Endpoint address);
  ~DispatchClient();

  /// Runs one attempt and waits for its outcome, without a timeout. `on_start`
  /// receives the handle before the wait.
  Result<CompletionOutcome, RpcError> Complete(
      const CompletionRequest& request,
      const AttemptSink& sink,
      const std::function<void(CallHandle)>& on_start);

  /// Calls a plain service; kTimeout after `timeout`.
  Result<ServiceOutcome, RpcError> CallService(const ServiceRequest& request,
                                               Duration timeout);

  /// Queries the state of an idempotency key in the ledger; kTimeout after
  /// `timeout`.
  Result<ClaimState, RpcError> QueryClaim(const std::string& organisation,
                                          const std::string& key,
                                          Duration timeout);

 private:
  struct State;
  explicit DispatchClient(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

/// Set when a call has ended or its caller has disconnected. Fiber thread only.
struct CancelFlag {
  bool cancelled = false;
};

/// Handlers of the Dispatch interface. Each call runs on its own fiber.
struct DispatchHandlers {
  std::function<CompletionOutcome(const CompletionRequest&,
                                  const AttemptSink&,
                                  const std::shared_ptr<CancelFlag>&)>
      complete;
  std::function<ServiceOutcome(const ServiceRequest&)> call_service;
  std::function<ClaimState(const std::string& organisation,
                           const std::string& key)>
      query_claim;
};

/// Serves the Dispatch interface on `listen` until the process ends; kFailed if
/// it cannot listen.
Result<void, RpcError> ServeDispatch(std::shared_ptr<RpcLoop> loop,
                                     const io::Endpoint& listen,
                                     DispatchHandlers handlers);

}  // namespace chervilpass::rpc
