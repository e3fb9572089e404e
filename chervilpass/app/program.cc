#include "chervilpass/app/program.h"

#include <tclap/CmdLine.h>

#include <cstdio>
#include <cstdlib>

namespace chervilpass::app {
namespace {

// The last lines of a process may say most about it.
constexpr Duration kMaxFinalLogWait = milliseconds(50);

// Ends with kExitBadInput on an invalid command line; TCLAP's default is 1.
class ExitCodeOutput final : public TCLAP::StdOutput {
 public:
  void failure(TCLAP::CmdLineInterface& command,
               TCLAP::ArgException& exception) override {
    fmt::print(stderr, "{}: {}\nTry '{} --help'.\n", exception.argId(),
               exception.error(), command.getProgramName());
    ExitNow(kExitBadInput);
  }
};

}  // namespace

void ExitNow(int code) {
  FlushLog(kMaxFinalLogWait);
  std::fflush(stdout);
  std::fflush(stderr);
  std::_Exit(code);
}

CommandLine ParseCommandLine(int argc,
                             char** argv,
                             const std::string& description) {
  ExitCodeOutput output;
  TCLAP::CmdLine command(description, ' ', CHERVILPASS_VERSION);
  command.setOutput(&output);
  TCLAP::ValueArg<std::string> config("c", "config", "settings file (YAML)",
                                      true, "", "FILE", command);
  TCLAP::SwitchArg check("", "check", "check the settings and exit", command);
  TCLAP::ValueArg<std::string> level("l", "log-level",
                                     "debug, info, warning or error", false, "",
                                     "LEVEL", command);
  command.parse(argc, argv);
  CommandLine result{config.getValue(), check.getValue(), std::nullopt};
  if (level.isSet()) {
    LogLevel parsed = LogLevel::kInfo;
    if (!ParseLogLevel(level.getValue(), &parsed)) {
      fmt::print(stderr,
                 "--log-level: '{}' given; debug, info, warning or error is "
                 "expected\n",
                 level.getValue());
      ExitNow(kExitBadInput);
    }
    result.log_level = parsed;
  }
  return result;
}

LogSettings ReadLogSettings(config::SettingsReader& reader,
                            const std::string& program,
                            const std::string& vm,
                            const CommandLine& command_line) {
  config::SettingsReader section = reader.Section("log");
  LogSettings settings{program, vm, LogLevel::kInfo, LogFormat::kKeyValue};
  const std::string level =
      section.Choice("level", {"debug", "info", "warning", "error"}, "info");
  ParseLogLevel(level, &settings.level);
  const std::string format =
      section.Choice("format", {"key-value", "json"}, "key-value");
  settings.format = format == "json" ? LogFormat::kJson : LogFormat::kKeyValue;
  if (command_line.log_level) {
    settings.level = *command_line.log_level;
  }
  return settings;
}

}  // namespace chervilpass::app
