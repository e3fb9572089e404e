#include "chervilpass/placement/order_governor.h"

#include <algorithm>

namespace chervilpass::placement {
namespace {

constexpr Duration kRateWindow = seconds(60);

}  // namespace

std::string_view NameOf(HoldReason reason) {
  switch (reason) {
    case HoldReason::kClaimUnconfirmed:
      return "claim_unconfirmed";
    case HoldReason::kRegistryFilling:
      return "registry_filling";
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

void OrderGovernor::OnRound(std::size_t servers, Instant now) {
  const double growth = std::max(
      static_cast<double>(this->settings.fill_servers),
      this->settings.fill_share * static_cast<double>(this->base_servers));
  const bool grows = static_cast<double>(servers) >=
                     static_cast<double>(this->base_servers) + growth;
  if (grows) {
    this->filled_at = now + this->settings.fill_window;
  }
  if (grows || servers < this->base_servers ||
      now - this->base_at >= this->settings.fill_window) {
    this->base_servers = servers;
    this->base_at = now;
  }
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
  if (this->filled_at && basis.now < *this->filled_at) {
    return HoldReason::kRegistryFilling;
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
