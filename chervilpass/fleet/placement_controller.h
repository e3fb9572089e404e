// Carries out placement on the VM that decides on it: plans from what workers
// hold, and sees each order through.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "chervilpass/core/log.h"
#include "chervilpass/core/metrics.h"
#include "chervilpass/fleet/decider_claim.h"
#include "chervilpass/io/http_client.h"
#include "chervilpass/placement/planner.h"
#include "chervilpass/serving/routing_state.h"
#include "platform/store_client.h"

namespace chervilpass::fleet {

/// Describes a PlacementController.
struct PlacementControllerSettings {
  Duration check_interval = milliseconds(200);
  /// The claim is read again before orders if it was read longer ago.
  Duration claim_confirm_interval = milliseconds(400);
  /// While idle it is read this often.
  Duration idle_read_interval = milliseconds(2000);
  Duration report_timeout = milliseconds(300);
  /// Between two looks at a worker that loads layers.
  Duration load_poll_interval = milliseconds(250);
  /// While most workers are empty, planning waits until no new one has shown up
  /// for this long, since ranges depend on how many there are.
  Duration settle_time = milliseconds(700);
  Duration max_settle_time = milliseconds(3500);
  /// An order that has not taken effect by then is planned anew.
  Duration order_timeout = seconds(20);
  placement::PlannerSettings planner;

  bool operator==(const PlacementControllerSettings&) const = default;
};

/// Fiber thread only.
class PlacementController {
 public:
  static std::unique_ptr<PlacementController> Create(
      io::Runtime* runtime,
      platform::StoreClient* store,
      io::HttpClient* http,
      serving::RoutingState* world,
      MetricsRegistry* metrics,
      const Logger* log,
      PlacementControllerSettings settings,
      membership::Member self,
      std::function<std::vector<membership::Member>()> members);
  ~PlacementController();

  /// A worker is said not to answer: it is asked before anything is moved.
  void OnSuspect(const std::string& worker);

  /// True if this VM decides.
  bool IsDecider() const;

 private:
  struct State;
  explicit PlacementController(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

}  // namespace chervilpass::fleet
