// Shows operators where a request would be sent now, and why. Changes nothing.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "chervilpass/core/result.h"
#include "chervilpass/io/http.h"
#include "chervilpass/serving/routing_state.h"

namespace chervilpass::serving {

/// The request to show.
struct PreviewQuery {
  std::string host;
  std::string path;
  std::string organisation;  ///< name; empty: none
  /// Empty: the typical numbers of the model.
  std::optional<std::uint32_t> prompt_tokens;
  std::optional<std::uint32_t> answer_tokens;
  bool json = false;

  bool operator==(const PreviewQuery&) const = default;
};

/// Reads the parameters `host`, `path`, `organisation`, `prompt_tokens`,
/// `answer_tokens` and `format`; an error names what is wrong.
Result<PreviewQuery, std::string> ReadPreviewQuery(const std::string& query);

/// A server that a request might be sent to.
struct PreviewCandidate {
  std::string server;
  std::string data_centre;
  placement::LayerRange layers;
  std::string excluded_by;  ///< empty: it is a candidate
  /// Seconds for all of its layers, or shares of the slots of a plain service;
  /// none if it is excluded.
  std::optional<double> cost;
  double pace = 1;      ///< share of its load that it is given
  double requests = 0;  ///< known to be in flight, of all VMs
  double slots = 0;
  Duration send_wait{0};

  bool operator==(const PreviewCandidate&) const = default;
};

/// What would happen at one of the route's services.
struct PreviewedService {
  std::string service;
  std::uint32_t weight = 0;
  /// Of the request; none if all requests to the service are treated alike.
  std::optional<admission::PriorityClass> priority_class;
  std::vector<PreviewCandidate> candidates;
  std::string destination;  ///< the path or server; empty if refused
  std::string refusal;      ///< empty: it would be sent
  Duration retry_after{0};  ///< least time that a refusal states

  bool operator==(const PreviewedService&) const = default;
};

/// Where a request would go now.
struct RoutePreview {
  std::uint64_t config_version = 0;
  std::string route;  ///< empty if there is none
  std::string organisation;
  std::uint32_t priority = 0;
  std::vector<PreviewedService> services;

  bool operator==(const RoutePreview&) const = default;
};

/// An error if the organisation is unknown or there is no configuration.
Result<RoutePreview, std::string> PreviewRoute(const RoutingState& state,
                                               const PreviewQuery& query,
                                               Instant now);

std::string ToText(const RoutePreview& preview);
std::string ToJson(const RoutePreview& preview);

/// The response to a request of an operator: 403 without the header
/// `Authorization: Token KEY`, 400 if it cannot be read. An empty
/// `operator_key` allows nobody.
io::HttpResponse AnswerPreview(const RoutingState& state,
                               const io::HttpRequest& request,
                               const std::string& operator_key,
                               Instant now);

}  // namespace chervilpass::serving
