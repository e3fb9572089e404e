#include "chervilpass/fleet/suspect_sync.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <charconv>
#include <map>
#include <set>
#include <utility>

#include "platform/json_fields.h"

namespace chervilpass::fleet {
namespace {

namespace json = boost::json;
using platform::StoredObject;
using platform::StoreErrorCode;
using platform::StoreKind;

// A stored record of one request.
struct SuspectRecord {
  std::uint64_t fingerprint = 0;
  std::uint32_t strikes = 0;
  WallTime at;  // of the latest strike
};

std::string NameOf(std::uint64_t fingerprint) {
  return fmt::format("{:016x}", fingerprint);
}

std::optional<std::uint64_t> FingerprintOf(const std::string& name) {
  std::uint64_t fingerprint = 0;
  const char* end = name.data() + name.size();
  const auto [parsed_to, error] =
      std::from_chars(name.data(), end, fingerprint, 16);
  return error == std::errc() && parsed_to == end
             ? std::optional<std::uint64_t>(fingerprint)
             : std::nullopt;
}

json::value Encode(const SuspectRecord& record) {
  return json::object{{"strikes", record.strikes},
                      {"at_ms", record.at.milliseconds}};
}

std::optional<SuspectRecord> Decode(const StoredObject& object) {
  const auto fingerprint = FingerprintOf(object.name);
  platform::JsonFields fields(object.spec, object.name);
  SuspectRecord record;
  record.strikes = static_cast<std::uint32_t>(
      std::min<std::uint64_t>(fields.Integer("strikes"), UINT32_MAX));
  record.at.milliseconds = static_cast<std::int64_t>(fields.Integer("at_ms"));
  if (!fingerprint || fields.FirstError()) {
    return std::nullopt;
  }
  record.fingerprint = *fingerprint;
  return record;
}

}  // namespace

struct SuspectSync::State : std::enable_shared_from_this<SuspectSync::State> {
  // A record as last read or written.
  struct Known {
    SuspectRecord record;
    std::uint64_t revision = 0;
  };

  State(io::Runtime* runtime,
        platform::StoreClient* store,
        serving::RoutingState* routing_state,
        const Logger* log,
        SuspectSyncSettings settings,
        std::function<bool()> is_relay)
      : runtime(runtime),
        store(store),
        routing_state(routing_state),
        log(log),
        settings(settings),
        is_relay(std::move(is_relay)) {}

  void Start() {
    this->runtime->Spawn(
        [self = this->shared_from_this()] { self->ListAndWatch(); });
  }

  // ---- reading ----

  void ListAndWatch() {
    while (!this->stopped) {
      const auto listing = this->store->List(StoreKind::kSuspects);
      if (listing.has_error()) {
        this->runtime->SleepFor(this->settings.retry_delay);
        continue;
      }
      this->ApplyListing(listing.value());
      this->routing_state->SetStrikesLoaded();
      this->AwaitRelayRole();
      this->WatchFrom(listing.value().revision);
    }
  }

  // Waits until this VM is a relay, for a list period at most.
  void AwaitRelayRole() {
    const Instant until = this->runtime->Now() + this->settings.list_period;
    while (!this->is_relay() && !this->stopped &&
           this->runtime->Now() < until) {
      this->runtime->SleepFor(this->settings.relay_check_interval);
    }
  }

  // Returns when the changes after `revision` are lost, or another VM is the
  // relay.
  void WatchFrom(std::uint64_t revision) {
    while (!this->stopped && this->is_relay()) {
      const auto changes = this->store->Watch(StoreKind::kSuspects, revision,
                                              this->settings.watch_wait);
      if (changes.has_error()) {
        this->runtime->SleepFor(this->settings.retry_delay);
        if (changes.error().code == StoreErrorCode::kRevisionCompacted ||
            changes.error().code == StoreErrorCode::kTooLarge) {
          return;
        }
        continue;
      }
      revision = changes.value().revision;
      for (const platform::ObjectChange& change : changes.value().changes) {
        if (change.deleted) {
          this->ApplyRemoval(change.object.name);
        } else {
          this->ApplyObject(change.object);
        }
      }
      this->RemoveExpired();
    }
  }

  void ApplyListing(const platform::Listing& listing) {
    std::set<std::string> listed;
    for (const StoredObject& object : listing.objects) {
      listed.insert(object.name);
      this->ApplyObject(object);
    }
    std::vector<std::string> missing;
    for (const auto& [name, known] : this->known) {
      if (!listed.contains(name)) {
        missing.push_back(name);
      }
    }
    for (const std::string& name : missing) {
      this->ApplyRemoval(name);
    }
  }

  void ApplyObject(const StoredObject& object) {
    const auto record = Decode(object);
    if (!record) {
      this->log->Warning("suspect.unreadable", {{"name", object.name}});
      return;
    }
    Known& known = this->known[object.name];
    if (object.revision < known.revision) {
      return;
    }
    known = {*record, object.revision};
    if (this->routing_state->Strikes().Restore(record->fingerprint,
                                               record->strikes, record->at,
                                               this->runtime->WallNow())) {
      this->log->Info("strike.restored", {{"fingerprint", object.name},
                                          {"strikes", record->strikes},
                                          {"at_ms", record->at.milliseconds}});
    }
  }

  // Records are removed when the request has completed or its strikes have
  // expired.
  void ApplyRemoval(const std::string& name) {
    const auto found = this->known.find(name);
    if (found == this->known.end()) {
      return;
    }
    const std::uint64_t fingerprint = found->second.record.fingerprint;
    this->known.erase(found);
    if (this->routing_state->Strikes().Clear(fingerprint)) {
      this->log->Info("strike.cleared", {{"fingerprint", name},
                                         {"reason", "removed from the store"}});
    }
  }

  void RemoveExpired() {
    const std::int64_t oldest = this->runtime->WallNow().milliseconds -
                                ToMilliseconds(this->settings.record_lifetime);
    std::vector<std::pair<std::string, std::uint64_t>> expired;
    for (const auto& [name, known] : this->known) {
      if (known.record.at.milliseconds < oldest) {
        expired.emplace_back(name, known.revision);
      }
    }
    for (const auto& [name, revision] : expired) {
      // A failed removal is repeated after the next watch.
      (void)this->store->Remove(StoreKind::kSuspects, name, revision);
    }
  }

  // ---- writing ----

  void Enqueue(std::uint64_t fingerprint) {
    if (this->pending.size() >= this->settings.max_pending_writes &&
        !this->pending.contains(fingerprint)) {
      this->log->Warning("suspect.write_dropped",
                         {{"fingerprint", NameOf(fingerprint)},
                          {"pending", this->pending.size()}});
      return;
    }
    this->pending.insert(fingerprint);
    if (!std::exchange(this->writing, true)) {
      this->runtime->Spawn(
          [self = this->shared_from_this()] { self->WritePending(); });
    }
  }

  void WritePending() {
    while (!this->pending.empty() && !this->stopped) {
      const std::uint64_t fingerprint = *this->pending.begin();
      this->pending.erase(this->pending.begin());
      if (!this->Store(fingerprint)) {
        this->Enqueue(fingerprint);
        this->runtime->SleepFor(this->settings.retry_delay);
      }
    }
    this->writing = false;
  }

  // Brings the stored record up to date; false if that must be repeated.
  bool Store(std::uint64_t fingerprint) {
    const WallTime now = this->runtime->WallNow();
    const std::string name = NameOf(fingerprint);
    const std::uint32_t strikes =
        this->routing_state->Strikes().Count(fingerprint, now);
    const auto found = this->known.find(name);
    if (strikes == 0) {
      return found == this->known.end() ||
             this->IsFinal(this->store->Remove(StoreKind::kSuspects, name,
                                               found->second.revision));
    }
    if (strikes < this->settings.min_strikes ||
        (found != this->known.end() &&
         found->second.record.strikes >= strikes)) {
      return true;
    }
    const json::value spec = Encode({fingerprint, strikes, now});
    auto written = found == this->known.end()
                       ? this->store->Create(StoreKind::kSuspects, name, spec)
                       : this->store->Replace(StoreKind::kSuspects, name,
                                              found->second.revision, spec);
    if (written.has_value()) {
      this->ApplyObject(written.value());
      return true;
    }
    if (written.error().code != StoreErrorCode::kConflict) {
      this->log->Info(
          "suspect.write_failed",
          {{"fingerprint", name}, {"detail", written.error().detail}});
      return false;
    }
    if (written.error().current) {
      this->ApplyObject(*written.error().current);
    }
    return false;
  }

  // A record that another VM has changed since or removed stays as it is.
  static bool IsFinal(const Result<void, platform::StoreError>& removed) {
    return removed.has_value() ||
           removed.error().code == StoreErrorCode::kConflict ||
           removed.error().code == StoreErrorCode::kNotFound;
  }

  io::Runtime* runtime;
  platform::StoreClient* store;
  serving::RoutingState* routing_state;
  const Logger* log;
  SuspectSyncSettings settings;
  std::function<bool()> is_relay;
  std::map<std::string, Known> known;  // by name
  std::set<std::uint64_t> pending;     // fingerprints to write or remove
  bool writing = false;                // a fiber writes `pending`
  bool stopped = false;
};

SuspectSync::SuspectSync(std::shared_ptr<State> state)
    : state(std::move(state)) {}

SuspectSync::~SuspectSync() {
  this->state->stopped = true;
}

std::unique_ptr<SuspectSync> SuspectSync::Create(
    io::Runtime* runtime,
    platform::StoreClient* store,
    serving::RoutingState* routing_state,
    const Logger* log,
    SuspectSyncSettings settings,
    std::function<bool()> is_relay) {
  auto state = std::make_shared<State>(runtime, store, routing_state, log,
                                       settings, std::move(is_relay));
  state->Start();
  return std::unique_ptr<SuspectSync>(new SuspectSync(std::move(state)));
}

void SuspectSync::OnStrike(std::uint64_t fingerprint) {
  this->state->Enqueue(fingerprint);
}

void SuspectSync::OnCleared(std::uint64_t fingerprint) {
  this->state->Enqueue(fingerprint);
}

}  // namespace chervilpass::fleet
