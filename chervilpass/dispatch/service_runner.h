// Runs calls to plain services, at most once where they may not be repeated.
#pragma once

#include <memory>

#include "chervilpass/control/view_subscriber.h"
#include "chervilpass/core/log.h"
#include "chervilpass/core/metrics.h"
#include "chervilpass/dispatch/ledger_service.h"
#include "chervilpass/io/runtime.h"
#include "chervilpass/routing/worker_health.h"
#include "chervilpass/rpc/messages.h"

namespace chervilpass::dispatch {

/// Describes a ServiceRunner.
struct ServiceRunnerSettings {
  std::uint32_t max_sends = 3;
  Duration default_deadline = seconds(30);
  routing::WorkerHealthSettings health;

  bool operator==(const ServiceRunnerSettings&) const = default;
};

/// Takes calls from entries. Fiber thread only.
class ServiceRunner {
 public:
  static std::shared_ptr<ServiceRunner> Create(
      io::Runtime* runtime,
      MetricsRegistry* metrics,
      Logger log,
      std::shared_ptr<control::ViewSubscriber> link,
      std::shared_ptr<LedgerService> ledger,
      ServiceRunnerSettings settings);

  rpc::ServiceOutcome Run(const rpc::ServiceRequest& request);
  rpc::ClaimState Query(const std::string& organisation,
                        const std::string& key);

  /// Calls running now.
  std::size_t InFlight() const;

 private:
  struct State;
  explicit ServiceRunner(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

}  // namespace chervilpass::dispatch
