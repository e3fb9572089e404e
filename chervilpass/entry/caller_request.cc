#include "chervilpass/entry/caller_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

#include "chervilpass/core/hash.h"
#include "chervilpass/core/text.h"
#include "chervilpass/pipeline/tokenizer.h"

namespace chervilpass::entry {
namespace {

namespace json = boost::json;
using admission::Executed;
using admission::Refusal;
using admission::RefusalCode;

constexpr std::size_t kMaxKeyLength = 128;  // characters
constexpr std::size_t kPrefixTokens = 16;   // hashed for cache affinity
constexpr std::uint32_t kDefaultMaxTokens = 16;
constexpr std::int64_t kMaxDeadlineMs = 24LL * 3600 * 1000;
constexpr std::string_view kServicesPath = "/v1/services/";
constexpr std::string_view kBearer = "Bearer ";

Refusal Malformed(std::string detail) {
  return {RefusalCode::kMalformed, Executed::kNo, Duration(0),
          std::move(detail)};
}

Refusal NotFound(std::string detail) {
  return {RefusalCode::kNotFound, Executed::kNo, Duration(0),
          std::move(detail)};
}

std::optional<std::int64_t> ParseInteger(std::string_view text) {
  std::int64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

Result<std::optional<Duration>, Refusal> ReadDeadline(
    const io::HttpRequest& request) {
  const auto text = request.headers.Find("X-Deadline-Ms");
  if (!text) {
    return std::optional<Duration>();
  }
  const auto number = ParseInteger(*text);
  if (!number || *number > kMaxDeadlineMs) {
    return Malformed(fmt::format(
        "X-Deadline-Ms: '{}' given; milliseconds from now, at most {}, are "
        "expected",
        *text, kMaxDeadlineMs));
  }
  if (*number <= 0) {
    return Refusal{RefusalCode::kDeadlinePassed, Executed::kNo, Duration(0),
                   "X-Deadline-Ms: the deadline has passed already"};
  }
  return std::optional<Duration>(milliseconds(*number));
}

Result<std::string, Refusal> ReadRequestId(const io::HttpRequest& request,
                                           const std::string& fresh_id) {
  const auto given = request.headers.Find("X-Request-Id");
  const auto key = request.headers.Find("Idempotency-Key");
  const std::string id = given ? *given : key.value_or(fresh_id);
  if (!IsIdempotencyKey(id)) {
    return Malformed(
        "X-Request-Id and Idempotency-Key have 1 to 128 visible ASCII "
        "characters");
  }
  return id;
}

// Reads the fields of a JSON body. A missing field has a default value, except
// in Text().
class BodyReader {
 public:
  explicit BodyReader(const json::object& object) : object(object) {}

  Result<std::string, Refusal> Text(std::string_view field) {
    const json::value* value = this->Get(field);
    if (value == nullptr || !value->is_string()) {
      return Malformed(fmt::format("field '{}': a text is expected", field));
    }
    return std::string(value->get_string());
  }

  Result<std::uint64_t, Refusal> Unsigned(std::string_view field,
                                          std::uint64_t fallback,
                                          std::uint64_t max) {
    const json::value* value = this->Get(field);
    if (value == nullptr) {
      return fallback;
    }
    boost::system::error_code error;
    const auto number = value->to_number<std::uint64_t>(error);
    if (error || value->is_double() || number > max) {
      return Malformed(fmt::format(
          "field '{}': a whole number from 0 to {} is expected", field, max));
    }
    return number;
  }

  Result<bool, Refusal> Flag(std::string_view field) {
    const json::value* value = this->Get(field);
    if (value == nullptr) {
      return false;
    }
    if (!value->is_bool()) {
      return Malformed(
          fmt::format("field '{}': true or false is expected", field));
    }
    return value->get_bool();
  }

  Result<std::vector<std::uint32_t>, Refusal> Tokens(std::string_view field) {
    std::vector<std::uint32_t> tokens;
    const json::value* value = this->Get(field);
    if (value == nullptr) {
      return tokens;
    }
    if (!value->is_array()) {
      return Malformed(
          fmt::format("field '{}': a list of token ids is expected", field));
    }
    for (const json::value& item : value->get_array()) {
      boost::system::error_code error;
      const auto token = item.to_number<std::uint32_t>(error);
      if (error || token >= pipeline::kVocabularySize) {
        return Malformed(
            fmt::format("field '{}': token ids from 0 to {} are "
                        "expected",
                        field, pipeline::kVocabularySize - 1));
      }
      tokens.push_back(token);
    }
    return tokens;
  }

  // The first field that is not in `known`.
  std::optional<std::string> UnknownField(
      const std::vector<std::string>& known) const {
    for (const auto& item : this->object) {
      const std::string name(item.key());
      if (std::find(known.begin(), known.end(), name) == known.end()) {
        return name;
      }
    }
    return std::nullopt;
  }

 private:
  const json::value* Get(std::string_view field) const {
    return this->object.if_contains({field.data(), field.size()});
  }

  const json::object& object;
};

const std::vector<std::string>& KnownFields() {
  // Fields of the common completions API that have no effect here are accepted
  // and ignored.
  static const std::vector<std::string> kFields = {
      "model",       "prompt", "max_tokens", "stream", "seed", "resume_tokens",
      "temperature", "top_p",  "n",          "user",   "stop"};
  return kFields;
}

Result<json::object, Refusal> ParseBody(const std::string& body) {
  boost::system::error_code error;
  json::value value = json::parse(body, error);
  if (error) {
    return Malformed("the body is not JSON: " + error.message());
  }
  if (!value.is_object()) {
    return Malformed("the body is not a JSON object");
  }
  return std::move(value.get_object());
}

// Number of tokens that the caller has received: one more than the id of its
// last event.
Result<std::uint32_t, Refusal> ReadSkip(const io::HttpRequest& request) {
  const auto text = request.headers.Find("Last-Event-ID");
  if (!text) {
    return 0U;
  }
  const auto number = ParseInteger(*text);
  if (!number || *number < 0 || *number > UINT32_MAX - 1) {
    return Malformed("Last-Event-ID: the id of an event is expected");
  }
  return static_cast<std::uint32_t>(*number + 1);
}

std::uint64_t HashPrefix(const std::vector<std::uint32_t>& prompt) {
  if (prompt.size() < kPrefixTokens) {
    return 0;  // Too short for prefix caching to pay off.
  }
  std::uint64_t hash = 0;
  for (std::size_t i = 0; i < kPrefixTokens; ++i) {
    hash = HashCombine(hash, prompt[i]);
  }
  return hash;
}

}  // namespace

bool IsIdempotencyKey(std::string_view key) {
  return !key.empty() && key.size() <= kMaxKeyLength &&
         std::all_of(key.begin(), key.end(),
                     [](char c) { return c > ' ' && c < '\x7f'; });
}

Result<std::string, Refusal> ReadBearerKey(const io::HttpRequest& request) {
  const std::string value = request.headers.Find("Authorization").value_or("");
  if (!value.starts_with(kBearer) || value.size() == kBearer.size()) {
    return Refusal{RefusalCode::kUnauthorized, Executed::kNo, Duration(0),
                   "the header 'Authorization: Bearer KEY' is expected"};
  }
  return value.substr(kBearer.size());
}

Result<CompletionCall, Refusal> ReadCompletionCall(
    const io::HttpRequest& request,
    const std::string& organisation,
    const config::FleetConfig& config,
    const std::string& fresh_id) {
  CompletionCall call;
  BOOST_OUTCOME_TRY(call.request_id, ReadRequestId(request, fresh_id));
  BOOST_OUTCOME_TRY(call.deadline, ReadDeadline(request));
  BOOST_OUTCOME_TRY(const json::object body, ParseBody(request.body));
  BodyReader reader(body);
  if (const auto unknown = reader.UnknownField(KnownFields())) {
    const auto nearest = NearestName(*unknown, KnownFields());
    return Malformed(
        fmt::format("field '{}' is not known{}", *unknown,
                    nearest ? "; did you mean '" + *nearest + "'?" : ""));
  }
  BOOST_OUTCOME_TRY(call.pipeline, reader.Text("model"));
  const auto pipeline = config.pipelines.find(call.pipeline);
  if (pipeline == config.pipelines.end()) {
    return NotFound("no pipeline has the name '" + call.pipeline + "'");
  }
  BOOST_OUTCOME_TRY(const std::string prompt, reader.Text("prompt"));
  const std::uint32_t limit = pipeline->second.token_limit;
  BOOST_OUTCOME_TRY(
      const std::uint64_t max_tokens,
      reader.Unsigned("max_tokens", std::min(kDefaultMaxTokens, limit), limit));
  call.max_tokens = static_cast<std::uint32_t>(max_tokens);
  BOOST_OUTCOME_TRY(call.stream, reader.Flag("stream"));
  // The default seed depends on the request id only, so that a retry produces
  // the same answer.
  BOOST_OUTCOME_TRY(
      call.seed,
      reader.Unsigned("seed", HashText(call.request_id) >> 1, INT64_MAX));
  BOOST_OUTCOME_TRY(call.resume_tokens, reader.Tokens("resume_tokens"));
  BOOST_OUTCOME_TRY(call.skip_tokens, ReadSkip(request));
  if (call.resume_tokens.size() > call.max_tokens) {
    return Malformed("field 'resume_tokens': longer than max_tokens");
  }
  call.skip_tokens = std::max(
      call.skip_tokens, static_cast<std::uint32_t>(call.resume_tokens.size()));
  call.prompt = pipeline::Tokenize(prompt);
  call.prefix_hash = HashPrefix(call.prompt);
  call.fingerprint =
      HashText(prompt, HashText(call.pipeline, HashText(organisation)));
  return call;
}

Result<ServiceCall, Refusal> ReadServiceCall(const io::HttpRequest& request,
                                             const config::FleetConfig& config,
                                             const std::string& fresh_id) {
  ServiceCall call;
  BOOST_OUTCOME_TRY(call.request_id, ReadRequestId(request, fresh_id));
  BOOST_OUTCOME_TRY(call.deadline, ReadDeadline(request));
  const std::string rest = request.path.substr(kServicesPath.size());
  const std::size_t slash = rest.find('/');
  call.service = rest.substr(0, slash);
  const auto service = config.services.find(call.service);
  if (service == config.services.end()) {
    return NotFound("no service has the name '" + call.service + "'");
  }
  call.backend_request.method = request.method;
  call.backend_request.path =
      slash == std::string::npos ? "/" : rest.substr(slash);
  call.backend_request.query = request.query;
  call.backend_request.body = request.body;
  if (const auto type = request.headers.Find("Content-Type")) {
    call.backend_request.headers.Add("Content-Type", *type);
  }
  if (const auto accept = request.headers.Find("Accept")) {
    call.backend_request.headers.Add("Accept", *accept);
  }
  const auto& methods = service->second.non_repeatable;
  if (std::find(methods.begin(), methods.end(), request.method) ==
      methods.end()) {
    return call;
  }
  const auto key = request.headers.Find("Idempotency-Key");
  if (!key) {
    return Refusal{RefusalCode::kKeyRequired, Executed::kNo, Duration(0),
                   fmt::format("{} on service '{}' may not be repeated: the "
                               "header Idempotency-Key is expected",
                               request.method, call.service)};
  }
  if (!IsIdempotencyKey(*key)) {
    return Malformed(
        "Idempotency-Key: 1 to 128 visible ASCII characters are expected");
  }
  call.idempotency_key = *key;
  return call;
}

}  // namespace chervilpass::entry
