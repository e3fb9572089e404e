// Refusals as HTTP responses: problem details after RFC 9457.
#pragma once

#include <string>

#include "chervilpass/admission/refusal.h"
#include "chervilpass/io/http.h"

namespace chervilpass::entry {

/// The problem as a JSON object: type, title, status, detail, executed, and
/// retry_after_ms where coming back makes sense.
std::string ProblemJson(const admission::Refusal& refusal);

/// The refusal as a response with its status and Retry-After.
io::HttpResponse ProblemResponse(const admission::Refusal& refusal);

}  // namespace chervilpass::entry
