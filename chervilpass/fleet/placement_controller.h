// Control loop of placement on the VM that holds the decider claim: plans from
// the layers that workers hold, and repeats each order until the worker has
// carried it out.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "chervilpass/core/log.h"
#include "chervilpass/core/metrics.h"
#include "chervilpass/fleet/decider_claim.h"
#include "chervilpass/io/http_client.h"
#include "chervilpass/placement/order_governor.h"
#include "chervilpass/placement/planner.h"
#include "chervilpass/serving/routing_state.h"
#include "platform/store_client.h"

namespace chervilpass::fleet {

/// Settings of a PlacementController.
struct PlacementControllerSettings {
  Duration check_interval = milliseconds(200);  ///< of the control loop
  /// Before orders the claim is read again if the last read is older than this.
  /// Not longer than DeciderClaimSettings::confirmed_for.
  Duration claim_confirm_interval = milliseconds(400);
  /// Interval of reads of the claim while there are no orders.
  Duration idle_read_interval = milliseconds(2000);
  Duration report_timeout = milliseconds(300);
  /// Between two reports from a worker with an open order.
  Duration load_poll_interval = milliseconds(250);
  /// While most workers are empty, planning waits until the number of workers
  /// has not changed for this long, since ranges depend on it.
  Duration settle_time = milliseconds(700);
  /// Limit of that wait, from the first worker on.
  Duration max_settle_time = milliseconds(3500);
  /// An order that has not taken effect after this time is dropped and planned
  /// again.
  Duration order_timeout = seconds(20);
  /// An order that its worker reports as in progress is waited for up to this
  /// time.
  Duration max_order_time = seconds(120);
  /// Between two log lines about orders that are held.
  Duration held_log_interval = seconds(10);
  placement::PlannerSettings planner;
  placement::OrderGovernorSettings governor;

  bool operator==(const PlacementControllerSettings&) const = default;
};

/// Plans and sends orders while this VM is the decider. Fiber thread only.
class PlacementController {
 public:
  /// `cut_off` tells whether this VM reaches no worker; it decides nothing
  /// then.
  static std::unique_ptr<PlacementController> Create(
      io::Runtime* runtime,
      platform::StoreClient* store,
      io::HttpClient* http,
      serving::RoutingState* routing_state,
      MetricsRegistry* metrics,
      const Logger* log,
      PlacementControllerSettings settings,
      membership::Member self,
      std::function<const std::vector<membership::Member>&()> members,
      std::function<bool()> cut_off);
  ~PlacementController();

  /// Checks a worker that is reported not to respond. Only if it does not
  /// answer a request for its report does it become unusable for planning.
  void OnSuspect(const std::string& worker);

  /// True if this VM is the decider.
  bool IsDecider() const;

 private:
  struct State;
  explicit PlacementController(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

}  // namespace chervilpass::fleet
