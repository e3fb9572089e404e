// The configuration of the fleet, which operators create and change. It is
// versioned as a whole, and versions only increase.
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
  std::uint32_t token_limit = 0;    ///< maximum tokens of one answer
  std::uint32_t cell_replicas = 2;  ///< replicas of each stage in a cell

  auto operator<=>(const Pipeline&) const = default;
};

/// A plain service: an HTTP service without a language model, to which requests
/// are routed.
struct Service {
  std::string name;
  /// HTTP methods whose calls must not run twice. A call with one of them is
  /// refused if it has no idempotency key.
  std::vector<std::string> non_repeatable;

  auto operator<=>(const Service&) const = default;
};

/// An organisation, identified by the hashes of its bearer keys.
struct Organisation {
  std::string name;
  std::vector<std::string> key_hashes;  ///< SHA-256, hexadecimal

  auto operator<=>(const Organisation&) const = default;
};

/// Role of a backend server that holds layers of a pipeline's model.
struct StageRole {
  std::string pipeline;
  std::uint32_t first_layer = 0;
  std::uint32_t last_layer = 0;     ///< inclusive
  std::string accelerator;          ///< kind of accelerator
  std::uint32_t session_limit = 0;  ///< concurrent sessions
  bool checks_fencing = false;  ///< rejects orders with an old fencing number

  auto operator<=>(const StageRole&) const = default;
};

/// Role of a backend server of a plain service.
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
  bool draining = false;  ///< receives no new work
  std::variant<StageRole, ServiceRole> role;

  auto operator<=>(const Backend&) const = default;
};

/// Key of one row of the table.
struct RowKey {
  std::string organisation;
  std::string target;  ///< a pipeline or service

  auto operator<=>(const RowKey&) const = default;
};

/// One row of the table: the share and limits of an organisation at a target.
struct TableRow {
  std::uint32_t weight = 1;             ///< share of contended capacity
  std::uint32_t concurrency_limit = 0;  ///< concurrent requests; 0: no limit
  std::uint32_t rate_limit = 0;         ///< requests per second; 0: no limit
  std::uint32_t priority = 0;           ///< 0 to 9; higher is served first
  std::uint32_t deadline_ms = 0;  ///< for the complete answer; 0: the default

  auto operator<=>(const TableRow&) const = default;
};

/// An accepted change, with the id that its sender chose.
struct AppliedChange {
  std::string id;
  std::uint64_t version = 0;  ///< the version that it produced

  auto operator<=>(const AppliedChange&) const = default;
};

/// Number of recent changes kept in the configuration, so that a retry of a
/// change whose answer was lost is recognised.
constexpr std::size_t kMaxRecentChanges = 8;

/// The full configuration at one version. Immutable once shared.
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
  TableRow RowOrDefault(const std::string& organisation,
                        const std::string& target) const;

  /// The organisation with this bearer key, or null.
  const Organisation* FindByKey(const std::string& key) const;
};

/// An error in a configuration or table.
struct ConfigError {
  std::string location;  ///< object and field, or row and column
  std::string detail;    ///< what was given and what is allowed

  bool operator==(const ConfigError&) const = default;
};

/// All errors found in one pass; never empty in a failed Result.
using ConfigErrors = std::vector<ConfigError>;

/// One line per error, "LOCATION: DETAIL".
std::string ToText(const ConfigErrors& errors);

/// Checks names, references and ranges of the whole configuration; empty if it
/// is valid.
ConfigErrors Validate(const FleetConfig& config);

}  // namespace chervilpass::config
