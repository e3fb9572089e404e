#include "chervilpass/config/fleet_yaml.h"

#include "chervilpass/core/hash.h"
#include "chervilpass/core/text.h"

namespace chervilpass::config {
namespace {

constexpr std::int64_t kMaxCount = 1000000000;

std::uint32_t Count(SettingsReader& reader,
                    std::string_view field,
                    std::int64_t low,
                    std::optional<std::int64_t> fallback = std::nullopt) {
  return static_cast<std::uint32_t>(
      reader.Integer(field, {low, kMaxCount}, fallback));
}

// Adds a named object; a duplicate name is an error.
template <class Value>
void AddNamed(SettingsReader& reader,
              std::string_view field,
              const std::string& name,
              Value value,
              std::map<std::string, Value>* map) {
  if (!map->emplace(name, std::move(value)).second) {
    reader.AddError(field, "'" + name + "' is given twice");
  }
}

void ReadBackends(SettingsReader& reader, FleetConfig* fleet) {
  for (SettingsReader& item : reader.List("backends")) {
    Backend backend;
    backend.id = item.Text("id");
    backend.address = item.Address("address");
    backend.data_centre = item.Text("data_centre");
    backend.region = item.Text("region");
    backend.draining = item.Bool("draining", false);
    const std::string service = item.Text("service", "");
    if (!service.empty()) {
      backend.role = ServiceRole{service};
    } else {
      StageRole stage;
      stage.pipeline = item.Text("pipeline");
      stage.first_layer = Count(item, "first_layer", 0);
      stage.last_layer = Count(item, "last_layer", 0);
      stage.accelerator = item.Text("accelerator", "any");
      stage.session_limit = Count(item, "session_limit", 1, 64);
      stage.checks_fencing = item.Bool("checks_fencing", true);
      backend.role = stage;
    }
    AddNamed(item, "id", backend.id, backend, &fleet->backends);
  }
}

void ReadOrganisations(SettingsReader& reader, FleetConfig* fleet) {
  for (SettingsReader& item : reader.List("organisations")) {
    Organisation organisation;
    organisation.name = item.Text("name");
    const std::string key = item.Text("key", "");
    if (!key.empty()) {
      organisation.key_hashes.push_back(Sha256Hex(key));
    }
    const std::string hash = item.Text("key_hash", "");
    if (!hash.empty()) {
      organisation.key_hashes.push_back(hash);
    }
    AddNamed(item, "name", organisation.name, organisation,
             &fleet->organisations);
  }
}

void ReadRows(SettingsReader& reader, FleetConfig* fleet) {
  for (SettingsReader& item : reader.List("rows")) {
    const RowKey key{item.Text("organisation"), item.Text("target")};
    TableRow row;
    row.weight = Count(item, "weight", 1, 1);
    row.concurrency_limit = Count(item, "concurrency_limit", 0, 0);
    row.rate_limit = Count(item, "rate_limit", 0, 0);
    row.priority = Count(item, "priority", 0, 0);
    row.deadline_ms = Count(item, "deadline_ms", 0, 0);
    if (!fleet->rows.emplace(key, row).second) {
      item.AddError("organisation", "the row is given twice");
    }
  }
}

}  // namespace

FleetConfig ReadFleet(SettingsReader& reader) {
  FleetConfig fleet;
  for (SettingsReader& item : reader.List("pipelines")) {
    const Pipeline pipeline{item.Text("name"), Count(item, "layers", 1),
                            Count(item, "token_limit", 1, 4096),
                            Count(item, "cell_replicas", 1, 2)};
    AddNamed(item, "name", pipeline.name, pipeline, &fleet.pipelines);
  }
  for (SettingsReader& item : reader.List("services")) {
    Service service;
    service.name = item.Text("name");
    for (const std::string& method :
         SplitText(item.Text("non_repeatable", "POST PUT PATCH DELETE"), ' ')) {
      service.non_repeatable.push_back(method);
    }
    AddNamed(item, "name", service.name, service, &fleet.services);
  }
  ReadOrganisations(reader, &fleet);
  ReadBackends(reader, &fleet);
  ReadRows(reader, &fleet);
  return fleet;
}

}  // namespace chervilpass::config
