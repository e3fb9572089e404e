#include "chervilpass/serving/request_context.h"

#include <fmt/format.h>

namespace chervilpass::serving {

void NoteUnreachable(const RouterDependencies& parts,
                     const std::string& worker,
                     std::string_view evidence) {
  const Instant now = parts.runtime->Now();
  if (parts.routing_state->StartCooldown(
          worker, routing::CooldownReason::kUnreachable, now)) {
    parts.log->Warning("worker.unreachable",
                       {{"worker", worker}, {"evidence", evidence}});
    parts.report_unreachable(worker);
  }
}

std::string DescribePath(const placement::Path& path) {
  std::string text;
  for (const placement::PathStage& part : path) {
    text += fmt::format("{}{}:{}-{}", text.empty() ? "" : ",", part.worker,
                        part.layers.from, part.layers.to);
  }
  return text;
}

}  // namespace chervilpass::serving
