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

// What a delta makes of one object: a value, or nothing if it is removed.
template <class Key, class Value>
std::optional<Value> Outcome(const MapDelta<Key, Value>& delta,
                             const Key& key) {
  const auto found = delta.changed.find(key);
  return found == delta.changed.end() ? std::nullopt
                                      : std::optional<Value>(found->second);
}

template <class Value>
std::string OutcomeText(const std::optional<Value>& outcome) {
  return outcome ? ValueText(*outcome) : "removed";
}

template <class Key, class Value>
std::vector<Key> TouchedKeys(const MapDelta<Key, Value>& delta) {
  std::vector<Key> keys = delta.removed;
  for (const auto& [key, value] : delta.changed) {
    keys.push_back(key);
  }
  return keys;
}

template <class Key, class Value>
void FindClashes(std::string_view kind,
                 const MapDelta<Key, Value>& ours,
                 const MapDelta<Key, Value>& theirs,
                 std::string* clashes) {
  const std::vector<Key> their_keys = TouchedKeys(theirs);
  for (const Key& key : TouchedKeys(ours)) {
    if (std::find(their_keys.begin(), their_keys.end(), key) ==
        their_keys.end()) {
      continue;
    }
    const auto our_value = Outcome(ours, key);
    const auto their_value = Outcome(theirs, key);
    if (our_value != their_value) {
      *clashes +=
          fmt::format("{} {}: yours {}; theirs {}\n", kind, KeyText(key),
                      OutcomeText(our_value), OutcomeText(their_value));
    }
  }
}

std::string Clashes(const ConfigDelta& ours, const ConfigDelta& theirs) {
  std::string clashes;
  FindClashes("pipeline", ours.pipelines, theirs.pipelines, &clashes);
  FindClashes("service", ours.services, theirs.services, &clashes);
  FindClashes("organisation", ours.organisations, theirs.organisations,
              &clashes);
  FindClashes("backend", ours.backends, theirs.backends, &clashes);
  FindClashes("row", ours.rows, theirs.rows, &clashes);
  return clashes;
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
    const std::string clashes = Clashes(change, Difference(*base, current));
    if (!clashes.empty()) {
      return MergeConflict{clashes};
    }
  }
  ConfigDelta step = change;
  step.from_version = current.version;
  step.to_version = current.version + 1;
  step.recent_changes = current.recent_changes;
  step.recent_changes.push_back({change_id, step.to_version});
  if (step.recent_changes.size() > kMaxRecentChanges) {
    step.recent_changes.erase(step.recent_changes.begin());
  }
  FleetConfig next = *ApplyDelta(current, step);
  ConfigErrors errors = Validate(next);
  if (!errors.empty()) {
    return errors;
  }
  return next;
}

}  // namespace chervilpass::config
