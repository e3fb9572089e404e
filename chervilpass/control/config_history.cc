#include "chervilpass/control/config_history.h"

#include "chervilpass/config/config_json.h"

namespace chervilpass::control {
namespace {

constexpr std::size_t kMaxEarlierVersions = 64;

}  // namespace

bool ConfigHistory::Apply(config::FleetConfig config) {
  if (config.version <= this->Version()) {
    return false;
  }
  if (this->current != nullptr) {
    this->earlier.push_back(this->current);
    if (this->earlier.size() > kMaxEarlierVersions) {
      this->earlier.pop_front();
    }
  }
  this->current =
      std::make_shared<const config::FleetConfig>(std::move(config));
  return true;
}

bool ConfigHistory::Apply(const rpc::ConfigChanges& changes) {
  if (changes.version <= this->Version()) {
    return false;
  }
  if (changes.is_full) {
    auto config = config::ConfigFromJson(changes.body);
    return config.has_value() && this->Apply(std::move(config).value());
  }
  const auto delta = config::DeltaFromJson(changes.body);
  if (delta.has_error()) {
    return false;
  }
  const auto base = this->Find(delta.value().from_version);
  if (base == nullptr) {
    return false;
  }
  auto next = config::ApplyDelta(*base, delta.value());
  return next.has_value() && this->Apply(std::move(*next));
}

std::uint64_t ConfigHistory::Version() const {
  return this->current == nullptr ? 0 : this->current->version;
}

std::shared_ptr<const config::FleetConfig> ConfigHistory::Find(
    std::uint64_t version) const {
  if (version == 0) {
    return std::make_shared<const config::FleetConfig>();
  }
  if (this->current != nullptr && this->current->version == version) {
    return this->current;
  }
  for (const auto& config : this->earlier) {
    if (config->version == version) {
      return config;
    }
  }
  return nullptr;
}

const std::string& ConfigHistory::CurrentJson() const {
  if (this->json_version != this->Version()) {
    this->json = config::ToJson(*this->current);
    this->json_version = this->Version();
  }
  return this->json;
}

rpc::ConfigChanges ConfigHistory::ChangesSince(
    std::uint64_t known_version) const {
  if (known_version >= this->Version()) {
    return {this->Version(), false, ""};
  }
  const auto base = known_version == 0 ? nullptr : this->Find(known_version);
  if (base != nullptr) {
    std::string delta =
        config::ToJson(config::Difference(*base, *this->current));
    if (delta.size() < this->CurrentJson().size()) {
      return {this->Version(), false, std::move(delta)};
    }
  }
  return {this->Version(), true, this->CurrentJson()};
}

}  // namespace chervilpass::control
