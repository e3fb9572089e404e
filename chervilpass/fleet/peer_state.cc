#include "chervilpass/fleet/peer_state.h"

#include <algorithm>
#include <boost/json.hpp>

#include "platform/json_fields.h"

namespace chervilpass::fleet {
namespace {

namespace json = boost::json;
using platform::ObjectChange;
using platform::StoredObject;

// From the root of a state to the specs, which other writers may have written.
constexpr int kSpecLevel = 4;
constexpr std::uint64_t kMaxDurationMs = 60000;

Duration DurationOf(std::uint64_t ms) {
  return milliseconds(std::min(ms, kMaxDurationMs));
}

}  // namespace

std::string EncodePeerState(const PeerState& state) {
  json::object body;
  if (state.config) {
    body["config"] = platform::EncodeObject(*state.config);
  }
  json::array list;
  for (const ObjectChange& change : state.workers) {
    json::object item;
    item["object"] = platform::EncodeObject(change.object);
    item["deleted"] = change.deleted;
    list.push_back(std::move(item));
  }
  body["workers"] = std::move(list);
  body["workers_revision"] = state.workers_revision;
  body["whole"] = state.is_full;
  body["lapse_grace_ms"] = ToMilliseconds(state.expiry_grace);
  if (state.store_reach) {
    body["store_silent_ms"] = ToMilliseconds(state.store_reach->silent);
    body["store_reached_ms"] = ToMilliseconds(state.store_reach->reached);
  }
  body["config_checked"] = state.config_checked;
  return json::serialize(body);
}

std::optional<PeerState> DecodePeerState(const std::string& text) {
  const auto body = platform::ParseJsonOfSeveralWriters(text, kSpecLevel);
  if (!body) {
    return std::nullopt;
  }
  platform::JsonFields fields(*body, "state");
  PeerState state;
  state.workers_revision = fields.Integer("workers_revision");
  state.is_full = fields.BoolOr("whole", false);
  state.expiry_grace = DurationOf(fields.Integer("lapse_grace_ms"));
  if (fields.Find("store_silent_ms") != nullptr) {
    state.store_reach =
        StoreReach{DurationOf(fields.Integer("store_silent_ms")),
                   DurationOf(fields.Integer("store_reached_ms"))};
  }
  state.config_checked = fields.IntegerOr("config_checked", 0);
  if (const auto* config = fields.Find("config")) {
    state.config = platform::DecodeObject(*config);
  }
  for (const json::value* item : fields.List("workers")) {
    platform::JsonFields entry(*item, "workers");
    const auto* value = entry.Find("object");
    auto object =
        value == nullptr ? std::nullopt : platform::DecodeObject(*value);
    if (!object) {
      fields.AddError("workers", "not an object of the store");
      break;
    }
    state.workers.push_back(
        {std::move(*object), entry.BoolOr("deleted", false)});
  }
  return fields.FirstError() ? std::nullopt : std::optional<PeerState>(state);
}

bool StateLog::ApplyConfig(const StoredObject& object) {
  if (object.revision <= this->config.revision) {
    return false;
  }
  this->config = object;
  return true;
}

bool StateLog::ApplyListing(const std::vector<StoredObject>& objects,
                            std::uint64_t revision) {
  if (revision < this->workers_revision) {
    return false;
  }
  this->workers.clear();
  for (const StoredObject& object : objects) {
    this->workers[object.name] = object;
  }
  this->workers_revision = revision;
  this->last_change_revision = revision;
  // The individual changes before the listing are not known.
  this->changes.clear();
  this->complete_after = revision;
  return true;
}

std::optional<std::vector<ObjectChange>> StateLog::ApplyChanges(
    const std::vector<ObjectChange>& received,
    std::uint64_t since,
    std::uint64_t revision) {
  if (since > this->workers_revision) {
    return std::nullopt;
  }
  std::vector<ObjectChange> new_changes;
  for (const ObjectChange& change : received) {
    const auto known = this->workers.find(change.object.name);
    const bool newer = known == this->workers.end()
                           ? !change.deleted
                           : change.object.revision >= known->second.revision &&
                                 (change.deleted || change.object.revision >
                                                        known->second.revision);
    if (!newer || revision <= this->workers_revision) {
      continue;
    }
    if (change.deleted) {
      this->workers.erase(change.object.name);
    } else {
      this->workers[change.object.name] = change.object;
    }
    this->AppendChange(revision, change);
    new_changes.push_back(change);
  }
  this->workers_revision = std::max(this->workers_revision, revision);
  return new_changes;
}

void StateLog::AppendChange(std::uint64_t revision,
                            const ObjectChange& change) {
  this->changes.push_back({revision, change});
  this->last_change_revision = revision;
  while (this->changes.size() > this->max_kept_changes) {
    this->complete_after = this->changes.front().revision;
    this->changes.pop_front();
  }
}

bool StateLog::HasUpdates(std::uint64_t known_config_revision,
                          std::uint64_t known_workers_revision) const {
  return this->config.revision > known_config_revision ||
         this->last_change_revision > known_workers_revision;
}

PeerState StateLog::Since(std::uint64_t known_config_revision,
                          std::uint64_t known_workers_revision) const {
  PeerState state;
  state.workers_revision = this->workers_revision;
  if (this->config.revision > known_config_revision) {
    state.config = this->config;
  }
  if (known_workers_revision < this->complete_after) {
    state.is_full = true;
    for (const auto& [name, object] : this->workers) {
      state.workers.push_back({object, false});
    }
    return state;
  }
  for (const LoggedChange& logged : this->changes) {
    if (logged.revision > known_workers_revision) {
      state.workers.push_back(logged.change);
    }
  }
  return state;
}

}  // namespace chervilpass::fleet
