// chervilctl: command line tool for operators.
#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <unordered_map>

#include "chervilpass/app/program.h"
#include "chervilpass/config/config_json.h"
#include "chervilpass/config/fleet_yaml.h"
#include "chervilpass/config/table_csv.h"
#include "chervilpass/core/hash.h"
#include "chervilpass/rpc/control_rpc.h"
#include "programs/ctl/log_report.h"
#include "programs/ctl/where.h"

namespace chervilpass {
namespace {

constexpr Duration kCallTimeout = seconds(10);
constexpr int kExitConflict = 3;

constexpr const char* kUsage =
    R"(Commands:
  init FLEET.yaml                 create the first configuration
  status                          show VMs, their state and active version
  table get                       print the table as CSV
  table diff FILE.csv             show what applying the file would change
  table apply FILE.csv            apply the file
  drain BACKEND | undrain BACKEND stop or resume new work for a backend server
  backend remove BACKEND          remove a backend server
  organisation add NAME           create an organisation; prints its key once
  organisation remove NAME        remove an organisation and its rows
  organisation key NAME           create another key; prints it once
  organisation revoke NAME        revoke all keys of an organisation
  explain REQUEST LOG...          print the lines of a request from log files
  report LOG...                   count requests by kind from log files (JSON)
  where ROUTER HOST PATH [organisation=NAME] [prompt_tokens=N] [answer_tokens=N]
                                  show where a request would be sent now, by the
                                  metrics port (IP:PORT) of a chervil-router
)";

using Arguments = std::vector<std::string>;

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    fmt::print(stderr, "{}: cannot be opened\n", path);
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

int BadUsage(std::string_view detail) {
  fmt::print(stderr, "{}\n{}", detail, kUsage);
  return app::kExitBadInput;
}

// Commands that call a control daemon.
class ControlCommands {
 public:
  explicit ControlCommands(std::shared_ptr<rpc::ControlClient> client)
      : client(std::move(client)) {}

  int Run(const Arguments& arguments) {
    const std::string& command = arguments.front();
    const std::size_t count = arguments.size();
    if (command == "init" && count == 2) {
      return this->Init(arguments[1]);
    }
    if (!this->Load()) {
      return app::kExitFailure;
    }
    if (command == "status" && count == 1) {
      return this->Status();
    }
    if (command == "table" && count >= 2) {
      return this->TableCommand(arguments);
    }
    if ((command == "drain" || command == "undrain") && count == 2) {
      return this->SetDraining(arguments[1], command == "drain");
    }
    if (command == "backend" && count == 3 && arguments[1] == "remove") {
      return this->RemoveBackend(arguments[2]);
    }
    if (command == "organisation" && count == 3) {
      return this->OrganisationCommand(arguments[1], arguments[2]);
    }
    return BadUsage("unknown command or missing arguments");
  }

 private:
  // Gets the view and the active configuration; false if either fails.
  bool Load() {
    const auto view = this->client->WatchView({"ctl", 0, 0}, kCallTimeout);
    if (view.has_error()) {
      fmt::print(stderr, "control does not answer: {}\n", view.error().detail);
      return false;
    }
    this->view = view.value();
    if (this->view.config.empty()) {
      return true;
    }
    auto config = config::ConfigFromJson(this->view.config);
    if (config.has_error()) {
      fmt::print(stderr, "{}", config::ToText(config.error()));
      return false;
    }
    this->config = std::move(config).value();
    return true;
  }

  int Init(const std::string& path) {
    auto reader = config::SettingsReader::FromFile(path);
    if (reader.has_error()) {
      fmt::print(stderr, "{}", config::ToText(reader.error()));
      return app::kExitBadInput;
    }
    config::FleetConfig fleet = config::ReadFleet(reader.value());
    const config::SettingsErrors errors = reader.value().Finish();
    if (!errors.empty()) {
      fmt::print(stderr, "{}", config::ToText(errors));
      return app::kExitBadInput;
    }
    fleet.version = 1;
    return this->Send(config::Difference(config::FleetConfig{}, fleet));
  }

  // Sends a change and prints its result; returns the exit code.
  int Send(config::ConfigDelta change) {
    const rpc::ChangeRequest request{RandomId(), config::ToJson(change)};
    const auto answer = this->client->Change(request, kCallTimeout);
    if (answer.has_error()) {
      fmt::print(stderr,
                 "no answer ({}): the change may have been accepted; check "
                 "'chervilctl status' and retry if it was not\n",
                 answer.error().detail);
      return app::kExitFailure;
    }
    return std::visit([](const auto& result) { return Report(result); },
                      answer.value());
  }

  static int Report(const rpc::ChangeAccepted& result) {
    fmt::print("accepted: version {}\n", result.version);
    return app::kExitOk;
  }
  static int Report(const rpc::ChangeConflict& result) {
    fmt::print(stderr, "refused, conflicts with concurrent changes:\n{}",
               result.detail);
    return kExitConflict;
  }
  static int Report(const rpc::ChangeInvalid& result) {
    fmt::print(stderr, "refused:\n{}", result.detail);
    return app::kExitBadInput;
  }
  static int Report(const rpc::ChangeUnavailable& result) {
    fmt::print(stderr, "not accepted: {}\n", result.detail);
    return app::kExitFailure;
  }

  // Sends the difference between the loaded configuration and `next`.
  int SendNext(config::FleetConfig next) {
    next.version = this->config.version + 1;
    config::ConfigDelta change = config::Difference(this->config, next);
    return this->Send(std::move(change));
  }

  int Status() {
    static const char* const kStatus[] = {"alive", "suspect", "leaving",
                                          "dead"};
    fmt::print("configuration: version {}\n", this->view.config_version);
    fmt::print("{:<16} {:<16} {:<8} {:<6} {:<9} {}\n", "vm", "data centre",
               "status", "entry", "dispatch", "version");
    for (const membership::Member& member : this->view.members) {
      fmt::print("{:<16} {:<16} {:<8} {:<6} {:<9} {}\n", member.vm,
                 member.data_centre, kStatus[static_cast<int>(member.status)],
                 member.entry_up ? "up" : "down",
                 member.dispatch_up ? "up" : "down", member.config_version);
    }
    for (const std::string& backend : this->view.leaving_backends) {
      fmt::print("backend server {} is leaving\n", backend);
    }
    return app::kExitOk;
  }

  int TableCommand(const Arguments& arguments) {
    if (arguments[1] == "get" && arguments.size() == 2) {
      fmt::print("{}",
                 config::ToCsv({this->config.version, this->config.rows}));
      return app::kExitOk;
    }
    if ((arguments[1] != "diff" && arguments[1] != "apply") ||
        arguments.size() != 3) {
      return BadUsage("table get, table diff FILE or table apply FILE");
    }
    const auto text = ReadFile(arguments[2]);
    if (!text) {
      return app::kExitBadInput;
    }
    const auto table = config::TableFromCsv(*text);
    if (table.has_error()) {
      fmt::print(stderr, "{}", config::ToText(table.error()));
      return app::kExitBadInput;
    }
    const auto base = this->BaseOf(table.value().base_version);
    if (!base) {
      return app::kExitFailure;
    }
    const config::ConfigDelta change = config::TableDelta(*base, table.value());
    const std::string description = config::DescribeChange(*base, change);
    if (description.empty()) {
      fmt::print("no change\n");
      return app::kExitOk;
    }
    fmt::print("{}", description);
    return arguments[1] == "diff" ? app::kExitOk : this->Send(change);
  }

  // The version that a table was exported from. Control keeps recent versions.
  std::optional<config::FleetConfig> BaseOf(std::uint64_t version) {
    if (version == this->config.version) {
      return this->config;
    }
    const auto answer = this->client->GetVersion(version, kCallTimeout);
    if (answer.has_error() || answer.value().body.empty()) {
      fmt::print(stderr,
                 "version {} is no longer available: get the table again\n",
                 version);
      return std::nullopt;
    }
    auto base = config::ConfigFromJson(answer.value().body);
    if (base.has_error()) {
      fmt::print(stderr, "{}", config::ToText(base.error()));
      return std::nullopt;
    }
    return std::move(base).value();
  }

  int SetDraining(const std::string& id, bool draining) {
    config::FleetConfig next = this->config;
    const auto found = next.backends.find(id);
    if (found == next.backends.end()) {
      fmt::print(stderr, "no backend server has the id '{}'\n", id);
      return app::kExitBadInput;
    }
    found->second.draining = draining;
    return this->SendNext(std::move(next));
  }

  int RemoveBackend(const std::string& id) {
    config::FleetConfig next = this->config;
    if (next.backends.erase(id) == 0) {
      fmt::print(stderr, "no backend server has the id '{}'\n", id);
      return app::kExitBadInput;
    }
    return this->SendNext(std::move(next));
  }

  int OrganisationCommand(const std::string& verb, const std::string& name) {
    config::FleetConfig next = this->config;
    const auto found = next.organisations.find(name);
    if (verb == "add") {
      if (found != next.organisations.end()) {
        fmt::print(stderr, "organisation '{}' already exists\n", name);
        return app::kExitBadInput;
      }
      next.organisations[name].name = name;
      return this->SendWithKey(std::move(next), name);
    }
    if (found == next.organisations.end()) {
      fmt::print(stderr, "no organisation has the name '{}'\n", name);
      return app::kExitBadInput;
    }
    if (verb == "key") {
      return this->SendWithKey(std::move(next), name);
    }
    if (verb == "revoke") {
      found->second.key_hashes.clear();
      return this->SendNext(std::move(next));
    }
    if (verb == "remove") {
      next.organisations.erase(found);
      std::erase_if(next.rows, [&name](const auto& item) {
        return item.first.organisation == name;
      });
      return this->SendNext(std::move(next));
    }
    return BadUsage("organisation add, key, revoke or remove NAME");
  }

  // Only the hash of the key is stored, so the key is printed here only.
  int SendWithKey(config::FleetConfig next, const std::string& name) {
    const std::string key = "ck_" + RandomId() + RandomId();
    next.organisations[name].key_hashes.push_back(Sha256Hex(key));
    const int code = this->SendNext(std::move(next));
    if (code == app::kExitOk) {
      fmt::print("key of {}: {}\n", name, key);
    }
    return code;
  }

  std::shared_ptr<rpc::ControlClient> client;
  rpc::View view;
  config::FleetConfig config;
};

// Prints the log lines of a request from all files, sorted by time.
int Explain(const Arguments& arguments) {
  if (arguments.size() < 3) {
    return BadUsage("explain REQUEST LOG...");
  }
  const std::string plain = "request=" + arguments[1];
  const std::string quoted = "\"request\":\"" + arguments[1] + "\"";
  std::vector<std::string> lines;
  for (std::size_t i = 2; i < arguments.size(); ++i) {
    std::ifstream file(arguments[i]);
    if (!file) {
      fmt::print(stderr, "{}: cannot be opened\n", arguments[i]);
      return app::kExitBadInput;
    }
    std::string line;
    while (std::getline(file, line)) {
      const std::size_t found = line.find(plain);
      const bool matches_plain =
          found != std::string::npos && (found + plain.size() == line.size() ||
                                         line[found + plain.size()] == ' ');
      if (matches_plain || line.find(quoted) != std::string::npos) {
        lines.push_back(line);
      }
    }
  }
  // Each line begins with its time.
  constexpr std::size_t kTimeWidth = 34;  // {"time":"YYYY-MM-DDTHH:MM:SS.mmmZ"
  std::stable_sort(lines.begin(), lines.end(),
                   [](const std::string& a, const std::string& b) {
                     return a.substr(0, kTimeWidth) < b.substr(0, kTimeWidth);
                   });
  for (const std::string& line : lines) {
    fmt::print("{}\n", line);
  }
  if (lines.empty()) {
    fmt::print(stderr, "no line has the request '{}'\n", arguments[1]);
    return app::kExitFailure;
  }
  return app::kExitOk;
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine command(
      std::string("Command line tool for operators of chervilpass"), ' ',
      CHERVILPASS_VERSION);
  TCLAP::ValueArg<std::string> control("c", "control",
                                       "address of a control daemon", false,
                                       "127.0.0.1:7300", "IP:PORT", command);
  TCLAP::ValueArg<std::string> config_path(
      "", "config", "settings file (YAML) with the field 'control'", false, "",
      "FILE", command);
  TCLAP::SwitchArg check("", "check", "check the settings and exit", command);
  TCLAP::ValueArg<std::string> level("l", "log-level",
                                     "debug, info, warning or error", false,
                                     "warning", "LEVEL", command);
  TCLAP::ValueArg<std::string> key_file(
      "", "key-file", "file with the operators' key of a chervil-router", false,
      "", "FILE", command);
  TCLAP::SwitchArg as_json("", "json", "print JSON", command);
  TCLAP::UnlabeledMultiArg<std::string> words("command", kUsage, false,
                                              "COMMAND", command);
  command.setExceptionHandling(false);
  try {
    command.parse(argc, argv);
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& exception) {
    return BadUsage(exception.error());
  }
  LogLevel log_level = LogLevel::kWarning;
  if (!ParseLogLevel(level.getValue(), &log_level)) {
    return BadUsage("--log-level: debug, info, warning or error is expected");
  }
  std::string address_text = control.getValue();
  if (config_path.isSet()) {
    address_text = app::LoadSettings<io::Endpoint>(
                       {config_path.getValue(), check.getValue(), log_level},
                       [](chervilpass::config::SettingsReader& reader) {
                         return reader.Address("control");
                       })
                       .ToText();
  }
  const Arguments& arguments = words.getValue();
  if (arguments.empty()) {
    return BadUsage("a command is expected");
  }
  if (arguments.front() == "explain") {
    return Explain(arguments);
  }
  if (arguments.front() == "report") {
    return arguments.size() < 2
               ? BadUsage("report LOG...")
               : ctl::Report({arguments.begin() + 1, arguments.end()});
  }
  if (arguments.front() == "where") {
    return Where({arguments.begin() + 1, arguments.end()}, key_file.getValue(),
                 as_json.getValue());
  }
  const auto address = io::Endpoint::Parse(address_text);
  if (!address) {
    return BadUsage("--control: IP:PORT is expected");
  }
  io::Runtime::Run([&](io::Runtime& runtime) {
    const auto loop = rpc::RpcLoop::Create(&runtime);
    app::ExitNow(ControlCommands(rpc::ControlClient::Create(loop, *address))
                     .Run(arguments));
  });
  return app::kExitOk;
}

}  // namespace
}  // namespace chervilpass

int main(int argc, char** argv) {
  return chervilpass::Main(argc, argv);
}
