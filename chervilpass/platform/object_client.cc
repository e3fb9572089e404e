#include "chervilpass/platform/object_client.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <charconv>

#include "chervilpass/core/token_bucket.h"
#include "chervilpass/io/http_client.h"

namespace chervilpass::platform {
namespace {

constexpr std::string_view kCallsMetric = "chervil_platform_calls_total";
constexpr std::string_view kErrorsMetric = "chervil_platform_errors_total";
constexpr Duration kWatchSlack = seconds(1);  // transfer time of the response

PlatformError FromHttpError(const io::HttpError& error) {
  const PlatformErrorCode code = error.code == io::HttpErrorCode::kConnect
                                     ? PlatformErrorCode::kNotSent
                                     : PlatformErrorCode::kUnavailable;
  return {code, error.detail};
}

PlatformError FromStatus(unsigned status, const std::string& body) {
  switch (status) {
    case 404:
      return {PlatformErrorCode::kNotFound, body};
    case 409:
    case 412:
      return {PlatformErrorCode::kConflict, body};
    case 429:
      return {PlatformErrorCode::kRateLimited, body};
    default:
      return {status >= 500 ? PlatformErrorCode::kUnavailable
                            : PlatformErrorCode::kRefused,
              fmt::format("status {}: {}", status, body)};
  }
}

std::string QuoteVersion(std::uint64_t version) {
  return fmt::format("\"{}\"", version);
}

Result<std::uint64_t, PlatformError> VersionOf(
    const io::HttpResponse& response) {
  const std::string tag = response.headers.Find("ETag").value_or("");
  std::uint64_t version = 0;
  if (tag.size() < 3) {
    return PlatformError{PlatformErrorCode::kRefused, "no entity tag"};
  }
  const auto [end, code] =
      std::from_chars(tag.data() + 1, tag.data() + tag.size() - 1, version);
  if (code != std::errc() || *end != '"') {
    return PlatformError{PlatformErrorCode::kRefused, "bad entity tag " + tag};
  }
  return version;
}

}  // namespace

struct ObjectClient::State {
  io::Runtime* runtime;
  MetricsRegistry* metrics;
  ObjectClientSettings settings;
  std::unique_ptr<io::HttpClient> http;
  TokenBucket rate_limit;

  Result<io::HttpResponse, PlatformError> Call(std::string_view kind,
                                               const io::HttpRequest& request,
                                               Duration timeout) {
    if (kind != "watch" && !this->rate_limit.TryTake(this->runtime->Now())) {
      return PlatformError{PlatformErrorCode::kRateLimited,
                           "over this process's rate limit for platform calls"};
    }
    const std::string label = fmt::format("kind=\"{}\"", kind);
    this->metrics->Increment(kCallsMetric, label);
    // A write on a connection that the server is closing may be lost without an
    // error, so each write uses a new connection.
    const auto use = kind == "write" ? io::ConnectionUse::kFresh
                                     : io::ConnectionUse::kPooled;
    auto response =
        this->http->Call(this->settings.address, request, timeout, use);
    if (response.has_error()) {
      this->metrics->Increment(kErrorsMetric, label);
      return FromHttpError(response.error());
    }
    if (response.value().status >= 300) {
      if (response.value().status >= 500) {
        this->metrics->Increment(kErrorsMetric, label);
      }
      return FromStatus(response.value().status, response.value().body);
    }
    return std::move(response).value();
  }

  Result<std::uint64_t, PlatformError> Write(const std::string& name,
                                             const std::string& value,
                                             io::HttpHeader condition) {
    io::HttpRequest request;
    request.method = "PUT";
    request.path = "/objects/" + name;
    request.headers.Add(std::move(condition.name), std::move(condition.value));
    request.body = value;
    BOOST_OUTCOME_TRY(const auto response,
                      this->Call("write", request, this->settings.timeout));
    return VersionOf(response);
  }

  Result<StoredObject, PlatformError> Read(std::string_view kind,
                                           const std::string& name,
                                           const std::string& query,
                                           Duration timeout) {
    io::HttpRequest request;
    request.path = "/objects/" + name;
    request.query = query;
    BOOST_OUTCOME_TRY(auto response, this->Call(kind, request, timeout));
    BOOST_OUTCOME_TRY(const std::uint64_t version, VersionOf(response));
    return StoredObject{version, std::move(response.body)};
  }
};

ObjectClient::ObjectClient(std::unique_ptr<State> state)
    : state(std::move(state)) {}
ObjectClient::~ObjectClient() = default;

std::unique_ptr<ObjectClient> ObjectClient::Create(
    io::Runtime* runtime,
    MetricsRegistry* metrics,
    ObjectClientSettings settings) {
  auto http = io::HttpClient::Create(runtime, io::HttpClientSettings{});
  const TokenBucket rate_limit(settings.calls_per_second, settings.burst,
                               runtime->Now());
  auto state = std::make_unique<State>(State{
      runtime, metrics, std::move(settings), std::move(http), rate_limit});
  return std::unique_ptr<ObjectClient>(new ObjectClient(std::move(state)));
}

Result<StoredObject, PlatformError> ObjectClient::Get(const std::string& name) {
  return this->state->Read("read", name, "", this->state->settings.timeout);
}

Result<std::uint64_t, PlatformError> ObjectClient::CreateObject(
    const std::string& name,
    const std::string& value) {
  return this->state->Write(name, value, {"If-None-Match", "*"});
}

Result<std::uint64_t, PlatformError> ObjectClient::Update(
    const std::string& name,
    std::uint64_t version,
    const std::string& value) {
  return this->state->Write(name, value, {"If-Match", QuoteVersion(version)});
}

Result<StoredObject, PlatformError> ObjectClient::Watch(const std::string& name,
                                                        std::uint64_t version,
                                                        Duration timeout) {
  const std::string query =
      fmt::format("watch={}&timeout_ms={}", version, ToMilliseconds(timeout));
  return this->state->Read("watch", name, query, timeout + kWatchSlack);
}

Result<std::vector<ListedVm>, PlatformError> ObjectClient::ListVms() {
  io::HttpRequest request;
  request.path = "/vms";
  BOOST_OUTCOME_TRY(
      const auto response,
      this->state->Call("read", request, this->state->settings.timeout));
  boost::system::error_code error;
  const boost::json::value body = boost::json::parse(response.body, error);
  if (error || !body.is_array()) {
    return PlatformError{PlatformErrorCode::kRefused, "VM list is not a list"};
  }
  std::vector<ListedVm> vms;
  for (const boost::json::value& item : body.get_array()) {
    const auto* vm = item.if_object();
    if (vm == nullptr || !vm->contains("name")) {
      return PlatformError{PlatformErrorCode::kRefused, "VM without a name"};
    }
    const auto* leaving = vm->if_contains("leaving");
    const auto* name = vm->at("name").if_string();
    if (name == nullptr) {
      return PlatformError{PlatformErrorCode::kRefused, "VM without a name"};
    }
    vms.push_back({std::string(*name), leaving != nullptr &&
                                           leaving->is_bool() &&
                                           leaving->get_bool()});
  }
  return vms;
}

}  // namespace chervilpass::platform
