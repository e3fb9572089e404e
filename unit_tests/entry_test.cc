// Tests of the parsers of callers' requests and of problem responses.
#include <criterion/criterion.h>

#include "chervilpass/core/hash.h"
#include "chervilpass/core/random.h"
#include "chervilpass/entry/caller_request.h"
#include "chervilpass/entry/problem.h"

using namespace chervilpass;
using namespace chervilpass::entry;
using admission::Executed;
using admission::RefusalCode;

namespace {

config::FleetConfig Fleet() {
  config::FleetConfig fleet;
  fleet.pipelines["llm"] = {"llm", 8, 64, 2};
  fleet.services["orders"] = {"orders", {"POST"}};
  return fleet;
}

io::HttpRequest Post(const std::string& body) {
  io::HttpRequest request;
  request.method = "POST";
  request.path = "/v1/completions";
  request.body = body;
  return request;
}

RefusalCode CodeOf(const std::string& body) {
  const auto call = ReadCompletionCall(Post(body), "org", Fleet(), "id");
  cr_assert(call.has_error(), "%s", body.c_str());
  cr_assert(call.error().executed == Executed::kNo);
  return call.error().code;
}

}  // namespace

Test(completion_call,
     omitted_fields_have_defaults_and_organisations_differ_in_fingerprint) {
  const auto call = ReadCompletionCall(
      Post(R"({"model":"llm","prompt":"a b c"})"), "org", Fleet(), "fresh");
  cr_assert(call.has_value());
  cr_assert(call.value().request_id == "fresh");
  cr_assert_eq(call.value().max_tokens, 16);
  cr_assert_eq(call.value().prompt.size(), 3);
  cr_assert_eq(call.value().seed, HashText("fresh") >> 1);
  const auto other = ReadCompletionCall(
      Post(R"({"model":"llm","prompt":"a b c"})"), "other", Fleet(), "fresh");
  cr_assert_neq(call.value().fingerprint, other.value().fingerprint);
}

Test(completion_call, invalid_fields_are_refused_and_typos_get_a_suggestion) {
  cr_assert(CodeOf("not json") == RefusalCode::kMalformed);
  cr_assert(CodeOf("[]") == RefusalCode::kMalformed);
  cr_assert(CodeOf("{}") == RefusalCode::kMalformed);
  cr_assert(CodeOf(R"({"model":"no","prompt":"a"})") == RefusalCode::kNotFound);
  cr_assert(CodeOf(R"({"model":"llm","prompt":"a","max_tokens":65})") ==
            RefusalCode::kMalformed);
  cr_assert(CodeOf(R"({"model":"llm","prompt":"a","max_tokens":-1})") ==
            RefusalCode::kMalformed);
  cr_assert(CodeOf(R"({"model":"llm","prompt":"a","stream":"yes"})") ==
            RefusalCode::kMalformed);
  cr_assert(CodeOf(R"({"model":"llm","prompt":"a","resume_tokens":[99999]})") ==
            RefusalCode::kMalformed);
  const auto call = ReadCompletionCall(Post(R"({"model":"llm","promt":"a"})"),
                                       "org", Fleet(), "id");
  cr_assert(call.error().detail.find("did you mean 'prompt'?") !=
            std::string::npos);
}

Test(completion_call, a_past_deadline_is_refused) {
  io::HttpRequest request = Post(R"({"model":"llm","prompt":"a"})");
  request.headers.Add("X-Deadline-Ms", "-5");
  const auto call = ReadCompletionCall(request, "org", Fleet(), "id");
  cr_assert(call.error().code == RefusalCode::kDeadlinePassed);
}

Test(completion_call, resume_tokens_and_last_event_id_set_skip_tokens) {
  io::HttpRequest request =
      Post(R"({"model":"llm","prompt":"a","resume_tokens":[1,2,3]})");
  request.headers.Add("Last-Event-ID", "2");
  const auto call = ReadCompletionCall(request, "org", Fleet(), "id");
  cr_assert_eq(call.value().skip_tokens, 3);
  cr_assert_eq(call.value().resume_tokens.size(), 3);
}

Test(completion_call, random_mutations_of_a_request_never_crash) {
  const std::string good =
      R"({"model":"llm","prompt":"a b","max_tokens":8,"seed":3,"stream":true,)"
      R"("resume_tokens":[1,2]})";
  Random random(17);
  int accepted = 0;
  for (int i = 0; i < 10000; ++i) {
    io::HttpRequest request = Post(good);
    for (std::uint64_t e = 0; e < 1 + random.Below(4); ++e) {
      const std::size_t at = random.Below(request.body.size());
      if (random.Chance(0.5)) {
        request.body[at] = static_cast<char>(random.Below(256));
      } else {
        request.body.erase(at, 1);
      }
    }
    if (random.Chance(0.3)) {
      request.headers.Add(
          "X-Deadline-Ms",
          std::to_string(static_cast<std::int64_t>(random.Next())));
      request.headers.Add("Last-Event-ID",
                          std::string(3, static_cast<char>(random.Below(256))));
    }
    const auto call = ReadCompletionCall(request, "org", Fleet(), "id");
    accepted += call.has_value() ? 1 : 0;
    cr_assert(call.has_value() || call.error().executed == Executed::kNo);
  }
  cr_assert_gt(accepted, 0);
}

Test(service_call, a_non_repeatable_method_requires_a_key) {
  io::HttpRequest request;
  request.method = "POST";
  request.path = "/v1/services/orders/bookings/7";
  request.query = "a=b";
  const auto keyless = ReadServiceCall(request, Fleet(), "id");
  cr_assert(keyless.error().code == RefusalCode::kKeyRequired);
  request.headers.Add("Idempotency-Key", "booking-7");
  const auto keyed = ReadServiceCall(request, Fleet(), "id");
  cr_assert(keyed.value().idempotency_key == "booking-7");
  cr_assert(keyed.value().backend_request.path == "/bookings/7");
  cr_assert(keyed.value().backend_request.query == "a=b");
  request.method = "GET";
  cr_assert(
      ReadServiceCall(request, Fleet(), "id").value().idempotency_key.empty());
  request.path = "/v1/services/none";
  cr_assert(ReadServiceCall(request, Fleet(), "id").error().code ==
            RefusalCode::kNotFound);
}

Test(bearer_key, is_read_or_refused_if_missing) {
  io::HttpRequest request;
  cr_assert(ReadBearerKey(request).error().code == RefusalCode::kUnauthorized);
  request.headers.Add("authorization", "Bearer abc");
  cr_assert(ReadBearerKey(request).value() == "abc");
}

Test(problem, has_status_executed_and_retry_after) {
  const auto response = ProblemResponse(
      {RefusalCode::kOverloaded, Executed::kNo, milliseconds(1200), "full"});
  cr_assert_eq(response.status, 429);
  cr_assert(response.headers.Find("Retry-After") == "2");
  cr_assert(response.headers.Find("content-type") ==
            "application/problem+json");
  cr_assert(response.body.find("\"executed\":\"no\"") != std::string::npos);
}
