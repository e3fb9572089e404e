// The configuration of the fleet: what operators create and change. One
// version covers all of it, and versions only rise.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "chervilpass/core/result.h"
#include "chervilpass/core/time.h"
#include "chervilpass/io/http.h"

namespace chervilpass::config {

/// A language-model pipeline.
struct Pipeline {
  std::string name;
  std::uint32_t layers = 0;         ///< layers of the model
  std::uint32_t token_limit = 0;    ///< most tokens of one answer
  std::uint32_t cell_replicas = 2;  ///< replicas of each stage in a cell

  auto operator<=>(const Pipeline&) const = default;
};

/// A plain service that requests are routed to.
struct Service {
  std::string name;
  /// HTTP methods whose calls may not be repeated and need a key.
  std::vector<std::string> non_repeatable;

  auto operator<=>(const Service&) const = default;
};

/// An organisation, told by the hashes of its bearer keys.
struct Organisation {
  std::string name;
  std::vector<std::string> key_hashes;  ///< SHA-256, hexadecimal

  auto operator<=>(const Organisation&) const = default;
};

/// A backend server that holds layers of a pipeline's model.
struct StageRole {
  std::string pipeline;
  std::uint32_t first_layer = 0;
  std::uint32_t last_layer = 0;  ///< inclusive
  std::string accelerator;       ///< kind of accelerator
  std::uint32_t session_limit = 0;
  bool checks_fencing = false;  ///< refuses orders with an old fence number

  auto operator<=>(const StageRole&) const = default;
};

/// A backend server of a plain service.
struct ServiceRole {
  std::string service;

  auto operator<=>(const ServiceRole&) const = default;
};

/// A backend server.
struct Backend {
  std::string id;
  io::Endpoint address;
  std::string data_centre;
  std::string region;
  bool draining = false;  ///< Gets no new work.
  std::variant<StageRole, ServiceRole> role;

  auto operator<=>(const Backend&) const = default;
};

/// Names one row of the table.
struct RowKey {
  std::string organisation;
  std::string target;  ///< a pipeline or service

  auto operator<=>(const RowKey&) const = default;
};

/// One row of the table: what an organisation may use of a target.
struct TableRow {
  std::uint32_t weight = 1;             ///< share of contended capacity
  std::uint32_t concurrency_limit = 0;  ///< requests at once; 0: no limit
  std::uint32_t rate_limit = 0;         ///< requests a second; 0: no limit
  std::uint32_t priority = 0;           ///< higher goes first, 0 to 9
  std::uint32_t deadline_ms = 0;        ///< longest wait; 0: the default

  auto operator<=>(const TableRow&) const = default;
};

/// A change that has been accepted, named by whoever asked for it.
struct AppliedChange {
  std::string id;
  std::uint64_t version = 0;  ///< the version that it made

  auto operator<=>(const AppliedChange&) const = default;
};

/// Changes remembered in the configuration, to settle lost answers.
constexpr std::size_t kMaxRecentChanges = 8;

/// The whole configuration at one version. Immutable once shared.
struct FleetConfig {
  std::uint64_t version = 0;
  std::vector<AppliedChange> recent_changes;  ///< oldest first
  std::map<std::string, Pipeline> pipelines;
  std::map<std::string, Service> services;
  std::map<std::string, Organisation> organisations;
  std::map<std::string, Backend> backends;
  std::map<RowKey, TableRow> rows;

  bool operator==(const FleetConfig&) const = default;

  /// The row of an organisation and target, with defaults if there is none.
  TableRow RowOf(const std::string& organisation,
                 const std::string& target) const;

  /// Name of the organisation with this bearer key, if there is one.
  const Organisation* FindByKey(const std::string& key) const;
};

/// What is wrong with a configuration or table.
struct ConfigError {
  std::string place;   ///< object and field, or row and column
  std::string detail;  ///< what was given and what is allowed

  bool operator==(const ConfigError&) const = default;
};

/// All faults of one reading; never empty when it is an error.
using ConfigErrors = std::vector<ConfigError>;

/// One line a fault.
std::string ToText(const ConfigErrors& errors);

/// References and ranges that must hold over the whole configuration.
ConfigErrors Validate(const FleetConfig& config);

}  // namespace chervilpass::config
