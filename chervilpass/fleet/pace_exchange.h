// What this VM tells other VMs, its log and its metrics of the paces of
// servers.
#pragma once

#include <string>
#include <vector>

#include "chervilpass/core/log.h"
#include "chervilpass/core/metrics.h"
#include "chervilpass/membership/gossip_message.h"
#include "chervilpass/membership/member.h"
#include "chervilpass/routing/server_pace.h"
#include "chervilpass/serving/routing_state.h"

namespace chervilpass::fleet {

/// What this VM states in a load datagram; nothing while pacing is off.
std::vector<membership::ServerPaceNotice> CollectPaces(
    serving::RoutingState& state,
    Instant now);

/// Takes over what another VM states.
void ApplyPaces(serving::RoutingState& state,
                const std::string& peer,
                const std::vector<membership::ServerPaceNotice>& notices,
                Instant now);

/// Sets the VMs among which the load of paced servers is divided.
void SetPacingVms(serving::RoutingState& state,
                  const std::vector<membership::Member>& members,
                  Instant now);

/// Logs and measures the changes of paces since the last call.
void ReportPaces(serving::RoutingState& state,
                 const Logger& log,
                 MetricsRegistry& metrics);

}  // namespace chervilpass::fleet
