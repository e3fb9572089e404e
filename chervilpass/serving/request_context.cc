#include "chervilpass/serving/request_context.h"

#include <fmt/format.h>

namespace chervilpass::serving {

void MarkUnreachable(const RouterDependencies& dependencies,
                     const std::string& worker,
                     std::string_view evidence) {
  const Instant now = dependencies.runtime->Now();
  if (dependencies.routing_state->StartCooldown(
          worker, routing::CooldownReason::kUnreachable, now)) {
    dependencies.log->Warning("worker.unreachable",
                              {{"worker", worker}, {"evidence", evidence}});
    dependencies.report_unreachable(worker);
  }
}

void RecordRateLimit(const RouterDependencies& dependencies,
                     const std::string& server,
                     const RateLimitField& field) {
  if (field.unreadable) {
    dependencies.metrics->Increment("chervil_unreadable_rate_limits_total");
    dependencies.log->Warning("rate_limit.unreadable", {{"worker", server}});
    return;
  }
  if (field.limit) {
    dependencies.metrics->Increment("chervil_rate_limited_responses_total");
  }
  if (dependencies.routing_state->RecordRateLimit(
          server, {field.limit, dependencies.runtime->Now()})) {
    dependencies.log->Info(
        "rate_limit.changed",
        {{"worker", server},
         {"limited", field.limit.has_value()},
         {"per_second", fmt::format("{:.3f}", field.limit.value_or(0))}});
  }
}

std::string DescribePath(const placement::Path& path) {
  std::string text;
  for (const placement::PathStage& stage : path) {
    text += fmt::format("{}{}:{}-{}", text.empty() ? "" : ",", stage.worker,
                        stage.layers.from, stage.layers.to);
  }
  return text;
}

}  // namespace chervilpass::serving
