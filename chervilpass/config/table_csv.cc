#include "chervilpass/config/table_csv.h"

#include <fmt/format.h>

#include <charconv>
#include <optional>

#include "chervilpass/core/text.h"

namespace chervilpass::config {
namespace {

constexpr std::string_view kVersionPrefix = "# version ";
constexpr std::string_view kHeader =
    "organisation,target,weight,concurrency_limit,rate_limit,priority,"
    "deadline_ms";
constexpr std::size_t kColumns = 7;

const std::vector<std::string>& ColumnNames() {
  static const std::vector<std::string> kNames =
      SplitText(std::string(kHeader), ',');
  return kNames;
}

std::optional<std::uint64_t> ParseUnsigned(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

// Splits one line at commas; spreadsheets may quote any cell.
std::vector<std::string> SplitCells(std::string_view line) {
  std::vector<std::string> cells(1);
  bool quoted = false;
  for (std::size_t i = 0; i < line.size(); ++i) {
    const char c = line[i];
    if (c == '"' && quoted && i + 1 < line.size() && line[i + 1] == '"') {
      cells.back() += '"';
      ++i;
    } else if (c == '"') {
      quoted = !quoted;
    } else if (c == ',' && !quoted) {
      cells.emplace_back();
    } else {
      cells.back() += c;
    }
  }
  return cells;
}

class TableReader {
 public:
  Result<Table, ConfigErrors> Read(std::string_view text) {
    std::size_t line_number = 0;
    for (std::string line : SplitText(text, '\n')) {
      ++line_number;
      if (line.ends_with('\r')) {
        line.pop_back();
      }
      this->ReadLine(line, line_number);
    }
    if (!this->version_seen) {
      this->Add("line 1", fmt::format("'{}N' is expected: get the table again",
                                      kVersionPrefix));
    }
    if (!this->header_seen) {
      this->Add("header", fmt::format("'{}' is expected", kHeader));
    }
    if (!this->errors.empty()) {
      return this->errors;
    }
    return this->table;
  }

 private:
  void Add(std::string place, std::string detail) {
    this->errors.push_back({std::move(place), std::move(detail)});
  }

  void ReadLine(const std::string& line, std::size_t line_number) {
    if (line.starts_with(kVersionPrefix)) {
      // A spreadsheet may have appended empty cells to the version line.
      const std::string rest = line.substr(kVersionPrefix.size());
      const auto version = ParseUnsigned(rest.substr(0, rest.find(',')));
      if (version) {
        this->table.base_version = *version;
        this->version_seen = true;
      }
      return;
    }
    if (line.find_first_not_of(", ") == std::string::npos ||
        line.starts_with('#')) {
      return;
    }
    const std::vector<std::string> cells = SplitCells(line);
    if (!this->header_seen) {
      this->header_seen = true;
      if (cells != ColumnNames()) {
        this->Add(fmt::format("row {}", line_number),
                  fmt::format("the header '{}' is expected", kHeader));
      }
      return;
    }
    this->ReadRow(cells, line_number);
  }

  void ReadRow(const std::vector<std::string>& cells, std::size_t line_number) {
    if (cells.size() != kColumns) {
      this->Add(fmt::format("row {}", line_number),
                fmt::format("{} cells given, {} are expected", cells.size(),
                            kColumns));
      return;
    }
    const RowKey key{cells[0], cells[1]};
    TableRow row;
    row.weight = this->Number(cells, 2, line_number);
    row.concurrency_limit = this->Number(cells, 3, line_number);
    row.rate_limit = this->Number(cells, 4, line_number);
    row.priority = this->Number(cells, 5, line_number);
    row.deadline_ms = this->Number(cells, 6, line_number);
    if (!this->table.rows.emplace(key, row).second) {
      this->Add(
          fmt::format("row {}", line_number),
          fmt::format("{},{} is given twice", key.organisation, key.target));
    }
  }

  std::uint32_t Number(const std::vector<std::string>& cells,
                       std::size_t column,
                       std::size_t line_number) {
    const auto value = ParseUnsigned(cells[column]);
    if (!value || *value > UINT32_MAX) {
      this->Add(fmt::format("row {} {}", line_number, ColumnNames()[column]),
                fmt::format("'{}' given; a non-negative integer is expected",
                            cells[column]));
      return 0;
    }
    return static_cast<std::uint32_t>(*value);
  }

  Table table;
  ConfigErrors errors;
  bool version_seen = false;
  bool header_seen = false;
};

std::string RowText(const TableRow& row) {
  return fmt::format("{},{},{},{},{}", row.weight, row.concurrency_limit,
                     row.rate_limit, row.priority, row.deadline_ms);
}

}  // namespace

std::string ToCsv(const Table& table) {
  std::string text =
      fmt::format("{}{}\n{}\n", kVersionPrefix, table.base_version, kHeader);
  for (const auto& [key, row] : table.rows) {
    text +=
        fmt::format("{},{},{}\n", key.organisation, key.target, RowText(row));
  }
  return text;
}

Result<Table, ConfigErrors> TableFromCsv(std::string_view text) {
  return TableReader().Read(text);
}

ConfigDelta TableDelta(const FleetConfig& base, const Table& table) {
  FleetConfig next = base;
  next.version = base.version + 1;
  next.rows = table.rows;
  ConfigDelta change = Difference(base, next);
  change.recent_changes.clear();
  return change;
}

std::string DescribeChange(const FleetConfig& base, const ConfigDelta& change) {
  std::string text;
  for (const auto& [key, row] : change.rows.changed) {
    const auto before = base.rows.find(key);
    text += fmt::format(
        "{} {},{}: {}{}\n", before == base.rows.end() ? "add" : "change",
        key.organisation, key.target,
        before == base.rows.end() ? "" : RowText(before->second) + " -> ",
        RowText(row));
  }
  for (const RowKey& key : change.rows.removed) {
    text += fmt::format("remove {},{}\n", key.organisation, key.target);
  }
  return text;
}

}  // namespace chervilpass::config
