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
#include "chervilpass/serving/world.h"
#include "platform/store_client.h"

namespace chervilpass::fleet {

/// Describes a PlacementKeeper.
struct PlacementKeeperSettings {
  Duration tick = milliseconds(200);
  /// The claim is read again before orders if it was read longer ago.
  Duration confirm_every = milliseconds(400);
  /// While idle it is read this often.
  Duration idle_read = milliseconds(2000);
  Duration report_timeout = milliseconds(300);
  /// Between two looks at a worker that loads layers.
  Duration poll = milliseconds(250);
  /// While most workers are empty, planning waits until no new one has shown up
  /// for this long, since ranges depend on how many there are.
  Duration settle = milliseconds(700);
  Duration longest_settle = milliseconds(3500);
  /// An order that has not taken effect by then is planned anew.
  Duration order_limit = seconds(20);
  placement::PlannerSettings planner;

  bool operator==(const PlacementKeeperSettings&) const = default;
};

/// Fiber thread only.
class PlacementKeeper {
 public:
  static std::unique_ptr<PlacementKeeper> Create(
      io::Runtime* runtime,
      platform::StoreClient* store,
      io::HttpClient* http,
      serving::World* world,
      MetricsRegistry* metrics,
      const Logger* log,
      PlacementKeeperSettings settings,
      membership::Member self,
      std::function<std::vector<membership::Member>()> members);
  ~PlacementKeeper();

  /// A worker is said not to answer: it is asked before anything is moved.
  void OnSuspect(const std::string& worker);

  /// True if this VM decides.
  bool Decides() const;

 private:
  struct State;
  explicit PlacementKeeper(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

}  // namespace chervilpass::fleet
