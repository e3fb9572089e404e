#include "chervilpass/fleet/pace_exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "chervilpass/routing/pace_parts.h"

namespace chervilpass::fleet {
namespace {

constexpr std::size_t kMaxNotices = 32;  // in one datagram
constexpr double kShareUnits = 255;
constexpr Duration kAgeUnit = milliseconds(10);

void LogChange(const routing::PaceChange& change, const Logger& log) {
  const std::size_t mark = change.start.rfind('@');
  log.Info("server.pace",
           {{"worker", change.start.substr(0, mark)},
            {"started",
             change.start.substr(std::min(mark, change.start.size() - 1) + 1)},
            {"before", fmt::format("{:.3f}", change.before)},
            {"after", fmt::format("{:.3f}", change.after)},
            {"cause", routing::PaceCauseName(change.cause)},
            {"answers", change.answers},
            {"mean_ratio", fmt::format("{:.2f}", change.mean_ratio)},
            {"refused", change.refused},
            {"failed", change.failed},
            {"statements", change.statements},
            {"warm_up_left_ms", ToMilliseconds(change.warm_up_left)},
            {"age_ms", ToMilliseconds(change.age)},
            {"paced_ms", ToMilliseconds(change.paced_for)},
            {"ended", change.ended}});
}

}  // namespace

std::vector<membership::ServerPaceNotice> CollectPaces(
    serving::RoutingState& state,
    Instant now) {
  std::vector<membership::ServerPaceNotice> notices;
  if (state.Pacing() == nullptr) {
    return notices;
  }
  for (const routing::PaceStatement& statement :
       state.Pacing()->Pace().Statements(kMaxNotices, now)) {
    notices.push_back(
        {statement.start,
         static_cast<std::uint8_t>(std::lround(statement.share * kShareUnits)),
         static_cast<std::uint16_t>(std::clamp<std::int64_t>(
             (now - statement.at) / kAgeUnit, 0, UINT16_MAX))});
  }
  return notices;
}

void ApplyPaces(serving::RoutingState& state,
                const std::string& peer,
                const std::vector<membership::ServerPaceNotice>& notices,
                Instant now) {
  if (state.Pacing() == nullptr || notices.empty()) {
    return;
  }
  std::vector<routing::PaceStatement> statements;
  for (const membership::ServerPaceNotice& notice : notices) {
    statements.push_back({notice.start, notice.share / kShareUnits,
                          now - kAgeUnit * int{notice.age}});
  }
  state.Pacing()->Pace().OnStatements(peer, statements, now);
}

void SetPacingVms(serving::RoutingState& state,
                  const std::vector<membership::Member>& members,
                  Instant now) {
  if (state.Pacing() == nullptr) {
    return;
  }
  std::vector<std::uint64_t> vms;
  for (const membership::Member& member : members) {
    if (member.status != membership::Status::kDead) {
      vms.push_back(routing::PaceVmKey(member.vm));
    }
  }
  state.Pacing()->Pace().SetFleet(std::move(vms), now);
}

void ReportPaces(serving::RoutingState& state,
                 const Logger& log,
                 MetricsRegistry& metrics) {
  if (state.Pacing() == nullptr) {
    return;
  }
  for (const routing::PaceChange& change :
       state.Pacing()->Pace().TakeChanges()) {
    LogChange(change, log);
    if (change.ended) {
      metrics.Observe("chervil_server_pace_seconds", change.paced_for);
    }
  }
  metrics.Set("chervil_servers_paced", "",
              static_cast<double>(state.Pacing()->Pace().Paced()));
  metrics.Set("chervil_requests_held_back_by_pace", "",
              static_cast<double>(state.Pacing()->HeldBack()));
}

}  // namespace chervilpass::fleet
