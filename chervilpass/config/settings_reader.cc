#include "chervilpass/config/settings_reader.h"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <future>
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

// One section and the fields read from it so far; all others are reported as
// unknown at the end.
struct SectionState {
  YAML::Node node;
  std::string path;
  std::vector<std::string> requested;
};

// State shared by all readers of one file.
struct FileState {
  std::string name;
  SettingsErrors errors;
  std::vector<std::shared_ptr<SectionState>> sections;
};

}  // namespace

struct SettingsReader::State {
  std::shared_ptr<FileState> file;
  std::shared_ptr<SectionState> section;

  std::string Path(std::string_view field) const {
    return this->section->path.empty()
               ? std::string(field)
               : fmt::format("{}.{}", this->section->path, field);
  }

  void Add(int line, std::string_view field, std::string detail) {
    this->file->errors.push_back(
        {this->file->name, line, this->Path(field), std::move(detail)});
  }

  // Returns the node of a field and records that the field was read.
  YAML::Node Get(std::string_view field) {
    this->section->requested.emplace_back(field);
    const YAML::Node& node = this->section->node;
    if (!node.IsMap()) {
      return YAML::Node(YAML::NodeType::Undefined);
    }
    return node[std::string(field)];
  }

  void AddMissing(std::string_view field, std::string_view expected) {
    this->Add(LineOf(this->section->node), field,
              fmt::format("is missing; {} is expected", expected));
  }

  void AddInvalid(const YAML::Node& node,
                  std::string_view field,
                  std::string_view expected) {
    this->Add(
        LineOf(node), field,
        fmt::format("{} given; {} is expected", QuoteNode(node), expected));
  }

  // Reads a scalar of type T that satisfies `allowed`.
  template <class T, class Allowed>
  T Scalar(std::string_view field,
           const std::optional<T>& fallback,
           std::string_view expected,
           Allowed allowed) {
    const YAML::Node node = this->Get(field);
    if (!node.IsDefined() || node.IsNull()) {
      if (!fallback) {
        this->AddMissing(field, expected);
      }
      return fallback.value_or(T{});
    }
    T value{};
    if (!node.IsScalar() || !YAML::convert<T>::decode(node, value) ||
        !allowed(value)) {
      this->AddInvalid(node, field, expected);
      return fallback.value_or(T{});
    }
    return value;
  }

  std::unique_ptr<State> Child(const YAML::Node& node,
                               const std::string& path) const {
    auto child = std::make_unique<State>();
    child->file = this->file;
    child->section =
        std::make_shared<SectionState>(SectionState{node, path, {}});
    child->file->sections.push_back(child->section);
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
  // yaml-cpp reports errors by exception.
  try {
    // The parser recurses up to 500 levels deep, too deep for a fiber's stack.
    const YAML::Node node = std::async(std::launch::async, [&text] {
                              return YAML::Load(text);
                            }).get();
    if (!node.IsMap()) {
      return SettingsErrors{{file, 1, "", "a mapping of fields is expected"}};
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
  state->file = std::make_shared<FileState>();
  state->file->name = file;
  state->section = std::make_shared<SectionState>(SectionState{node, "", {}});
  state->file->sections.push_back(state->section);
  return SettingsReader(std::move(state));
}

Result<SettingsReader, SettingsErrors> SettingsReader::FromFile(
    const std::string& path) {
  std::FILE* file = std::fopen(path.c_str(), "rb");
  if (file == nullptr) {
    return SettingsErrors{{path, 0, "", "cannot be opened"}};
  }
  std::string text;
  char chunk[4096];
  std::size_t size = 0;
  while ((size = std::fread(chunk, 1, sizeof(chunk), file)) > 0) {
    text.append(chunk, size);
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

double SettingsReader::Double(std::string_view field,
                              double low,
                              double high,
                              std::optional<double> fallback) {
  return this->state->Scalar<double>(
      field, fallback, fmt::format("a number from {} to {}", low, high),
      [low, high](double value) { return value >= low && value <= high; });
}

bool SettingsReader::Bool(std::string_view field, bool fallback) {
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
    this->state->AddInvalid(node, field, "a mapping of fields");
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
    this->state->AddInvalid(node, field, "a list");
    return readers;
  }
  for (std::size_t i = 0; i < node.size(); ++i) {
    const std::string path = fmt::format("{}[{}]", this->state->Path(field), i);
    if (!node[i].IsMap()) {
      this->state->AddInvalid(node[i], fmt::format("{}[{}]", field, i),
                              "a mapping of fields");
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
  FileState& file = *this->state->file;
  for (const auto& section : file.sections) {
    std::set<std::string> seen;
    for (const auto& item : section->node) {
      const std::string name =
          item.first.IsScalar() ? item.first.Scalar() : "?";
      const std::string path =
          section->path.empty() ? name : section->path + "." + name;
      const int line = LineOf(item.first);
      if (!seen.insert(name).second) {
        file.errors.push_back({file.name, line, path, "is given twice"});
      }
      const auto& requested = section->requested;
      if (std::find(requested.begin(), requested.end(), name) !=
          requested.end()) {
        continue;
      }
      std::string detail = "is not a known field";
      if (const auto nearest = NearestName(name, requested)) {
        detail += "; did you mean '" + *nearest + "'?";
      }
      file.errors.push_back({file.name, line, path, detail});
    }
  }
  std::stable_sort(file.errors.begin(), file.errors.end(),
                   [](const SettingsError& a, const SettingsError& b) {
                     return a.line < b.line;
                   });
  return file.errors;
}

}  // namespace chervilpass::config
