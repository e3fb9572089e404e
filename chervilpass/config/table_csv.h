// The table as operators edit it: CSV (RFC 4180), one row per organisation and
// target, with the base version in a comment on the first line.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "chervilpass/config/config_delta.h"
#include "chervilpass/config/fleet_config.h"
#include "chervilpass/core/result.h"

namespace chervilpass::config {

/// A table with the version that it was exported from.
struct Table {
  std::uint64_t base_version = 0;
  std::map<RowKey, TableRow> rows;

  bool operator==(const Table&) const = default;
};

/// The table as CSV.
std::string ToCsv(const Table& table);

/// Parses a table; all errors are listed by row and column.
Result<Table, ConfigErrors> TableFromCsv(std::string_view text);

/// The change from the rows of `base` to those of `table`.
ConfigDelta TableDelta(const FleetConfig& base, const Table& table);

/// A readable description of the change, one line per row; empty if no row
/// changes.
std::string DescribeChange(const FleetConfig& base, const ConfigDelta& change);

}  // namespace chervilpass::config
