#include "chervilpass/engine/engine_client.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <optional>

namespace chervilpass::engine {
namespace {

namespace json = boost::json;

EngineError FromHttpError(const io::HttpError& error) {
  switch (error.code) {
    case io::HttpErrorCode::kConnect:
      return {EngineErrorCode::kUnreachable, error.detail};
    case io::HttpErrorCode::kTimeout:
      return {EngineErrorCode::kTimeout, error.detail};
    case io::HttpErrorCode::kReset:
      return {EngineErrorCode::kLost, error.detail};
    default:
      return {EngineErrorCode::kInvalidAnswer, error.detail};
  }
}

json::object WriteStep(const EngineStep& item) {
  json::array values;
  values.reserve(item.step.values.size());
  for (const std::uint64_t value : item.step.values) {
    values.emplace_back(value);
  }
  return {{"session", item.session},        {"seed", item.seed},
          {"priority", item.priority},      {"epoch", item.step.epoch},
          {"position", item.step.position}, {"sample", item.step.sample},
          {"values", std::move(values)}};
}

std::optional<pipeline::StepStatus> StatusFromName(std::string_view name) {
  if (name == "ok") {
    return pipeline::StepStatus::kOk;
  }
  if (name == "stale_epoch") {
    return pipeline::StepStatus::kStaleEpoch;
  }
  if (name == "wrong_position") {
    return pipeline::StepStatus::kWrongPosition;
  }
  if (name == "busy") {
    return pipeline::StepStatus::kBusy;
  }
  return std::nullopt;
}

std::optional<std::uint64_t> UnsignedOf(const json::object& object,
                                        std::string_view field) {
  const json::value* value = object.if_contains({field.data(), field.size()});
  if (value == nullptr) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto number = value->to_number<std::uint64_t>(error);
  return error ? std::nullopt : std::optional(number);
}

// Parses the answer to the step `sent`; empty if it is invalid or belongs to
// another step.
std::optional<pipeline::StepAnswer> ReadStepAnswer(const json::value& value,
                                                   const EngineStep& sent) {
  const json::object* object = value.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  const json::value* status = object->if_contains("status");
  if (status == nullptr || !status->is_string()) {
    return std::nullopt;
  }
  const auto step_status = StatusFromName(status->get_string());
  if (!step_status) {
    return std::nullopt;
  }
  pipeline::StepAnswer answer;
  answer.stage = sent.step.stage;
  answer.epoch = sent.step.epoch;
  answer.position = sent.step.position;
  answer.status = *step_status;
  if (*step_status != pipeline::StepStatus::kOk) {
    return answer;
  }
  const json::value* session = object->if_contains("session");
  const bool matches = session != nullptr && session->is_string() &&
                       session->get_string() == sent.session &&
                       UnsignedOf(*object, "epoch") == sent.step.epoch &&
                       UnsignedOf(*object, "position") == sent.step.position;
  if (!matches) {
    return std::nullopt;
  }
  if (const json::value* values = object->if_contains("values")) {
    if (!values->is_array()) {
      return std::nullopt;
    }
    for (const json::value& item : values->get_array()) {
      boost::system::error_code error;
      answer.values.push_back(item.to_number<std::uint64_t>(error));
      if (error) {
        return std::nullopt;
      }
    }
  }
  answer.token =
      static_cast<std::uint32_t>(UnsignedOf(*object, "token").value_or(0));
  return answer;
}

EngineError BadAnswer(std::string detail) {
  return {EngineErrorCode::kInvalidAnswer, std::move(detail)};
}

}  // namespace

EngineClient::EngineClient(io::Runtime* runtime)
    : http(io::HttpClient::Create(runtime, io::HttpClientSettings{})) {}

Result<io::HttpResponse, EngineError> EngineClient::Post(
    const io::Endpoint& engine,
    const std::string& path,
    std::string body,
    Duration timeout) {
  io::HttpRequest request;
  request.method = "POST";
  request.path = path;
  request.headers.Add("Content-Type", "application/json");
  request.body = std::move(body);
  auto response = this->http->Call(engine, request, timeout);
  if (response.has_error()) {
    return FromHttpError(response.error());
  }
  if (response.value().status != 200) {
    return BadAnswer(fmt::format("status {}: {}", response.value().status,
                                 response.value().body));
  }
  return std::move(response).value();
}

Result<std::vector<pipeline::StepAnswer>, EngineError> EngineClient::RunSteps(
    const io::Endpoint& engine,
    const std::vector<EngineStep>& steps,
    Duration timeout) {
  json::array items;
  items.reserve(steps.size());
  for (const EngineStep& step : steps) {
    items.push_back(WriteStep(step));
  }
  BOOST_OUTCOME_TRY(
      const auto response,
      this->Post(engine, "/v1/steps",
                 json::serialize(json::object{{"steps", std::move(items)}}),
                 timeout));
  boost::system::error_code error;
  const json::value body = json::parse(response.body, error);
  const json::object* object = error ? nullptr : body.if_object();
  const json::value* results =
      object == nullptr ? nullptr : object->if_contains("results");
  if (results == nullptr || !results->is_array() ||
      results->get_array().size() != steps.size()) {
    return BadAnswer("the number of results differs from the number of steps");
  }
  std::vector<pipeline::StepAnswer> answers;
  answers.reserve(steps.size());
  for (std::size_t i = 0; i < steps.size(); ++i) {
    auto answer = ReadStepAnswer(results->get_array()[i], steps[i]);
    if (!answer) {
      return BadAnswer("a result does not match its step");
    }
    answers.push_back(std::move(*answer));
  }
  return answers;
}

Result<void, EngineError> EngineClient::ReleaseSessions(
    const io::Endpoint& engine,
    const std::vector<std::string>& sessions,
    Duration timeout) {
  json::array names;
  for (const std::string& session : sessions) {
    names.emplace_back(session);
  }
  BOOST_OUTCOME_TRY(
      this->Post(engine, "/v1/sessions/release",
                 json::serialize(json::object{{"sessions", names}}), timeout));
  return success();
}

Result<EngineLoad, EngineError> EngineClient::ReadLoad(
    const io::Endpoint& engine,
    Duration timeout) {
  io::HttpRequest request;
  request.path = "/v1/load";
  auto response = this->http->Call(engine, request, timeout);
  if (response.has_error()) {
    return FromHttpError(response.error());
  }
  boost::system::error_code error;
  const json::value body = json::parse(response.value().body, error);
  const json::object* object = error ? nullptr : body.if_object();
  const json::value* boot =
      object == nullptr ? nullptr : object->if_contains("boot_id");
  if (boot == nullptr || !boot->is_string()) {
    return BadAnswer("the load report has no boot id");
  }
  return EngineLoad{
      static_cast<std::uint32_t>(UnsignedOf(*object, "sessions").value_or(0)),
      static_cast<std::uint32_t>(
          UnsignedOf(*object, "queued_steps").value_or(0)),
      std::string(boot->get_string())};
}

}  // namespace chervilpass::engine
