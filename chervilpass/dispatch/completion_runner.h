// Runs completions on cells. Entries prefer the owner of a cell, but any
// dispatcher can run completions on it.
#pragma once

#include <functional>
#include <memory>

#include "chervilpass/admission/adaptive_concurrency_limit.h"
#include "chervilpass/control/view_subscriber.h"
#include "chervilpass/core/log.h"
#include "chervilpass/core/metrics.h"
#include "chervilpass/dispatch/cell_queue.h"
#include "chervilpass/dispatch/worker_pool.h"
#include "chervilpass/io/runtime.h"
#include "chervilpass/quarantine/strike_tracker.h"
#include "chervilpass/rpc/dispatch_rpc.h"

namespace chervilpass::dispatch {

/// Settings of a CompletionRunner.
struct CompletionRunnerSettings {
  CellQueueSettings queue;
  admission::AdaptiveConcurrencyLimitSettings adaptive_limit;
  std::uint32_t max_chains = 8;  ///< worker chains tried by one attempt
  Duration heartbeat_interval = milliseconds(250);
  WorkerPoolSettings workers;

  bool operator==(const CompletionRunnerSettings&) const = default;
};

/// Runs completion attempts that entries send: queues each one, places it on a
/// chain of workers and generates its tokens one by one. Fiber thread only.
class CompletionRunner {
 public:
  static std::shared_ptr<CompletionRunner> Create(
      io::Runtime* runtime,
      MetricsRegistry* metrics,
      Logger log,
      std::shared_ptr<control::ViewSubscriber> view_subscriber,
      CompletionRunnerSettings settings);

  /// Runs one attempt and returns when it has ended. Tokens and heartbeats go
  /// to `sink`; `cancel` stops the attempt before its next step. A failure is
  /// returned as a Refusal in the outcome: kNotReady without a configuration,
  /// kNoBackend, kOverloaded, kDeadlinePassed, kQuarantined, kTimedOut if
  /// cancelled or superseded, or kBackendFailed.
  rpc::CompletionOutcome Run(const rpc::CompletionRequest& request,
                             const rpc::AttemptSink& sink,
                             const std::shared_ptr<rpc::CancelFlag>& cancel);

  /// Number of attempts that are running or queued.
  std::size_t InFlight() const;

  struct State;  ///< Internal.

 private:
  explicit CompletionRunner(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

}  // namespace chervilpass::dispatch
