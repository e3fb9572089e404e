#include "chervilpass/config/change_merge.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>

#include "chervilpass/config/config_json.h"

namespace chervilpass::config {
namespace {

std::string KeyText(const std::string& key) {
  return key;
}

std::string KeyText(const RowKey& key) {
  return key.organisation + "," + key.target;
}

std::string ValueText(const TableRow& row) {
  return fmt::format(
      "weight={} concurrency_limit={} rate_limit={} priority={} "
      "deadline_ms={}",
      row.weight, row.concurrency_limit, row.rate_limit, row.priority,
      row.deadline_ms);
}

std::string ValueText(const Pipeline& value) {
  return fmt::format("layers={} token_limit={} cell_replicas={}", value.layers,
                     value.token_limit, value.cell_replicas);
}

std::string ValueText(const Service& value) {
  return fmt::format("non_repeatable={}", fmt::join(value.non_repeatable, "+"));
}

std::string ValueText(const Organisation& value) {
  return fmt::format("{} keys", value.key_hashes.size());
}

std::string ValueText(const Backend& value) {
  return fmt::format("address={} draining={}", value.address.ToText(),
                     value.draining);
}

// The value that a delta sets for one object, or nothing if it removes it.
template <class Key, class Value>
std::optional<Value> ChangedValue(const MapDelta<Key, Value>& delta,
                                  const Key& key) {
  const auto found = delta.changed.find(key);
  return found == delta.changed.end() ? std::nullopt
                                      : std::optional<Value>(found->second);
}

template <class Value>
std::string ChangedValueText(const std::optional<Value>& value) {
  return value ? ValueText(*value) : "removed";
}

template <class Key, class Value>
std::vector<Key> AffectedKeys(const MapDelta<Key, Value>& delta) {
  std::vector<Key> keys = delta.removed;
  for (const auto& [key, value] : delta.changed) {
    keys.push_back(key);
  }
  return keys;
}

template <class Key, class Value>
void FindConflicts(std::string_view kind,
                   const MapDelta<Key, Value>& ours,
                   const MapDelta<Key, Value>& theirs,
                   std::string* conflicts) {
  const std::vector<Key> their_keys = AffectedKeys(theirs);
  for (const Key& key : AffectedKeys(ours)) {
    if (std::find(their_keys.begin(), their_keys.end(), key) ==
        their_keys.end()) {
      continue;
    }
    const auto our_value = ChangedValue(ours, key);
    const auto their_value = ChangedValue(theirs, key);
    if (our_value != their_value) {
      *conflicts += fmt::format("{} {}: yours {}; theirs {}\n", kind,
                                KeyText(key), ChangedValueText(our_value),
                                ChangedValueText(their_value));
    }
  }
}

std::string Conflicts(const ConfigDelta& ours, const ConfigDelta& theirs) {
  std::string conflicts;
  FindConflicts("pipeline", ours.pipelines, theirs.pipelines, &conflicts);
  FindConflicts("service", ours.services, theirs.services, &conflicts);
  FindConflicts("organisation", ours.organisations, theirs.organisations,
                &conflicts);
  FindConflicts("backend", ours.backends, theirs.backends, &conflicts);
  FindConflicts("row", ours.rows, theirs.rows, &conflicts);
  return conflicts;
}

}  // namespace

std::uint64_t VersionOfChange(const FleetConfig& config,
                              const std::string& change_id) {
  for (const AppliedChange& change : config.recent_changes) {
    if (change.id == change_id) {
      return change.version;
    }
  }
  return 0;
}

MergeResult MergeChange(const FleetConfig& current,
                        const FleetConfig* base,
                        const ConfigDelta& change,
                        const std::string& change_id) {
  if (change.from_version != current.version) {
    if (base == nullptr || base->version != change.from_version ||
        base->version > current.version) {
      return BaseUnknown{};
    }
    const std::string conflicts = Conflicts(change, Difference(*base, current));
    if (!conflicts.empty()) {
      return MergeConflict{conflicts};
    }
  }
  ConfigDelta rebased = change;
  rebased.from_version = current.version;
  rebased.to_version = current.version + 1;
  rebased.recent_changes = current.recent_changes;
  rebased.recent_changes.push_back({change_id, rebased.to_version});
  if (rebased.recent_changes.size() > kMaxRecentChanges) {
    rebased.recent_changes.erase(rebased.recent_changes.begin());
  }
  FleetConfig next = *ApplyDelta(current, rebased);
  ConfigErrors errors = Validate(next);
  if (!errors.empty()) {
    return errors;
  }
  return next;
}

}  // namespace chervilpass::config
