#include "chervilpass/entry/problem.h"

#include <boost/json.hpp>

namespace chervilpass::entry {

std::string ProblemJson(const admission::Refusal& refusal) {
  const std::string name(admission::RefusalName(refusal.code));
  boost::json::object problem = {
      {"type", "urn:chervilpass:" + name},
      {"title", name},
      {"status", admission::HttpStatus(refusal.code)},
      {"detail", refusal.detail},
      {"executed", admission::ExecutedName(refusal.executed)}};
  if (refusal.retry_after.count() > 0) {
    problem["retry_after_ms"] = ToMilliseconds(refusal.retry_after);
  }
  return boost::json::serialize(problem);
}

io::HttpResponse ProblemResponse(const admission::Refusal& refusal) {
  io::HttpResponse response;
  response.status = admission::HttpStatus(refusal.code);
  response.headers.Add("Content-Type", "application/problem+json");
  if (refusal.retry_after.count() > 0) {
    // Retry-After is in whole seconds; rounded up so that no retry is too
    // early.
    const std::int64_t retry_after_seconds =
        (ToMilliseconds(refusal.retry_after) + 999) / 1000;
    response.headers.Add("Retry-After", std::to_string(retry_after_seconds));
  }
  response.body = ProblemJson(refusal);
  return response;
}

}  // namespace chervilpass::entry
