#include "chervilpass/placement/order_governor.h"

namespace chervilpass::placement {
namespace {

constexpr Duration kRateWindow = seconds(60);

}  // namespace

std::string_view NameOf(HoldReason reason) {
  switch (reason) {
    case HoldReason::kClaimUnconfirmed:
      return "claim_unconfirmed";
    case HoldReason::kRegistryOld:
      return "registry_old";
    case HoldReason::kReportsOld:
      return "reports_old";
    case HoldReason::kLoopLate:
      return "loop_late";
    case HoldReason::kOrderOpen:
      return "order_open";
    case HoldReason::kLoadRate:
      return "load_rate";
  }
  return "unknown";
}

std::optional<HoldReason> OrderGovernor::Admit(const PlacementOrder& order,
                                               const PlanBasis& basis) {
  while (!this->loads.empty() &&
         basis.now - this->loads.front() >= kRateWindow) {
    this->loads.pop_front();
  }
  const auto reason = this->Check(order, basis);
  if (reason) {
    return reason;
  }
  this->open.insert(order.worker);
  if (!basis.starting) {
    this->loads.push_back(basis.now);
  }
  return std::nullopt;
}

std::optional<HoldReason> OrderGovernor::Check(const PlacementOrder& order,
                                               const PlanBasis& basis) const {
  if (this->open.contains(order.worker)) {
    return HoldReason::kOrderOpen;
  }
  if (!order.urgent && !basis.claim_confirmed) {
    return HoldReason::kClaimUnconfirmed;
  }
  if (basis.starting) {
    return std::nullopt;
  }
  if (!order.urgent) {
    if (basis.lateness > this->settings.max_lateness) {
      return HoldReason::kLoopLate;
    }
    if (basis.registry_age > this->settings.max_registry_age) {
      return HoldReason::kRegistryOld;
    }
    if (basis.report_age > this->settings.max_report_age) {
      return HoldReason::kReportsOld;
    }
  }
  return this->ExceedsRate(order) ? std::optional(HoldReason::kLoadRate)
                                  : std::nullopt;
}

bool OrderGovernor::ExceedsRate(const PlacementOrder& order) const {
  const double limit = order.urgent ? this->settings.loads_per_minute
                                    : this->settings.move_share *
                                          this->settings.loads_per_minute;
  return static_cast<double>(this->loads.size()) >= limit;
}

Admission OrderGovernor::AdmitAll(const std::vector<PlacementOrder>& orders,
                                  const PlanBasis& basis) {
  Admission admission;
  for (const PlacementOrder& order : orders) {
    if (const auto reason = this->Admit(order, basis)) {
      ++admission.held[*reason];
    } else {
      admission.admitted.push_back(order);
    }
  }
  return admission;
}

void OrderGovernor::OnEnded(const std::string& worker) {
  this->open.erase(worker);
}

}  // namespace chervilpass::placement
