#include "chervilpass/fleet/synced_state.h"

#include <fmt/format.h>

#include <string>
#include <utility>

#include "platform/config_decoder.h"
#include "platform/worker_decoder.h"

namespace chervilpass::fleet {
namespace {

using platform::ObjectChange;
using platform::StoredObject;

constexpr std::string_view kConfigName = "main";
// What a log line says of unreadable items of a configuration.
constexpr std::size_t kMaxItemsText = 600;  // bytes

}  // namespace

SyncedState::SyncedState(serving::RoutingState* routing_state,
                         MetricsRegistry* metrics,
                         const Logger* logger,
                         std::size_t max_kept_changes,
                         SyncedStateEvents events)
    : routing_state(routing_state),
      metrics(metrics),
      logger(logger),
      events(std::move(events)),
      log(max_kept_changes) {}

bool SyncedState::IsSynced() const {
  return this->routing_state->Table() != nullptr &&
         this->log.WorkersRevision() > 0;
}

void SyncedState::ApplyWorkers(const std::vector<StoredObject>& objects,
                               std::uint64_t revision,
                               Instant now) {
  if (!this->log.ApplyListing(objects, revision)) {
    return;
  }
  std::vector<routing::ServerRecord> records;
  for (const StoredObject& object : objects) {
    records.push_back(this->RecordOf(object));
  }
  this->routing_state->Servers().ApplyListing(records, revision, now);
  this->logger->Info("workers.listed",
                     {{"count", records.size()}, {"revision", revision}});
  this->events.updated();
}

bool SyncedState::ApplyWorkerChanges(const std::vector<ObjectChange>& changes,
                                     std::uint64_t since,
                                     std::uint64_t revision,
                                     Instant now) {
  const auto new_changes = this->log.ApplyChanges(changes, since, revision);
  if (!new_changes) {
    return false;
  }
  for (const ObjectChange& change : *new_changes) {
    const auto before = this->LayersOf(change.object.name);
    this->routing_state->Servers().ApplyChange(this->RecordOf(change.object),
                                               change.deleted, now);
    if (this->LayersOf(change.object.name) != before) {
      this->routing_state->OnLayersChanged(change.object.name);
    }
    this->LogWorker(change);
  }
  if (!new_changes->empty()) {
    this->events.updated();
  }
  return true;
}

placement::LayerRange SyncedState::LayersOf(const std::string& worker) const {
  const auto* server = this->routing_state->Servers().Find(worker);
  return server == nullptr ? placement::LayerRange{} : server->layers;
}

void SyncedState::LogWorker(const ObjectChange& change) const {
  const auto* server = this->routing_state->Servers().Find(change.object.name);
  this->logger->Info(
      "worker.changed",
      {{"worker", change.object.name},
       {"revision", change.object.revision},
       {"deleted", change.deleted},
       {"kept", change.deleted && server != nullptr},
       {"leaving", server != nullptr && server->leaving},
       {"service", server == nullptr ? "" : server->service},
       {"data_centre", server == nullptr ? "" : server->data_centre},
       {"kind", server == nullptr ? "" : server->accelerator_kind},
       {"from", server == nullptr ? 0 : server->layers.from},
       {"to", server == nullptr ? 0 : server->layers.to}});
}

routing::ServerRecord SyncedState::RecordOf(const StoredObject& object) const {
  auto server = platform::DecodeWorker(object.name, object.spec);
  if (server.has_error()) {
    this->logger->Warning(
        "worker.unreadable",
        {{"worker", object.name}, {"reason", server.error().detail}});
    return {object.name, object.revision, std::nullopt};
  }
  return {object.name, object.revision, std::move(server).value()};
}

std::uint64_t SyncedState::Version() const {
  const auto& table = this->routing_state->Table();
  return table == nullptr ? 0 : table->Version();
}

void SyncedState::ApplyConfig(const StoredObject& object,
                              std::string_view from) {
  if (object.name != kConfigName ||
      object.revision <= this->log.ConfigRevision()) {
    return;
  }
  const auto& known = this->routing_state->Table();
  auto config = platform::DecodeConfig(
      object.spec,
      known == nullptr ? routing::RouteTableData{} : known->Data());
  if (config.has_error()) {
    this->logger->Error("config.unreadable",
                        {{"revision", object.revision},
                         {"reason", config.error().detail},
                         {"kept_version", this->Version()}});
    this->metrics->Increment("chervil_config_unreadable_total");
    return;
  }
  this->log.ApplyConfig(object);
  this->ReportUnreadableItems(object.revision, config.value().unreadable);
  const auto table =
      routing::RouteTable::Create(std::move(config.value().data));
  if (this->routing_state->ApplyConfig(table)) {
    this->logger->Info("config.in_force",
                       {{"version", table->Version()},
                        {"revision", object.revision},
                        {"routes", table->Data().routes.size()},
                        {"from", from}});
    this->events.config_changed();
  }
  this->events.updated();
}

void SyncedState::ReportUnreadableItems(
    std::uint64_t revision,
    const std::vector<platform::UnreadableItem>& items) const {
  if (items.empty()) {
    return;
  }
  std::string text;
  for (const platform::UnreadableItem& item : items) {
    if (text.size() >= kMaxItemsText) {
      break;
    }
    text += fmt::format("{}{} ({}{})", text.empty() ? "" : "; ", item.name,
                        item.detail, item.last_kept ? ", last kept" : "");
  }
  this->metrics->Increment("chervil_config_unreadable_items_total", "",
                           items.size());
  this->logger->Error("config.unreadable_items",
                      {{"revision", revision},
                       {"count", items.size()},
                       {"items", text.substr(0, kMaxItemsText)}});
}

}  // namespace chervilpass::fleet
