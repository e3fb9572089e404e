// The workers that a dispatcher sends steps to: batching, health, session
// counts and crash detection.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "chervilpass/config/fleet_config.h"
#include "chervilpass/core/log.h"
#include "chervilpass/core/metrics.h"
#include "chervilpass/core/result.h"
#include "chervilpass/engine/engine_client.h"
#include "chervilpass/io/runtime.h"
#include "chervilpass/pipeline/chain_chooser.h"
#include "chervilpass/quarantine/strike_tracker.h"
#include "chervilpass/routing/worker_health.h"

namespace chervilpass::dispatch {

/// Settings of a WorkerPool.
struct WorkerPoolSettings {
  Duration step_timeout = seconds(2);
  std::uint32_t max_batches_in_flight = 8;  ///< maximum for each worker
  std::uint32_t max_batch_steps = 4;        ///< maximum steps per HTTP request
  routing::WorkerHealthSettings health;

  bool operator==(const WorkerPoolSettings&) const = default;
};

/// Identifies the request that a step belongs to.
struct StepOwner {
  std::uint64_t fingerprint = 0;
  bool suspect = false;  ///< suspected of crashing workers

  auto operator<=>(const StepOwner&) const = default;
};

/// Sends steps to workers. Fiber thread only.
class WorkerPool {
 public:
  /// `on_crash` is called after a worker crash with the fingerprints of the
  /// requests that are blamed for it.
  static std::shared_ptr<WorkerPool> Create(
      io::Runtime* runtime,
      MetricsRegistry* metrics,
      Logger log,
      WorkerPoolSettings settings,
      std::function<void(const std::string& worker,
                         const std::vector<std::uint64_t>& blamed)> on_crash);

  /// Runs one step and suspends the fiber until its answer arrives. Errors are
  /// those of the batch that carried the step.
  Result<pipeline::StepAnswer, engine::EngineError> RunStep(
      const config::Backend& worker,
      const engine::EngineStep& step,
      const StepOwner& owner);

  /// Counts a session on each worker of `chain`, or removes it again.
  void PlaceSession(const std::vector<std::string>& chain,
                    const StepOwner& owner);
  void RemoveSession(const std::vector<std::string>& chain,
                     const StepOwner& owner);

  /// Frees the session's cache on a worker in the background. Failures are only
  /// logged.
  void ReleaseCache(const config::Backend& worker, const std::string& session);

  /// State of those `workers` that are healthy enough for new steps.
  pipeline::StageReplicas Replicas(const std::vector<config::Backend>& workers);

 private:
  struct State;
  explicit WorkerPool(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

}  // namespace chervilpass::dispatch
