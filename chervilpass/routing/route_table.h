// One version of the configuration: routes, services, organisations and limits.
// Immutable; a new version is a new table.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chervilpass/core/time.h"
#include "chervilpass/placement/model_profile.h"

namespace chervilpass::routing {

/// Kind of the requests of a route. Decides whether they may be repeated, for
/// streams together with Route::resumable.
enum class RouteKind { kIdempotent, kNonIdempotent, kStream };

/// A service's share of the traffic of a route.
struct ServiceShare {
  std::string service;
  std::uint32_t weight = 0;

  auto operator<=>(const ServiceShare&) const = default;
};

/// Where requests for a host and path prefix go, and how they are treated.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< begins and ends with a slash
  RouteKind kind = RouteKind::kNonIdempotent;
  Duration timeout{0};
  Duration response_objective{0};  ///< response, or first event of a stream
  Duration event_interval_objective{0};  ///< between two events of a stream
  std::uint32_t priority = 0;            ///< 0 is the highest
  std::vector<ServiceShare> shares;
  std::uint32_t attempts = 1;
  bool open = false;         ///< no API key is required
  bool model_route = false;  ///< requests run on a model pipeline
  bool resumable = false;

  /// True if a request may run more than once.
  bool MayRepeat() const {
    return this->kind == RouteKind::kIdempotent ||
           (this->kind == RouteKind::kStream && this->resumable);
  }

  /// The service for a request; `draw` is uniform in [0, 1). Empty if no share
  /// has a weight.
  std::string_view PickService(double draw) const;

  bool operator==(const Route&) const = default;
};

/// A service and its limits; with a model if it runs on a model pipeline.
struct ServiceProfile {
  std::string name;
  std::string health_path;
  std::uint32_t connection_limit = 0;  ///< to each worker, of all callers
  std::optional<placement::ModelProfile> model;

  bool operator==(const ServiceProfile&) const = default;
};

/// The API keys and priority of an organisation.
struct OrganisationKeys {
  std::string name;
  std::vector<std::string> keys;
  std::optional<std::uint32_t> priority;

  bool operator==(const OrganisationKeys&) const = default;
};

/// Size and time limits of requests.
struct CallerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
  Duration header_timeout = seconds(3);
  Duration idle_timeout = seconds(15);

  bool operator==(const CallerLimits&) const = default;
};

/// The decoded content of a RouteTable.
struct RouteTableData {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceProfile> services;
  std::vector<OrganisationKeys> organisations;
  bool keys_required = false;
  CallerLimits limits;

  bool operator==(const RouteTableData&) const = default;
};

/// Looks up routes and keys. Immutable.
class RouteTable {
 public:
  static std::shared_ptr<const RouteTable> Create(RouteTableData data);

  std::uint64_t Version() const { return this->data.version; }
  const CallerLimits& Limits() const { return this->data.limits; }
  const RouteTableData& Data() const { return this->data; }

  /// The route of `host`, which may have a port, with the longest matching
  /// prefix of `path`, or null.
  const Route* Find(std::string_view host, std::string_view path) const;

  /// The organisation that holds `key`, or null.
  const OrganisationKeys* OrganisationOf(std::string_view key) const;

  /// The service of that name, or null.
  const ServiceProfile* Service(std::string_view name) const;

  /// True if requests must carry an API key, except on open routes.
  bool KeysRequired() const { return this->data.keys_required; }

 private:
  explicit RouteTable(RouteTableData data);

  RouteTableData data;
  /// Indices into `data`, which never changes. The routes of a host are ordered
  /// by descending length of their prefix.
  std::map<std::string, std::vector<std::size_t>, std::less<>> by_host;
  std::map<std::string, std::size_t, std::less<>> by_key;
  std::map<std::string, std::size_t, std::less<>> by_service;
};

}  // namespace chervilpass::routing
