#include "chervilpass/config/fleet_config.h"

#include <fmt/format.h>

#include <algorithm>

#include "chervilpass/core/hash.h"
#include "chervilpass/core/text.h"

namespace chervilpass::config {
namespace {

constexpr std::uint32_t kMaxPriority = 9;
constexpr std::uint32_t kMaxWeight = 1000000;
constexpr std::uint32_t kMaxLayers = 4096;

class Validator {
 public:
  explicit Validator(const FleetConfig& config) : config(config) {}

  ConfigErrors Run() {
    for (const auto& [name, pipeline] : this->config.pipelines) {
      this->CheckPipeline(name, pipeline);
    }
    for (const auto& [name, service] : this->config.services) {
      this->CheckName("service " + name, name);
      if (this->config.pipelines.contains(name)) {
        this->Add("service " + name, "a pipeline has the same name");
      }
    }
    for (const auto& [name, organisation] : this->config.organisations) {
      this->CheckName("organisation " + name, name);
    }
    for (const auto& [id, backend] : this->config.backends) {
      this->CheckBackend(id, backend);
    }
    for (const auto& [key, row] : this->config.rows) {
      this->CheckRow(key, row);
    }
    return std::move(this->errors);
  }

 private:
  void Add(std::string place, std::string detail) {
    this->errors.push_back({std::move(place), std::move(detail)});
  }

  void CheckName(const std::string& place, const std::string& name) {
    if (!IsIdentifier(name)) {
      this->Add(place,
                "a name has 1 to 64 characters of a-z, 0-9, '-', '_', '.'");
    }
  }

  void CheckPipeline(const std::string& name, const Pipeline& pipeline) {
    const std::string place = "pipeline " + name;
    this->CheckName(place, name);
    if (pipeline.layers == 0 || pipeline.layers > kMaxLayers) {
      this->Add(place + " layers", fmt::format("{} given, 1 to {} allowed",
                                               pipeline.layers, kMaxLayers));
    }
    if (pipeline.token_limit == 0) {
      this->Add(place + " token_limit", "must be above 0");
    }
    if (pipeline.cell_replicas == 0) {
      this->Add(place + " cell_replicas", "must be above 0");
    }
  }

  void CheckBackend(const std::string& id, const Backend& backend) {
    const std::string place = "backend " + id;
    this->CheckName(place, id);
    if (const auto* stage = std::get_if<StageRole>(&backend.role)) {
      this->CheckStage(place, *stage);
      return;
    }
    const auto& role = std::get<ServiceRole>(backend.role);
    if (!this->config.services.contains(role.service)) {
      this->Add(place + " service", "unknown service '" + role.service + "'");
    }
  }

  void CheckStage(const std::string& place, const StageRole& stage) {
    const auto pipeline = this->config.pipelines.find(stage.pipeline);
    if (pipeline == this->config.pipelines.end()) {
      this->Add(place + " pipeline",
                "unknown pipeline '" + stage.pipeline + "'");
      return;
    }
    if (stage.first_layer > stage.last_layer ||
        stage.last_layer >= pipeline->second.layers) {
      this->Add(place + " layers",
                fmt::format("{}..{} given, 0..{} allowed", stage.first_layer,
                            stage.last_layer, pipeline->second.layers - 1));
    }
    if (stage.session_limit == 0) {
      this->Add(place + " session_limit", "must be above 0");
    }
  }

  void CheckRow(const RowKey& key, const TableRow& row) {
    const std::string place =
        fmt::format("row {},{}", key.organisation, key.target);
    if (!this->config.organisations.contains(key.organisation)) {
      this->Add(place + " organisation",
                "unknown organisation '" + key.organisation + "'");
    }
    if (!this->config.pipelines.contains(key.target) &&
        !this->config.services.contains(key.target)) {
      this->Add(place + " target",
                "unknown pipeline or service '" + key.target + "'");
    }
    if (row.weight == 0 || row.weight > kMaxWeight) {
      this->Add(place + " weight", fmt::format("{} given, 1 to {} allowed",
                                               row.weight, kMaxWeight));
    }
    if (row.priority > kMaxPriority) {
      this->Add(place + " priority", fmt::format("{} given, 0 to {} allowed",
                                                 row.priority, kMaxPriority));
    }
  }

  const FleetConfig& config;
  ConfigErrors errors;
};

}  // namespace

TableRow FleetConfig::RowOrDefault(const std::string& organisation,
                                   const std::string& target) const {
  const auto found = this->rows.find({organisation, target});
  return found == this->rows.end() ? TableRow{} : found->second;
}

const Organisation* FleetConfig::FindByKey(const std::string& key) const {
  const std::string hash = Sha256Hex(key);
  for (const auto& [name, organisation] : this->organisations) {
    const auto& hashes = organisation.key_hashes;
    if (std::find(hashes.begin(), hashes.end(), hash) != hashes.end()) {
      return &organisation;
    }
  }
  return nullptr;
}

std::string ToText(const ConfigErrors& errors) {
  std::string text;
  for (const ConfigError& error : errors) {
    text += fmt::format("{}: {}\n", error.location, error.detail);
  }
  return text;
}

ConfigErrors Validate(const FleetConfig& config) {
  return Validator(config).Run();
}

}  // namespace chervilpass::config
