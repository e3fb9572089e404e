#include "chervilpass/fleet/store_sync.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <mutex>

#include "chervilpass/core/backoff.h"
#include "chervilpass/fleet/peer_state.h"
#include "platform/config_decoder.h"
#include "platform/worker_decoder.h"

namespace chervilpass::fleet {
namespace {

using platform::Changes;
using platform::Listing;
using platform::ObjectChange;
using platform::StoredObject;
using platform::StoreError;
using platform::StoreErrorCode;
using platform::StoreKind;

constexpr std::string_view kConfigName = "main";
// A follower may ask a relay to wait no longer than this.
constexpr std::uint64_t kLongestWaitMs = 10000;

std::string_view NameOf(StoreKind kind) {
  return kind == StoreKind::kConfig ? "config" : "workers";
}

std::uint64_t NumberOf(const io::HttpRequest& request, std::string_view name) {
  const std::string text = request.QueryParameter(name).value_or("0");
  return std::strtoull(text.c_str(), nullptr, 10);
}

}  // namespace

std::string PeerStatePath() {
  return "/peer/state";
}

struct StoreSync::State : std::enable_shared_from_this<StoreSync::State> {
  State(io::Runtime* runtime,
        platform::StoreClient* store,
        serving::RoutingState* world,
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
        random(world->Rng().Next()),
        known(settings.max_kept_changes) {}

  void Start() {
    const Instant now = this->runtime->Now();
    this->last_relayed = now;
    this->last_answer = now;
    this->last_needed = now - this->settings.relay_handover_time;
    const auto self = this->shared_from_this();
    this->runtime->Spawn([self] { self->Follow(StoreKind::kConfig); });
    this->runtime->Spawn([self] { self->Follow(StoreKind::kWorkers); });
    this->runtime->Spawn([self] { self->FollowRelay(0); });
    this->runtime->Spawn([self] { self->FollowRelay(1); });
    this->runtime->Spawn([self] { self->ChooseMode(); });
  }

  // ---- who watches ----

  void ChooseMode() {
    for (; !this->stopped;
         this->runtime->SleepFor(this->settings.relay_check_interval)) {
      const Instant now = this->runtime->Now();
      const bool deserted =
          !this->watching &&
          now - this->last_relayed > this->settings.relay_lost_timeout;
      if (this->events.is_relay() || deserted) {
        this->last_needed = now;
      }
      const bool watch =
          now - this->last_needed < this->settings.relay_handover_time;
      if (watch != this->watching) {
        this->watching = watch;
        this->last_answer = now;
        this->last_relayed = now;
        this->log->Info("store.watch", {{"watching", watch}});
      }
      this->LookAtStore(now);
    }
  }

  void LookAtStore(Instant now) {
    const bool lost =
        now - this->last_answer > this->settings.store_lost_timeout ||
        !this->watching;
    if (!this->up || !lost) {
      return;
    }
    this->up = false;
    if (this->watching) {
      this->lost_store = true;
      this->log->Warning(
          "store.lost",
          {{"silent_ms", ToMilliseconds(now - this->last_answer)}});
    }
    this->events.store_changed(false);
  }

  void NoteAnswer() {
    const Instant now = this->runtime->Now();
    this->troubled = false;
    this->last_answer = now;
    if (this->up || !this->watching) {
      return;
    }
    this->up = true;
    if (this->lost_store) {
      this->lost_store = false;
      this->world->Servers().OnStoreRegained(now);
    }
    this->log->Info("store.regained", {});
    this->events.store_changed(true);
  }

  // ---- the store ----

  // Lists once, so that a fresh VM knows what to do before it has found its
  // peers. Then watches while it is this VM's turn, and starts anew when the
  // history is gone.
  void Follow(StoreKind kind) {
    Backoff backoff(this->settings.min_retry_delay,
                    this->settings.max_retry_delay);
    bool listed = false;
    while (!this->stopped) {
      if (!this->watching && (listed || this->Complete())) {
        this->runtime->SleepFor(this->settings.relay_check_interval);
        continue;
      }
      const auto listing = this->store->List(kind);
      if (listing.has_error()) {
        this->NoteFailure(kind, listing.error());
        this->runtime->SleepFor(backoff.Next(&this->random));
        continue;
      }
      backoff.Reset();
      listed = true;
      this->NoteAnswer();
      this->ApplyListing(kind, listing.value());
      this->WatchFrom(kind, listing.value().revision);
    }
  }

  void WatchFrom(StoreKind kind, std::uint64_t revision) {
    Backoff backoff(this->settings.min_retry_delay,
                    this->settings.max_retry_delay);
    while (!this->stopped && this->watching) {
      const auto changes = this->store->Watch(
          kind, revision,
          kind == StoreKind::kConfig ? this->settings.config_watch_wait
                                     : this->settings.workers_watch_wait);
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
      this->ApplyChanges(kind, changes.value(), revision);
      revision = std::max(revision, changes.value().revision);
      if (kind == StoreKind::kWorkers && !changes.value().changes.empty()) {
        this->runtime->SleepFor(this->settings.worker_batch_delay);
      }
    }
  }

  bool Complete() const {
    return this->world->Table() != nullptr && this->known.WorkersRevision() > 0;
  }

  void NoteFailure(StoreKind kind, const StoreError& error) {
    if (!this->troubled) {
      this->troubled = true;
      this->changed.notify_all();
    }
    this->metrics->Count("chervil_store_sync_failures_total");
    if (this->log->Enabled(LogLevel::kDebug)) {
      this->log->Debug("store.call_failed",
                       {{"what", NameOf(kind)}, {"detail", error.detail}});
    }
  }

  void NoteUnreadable(StoreKind kind, std::size_t count) const {
    if (count > 0) {
      this->log->Warning("store.unreadable_objects",
                         {{"what", NameOf(kind)}, {"count", count}});
    }
  }

  void ApplyListing(StoreKind kind, const Listing& listing) {
    this->NoteUnreadable(kind, listing.unreadable);
    if (kind == StoreKind::kConfig) {
      for (const StoredObject& object : listing.objects) {
        this->ApplyConfig(object, "store");
      }
      return;
    }
    this->TakeAllWorkers(listing.objects, listing.revision);
  }

  void ApplyChanges(StoreKind kind,
                    const Changes& changes,
                    std::uint64_t since) {
    this->NoteUnreadable(kind, changes.unreadable);
    if (kind == StoreKind::kConfig) {
      for (const ObjectChange& change : changes.changes) {
        if (!change.deleted) {
          this->ApplyConfig(change.object, "store");
        }
      }
      return;
    }
    this->TakeWorkerChanges(changes.changes, since, changes.revision);
  }

  // ---- what is taken in ----

  void TakeAllWorkers(const std::vector<StoredObject>& objects,
                      std::uint64_t revision) {
    if (!this->known.ApplyListing(objects, revision)) {
      return;
    }
    std::vector<routing::ServerRecord> records;
    for (const StoredObject& object : objects) {
      records.push_back(this->RecordOf(object));
    }
    this->world->Servers().ApplyListing(records, revision,
                                        this->runtime->Now());
    this->log->Info("workers.listed",
                    {{"count", records.size()}, {"revision", revision}});
    this->TellFollowers();
  }

  // False if changes before these are missing.
  bool TakeWorkerChanges(const std::vector<ObjectChange>& changes,
                         std::uint64_t since,
                         std::uint64_t revision) {
    const auto news = this->known.ApplyChanges(changes, since, revision);
    if (!news) {
      return false;
    }
    for (const ObjectChange& change : *news) {
      const auto before = this->LayersOf(change.object.name);
      this->world->Servers().ApplyChange(this->RecordOf(change.object),
                                         change.deleted, this->runtime->Now());
      if (this->LayersOf(change.object.name) != before) {
        this->world->OnLayersChanged(change.object.name);
      }
      this->LogWorker(change);
    }
    if (!news->empty()) {
      this->TellFollowers();
    }
    return true;
  }

  placement::LayerRange LayersOf(const std::string& worker) const {
    const auto* server = this->world->Servers().Find(worker);
    return server == nullptr ? placement::LayerRange{} : server->layers;
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

  void ApplyConfig(const StoredObject& object, std::string_view from) {
    if (object.name != kConfigName ||
        object.revision <= this->known.ConfigRevision()) {
      return;
    }
    auto parts = platform::DecodeConfig(object.spec);
    if (parts.has_error()) {
      this->log->Error("config.unreadable", {{"revision", object.revision},
                                             {"reason", parts.error().detail}});
      this->metrics->Count("chervil_config_unreadable_total");
      return;
    }
    this->known.ApplyConfig(object);
    const auto table = routing::RouteTable::Create(std::move(parts).value());
    if (this->world->ApplyConfig(table)) {
      this->log->Info("config.in_force",
                      {{"version", table->Version()},
                       {"revision", object.revision},
                       {"routes", table->Data().routes.size()},
                       {"from", from}});
      this->events.config_changed();
    }
    this->TellFollowers();
  }

  // ---- as a follower ----

  // Each of two fibers keeps asking a relay of its own, so that one that dies
  // in silence delays nothing.
  void FollowRelay(std::size_t slot) {
    Backoff backoff(this->settings.min_retry_delay,
                    this->settings.max_retry_delay);
    while (!this->stopped) {
      const auto relays = this->events.relays();
      const bool follow =
          slot < relays.size() && (!this->watching || !this->up);
      if (!follow || !this->AskRelay(relays[slot])) {
        this->runtime->SleepFor(follow ? backoff.Next(&this->random)
                                       : this->settings.relay_check_interval);
        continue;
      }
      backoff.Reset();
    }
  }

  bool AskRelay(const io::Endpoint& relay) {
    io::HttpRequest request;
    request.path = PeerStatePath();
    request.query =
        fmt::format("config={}&workers={}&wait_ms={}",
                    this->known.ConfigRevision(), this->known.WorkersRevision(),
                    ToMilliseconds(this->settings.relay_wait));
    const std::uint64_t asked_since = this->known.WorkersRevision();
    const auto answer = this->peers->Call(
        relay, request, this->settings.relay_wait + this->settings.relay_slack);
    if (answer.has_error() || answer.value().status != 200) {
      this->metrics->Count("chervil_relay_failures_total");
      return false;
    }
    const auto told = DecodePeerState(answer.value().body);
    if (!told) {
      this->log->Warning("relay.unreadable", {{"relay", relay.ToText()}});
      return false;
    }
    const Instant now = this->runtime->Now();
    this->last_relayed = now;
    if (told->expiry_grace > Duration::zero()) {
      this->world->Servers().ExtendGrace(now + told->expiry_grace);
    }
    if (told->config) {
      this->ApplyConfig(*told->config, relay.ToText());
    }
    if (told->is_full) {
      std::vector<StoredObject> objects;
      for (const ObjectChange& change : told->workers) {
        objects.push_back(change.object);
      }
      this->TakeAllWorkers(objects, told->workers_revision);
      return true;
    }
    return this->TakeWorkerChanges(told->workers, asked_since,
                                   told->workers_revision);
  }

  void FetchConfig(const io::Endpoint& peer) {
    if (this->fetching) {
      return;
    }
    this->fetching = true;
    io::HttpRequest request;
    request.path = PeerStatePath();
    request.query =
        fmt::format("only=config&config={}", this->known.ConfigRevision());
    const auto answer =
        this->peers->Call(peer, request, this->settings.relay_slack);
    this->fetching = false;
    const auto told = answer.has_error() || answer.value().status != 200
                          ? std::nullopt
                          : DecodePeerState(answer.value().body);
    if (told && told->config) {
      this->ApplyConfig(*told->config, peer.ToText());
    }
  }

  // ---- as a relay ----

  // What this VM has heard may be behind while its calls to the store fail.
  bool CanRelay() const { return this->up && !this->troubled; }

  void TellFollowers() { this->changed.notify_all(); }

  io::HttpResponse AnswerFollower(const io::HttpRequest& request) {
    const std::uint64_t config_known = NumberOf(request, "config");
    io::HttpResponse answer;
    answer.headers.Add("Content-Type", "application/json");
    if (request.QueryParameter("only") == "config") {
      PeerState state = this->known.Since(config_known, UINT64_MAX);
      state.workers.clear();
      state.is_full = false;
      answer.body = EncodePeerState(state);
      return answer;
    }
    if (!this->CanRelay()) {
      answer.status = 503;  // the follower asks someone else
      return answer;
    }
    const std::uint64_t workers_known = NumberOf(request, "workers");
    const Duration wait =
        milliseconds(std::min(NumberOf(request, "wait_ms"), kLongestWaitMs));
    if (!this->known.HasUpdates(config_known, workers_known)) {
      std::unique_lock lock(this->mutex);
      this->changed.wait_for(lock, wait, [&] {
        return this->known.HasUpdates(config_known, workers_known) ||
               !this->CanRelay();
      });
      lock.unlock();
      if (this->known.HasUpdates(config_known, workers_known)) {
        this->runtime->SleepFor(this->settings.relay_batch_delay);
      }
    }
    if (!this->CanRelay()) {
      answer.status = 503;
      return answer;
    }
    PeerState state = this->known.Since(config_known, workers_known);
    state.expiry_grace = this->world->Servers().GraceLeft(this->runtime->Now());
    answer.headers.Add("Content-Type", "application/json");
    answer.body = EncodePeerState(state);
    return answer;
  }

  io::Runtime* runtime;
  platform::StoreClient* store;
  serving::RoutingState* world;
  MetricsRegistry* metrics;
  const Logger* log;
  StoreSyncSettings settings;
  StoreSyncEvents events;
  std::unique_ptr<io::HttpClient> peers;
  Random random;
  StateLog known;

  bool stopped = false;
  bool watching = false;  ///< this VM watches the store itself
  bool up = false;        ///< it does, and the store answers
  bool lost_store = false;
  bool troubled = false;  ///< the last call to the store has failed
  bool fetching = false;  ///< a configuration is asked for
  Instant last_answer{};
  Instant last_relayed{};
  Instant last_needed{};
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable changed;
};

StoreSync::StoreSync(std::shared_ptr<State> state) : state(std::move(state)) {}

StoreSync::~StoreSync() {
  this->state->stopped = true;
}

std::unique_ptr<StoreSync> StoreSync::Create(io::Runtime* runtime,
                                             platform::StoreClient* store,
                                             serving::RoutingState* world,
                                             MetricsRegistry* metrics,
                                             const Logger* log,
                                             StoreSyncSettings settings,
                                             StoreSyncEvents events) {
  io::HttpClientSettings http;
  http.connect_timeout = settings.relay_slack;
  auto state = std::make_shared<State>(runtime, store, world, metrics, log,
                                       settings, std::move(events),
                                       io::HttpClient::Create(runtime, http));
  state->Start();
  return std::unique_ptr<StoreSync>(new StoreSync(std::move(state)));
}

bool StoreSync::StoreUp() const {
  return this->state->up;
}

bool StoreSync::IsSynced() const {
  return this->state->Complete();
}

void StoreSync::FetchConfig(const io::Endpoint& peer) {
  this->state->runtime->Spawn(
      [state = this->state, peer] { state->FetchConfig(peer); });
}

io::HttpResponse StoreSync::AnswerFollower(const io::HttpRequest& request) {
  return this->state->AnswerFollower(request);
}

}  // namespace chervilpass::fleet
