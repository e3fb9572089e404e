#include "chervilpass/entry/entry_service.h"

#include <boost/json.hpp>

#include "chervilpass/core/hash.h"
#include "chervilpass/entry/problem.h"
#include "chervilpass/entry/service_call_runner.h"

namespace chervilpass::entry {
namespace {

namespace json = boost::json;
using admission::Executed;
using admission::Refusal;
using admission::RefusalCode;
using membership::Member;
using membership::Status;

// For requests that this VM does not read.
constexpr Duration kUnreadableRetryAfter = seconds(1);
constexpr std::string_view kCompletionsPath = "/v1/completions";
constexpr std::string_view kServicesPath = "/v1/services/";
constexpr std::string_view kRequestsPath = "/v1/requests/";
constexpr std::string_view kEntriesPath = "/v1/entries";

io::HttpResponse TextResponse(unsigned status, std::string body) {
  io::HttpResponse response;
  response.status = status;
  response.headers.Add("Content-Type", "text/plain; version=0.0.4");
  response.body = std::move(body);
  return response;
}

}  // namespace

EntryService::EntryService(EntryContext* context, EntryServiceSettings settings)
    : context(context), settings(settings) {
  // Each entry applies the strikes of all VMs, so that it refuses quarantined
  // requests itself.
  context->view_subscriber->OnChange(
      [context](const membership::FleetView& view) {
        const WallTime now = context->runtime->WallNow();
        for (const quarantine::Strike& strike : view.strikes) {
          context->strikes.Add(strike, now);
        }
        context->strikes.Expire(now);
      });
}

io::HttpResponse EntryService::UnreadableResponse(unsigned status,
                                                  std::string_view detail) {
  if (status == 503) {
    return ProblemResponse({RefusalCode::kNotReady, Executed::kNo,
                            kUnreadableRetryAfter, std::string(detail)});
  }
  const bool too_large = status == 413 || status == 431;
  io::HttpResponse response = ProblemResponse(
      {too_large ? RefusalCode::kTooLarge : RefusalCode::kMalformed,
       Executed::kNo, Duration(0),
       "the request cannot be read: " + std::string(detail)});
  response.status = status;
  return response;
}

void EntryService::Handle(io::HttpExchange& exchange) {
  const std::string& path = exchange.Request().path;
  if (path == kEntriesPath) {
    return exchange.Respond(this->EntriesResponse());
  }
  if (path == "/healthz") {
    return exchange.Respond(TextResponse(200, "ok\n"));
  }
  if (path == "/readyz") {
    const bool ready =
        this->context->view_subscriber->Current()->config != nullptr &&
        !this->leaving;
    return exchange.Respond(ready ? TextResponse(200, "ready\n")
                                  : TextResponse(503, "not ready\n"));
  }
  if (path == "/metrics") {
    return exchange.Respond(this->MetricsResponse());
  }
  ++this->in_flight;
  this->HandleWork(exchange);
  --this->in_flight;
}

void EntryService::HandleWork(io::HttpExchange& exchange) {
  const io::HttpRequest& request = exchange.Request();
  const auto refuse = [&](RefusalCode code, Duration retry_after,
                          std::string detail) {
    this->context->metrics->Increment(
        "chervil_refusals_total",
        fmt::format("code=\"{}\"", admission::RefusalName(code)));
    exchange.Respond(
        ProblemResponse({code, Executed::kNo, retry_after, std::move(detail)}));
  };
  if (this->leaving) {
    return refuse(RefusalCode::kLeaving, seconds(1),
                  "this entry is leaving; GET /v1/entries names others");
  }
  const auto view = this->context->view_subscriber->Current();
  if (view->config == nullptr) {
    return refuse(RefusalCode::kNotReady, seconds(1),
                  "no configuration is known yet");
  }
  std::string organisation;
  Refusal unauthorized;
  if (!this->Authenticate(exchange, &organisation, &unauthorized)) {
    return exchange.Respond(ProblemResponse(unauthorized));
  }
  const std::string fresh_id = RandomId();
  if (request.path == kCompletionsPath) {
    if (request.method != "POST") {
      return refuse(RefusalCode::kMethod, Duration(0), "POST is expected");
    }
    const auto call =
        ReadCompletionCall(request, organisation, *view->config, fresh_id);
    if (call.has_error()) {
      return exchange.Respond(ProblemResponse(call.error()));
    }
    const WallTime now = this->context->runtime->WallNow();
    const std::uint64_t fingerprint = call.value().fingerprint;
    if (this->context->strikes.StateOf(fingerprint, now) ==
        quarantine::QuarantineState::kQuarantined) {
      return refuse(RefusalCode::kQuarantined,
                    this->context->strikes.RetryAfter(fingerprint, now),
                    "the request has crashed the backend servers that ran it");
    }
    return RunCompletionCall(this->context, organisation, call.value(),
                             &exchange);
  }
  if (request.path.starts_with(kServicesPath)) {
    const auto call = ReadServiceCall(request, *view->config, fresh_id);
    if (call.has_error()) {
      return exchange.Respond(ProblemResponse(call.error()));
    }
    return exchange.Respond(RunServiceCall(this->context, organisation,
                                           call.value(),
                                           this->settings.ledger_shards));
  }
  if (request.path.starts_with(kRequestsPath)) {
    return exchange.Respond(QueryRequest(
        this->context, organisation, request.path.substr(kRequestsPath.size()),
        this->settings.ledger_shards));
  }
  refuse(RefusalCode::kNotFound, Duration(0),
         "unknown path '" + request.path + "'");
}

// Looks up the organisation of the bearer key. Rebuilds the index of key hashes
// after a configuration change.
bool EntryService::Authenticate(const io::HttpExchange& exchange,
                                std::string* organisation,
                                Refusal* refusal) {
  const auto key = ReadBearerKey(exchange.Request());
  if (key.has_error()) {
    *refusal = key.error();
    return false;
  }
  const auto config = this->context->view_subscriber->Current()->config;
  if (this->key_index_version != config->version) {
    this->organisations_by_key_hash.clear();
    for (const auto& [name, entry] : config->organisations) {
      for (const std::string& hash : entry.key_hashes) {
        this->organisations_by_key_hash[hash] = name;
      }
    }
    this->key_index_version = config->version;
  }
  const auto found =
      this->organisations_by_key_hash.find(Sha256Hex(key.value()));
  if (found == this->organisations_by_key_hash.end()) {
    *refusal = {RefusalCode::kUnauthorized, Executed::kNo, Duration(0),
                "the key is not known"};
    return false;
  }
  *organisation = found->second;
  return true;
}

io::HttpResponse EntryService::EntriesResponse() const {
  json::array entries;
  for (const Member& member :
       this->context->view_subscriber->Current()->members) {
    const bool self = member.vm == this->context->vm;
    if (member.status > Status::kSuspect || !(member.entry_up || self) ||
        (self && this->leaving)) {
      continue;
    }
    entries.push_back(json::object{
        {"vm", member.vm},
        {"address", member.ip + ":" + std::to_string(member.http_port)},
        {"data_centre", member.data_centre},
        {"region", member.region},
        {"weight", member.status == Status::kAlive ? 1 : 0}});
  }
  io::HttpResponse response;
  response.headers.Add("Content-Type", "application/json");
  response.body = json::serialize(
      json::object{{"ttl_ms", ToMilliseconds(this->settings.entries_ttl)},
                   {"entries", entries}});
  return response;
}

io::HttpResponse EntryService::MetricsResponse() const {
  const auto view = this->context->view_subscriber->Current();
  this->context->metrics->Set("chervil_in_flight", "",
                              static_cast<double>(this->in_flight));
  this->context->metrics->Set("chervil_members", "",
                              static_cast<double>(view->members.size()));
  this->context->metrics->Set(
      "chervil_config_version", "",
      view->config ? static_cast<double>(view->config->version) : 0);
  return TextResponse(200, this->context->metrics->PrometheusText());
}

}  // namespace chervilpass::entry
