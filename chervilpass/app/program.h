// Shared by all programs: command line, log settings and exit codes.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "chervilpass/config/settings_reader.h"
#include "chervilpass/core/log.h"
#include "chervilpass/core/result.h"
#include "chervilpass/io/runtime.h"

namespace chervilpass::app {

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitBadInput = 2;

/// Command-line options common to all programs.
struct CommandLine {
  std::string config_path;
  bool check_only = false;
  std::optional<LogLevel> log_level;

  bool operator==(const CommandLine&) const = default;
};

/// Parses --config, --check and --log-level. --help and --version print their
/// text and end the process. An error is printed and ends the process with
/// code 2.
CommandLine ParseCommandLine(int argc,
                             char** argv,
                             const std::string& description);

/// Reads the `log` section of a settings file. `command_line` overrides the
/// level.
LogSettings ReadLogSettings(config::SettingsReader& reader,
                            const std::string& program,
                            const std::string& vm,
                            const CommandLine& command_line);

/// Flushes the log and ends the process without running destructors, because
/// fibers of open connections may still hold references.
[[noreturn]] void ExitNow(int code);

/// Reads the settings with `read` and handles --check. Errors are printed and
/// end the process with code 2.
template <class Settings>
Settings LoadSettings(
    const CommandLine& command_line,
    const std::function<Settings(config::SettingsReader&)>& read) {
  auto reader = config::SettingsReader::FromFile(command_line.config_path);
  if (reader.has_error()) {
    fmt::print(stderr, "{}", config::ToText(reader.error()));
    ExitNow(kExitBadInput);
  }
  Settings settings = read(reader.value());
  const config::SettingsErrors errors = reader.value().Finish();
  if (!errors.empty()) {
    fmt::print(stderr, "{}", config::ToText(errors));
    ExitNow(kExitBadInput);
  }
  if (command_line.check_only) {
    fmt::print("{}: ok\n", command_line.config_path);
    ExitNow(kExitOk);
  }
  return settings;
}

}  // namespace chervilpass::app
