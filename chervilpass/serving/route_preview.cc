#include "chervilpass/serving/route_preview.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <string_view>
#include <unordered_map>

#include "chervilpass/core/text.h"
#include "chervilpass/placement/paced_path.h"
#include "chervilpass/placement/stage_cost.h"
#include "chervilpass/serving/call_proxy.h"
#include "chervilpass/serving/stream_proxy.h"

namespace chervilpass::serving {
namespace {

constexpr std::uint32_t kMaxTokens = 10'000'000;
constexpr std::string_view kKeyScheme = "Token ";

std::optional<std::string> PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i];
      continue;
    }
    unsigned code = 0;
    const char* digits = text.data() + i + 1;
    if (i + 2 >= text.size() ||
        std::from_chars(digits, digits + 2, code, 16).ptr != digits + 2 ||
        code < 0x20) {
      return std::nullopt;
    }
    decoded += static_cast<char>(code);
    i += 2;
  }
  return decoded;
}

std::optional<std::uint32_t> ReadTokens(const std::string& text) {
  std::uint32_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  const bool readable = result.ec == std::errc() && result.ptr == end &&
                        value > 0 && value <= kMaxTokens;
  return readable ? std::optional(value) : std::nullopt;
}

// Sets one parameter; the fault, if there is one.
std::string SetParameter(const std::string& name,
                         const std::string& value,
                         PreviewQuery* query) {
  if (name == "host") {
    query->host = value;
  } else if (name == "path") {
    query->path = value;
  } else if (name == "organisation") {
    query->organisation = value;
  } else if (name == "prompt_tokens" || name == "answer_tokens") {
    const auto tokens = ReadTokens(value);
    if (!tokens) {
      return fmt::format("{}: '{}' given; 1 to {} is expected", name, value,
                         kMaxTokens);
    }
    (name == "prompt_tokens" ? query->prompt_tokens : query->answer_tokens) =
        tokens;
  } else if (name == "format") {
    if (value != "json" && value != "text") {
      return fmt::format("format: '{}' given; json or text is expected", value);
    }
    query->json = value == "json";
  } else {
    return fmt::format("'{}': no such parameter", name);
  }
  return "";
}

// Why a server is no candidate now; empty if it may be one.
std::string Exclusion(const RoutingState& state,
                      const routing::BackendServer& server,
                      Instant now) {
  if (server.leaving) {
    return "is leaving";
  }
  if (state.IsUnreachable(server.id, now)) {
    return "cannot be reached";
  }
  if (state.IsRefusing(server.id, now)) {
    return "keeps refusing";
  }
  return "";
}

PreviewCandidate Describe(const RoutingState& state,
                          const routing::BackendServer& server,
                          Instant now) {
  PreviewCandidate shown;
  shown.server = server.id;
  shown.data_centre = server.data_centre;
  shown.layers = server.layers;
  shown.excluded_by = Exclusion(state, server, now);
  shown.pace = state.PaceShareOf(server.id);
  shown.slots = server.slots;
  shown.send_wait = state.SendWait(server.id, now);
  return shown;
}

// Of a service that runs on a model pipeline.
void PreviewStream(const RoutingState& state,
                   const placement::ModelProfile& model,
                   const PreviewQuery& request,
                   Instant now,
                   PreviewedService* shown) {
  placement::PathQuery query;
  query.layers = {0, model.layers};
  query.from_data_centre = state.Settings().data_centre;
  query.prompt_tokens =
      request.prompt_tokens.value_or(model.typical_prompt_tokens);
  query.answer_tokens =
      request.answer_tokens.value_or(model.typical_answer_tokens);
  const auto candidates = state.PathCandidates(shown->service, model, now);
  std::unordered_map<std::string_view, const placement::PathCandidate*> by_id;
  for (const placement::PathCandidate& candidate : candidates) {
    by_id.emplace(candidate.worker, &candidate);
  }
  const placement::StageCost cost(model, query, state.Settings().paths, true);
  for (const routing::BackendServer* server : state.Servers().All()) {
    if (server->service != shown->service) {
      continue;
    }
    PreviewCandidate candidate = Describe(state, *server, now);
    const auto entry = by_id.find(server->id);
    if (entry == by_id.end()) {
      if (candidate.excluded_by.empty()) {
        candidate.excluded_by = server->layers.Empty() ? "holds no layers"
                                : state.InCooldown(server->id, now)
                                    ? "was full, or did not hold its layers"
                                    : "is of an unknown kind";
      }
    } else {
      const placement::PathCandidate* found = entry->second;
      const bool first = found->layers.from == 0;
      const double seconds = cost.Seconds(*found, found->layers.Size(), first);
      candidate.requests = found->load.sequences;
      candidate.slots =
          placement::RequestSlots(model, found->kind, found->layers);
      if (found->over_own_part) {
        candidate.excluded_by = "is paced, and this VM's part is in flight";
      } else if (seconds == placement::kNoCapacityCost) {
        candidate.excluded_by = "has no room for all of its layers";
      } else if (first && found->send_wait > Duration::zero()) {
        candidate.excluded_by = "rests, or its rate limit is used up";
      } else {
        candidate.cost = seconds;
      }
    }
    shown->candidates.push_back(std::move(candidate));
  }
  // A random state of its own: the choice of requests is not affected.
  Random random(1);
  const auto path = placement::ChoosePacedPath(model, candidates, query,
                                               state.Settings().paths, &random);
  if (path.has_value()) {
    shown->destination = DescribePath(path.value().path);
    return;
  }
  shown->refusal = path.error() == placement::NoPathReason::kNoCapacity
                       ? "no path has room"
                       : "some layers have no usable worker";
  shown->retry_after = LeastRetryAfter(path.error());
}

// Of a plain service.
void PreviewCall(const RoutingState& state,
                 Instant now,
                 PreviewedService* shown) {
  std::optional<double> least;
  std::vector<PreviewCandidate> held_back;
  for (const routing::BackendServer* server : state.Servers().All()) {
    if (server->service != shown->service) {
      continue;
    }
    PreviewCandidate candidate = Describe(state, *server, now);
    const auto load = state.ServerLoads().find(server->id);
    const std::uint32_t own =
        load == state.ServerLoads().end() ? 0 : load->second.local;
    candidate.requests =
        load == state.ServerLoads().end() ? 0 : own + load->second.from_peers;
    if (!server->leaving) {
      candidate.excluded_by = "";  // Cooldowns add to the cost only.
    }
    if (candidate.excluded_by.empty() &&
        state.ServerHealth().IsEjected(server->id, now)) {
      candidate.excluded_by = "is ejected after failures";
    } else if (candidate.excluded_by.empty() &&
               candidate.send_wait > Duration::zero()) {
      candidate.excluded_by = "rests, or its rate limit is used up";
    } else if (candidate.excluded_by.empty() && state.Pacing() != nullptr &&
               !state.Pacing()->MayCall(state.Incarnation(server->id),
                                        std::max(1U, server->slots), own)) {
      candidate.excluded_by = "is paced, and this VM's part is in flight";
      held_back.push_back(candidate);
    } else if (candidate.excluded_by.empty()) {
      candidate.cost = state.CallCost(*server, now);
      if (!least || *candidate.cost < *least) {
        least = candidate.cost;
        shown->destination = server->id;
      }
    }
    shown->candidates.push_back(std::move(candidate));
  }
  if (!least && !held_back.empty()) {
    shown->destination = held_back.front().server;
  } else if (!least) {
    shown->refusal = "no usable server";
    shown->retry_after = LeastCallRetryAfter();
  }
}

io::HttpResponse TextResponse(unsigned status,
                              std::string body,
                              const std::string& type = "text/plain") {
  io::HttpResponse response;
  response.status = status;
  response.headers.Add("Content-Type", type);
  response.body = std::move(body);
  return response;
}

// Takes the same time wherever the texts differ.
bool SameKey(std::string_view a, std::string_view b) {
  unsigned difference = a.size() == b.size() ? 0 : 1;
  for (std::size_t i = 0; i < std::min(a.size(), b.size()); ++i) {
    difference |=
        static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
  }
  return difference == 0;
}

bool IsOperator(const io::HttpRequest& request, const std::string& key) {
  const std::string given = request.headers.Find("Authorization").value_or("");
  return !key.empty() && given.starts_with(kKeyScheme) &&
         SameKey(given.substr(kKeyScheme.size()), key);
}

}  // namespace

Result<PreviewQuery, std::string> ReadPreviewQuery(const std::string& text) {
  PreviewQuery query;
  for (const std::string& part : SplitText(text, '&')) {
    const std::size_t equals = part.find('=');
    if (equals == std::string::npos) {
      return failure(fmt::format("'{}': NAME=VALUE is expected", part));
    }
    const auto value = PercentDecode(std::string_view(part).substr(equals + 1));
    if (!value) {
      return failure(fmt::format("'{}': not percent-encoded", part));
    }
    if (auto fault = SetParameter(part.substr(0, equals), *value, &query);
        !fault.empty()) {
      return failure(std::move(fault));
    }
  }
  if (query.host.empty() || !query.path.starts_with('/')) {
    return failure(
        std::string("host and path, from its slash on, are expected"));
  }
  return query;
}

Result<RoutePreview, std::string> PreviewRoute(const RoutingState& state,
                                               const PreviewQuery& query,
                                               Instant now) {
  const auto table = state.Table();
  if (!table) {
    return failure(std::string("no configuration is known yet"));
  }
  RoutePreview preview;
  preview.config_version = table->Version();
  preview.organisation = query.organisation;
  const auto& organisations = table->Data().organisations;
  const auto organisation =
      std::find_if(organisations.begin(), organisations.end(),
                   [&](const routing::OrganisationKeys& known) {
                     return known.name == query.organisation;
                   });
  if (!query.organisation.empty() && organisation == organisations.end()) {
    return failure(
        fmt::format("organisation: '{}' is unknown", query.organisation));
  }
  const routing::Route* route = table->Find(query.host, query.path);
  if (route == nullptr) {
    return preview;
  }
  preview.route = route->name;
  const admission::PriorityRank rank = admission::RankOf(
      organisation == organisations.end() ? std::nullopt
                                          : organisation->priority,
      route->priority);
  preview.priority = rank.priority;
  for (const routing::ServiceShare& share : route->shares) {
    PreviewedService shown;
    shown.service = share.service;
    shown.weight = share.weight;
    shown.priority_class = state.Capacity().ClassesOf(share.service).Of(rank);
    const routing::ServiceProfile* profile = table->Service(share.service);
    if (route->model_route && profile != nullptr && profile->model) {
      PreviewStream(state, *profile->model, query, now, &shown);
    } else {
      PreviewCall(state, now, &shown);
    }
    preview.services.push_back(std::move(shown));
  }
  return preview;
}

io::HttpResponse AnswerPreview(const RoutingState& state,
                               const io::HttpRequest& request,
                               const std::string& operator_key,
                               Instant now) {
  if (!IsOperator(request, operator_key)) {
    return TextResponse(403, operator_key.empty()
                                 ? "limits.operator_key is not set\n"
                                 : "Authorization: Token KEY is expected\n");
  }
  if (request.method != "GET") {
    return TextResponse(405, "GET is expected\n");
  }
  const auto query = ReadPreviewQuery(request.query);
  if (query.has_error()) {
    return TextResponse(400, query.error() + "\n");
  }
  const auto preview = PreviewRoute(state, query.value(), now);
  if (preview.has_error()) {
    return TextResponse(400, preview.error() + "\n");
  }
  return query.value().json ? TextResponse(200, ToJson(preview.value()) + "\n",
                                           "application/json")
                            : TextResponse(200, ToText(preview.value()));
}

}  // namespace chervilpass::serving
