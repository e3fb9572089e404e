#include "chervilpass/control/config_manager.h"

#include <fmt/format.h>

#include "chervilpass/config/change_merge.h"
#include "chervilpass/config/config_json.h"

namespace chervilpass::control {
namespace {

using platform::PlatformErrorCode;

constexpr const char* kConfigObject = "config/fleet";
constexpr Duration kMinBackoff = milliseconds(100);
constexpr Duration kMaxBackoff = seconds(5);
constexpr std::uint32_t kMaxChangeAttempts = 5;

}  // namespace

ConfigManager::ConfigManager(io::Runtime* runtime,
                             Logger log,
                             std::shared_ptr<platform::ObjectClient> store,
                             std::uint64_t seed,
                             ConfigAppliedCallback on_applied)
    : runtime(runtime),
      log(std::move(log)),
      store(std::move(store)),
      random(seed),
      backoff(kMinBackoff, kMaxBackoff),
      on_applied(std::move(on_applied)) {}

void ConfigManager::ApplyFromPeer(const rpc::ConfigChanges& changes,
                                  const std::string& peer) {
  if (this->history.Apply(changes)) {
    this->on_applied(peer);
  }
}

void ConfigManager::FollowOnce(Duration timeout) {
  const auto object =
      this->store_version == 0
          ? this->store->Get(kConfigObject)
          : this->store->Watch(kConfigObject, this->store_version, timeout);
  if (object.has_value()) {
    this->backoff.Reset();
    return this->ApplyStored(object.value());
  }
  const bool no_newer_version =
      object.error().code == PlatformErrorCode::kNotFound &&
      this->store_version != 0;
  if (no_newer_version) {
    return this->backoff.Reset();
  }
  this->runtime->SleepFor(this->backoff.Next(&this->random));
}

void ConfigManager::ApplyStored(const platform::StoredObject& object) {
  this->store_version = std::max(this->store_version, object.version);
  auto config = config::ConfigFromJson(object.value);
  if (config.has_error()) {
    this->log.Error("config.unreadable",
                    {{"detail", config::ToText(config.error())}});
    return;
  }
  if (this->history.Apply(std::move(config).value())) {
    this->on_applied("platform");
  }
}

rpc::ChangeResult ConfigManager::Change(const rpc::ChangeRequest& request) {
  const auto delta = config::DeltaFromJson(request.delta);
  if (delta.has_error()) {
    return rpc::ChangeInvalid{config::ToText(delta.error())};
  }
  std::string last_detail = "the platform does not answer";
  for (std::uint32_t i = 0; i < kMaxChangeAttempts; ++i) {
    // The change is based on the stored configuration, which can be newer than
    // the one that this VM has received.
    const auto stored = this->store->Get(kConfigObject);
    std::uint64_t store_version = 0;
    if (stored.has_value()) {
      this->ApplyStored(stored.value());
      store_version = stored.value().version;
    } else if (stored.error().code != PlatformErrorCode::kNotFound) {
      last_detail = stored.error().detail;
      continue;
    }
    const auto result =
        this->TryChange(delta.value(), request.change_id, store_version);
    if (result) {
      return *result;
    }
  }
  return rpc::ChangeUnavailable{last_detail};
}

// Tries to write the change on top of the stored version; empty if it must be
// retried.
std::optional<rpc::ChangeResult> ConfigManager::TryChange(
    const config::ConfigDelta& delta,
    const std::string& change_id,
    std::uint64_t stored_version) {
  const auto current =
      stored_version == 0 ? this->history.Find(0) : this->history.Current();
  if (const std::uint64_t accepted_version =
          config::VersionOfChange(*current, change_id)) {
    return rpc::ChangeAccepted{accepted_version};
  }
  const auto base = this->history.Find(delta.from_version);
  auto merged = config::MergeChange(*current, base.get(), delta, change_id);
  if (const auto* conflict = std::get_if<config::MergeConflict>(&merged)) {
    return rpc::ChangeConflict{conflict->detail};
  }
  if (std::holds_alternative<config::BaseUnknown>(merged)) {
    return rpc::ChangeConflict{fmt::format(
        "version {} is too old to merge with; get the table again\n",
        delta.from_version)};
  }
  if (const auto* errors = std::get_if<config::ConfigErrors>(&merged)) {
    return rpc::ChangeInvalid{config::ToText(*errors)};
  }
  config::FleetConfig next = std::get<config::FleetConfig>(std::move(merged));
  const std::string json = config::ToJson(next);
  const auto written =
      stored_version == 0
          ? this->store->CreateObject(kConfigObject, json)
          : this->store->Update(kConfigObject, stored_version, json);
  if (written.has_error()) {
    // Another change was written first, or the answer was lost: read the stored
    // configuration again.
    return std::nullopt;
  }
  this->store_version = std::max(this->store_version, written.value());
  const std::uint64_t version = next.version;
  if (this->history.Apply(std::move(next))) {
    this->on_applied("operator");
  }
  return rpc::ChangeAccepted{version};
}

}  // namespace chervilpass::control
