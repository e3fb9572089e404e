#include "chervilpass/fleet/store_sync.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <map>

#include "chervilpass/core/backoff.h"
#include "platform/config_decoder.h"
#include "platform/worker_decoder.h"

namespace chervilpass::fleet {
namespace {

namespace json = boost::json;
using platform::Changes;
using platform::Listing;
using platform::ObjectChange;
using platform::StoredObject;
using platform::StoreError;
using platform::StoreErrorCode;
using platform::StoreKind;

constexpr std::string_view kConfigName = "main";

std::string_view NameOf(StoreKind kind) {
  return kind == StoreKind::kConfig ? "config" : "workers";
}

}  // namespace

std::string PeerStatePath() {
  return "/peer/state";
}

struct StoreSync::State : std::enable_shared_from_this<StoreSync::State> {
  State(io::Runtime* runtime,
        platform::StoreClient* store,
        serving::World* world,
        MetricsRegistry* metrics,
        const Logger* log,
        StoreSyncSettings settings,
        StoreSyncEvents events,
        std::unique_ptr<io::HttpClient> peers)
      : runtime(runtime),
        store(store),
        world(world),
        metrics(metrics),
        log(log),
        settings(settings),
        events(std::move(events)),
        peers(std::move(peers)),
        random(world->Dice().Next()) {}

  io::Runtime* runtime;
  platform::StoreClient* store;
  serving::World* world;
  MetricsRegistry* metrics;
  const Logger* log;
  StoreSyncSettings settings;
  StoreSyncEvents events;
  std::unique_ptr<io::HttpClient> peers;
  Random random;

  bool stopped = false;
  bool up = false;
  Instant last_answer{};
  std::uint64_t config_revision = 0;
  std::uint64_t workers_revision = 0;  ///< of the store, as listed or watched
  StoredObject config;
  std::map<std::string, StoredObject> workers;  ///< as stored, for peers
  bool pulling = false;

  void Start() {
    const auto self = this->shared_from_this();
    this->runtime->Spawn([self] { self->Follow(StoreKind::kConfig); });
    this->runtime->Spawn([self] { self->Follow(StoreKind::kWorkers); });
    this->runtime->Spawn([self] { self->WatchOverStore(); });
  }

  // ---- the store ----

  // Lists once, then watches; starts anew when the history is gone.
  void Follow(StoreKind kind) {
    Backoff backoff(this->settings.retry_least, this->settings.retry_longest);
    while (!this->stopped) {
      const auto listing = this->store->List(kind);
      if (listing.has_error()) {
        this->NoteFailure(kind, listing.error());
        this->runtime->SleepFor(backoff.Next(&this->random));
        continue;
      }
      backoff.Reset();
      this->NoteAnswer();
      this->TakeListing(kind, listing.value());
      this->WatchFrom(kind, listing.value().revision);
    }
  }

  void WatchFrom(StoreKind kind, std::uint64_t revision) {
    Backoff backoff(this->settings.retry_least, this->settings.retry_longest);
    while (!this->stopped) {
      const auto changes =
          this->store->Watch(kind, revision, this->settings.watch_wait);
      if (changes.has_error()) {
        this->NoteFailure(kind, changes.error());
        if (changes.error().code == StoreErrorCode::kHistoryGone ||
            changes.error().code == StoreErrorCode::kMalformed) {
          return;
        }
        this->runtime->SleepFor(backoff.Next(&this->random));
        continue;
      }
      backoff.Reset();
      this->NoteAnswer();
      this->TakeChanges(kind, changes.value());
      revision = std::max(revision, changes.value().revision);
    }
  }

  void NoteFailure(StoreKind kind, const StoreError& error) {
    this->metrics->Count("chervil_store_sync_failures_total");
    if (this->log->Enabled(LogLevel::kDebug)) {
      this->log->Debug("store.call_failed",
                       {{"what", NameOf(kind)}, {"detail", error.detail}});
    }
  }

  void NoteAnswer() {
    const Instant now = this->runtime->Now();
    this->last_answer = now;
    if (!this->up) {
      this->up = true;
      this->world->Servers().OnStoreRegained(now);
      this->log->Info("store.regained", {});
      this->events.store_changed(true);
    }
  }

  void WatchOverStore() {
    while (!this->stopped) {
      this->runtime->SleepFor(this->settings.peer_period);
      const Instant now = this->runtime->Now();
      if (this->up && now - this->last_answer > this->settings.lost_after) {
        this->up = false;
        this->log->Warning(
            "store.lost",
            {{"silent_ms", ToMilliseconds(now - this->last_answer)}});
        this->events.store_changed(false);
      }
      if (!this->up) {
        if (const auto peer = this->events.find_peer()) {
          this->Pull(*peer);
        }
      }
    }
  }

  // ---- what is taken in ----

  void TakeListing(StoreKind kind, const Listing& listing) {
    if (listing.unreadable > 0) {
      this->log->Warning(
          "store.unreadable_objects",
          {{"what", NameOf(kind)}, {"count", listing.unreadable}});
    }
    if (kind == StoreKind::kConfig) {
      for (const StoredObject& object : listing.objects) {
        this->TakeConfig(object, "store");
      }
      return;
    }
    this->TakeWorkers(listing.objects, listing.revision);
  }

  void TakeChanges(StoreKind kind, const Changes& changes) {
    if (changes.unreadable > 0) {
      this->log->Warning(
          "store.unreadable_objects",
          {{"what", NameOf(kind)}, {"count", changes.unreadable}});
    }
    for (const ObjectChange& change : changes.changes) {
      if (kind == StoreKind::kConfig) {
        if (!change.deleted) {
          this->TakeConfig(change.object, "store");
        }
        continue;
      }
      if (change.deleted) {
        this->workers.erase(change.object.name);
      } else {
        this->workers[change.object.name] = change.object;
      }
      this->world->Servers().ApplyChange(this->RecordOf(change.object),
                                         change.deleted, this->runtime->Now());
      this->LogWorker(change);
    }
    if (kind == StoreKind::kWorkers) {
      this->workers_revision =
          std::max(this->workers_revision, changes.revision);
    }
  }

  void LogWorker(const ObjectChange& change) const {
    const auto* server = this->world->Servers().Find(change.object.name);
    this->log->Info(
        "worker.changed",
        {{"worker", change.object.name},
         {"revision", change.object.revision},
         {"deleted", change.deleted},
         {"leaving", server != nullptr && server->leaving},
         {"service", server == nullptr ? "" : server->service},
         {"data_centre", server == nullptr ? "" : server->data_centre},
         {"kind", server == nullptr ? "" : server->accelerator_kind},
         {"from", server == nullptr ? 0 : server->layers.from},
         {"to", server == nullptr ? 0 : server->layers.to}});
  }

  void TakeWorkers(const std::vector<StoredObject>& objects,
                   std::uint64_t revision) {
    if (revision < this->workers_revision) {
      return;
    }
    std::vector<routing::ServerRecord> records;
    this->workers.clear();
    for (const StoredObject& object : objects) {
      this->workers[object.name] = object;
      records.push_back(this->RecordOf(object));
    }
    this->workers_revision = revision;
    this->world->Servers().ApplyListing(records, revision,
                                        this->runtime->Now());
  }

  routing::ServerRecord RecordOf(const StoredObject& object) const {
    auto server = platform::DecodeWorker(object.name, object.spec);
    if (server.has_error()) {
      this->log->Warning(
          "worker.unreadable",
          {{"worker", object.name}, {"reason", server.error().detail}});
      return {object.name, object.revision, std::nullopt};
    }
    return {object.name, object.revision, std::move(server).value()};
  }

  void TakeConfig(const StoredObject& object, std::string_view from) {
    if (object.name != kConfigName ||
        object.revision <= this->config_revision) {
      return;
    }
    auto parts = platform::DecodeConfig(object.spec);
    if (parts.has_error()) {
      this->log->Error("config.unreadable", {{"revision", object.revision},
                                             {"reason", parts.error().detail}});
      this->metrics->Count("chervil_config_unreadable_total");
      return;
    }
    this->config_revision = object.revision;
    this->config = object;
    const auto table = routing::RouteTable::Create(std::move(parts).value());
    if (this->world->Adopt(table)) {
      this->log->Info("config.in_force",
                      {{"version", table->Version()},
                       {"revision", object.revision},
                       {"routes", table->Parts().routes.size()},
                       {"from", from}});
      this->events.config_changed();
    }
  }

  // ---- peers ----

  void Pull(const io::Endpoint& peer) {
    if (this->pulling) {
      return;
    }
    this->pulling = true;
    io::HttpRequest request;
    request.path = PeerStatePath();
    request.query = fmt::format("config={}&workers={}", this->config_revision,
                                this->workers_revision);
    const auto answer =
        this->peers->Call(peer, request, this->settings.peer_timeout);
    this->pulling = false;
    if (answer.has_error() || answer.value().status != 200) {
      this->log->Info(
          "peer.pull_failed",
          {{"peer", peer.ToText()},
           {"detail",
            answer.has_error()
                ? answer.error().detail
                : "status " + std::to_string(answer.value().status)}});
      return;
    }
    this->metrics->Count("chervil_peer_pulls_total");
    const auto body = platform::ParseJson(answer.value().body);
    if (!body || !body->is_object()) {
      this->log->Warning("peer.unreadable", {{"peer", peer.ToText()}});
      return;
    }
    this->TakePeerState(body->get_object(), peer);
  }

  void TakePeerState(const json::object& body, const io::Endpoint& peer) {
    if (const auto* value = body.if_contains("config")) {
      if (const auto object = platform::DecodeObject(*value)) {
        this->TakeConfig(*object, peer.ToText());
      }
    }
    const auto* list = body.if_contains("workers");
    const auto* revision = body.if_contains("workers_revision");
    if (list == nullptr || !list->is_array() || revision == nullptr ||
        !revision->is_number()) {
      return;
    }
    std::vector<StoredObject> objects;
    for (const json::value& value : list->get_array()) {
      if (auto object = platform::DecodeObject(value)) {
        objects.push_back(std::move(*object));
      }
    }
    this->TakeWorkers(objects, revision->to_number<std::uint64_t>());
  }

  std::string StateSince(std::uint64_t config_known,
                         std::uint64_t workers_known) const {
    json::object body;
    if (this->config_revision > config_known) {
      body["config"] = platform::EncodeObject(this->config);
    }
    if (this->workers_revision > workers_known) {
      json::array list;
      for (const auto& [name, object] : this->workers) {
        list.push_back(platform::EncodeObject(object));
      }
      body["workers"] = std::move(list);
      body["workers_revision"] = this->workers_revision;
    }
    return json::serialize(body);
  }
};

StoreSync::StoreSync(std::shared_ptr<State> state) : state(std::move(state)) {}

StoreSync::~StoreSync() {
  this->state->stopped = true;
}

std::unique_ptr<StoreSync> StoreSync::Create(io::Runtime* runtime,
                                             platform::StoreClient* store,
                                             serving::World* world,
                                             MetricsRegistry* metrics,
                                             const Logger* log,
                                             StoreSyncSettings settings,
                                             StoreSyncEvents events) {
  io::HttpClientSettings http;
  http.connect_timeout = settings.peer_timeout;
  auto state = std::make_shared<State>(runtime, store, world, metrics, log,
                                       settings, std::move(events),
                                       io::HttpClient::Create(runtime, http));
  state->Start();
  return std::unique_ptr<StoreSync>(new StoreSync(std::move(state)));
}

bool StoreSync::StoreUp() const {
  return this->state->up;
}

bool StoreSync::Complete() const {
  return this->state->world->Table() != nullptr &&
         this->state->workers_revision > 0;
}

void StoreSync::PullFrom(const io::Endpoint& peer) {
  this->state->runtime->Spawn(
      [state = this->state, peer] { state->Pull(peer); });
}

std::string StoreSync::StateSince(std::uint64_t config_revision,
                                  std::uint64_t workers_revision) const {
  return this->state->StateSince(config_revision, workers_revision);
}

}  // namespace chervilpass::fleet
