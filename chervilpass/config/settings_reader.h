// Reads YAML settings into typed values. All errors of a file are found in one
// pass and reported with file, line, field, the given value and the allowed
// values.
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

/// One error in a settings file.
struct SettingsError {
  std::string file;
  int line = 0;  ///< from 1; 0 if the error has no line
  std::string field;
  std::string detail;

  bool operator==(const SettingsError&) const = default;
};

/// All errors found in one pass.
using SettingsErrors = std::vector<SettingsError>;

/// One line per error, "FILE:LINE: FIELD: DETAIL".
std::string ToText(const SettingsErrors& errors);

/// Minimum and maximum value allowed, both inclusive.
struct IntegerRange {
  std::int64_t low = 0;
  std::int64_t high = 0;

  bool operator==(const IntegerRange&) const = default;
};

/// Reads one section of a settings file. Readers of sub-sections share the list
/// of errors. A field that is missing without a fallback or has a value that is
/// not allowed adds an error and reads as the fallback or a default value. Call
/// `Finish` on the outermost reader after reading all fields.
class SettingsReader {
 public:
  /// Loads a file; errors if it cannot be opened or is not a YAML mapping.
  static Result<SettingsReader, SettingsErrors> FromFile(
      const std::string& path);

  /// Parses `text`; `file` is the file name in errors.
  static Result<SettingsReader, SettingsErrors> FromText(
      const std::string& text,
      const std::string& file);

  SettingsReader(SettingsReader&&) noexcept;
  SettingsReader& operator=(SettingsReader&&) noexcept;
  ~SettingsReader();

  /// A string that is not empty.
  std::string Text(std::string_view field,
                   std::optional<std::string> fallback = std::nullopt);

  /// A string that may be empty or missing.
  std::string OptionalText(std::string_view field);

  /// One of `allowed`.
  std::string Choice(std::string_view field,
                     const std::vector<std::string>& allowed,
                     std::optional<std::string> fallback = std::nullopt);

  std::int64_t Integer(std::string_view field,
                       IntegerRange range,
                       std::optional<std::int64_t> fallback = std::nullopt);

  double Double(std::string_view field,
                double low,
                double high,
                std::optional<double> fallback = std::nullopt);

  bool Bool(std::string_view field, bool fallback);

  /// A duration in whole milliseconds; `range` is in milliseconds.
  Duration Milliseconds(std::string_view field,
                        IntegerRange range,
                        std::optional<std::int64_t> fallback = std::nullopt);

  /// An endpoint "IP:PORT".
  io::Endpoint Address(std::string_view field);

  /// A sub-section; a missing one reads as empty.
  SettingsReader Section(std::string_view field);

  /// The items of a list of sub-sections; none if the list is missing.
  std::vector<SettingsReader> List(std::string_view field);

  /// Adds an error that the caller found at `field`.
  void AddError(std::string_view field, std::string detail);

  /// All errors by line, including fields that were never read and duplicate
  /// fields.
  SettingsErrors Finish();

 private:
  struct State;
  explicit SettingsReader(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

}  // namespace chervilpass::config
