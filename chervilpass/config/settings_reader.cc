#include "chervilpass/config/settings_reader.h"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <set>

#include "chervilpass/core/text.h"

namespace chervilpass::config {
namespace {

std::string QuoteNode(const YAML::Node& node) {
  return node.IsScalar() ? "'" + node.Scalar() + "'" : "a list or section";
}

int LineOf(const YAML::Node& node) {
  return node.Mark().line + 1;
}

// What one section has been asked for, to find unknown fields at the end.
struct SectionLog {
  YAML::Node node;
  std::string path;
  std::vector<std::string> asked;
};

// Shared by the readers of one file.
struct FileLog {
  std::string file;
  SettingsErrors errors;
  std::vector<std::shared_ptr<SectionLog>> sections;
};

}  // namespace

struct SettingsReader::State {
  std::shared_ptr<FileLog> log;
  std::shared_ptr<SectionLog> section;

  std::string Path(std::string_view field) const {
    return this->section->path.empty()
               ? std::string(field)
               : fmt::format("{}.{}", this->section->path, field);
  }

  void Add(int line, std::string_view field, std::string detail) {
    this->log->errors.push_back(
        {this->log->file, line, this->Path(field), std::move(detail)});
  }

  // The node of a field, remembering that it was asked for.
  YAML::Node Get(std::string_view field) {
    this->section->asked.emplace_back(field);
    const YAML::Node& node = this->section->node;
    if (!node.IsMap()) {
      return YAML::Node(YAML::NodeType::Undefined);
    }
    return node[std::string(field)];
  }

  void Missing(std::string_view field, std::string_view expected) {
    this->Add(LineOf(this->section->node), field,
              fmt::format("is missing; {} is expected", expected));
  }

  void Wrong(const YAML::Node& node,
             std::string_view field,
             std::string_view expected) {
    this->Add(
        LineOf(node), field,
        fmt::format("{} given; {} is expected", QuoteNode(node), expected));
  }

  // Reads a scalar of type T that fulfils `allowed`.
  template <class T, class Allowed>
  T Scalar(std::string_view field,
           const std::optional<T>& fallback,
           std::string_view expected,
           Allowed allowed) {
    const YAML::Node node = this->Get(field);
    if (!node.IsDefined() || node.IsNull()) {
      if (!fallback) {
        this->Missing(field, expected);
      }
      return fallback.value_or(T{});
    }
    T value{};
    if (!node.IsScalar() || !YAML::convert<T>::decode(node, value) ||
        !allowed(value)) {
      this->Wrong(node, field, expected);
      return fallback.value_or(T{});
    }
    return value;
  }

  std::unique_ptr<State> Child(const YAML::Node& node,
                               const std::string& path) const {
    auto child = std::make_unique<State>();
    child->log = this->log;
    child->section = std::make_shared<SectionLog>(SectionLog{node, path, {}});
    child->log->sections.push_back(child->section);
    return child;
  }
};

std::string ToText(const SettingsErrors& errors) {
  std::string text;
  for (const SettingsError& error : errors) {
    text += fmt::format("{}:{}: {}: {}\n", error.file, error.line, error.field,
                        error.detail);
  }
  return text;
}

SettingsReader::SettingsReader(std::unique_ptr<State> state)
    : state(std::move(state)) {}
SettingsReader::SettingsReader(SettingsReader&&) noexcept = default;
SettingsReader& SettingsReader::operator=(SettingsReader&&) noexcept = default;
SettingsReader::~SettingsReader() = default;

namespace {

Result<YAML::Node, SettingsErrors> Load(const std::string& text,
                                        const std::string& file) {
  // yaml-cpp reports faults by exception.
  try {
    const YAML::Node node = YAML::Load(text);
    if (!node.IsMap()) {
      return SettingsErrors{{file, 1, "", "a section of fields is expected"}};
    }
    return node;
  } catch (const YAML::Exception& exception) {
    return SettingsErrors{
        {file, exception.mark.line + 1, "", "not YAML: " + exception.msg}};
  }
}

}  // namespace

Result<SettingsReader, SettingsErrors> SettingsReader::FromText(
    const std::string& text,
    const std::string& file) {
  BOOST_OUTCOME_TRY(const YAML::Node node, Load(text, file));
  auto state = std::make_unique<State>();
  state->log = std::make_shared<FileLog>();
  state->log->file = file;
  state->section = std::make_shared<SectionLog>(SectionLog{node, "", {}});
  state->log->sections.push_back(state->section);
  return SettingsReader(std::move(state));
}

Result<SettingsReader, SettingsErrors> SettingsReader::FromFile(
    const std::string& path) {
  std::FILE* file = std::fopen(path.c_str(), "rb");
  if (file == nullptr) {
    return SettingsErrors{{path, 0, "", "cannot be opened"}};
  }
  std::string text;
  char piece[4096];
  std::size_t size = 0;
  while ((size = std::fread(piece, 1, sizeof(piece), file)) > 0) {
    text.append(piece, size);
  }
  std::fclose(file);
  return FromText(text, path);
}

std::string SettingsReader::Text(std::string_view field,
                                 std::optional<std::string> fallback) {
  return this->state->Scalar<std::string>(
      field, fallback, "a text",
      [](const std::string& value) { return !value.empty(); });
}

std::string SettingsReader::OptionalText(std::string_view field) {
  return this->state->Scalar<std::string>(
      field, "", "a text", [](const std::string&) { return true; });
}

std::string SettingsReader::Choice(std::string_view field,
                                   const std::vector<std::string>& allowed,
                                   std::optional<std::string> fallback) {
  return this->state->Scalar<std::string>(
      field, fallback, fmt::format("one of {}", fmt::join(allowed, ", ")),
      [&allowed](const std::string& value) {
        return std::find(allowed.begin(), allowed.end(), value) !=
               allowed.end();
      });
}

std::int64_t SettingsReader::Integer(std::string_view field,
                                     IntegerRange range,
                                     std::optional<std::int64_t> fallback) {
  return this->state->Scalar<std::int64_t>(
      field, fallback,
      fmt::format("a whole number from {} to {}", range.low, range.high),
      [range](std::int64_t value) {
        return value >= range.low && value <= range.high;
      });
}

double SettingsReader::Real(std::string_view field,
                            double low,
                            double high,
                            std::optional<double> fallback) {
  return this->state->Scalar<double>(
      field, fallback, fmt::format("a number from {} to {}", low, high),
      [low, high](double value) { return value >= low && value <= high; });
}

bool SettingsReader::Flag(std::string_view field, bool fallback) {
  return this->state->Scalar<bool>(field, fallback, "true or false",
                                   [](bool) { return true; });
}

Duration SettingsReader::Milliseconds(std::string_view field,
                                      IntegerRange range,
                                      std::optional<std::int64_t> fallback) {
  return milliseconds(this->Integer(field, range, fallback));
}

io::Endpoint SettingsReader::Address(std::string_view field) {
  const std::string text = this->state->Scalar<std::string>(
      field, std::nullopt, "IP:PORT", [](const std::string& value) {
        return io::Endpoint::Parse(value).has_value();
      });
  return io::Endpoint::Parse(text).value_or(io::Endpoint{});
}

SettingsReader SettingsReader::Section(std::string_view field) {
  const YAML::Node node = this->state->Get(field);
  if (node.IsDefined() && !node.IsNull() && !node.IsMap()) {
    this->state->Wrong(node, field, "a section of fields");
  }
  const bool usable = node.IsDefined() && node.IsMap();
  const YAML::Node empty(YAML::NodeType::Map);
  return SettingsReader(
      this->state->Child(usable ? node : empty, this->state->Path(field)));
}

std::vector<SettingsReader> SettingsReader::List(std::string_view field) {
  std::vector<SettingsReader> readers;
  const YAML::Node node = this->state->Get(field);
  if (!node.IsDefined() || node.IsNull()) {
    return readers;
  }
  if (!node.IsSequence()) {
    this->state->Wrong(node, field, "a list");
    return readers;
  }
  for (std::size_t i = 0; i < node.size(); ++i) {
    const std::string path = fmt::format("{}[{}]", this->state->Path(field), i);
    if (!node[i].IsMap()) {
      this->state->Wrong(node[i], fmt::format("{}[{}]", field, i),
                         "a section of fields");
      continue;
    }
    readers.push_back(SettingsReader(this->state->Child(node[i], path)));
  }
  return readers;
}

void SettingsReader::AddError(std::string_view field, std::string detail) {
  const YAML::Node node = this->state->Get(field);
  const int line =
      node.IsDefined() ? LineOf(node) : LineOf(this->state->section->node);
  this->state->Add(line, field, std::move(detail));
}

SettingsErrors SettingsReader::Finish() {
  FileLog& log = *this->state->log;
  for (const auto& section : log.sections) {
    std::set<std::string> seen;
    for (const auto& item : section->node) {
      const std::string name =
          item.first.IsScalar() ? item.first.Scalar() : "?";
      const std::string path =
          section->path.empty() ? name : section->path + "." + name;
      const int line = LineOf(item.first);
      if (!seen.insert(name).second) {
        log.errors.push_back({log.file, line, path, "stands twice"});
      }
      const auto& asked = section->asked;
      if (std::find(asked.begin(), asked.end(), name) != asked.end()) {
        continue;
      }
      std::string detail = "is not a known field";
      if (const auto nearest = NearestName(name, asked)) {
        detail += "; did you mean '" + *nearest + "'?";
      }
      log.errors.push_back({log.file, line, path, detail});
    }
  }
  std::stable_sort(log.errors.begin(), log.errors.end(),
                   [](const SettingsError& a, const SettingsError& b) {
                     return a.line < b.line;
                   });
  return log.errors;
}

}  // namespace chervilpass::config
