// Structured log lines on standard output: one line per event, as key=value
// pairs or JSON, with UTC time, level, program and VM. Writing never blocks: if
// the reader is too slow, lines are dropped and counted.
#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "chervilpass/core/time.h"

namespace chervilpass {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

enum class LogFormat { kKeyValue, kJson };

/// A named value of a log line.
struct LogField {
  std::string name;
  std::string value;

  LogField(std::string name, std::string value)
      : name(std::move(name)), value(std::move(value)) {}
  LogField(std::string name, const char* value)
      : name(std::move(name)), value(value) {}
  LogField(std::string name, std::string_view value)
      : name(std::move(name)), value(value) {}
  LogField(std::string name, bool value)
      : name(std::move(name)), value(value ? "true" : "false") {}
  template <class T>
  requires std::is_arithmetic_v<T> LogField(std::string name, T value)
      : name(std::move(name)), value(fmt::format("{}", value)) {}

  bool operator==(const LogField&) const = default;
};

/// Settings of a Logger.
struct LogSettings {
  std::string program;
  std::string vm;
  LogLevel level = LogLevel::kInfo;
  LogFormat format = LogFormat::kKeyValue;

  bool operator==(const LogSettings&) const = default;
};

/// Parses "debug", "info", "warning" or "error"; false if `text` is none of
/// them.
bool ParseLogLevel(std::string_view text, LogLevel* level);

/// Formats one event without a line break; exposed for tests.
std::string FormatLogLine(const LogSettings& settings,
                          LogLevel level,
                          std::int64_t wall_milliseconds,
                          std::string_view event,
                          const std::vector<LogField>& fields);

/// Writes as much of the buffer as possible, waiting up to `max_wait` in all
/// for the reader. Call it every few hundred milliseconds and before the
/// process ends.
void FlushLog(Duration max_wait = Duration::zero());

/// Number of lines dropped since the start because the reader was too slow.
std::uint64_t DroppedLogLines();

/// Writes log lines. Thread-safe; all loggers share one buffer of limited size.
class Logger {
 public:
  explicit Logger(LogSettings settings);

  /// True if lines of this level are written.
  bool Enabled(LogLevel level) const;

  /// Appends one line to the buffer, or drops it if the buffer is full.
  void Write(LogLevel level,
             std::string_view event,
             std::initializer_list<LogField> fields) const;

  void Debug(std::string_view event,
             std::initializer_list<LogField> fields) const {
    this->Write(LogLevel::kDebug, event, fields);
  }
  void Info(std::string_view event,
            std::initializer_list<LogField> fields) const {
    this->Write(LogLevel::kInfo, event, fields);
  }
  void Warning(std::string_view event,
               std::initializer_list<LogField> fields) const {
    this->Write(LogLevel::kWarning, event, fields);
  }
  void Error(std::string_view event,
             std::initializer_list<LogField> fields) const {
    this->Write(LogLevel::kError, event, fields);
  }

 private:
  LogSettings settings;
};

}  // namespace chervilpass
