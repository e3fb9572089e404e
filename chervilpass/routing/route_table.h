// One version of the configuration: routes, services, organisations and limits.
// Immutable once made; a new version is a new table.
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

/// What may be repeated follows from this alone.
enum class RouteKind { kIdempotent, kNonIdempotent, kStream };

/// A share of a route's traffic.
struct ServiceShare {
  std::string service;
  std::uint32_t weight = 0;

  auto operator<=>(const ServiceShare&) const = default;
};

/// One route.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< begins and ends with a slash
  RouteKind kind = RouteKind::kNonIdempotent;
  Duration timeout{0};
  Duration objective{0};  ///< response, or first event of a stream
  Duration event_interval_objective{0};  ///< between two events of a stream
  std::uint32_t priority = 0;            ///< 0 is the highest
  std::vector<ServiceShare> shares;
  std::uint32_t attempts = 1;
  bool open = false;         ///< no key is asked for
  bool model_route = false;  ///< requests run on a model pipeline
  bool resumable = false;

  /// A request that may run more than once.
  bool MayRepeat() const {
    return this->kind == RouteKind::kIdempotent ||
           (this->kind == RouteKind::kStream && this->resumable);
  }

  /// The service for a request; `draw` is uniform in [0, 1). Empty if no share
  /// has a weight.
  std::string_view PickService(double draw) const;

  bool operator==(const Route&) const = default;
};

/// One service.
struct ServiceProfile {
  std::string name;
  std::string health_path;
  std::uint32_t connection_limit = 0;  ///< a worker, from all callers
  std::optional<placement::ModelProfile> model;

  bool operator==(const ServiceProfile&) const = default;
};

/// One organisation.
struct OrganisationKeys {
  std::string name;
  std::vector<std::string> keys;
  std::optional<std::uint32_t> priority;

  bool operator==(const OrganisationKeys&) const = default;
};

/// What callers may send, and how long they may take.
struct CallerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
  Duration header_timeout = seconds(3);
  Duration idle_timeout = seconds(15);

  bool operator==(const CallerLimits&) const = default;
};

/// The parts of a table, as they are decoded.
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
  static std::shared_ptr<const RouteTable> Create(RouteTableData parts);

  std::uint64_t Version() const { return this->parts.version; }
  const CallerLimits& Limits() const { return this->parts.limits; }
  const RouteTableData& Data() const { return this->parts; }

  /// The route of that host with the longest prefix of `path`, or null.
  const Route* Find(std::string_view host, std::string_view path) const;

  /// The organisation that holds `key`, or null.
  const OrganisationKeys* OrganisationOf(std::string_view key) const;

  /// Null if there is no such service.
  const ServiceProfile* Service(std::string_view name) const;

  /// True if requests must carry a key, open routes aside.
  bool KeysRequired() const { return this->parts.keys_required; }

 private:
  explicit RouteTable(RouteTableData parts);

  RouteTableData parts;
  /// Indices into `parts`, which never changes. Routes of a host are ordered by
  /// the length of their prefix, longest first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> by_host;
  std::map<std::string, std::size_t, std::less<>> by_key;
  std::map<std::string, std::size_t, std::less<>> by_service;
};

}  // namespace chervilpass::routing
