#include "chervilpass/config/config_delta.h"

#include <cassert>

namespace chervilpass::config {
namespace {

template <class Key, class Value>
MapDelta<Key, Value> MapDifference(const std::map<Key, Value>& older,
                                   const std::map<Key, Value>& newer) {
  MapDelta<Key, Value> delta;
  for (const auto& [key, value] : newer) {
    const auto found = older.find(key);
    if (found == older.end() || found->second != value) {
      delta.changed.emplace(key, value);
    }
  }
  for (const auto& [key, value] : older) {
    if (!newer.contains(key)) {
      delta.removed.push_back(key);
    }
  }
  return delta;
}

template <class Key, class Value>
void ApplyMap(const MapDelta<Key, Value>& delta, std::map<Key, Value>* map) {
  for (const auto& [key, value] : delta.changed) {
    map->insert_or_assign(key, value);
  }
  for (const Key& key : delta.removed) {
    map->erase(key);
  }
}

}  // namespace

ConfigDelta Difference(const FleetConfig& older, const FleetConfig& newer) {
  assert(older.version < newer.version);
  ConfigDelta delta;
  delta.from_version = older.version;
  delta.to_version = newer.version;
  delta.recent_changes = newer.recent_changes;
  delta.pipelines = MapDifference(older.pipelines, newer.pipelines);
  delta.services = MapDifference(older.services, newer.services);
  delta.organisations = MapDifference(older.organisations, newer.organisations);
  delta.backends = MapDifference(older.backends, newer.backends);
  delta.rows = MapDifference(older.rows, newer.rows);
  return delta;
}

std::optional<FleetConfig> ApplyDelta(const FleetConfig& base,
                                      const ConfigDelta& delta) {
  if (base.version != delta.from_version ||
      delta.to_version <= delta.from_version) {
    return std::nullopt;
  }
  FleetConfig config = base;
  config.version = delta.to_version;
  config.recent_changes = delta.recent_changes;
  ApplyMap(delta.pipelines, &config.pipelines);
  ApplyMap(delta.services, &config.services);
  ApplyMap(delta.organisations, &config.organisations);
  ApplyMap(delta.backends, &config.backends);
  ApplyMap(delta.rows, &config.rows);
  return config;
}

}  // namespace chervilpass::config
