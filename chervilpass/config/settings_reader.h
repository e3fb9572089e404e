// Reads YAML settings into typed values. Every fault of a file is found in one
// pass and reported with file, line, field, what was given and what is allowed.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chervilpass/core/result.h"
#include "chervilpass/core/time.h"
#include "chervilpass/io/http.h"

namespace chervilpass::config {

/// One fault of a settings file.
struct SettingsError {
  std::string file;
  int line = 0;  ///< from 1; 0 if the fault has no line
  std::string field;
  std::string detail;

  bool operator==(const SettingsError&) const = default;
};

/// All faults of one reading.
using SettingsErrors = std::vector<SettingsError>;

/// One line a fault, "FILE:LINE: FIELD: DETAIL".
std::string ToText(const SettingsErrors& errors);

/// Lowest and highest value allowed, both inclusive.
struct IntegerRange {
  std::int64_t low = 0;
  std::int64_t high = 0;

  bool operator==(const IntegerRange&) const = default;
};

/// Reads one section of a settings file. Readers of sub-sections share the list
/// of faults. Call `Finish` on the outermost reader when all has been read.
class SettingsReader {
 public:
  /// Opens a file.
  static Result<SettingsReader, SettingsErrors> FromFile(
      const std::string& path);

  /// Reads `text`; `file` names it in faults.
  static Result<SettingsReader, SettingsErrors> FromText(
      const std::string& text,
      const std::string& file);

  SettingsReader(SettingsReader&&) noexcept;
  SettingsReader& operator=(SettingsReader&&) noexcept;
  ~SettingsReader();

  /// A required text, or `fallback` if one is given.
  std::string Text(std::string_view field,
                   std::optional<std::string> fallback = std::nullopt);

  /// A text that may be empty or missing.
  std::string OptionalText(std::string_view field);

  /// One of `allowed`.
  std::string Choice(std::string_view field,
                     const std::vector<std::string>& allowed,
                     std::optional<std::string> fallback = std::nullopt);

  std::int64_t Integer(std::string_view field,
                       IntegerRange range,
                       std::optional<std::int64_t> fallback = std::nullopt);

  double Real(std::string_view field,
              double low,
              double high,
              std::optional<double> fallback = std::nullopt);

  bool Flag(std::string_view field, bool fallback);

  /// A duration given in whole milliseconds.
  Duration Milliseconds(std::string_view field,
                        IntegerRange range,
                        std::optional<std::int64_t> fallback = std::nullopt);

  /// "IP:PORT".
  io::Endpoint Address(std::string_view field);

  /// A sub-section; empty if it is missing.
  SettingsReader Section(std::string_view field);

  /// The entries of a list of sub-sections.
  std::vector<SettingsReader> List(std::string_view field);

  /// Adds a fault found by the caller at `field`.
  void AddError(std::string_view field, std::string detail);

  /// All faults, fields that nothing has asked for included.
  SettingsErrors Finish();

 private:
  struct State;
  explicit SettingsReader(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

}  // namespace chervilpass::config
