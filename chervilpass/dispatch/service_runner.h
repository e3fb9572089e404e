// Runs calls to plain services; non-repeatable calls run at most once.
#pragma once

#include <memory>

#include "chervilpass/control/view_subscriber.h"
#include "chervilpass/core/log.h"
#include "chervilpass/core/metrics.h"
#include "chervilpass/dispatch/ledger_service.h"
#include "chervilpass/io/runtime.h"
#include "chervilpass/quarantine/strike_tracker.h"
#include "chervilpass/routing/worker_health.h"
#include "chervilpass/rpc/messages.h"

namespace chervilpass::dispatch {

/// Settings of a ServiceRunner.
struct ServiceRunnerSettings {
  std::uint32_t max_sends = 3;  ///< backend servers tried for one call
  Duration default_deadline = seconds(30);
  routing::WorkerHealthSettings health;
  /// Plain servers run one call at a time on a connection, and callers may send
  /// the same call at the same time.
  quarantine::StrikeTrackerSettings strikes{2, std::chrono::minutes(10),
                                            seconds(1), seconds(2)};

  bool operator==(const ServiceRunnerSettings&) const = default;
};

/// Runs service calls that entries send. Fiber thread only.
class ServiceRunner {
 public:
  static std::shared_ptr<ServiceRunner> Create(
      io::Runtime* runtime,
      MetricsRegistry* metrics,
      Logger log,
      std::shared_ptr<control::ViewSubscriber> view_subscriber,
      std::shared_ptr<LedgerService> ledger,
      ServiceRunnerSettings settings);

  /// Runs one call and suspends the fiber until it has ended. The outcome holds
  /// a response or a Refusal: kNotReady without a configuration, or the refusal
  /// of ledger::ServiceFlow.
  rpc::ServiceOutcome Run(const rpc::ServiceRequest& request);
  /// State of the call with this idempotency key, read from the ledger.
  rpc::ClaimState Query(const std::string& organisation,
                        const std::string& key);

  /// Number of running calls.
  std::size_t InFlight() const;

 private:
  struct State;
  explicit ServiceRunner(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

}  // namespace chervilpass::dispatch
