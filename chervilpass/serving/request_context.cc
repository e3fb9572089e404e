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

std::string DescribePath(const placement::Path& path) {
  std::string text;
  for (const placement::PathStage& stage : path) {
    text += fmt::format("{}{}:{}-{}", text.empty() ? "" : ",", stage.worker,
                        stage.layers.from, stage.layers.to);
  }
  return text;
}

}  // namespace chervilpass::serving
