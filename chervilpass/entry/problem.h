// Converts refusals to HTTP responses with problem details (RFC 9457).
#pragma once

#include <string>

#include "chervilpass/admission/refusal.h"
#include "chervilpass/io/http.h"

namespace chervilpass::entry {

/// The refusal as a JSON object: type, title, status, detail, executed, and
/// retry_after_ms if a retry makes sense.
std::string ProblemJson(const admission::Refusal& refusal);

/// The refusal as a response with its status, problem details and Retry-After
/// header in whole seconds.
io::HttpResponse ProblemResponse(const admission::Refusal& refusal);

}  // namespace chervilpass::entry
