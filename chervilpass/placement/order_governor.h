// Decides which orders of a plan are sent now. A decider that is behind takes
// its own delay for changes of the fleet; each order costs its worker a weight
// load, so a plan that rests on old information does more harm than none.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "chervilpass/core/time.h"
#include "chervilpass/placement/planner.h"

namespace chervilpass::placement {

/// Settings of an OrderGovernor.
struct OrderGovernorSettings {
  /// Age of the registry beyond which only repairs are sent. Watches of the
  /// store return within a second, and a lost store is noticed after 2.6 s.
  Duration max_registry_age = seconds(5);
  /// Age of the reports of workers with open orders beyond which only repairs
  /// are sent. They are read four times a second.
  Duration max_report_age = seconds(2);
  /// Lateness of the control loop beyond which only repairs are sent.
  Duration max_lateness = milliseconds(500);
  /// While the number of servers has grown by this many and by this share
  /// within `fill_window`, the registry is not complete: layers may seem to be
  /// held by nobody.
  std::size_t fill_servers = 8;
  double fill_share = 0.05;
  Duration fill_window = seconds(1);
  /// Weight loads that may be ordered in any minute. The repair of a few lost
  /// workers takes fewer than ten.
  std::uint32_t loads_per_minute = 120;
  /// Share of them that orders other than repairs may use.
  double move_share = 0.5;

  bool operator==(const OrderGovernorSettings&) const = default;
};

/// Why an order is not sent.
enum class HoldReason : std::uint8_t {
  kClaimUnconfirmed,
  kRegistryFilling,
  kRegistryOld,
  kReportsOld,
  kLoopLate,
  kOrderOpen,  ///< an earlier order to this worker has not ended
  kLoadRate,   ///< too many weight loads in the last minute
};

/// Name for log lines and metrics.
std::string_view NameOf(HoldReason reason);

/// What a plan rests on.
struct PlanBasis {
  Instant now{};
  /// False in an outage of the store, while the claim is uncontested.
  bool claim_confirmed = true;
  Duration registry_age{0};
  Duration report_age{0};  ///< the oldest one of a worker with an open order
  Duration lateness{0};    ///< of the control loop, or the time that it took
  /// Most workers hold no layers: nothing is served, so all may load at once.
  bool starting = false;

  bool operator==(const PlanBasis&) const = default;
};

/// The orders of a plan that may be sent, and how many are held for each
/// reason.
struct Admission {
  std::vector<PlacementOrder> admitted;
  std::map<HoldReason, std::size_t> held;

  bool operator==(const Admission&) const = default;
};

/// Not thread-safe. Invariant: no two orders to one worker are admitted without
/// a call of OnEnded in between.
class OrderGovernor {
 public:
  explicit OrderGovernor(OrderGovernorSettings settings) : settings(settings) {}

  /// Records the number of registered servers; to be called in each round of
  /// the control loop, also while this VM does not decide.
  void OnRound(std::size_t servers, Instant now);

  /// Checks one order of a plan. Urgent orders are repairs. An admitted order
  /// is open until OnEnded.
  std::optional<HoldReason> Admit(const PlacementOrder& order,
                                  const PlanBasis& basis);

  /// Checks all orders of a plan, in their order.
  Admission AdmitAll(const std::vector<PlacementOrder>& orders,
                     const PlanBasis& basis);

  /// The order of a worker has taken effect, has failed, or is known to be
  /// lost.
  void OnEnded(const std::string& worker);

  std::size_t OpenOrders() const { return this->open.size(); }

 private:
  std::optional<HoldReason> Check(const PlacementOrder& order,
                                  const PlanBasis& basis) const;
  bool ExceedsRate(const PlacementOrder& order) const;

  OrderGovernorSettings settings;
  std::size_t base_servers = 0;  ///< at `base_at`
  Instant base_at{};
  std::optional<Instant> filled_at;  ///< the registry grows until then
  std::set<std::string> open;        ///< workers
  std::deque<Instant> loads;         ///< ordered in the last minute
};

}  // namespace chervilpass::placement
