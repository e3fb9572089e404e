// The table as operators edit it: CSV (RFC 4180), one row an organisation and
// target, with the base version in a comment on the first line.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "chervilpass/config/config_delta.h"
#include "chervilpass/config/fleet_config.h"
#include "chervilpass/core/result.h"

namespace chervilpass::config {

/// A table with the version that it was taken from.
struct Table {
  std::uint64_t base_version = 0;
  std::map<RowKey, TableRow> rows;

  bool operator==(const Table&) const = default;
};

/// The table as a spreadsheet reads it.
std::string ToCsv(const Table& table);

/// Reads a table; all faults are listed by row and column.
Result<Table, ConfigErrors> TableFromCsv(std::string_view text);

/// The change that leads from the rows of `base` to those of `table`.
ConfigDelta TableChange(const FleetConfig& base, const Table& table);

/// The change in words, one line a row; empty if there is none.
std::string DescribeChange(const FleetConfig& base, const ConfigDelta& change);

}  // namespace chervilpass::config
