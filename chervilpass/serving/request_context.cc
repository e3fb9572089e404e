#include "chervilpass/serving/request_context.h"

namespace chervilpass::serving {

void NoteUnreachable(const RouterParts& parts,
                     const std::string& worker,
                     std::string_view evidence) {
  const Instant now = parts.runtime->Now();
  if (parts.world->Avoid(worker, routing::AvoidReason::kUnreachable, now)) {
    parts.log->Warning("worker.unreachable",
                       {{"worker", worker}, {"evidence", evidence}});
    parts.report_unreachable(worker);
  }
}

}  // namespace chervilpass::serving
