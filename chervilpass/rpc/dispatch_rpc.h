// Client and server of the Dispatch interface, seen from fibers.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "chervilpass/core/result.h"
#include "chervilpass/io/http.h"
#include "chervilpass/rpc/loop.h"
#include "chervilpass/rpc/messages.h"

namespace chervilpass::rpc {

/// Signs of life of an attempt, in the order sent. On the entry's side they
/// are called on the fiber thread; on the dispatcher's side they send, and
/// never wait.
struct AttemptSink {
  std::function<void(std::uint32_t index, std::uint32_t token)> token;
  std::function<void()> heartbeat;  ///< The attempt waits or runs.
};

/// A call that can be given up while it runs. Fiber thread only.
class CallHandle {
 public:
  /// Stops the call: its result becomes kTimeout at once and the peer is told.
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

  /// Runs one attempt. `on_start` receives the handle before the wait begins.
  Result<CompletionOutcome, RpcError> Complete(
      const CompletionRequest& request,
      const AttemptSink& sink,
      const std::function<void(CallHandle)>& on_start);

  Result<ServiceOutcome, RpcError> CallService(const ServiceRequest& request,
                                               Duration timeout);

  Result<ClaimState, RpcError> QueryClaim(const std::string& organisation,
                                          const std::string& key,
                                          Duration timeout);

 private:
  struct State;
  explicit DispatchClient(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

/// Set once the caller of a running call is gone. Fiber thread only.
struct CancelFlag {
  bool cancelled = false;
};

/// What a dispatcher does for its callers. Each call runs on its own fiber.
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

/// Serves the Dispatch interface on `listen` until the process ends.
Result<void, RpcError> ServeDispatch(std::shared_ptr<RpcLoop> loop,
                                     const io::Endpoint& listen,
                                     DispatchHandlers handlers);

}  // namespace chervilpass::rpc
