#include "chervilpass/fleet/store_sync.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <mutex>

#include "chervilpass/core/backoff.h"
#include "chervilpass/fleet/peer_state.h"
#include "chervilpass/fleet/synced_state.h"

namespace chervilpass::fleet {
namespace {

using platform::Changes;
using platform::Listing;
using platform::ObjectChange;
using platform::StoredObject;
using platform::StoreError;
using platform::StoreErrorCode;
using platform::StoreKind;

// Maximum time that a follower may ask a relay to wait, in milliseconds.
constexpr std::uint64_t kMaxWaitMs = 10000;

std::string_view NameOf(StoreKind kind) {
  return kind == StoreKind::kConfig ? "config" : "workers";
}

std::uint64_t QueryNumber(const io::HttpRequest& request,
                          std::string_view name) {
  const std::string text = request.QueryParameter(name).value_or("0");
  return std::strtoull(text.c_str(), nullptr, 10);
}

// The calls to the store of one kind of objects.
struct WatchState {
  bool last_call_failed = false;
  Instant last_response{};
};

}  // namespace

std::string PeerStatePath() {
  return "/peer/state";
}

struct StoreSync::State : std::enable_shared_from_this<StoreSync::State> {
  State(io::Runtime* runtime,
        platform::StoreClient* store,
        serving::RoutingState* routing_state,
        MetricsRegistry* metrics,
        const Logger* log,
        StoreSyncSettings settings,
        StoreSyncEvents events,
        std::unique_ptr<io::HttpClient> peers)
      : runtime(runtime),
        store(store),
        routing_state(routing_state),
        metrics(metrics),
        log(log),
        settings(settings),
        events(std::move(events)),
        peers(std::move(peers)),
        random(routing_state->Rng().Next()),
        synced(routing_state,
               metrics,
               log,
               settings.max_kept_changes,
               {this->events.config_changed,
                [this] { this->NotifyFollowers(); }}) {}

  void Start() {
    const Instant now = this->runtime->Now();
    this->last_relay_response = now;
    this->ResetWatchStates(now);
    this->last_watch_needed = now - this->settings.relay_handover_time;
    const auto self = this->shared_from_this();
    this->runtime->Spawn([self] { self->ListAndWatch(StoreKind::kConfig); });
    this->runtime->Spawn([self] { self->ListAndWatch(StoreKind::kWorkers); });
    this->runtime->Spawn([self] { self->FollowRelay(0); });
    this->runtime->Spawn([self] { self->FollowRelay(1); });
    this->runtime->Spawn([self] { self->UpdateWatching(); });
  }

  // ---- whether to watch ----

  void UpdateWatching() {
    for (; !this->stopped;
         this->runtime->SleepFor(this->settings.relay_check_interval)) {
      const Instant now = this->runtime->Now();
      const bool relays_silent =
          !this->watching &&
          now - this->last_relay_response > this->settings.relay_lost_timeout;
      if (this->events.is_relay() || relays_silent) {
        this->last_watch_needed = now;
      }
      const bool watch =
          now - this->last_watch_needed < this->settings.relay_handover_time;
      if (watch != this->watching) {
        this->watching = watch;
        this->ResetWatchStates(now);
        this->last_relay_response = now;
        this->log->Info("store.watch", {{"watching", watch}});
      }
      this->CheckStore(now);
    }
  }

  void ResetWatchStates(Instant now) {
    this->config_watch.last_response = now;
    this->workers_watch.last_response = now;
  }

  WatchState& WatchOf(StoreKind kind) {
    return kind == StoreKind::kConfig ? this->config_watch
                                      : this->workers_watch;
  }

  // The store counts as lost if it does not respond to either watch: this VM
  // lacks what the watch is for. A watch that waits longer without a change may
  // be silent for longer, until a call fails.
  bool IsSilent(StoreKind kind, Instant now) const {
    const bool config = kind == StoreKind::kConfig;
    const WatchState& watch = config ? this->config_watch : this->workers_watch;
    const Duration longer_wait = config && !watch.last_call_failed
                                     ? this->settings.config_watch_wait -
                                           this->settings.workers_watch_wait
                                     : Duration::zero();
    return now - watch.last_response >
           this->settings.store_lost_timeout + longer_wait;
  }

  void CheckStore(Instant now) {
    const bool config_silent = this->IsSilent(StoreKind::kConfig, now);
    const bool workers_silent = this->IsSilent(StoreKind::kWorkers, now);
    this->workers_lost =
        this->workers_lost ||
        ((this->store_up || this->store_lost) && workers_silent);
    const bool lost = config_silent || workers_silent || !this->watching;
    if (!this->store_up || !lost) {
      return;
    }
    this->store_up = false;
    if (this->watching) {
      this->store_lost = true;
      this->log->Warning(
          "store.lost",
          {{"config_silent_ms",
            ToMilliseconds(now - this->config_watch.last_response)},
           {"workers_silent_ms",
            ToMilliseconds(now - this->workers_watch.last_response)}});
    }
    this->events.store_changed(false);
  }

  void OnStoreResponse(StoreKind kind) {
    const Instant now = this->runtime->Now();
    this->WatchOf(kind) = {false, now};
    // Before the response is applied: entries may have expired in the outage.
    if (kind == StoreKind::kWorkers && this->workers_lost && this->watching) {
      this->workers_lost = false;
      this->routing_state->Servers().OnStoreRegained(now);
      this->LogGrace("store", now);
    }
    if (this->store_up || !this->watching ||
        this->IsSilent(StoreKind::kConfig, now) ||
        this->IsSilent(StoreKind::kWorkers, now)) {
      return;
    }
    this->store_up = true;
    this->store_lost = false;
    this->log->Info("store.regained", {});
    this->events.store_changed(true);
  }

  void LogGrace(std::string_view from, Instant now) const {
    this->log->Info(
        "servers.grace",
        {{"from", from},
         {"grace_ms",
          ToMilliseconds(this->routing_state->Servers().GraceLeft(now))}});
  }

  // ---- the store ----

  // Lists once, so that a new VM has the state before it has found its peers.
  // Then watches while `watching` is set, and lists again when the store has
  // compacted the revision or has too many changes since for one response.
  void ListAndWatch(StoreKind kind) {
    Backoff backoff(this->settings.min_retry_delay,
                    this->settings.max_retry_delay);
    bool listed = false;
    while (!this->stopped) {
      if (!this->watching && (listed || this->synced.IsSynced())) {
        this->runtime->SleepFor(this->settings.relay_check_interval);
        continue;
      }
      const auto listing = this->store->List(kind);
      if (listing.has_error()) {
        this->OnStoreFailure(kind, listing.error());
        this->runtime->SleepFor(backoff.Next(&this->random));
        continue;
      }
      backoff.Reset();
      listed = true;
      this->OnStoreResponse(kind);
      this->ApplyListing(kind, listing.value());
      this->WatchFrom(kind, listing.value().revision);
    }
  }

  void WatchFrom(StoreKind kind, std::uint64_t revision) {
    Backoff backoff(this->settings.min_retry_delay,
                    this->settings.max_retry_delay);
    while (!this->stopped && this->watching) {
      auto changes =
          this->store->Watch(kind, revision, this->NextWatchWait(kind));
      if (changes.has_error()) {
        this->ReplaceSilentConnection(kind, revision, &changes);
      }
      if (changes.has_error()) {
        this->OnStoreFailure(kind, changes.error());
        if (changes.error().code == StoreErrorCode::kRevisionCompacted ||
            changes.error().code == StoreErrorCode::kTooLarge ||
            changes.error().code == StoreErrorCode::kMalformed) {
          return;
        }
        this->runtime->SleepFor(backoff.Next(&this->random));
        continue;
      }
      backoff.Reset();
      this->OnStoreResponse(kind);
      this->ApplyChanges(kind, changes.value(), revision);
      revision = std::max(revision, changes.value().revision);
      if (kind == StoreKind::kWorkers && !changes.value().changes.empty()) {
        this->runtime->SleepFor(this->settings.worker_batch_delay);
      }
    }
  }

  Duration NextWatchWait(StoreKind kind) {
    const Duration longest = kind == StoreKind::kConfig
                                 ? this->settings.config_watch_wait
                                 : this->settings.workers_watch_wait;
    const double share =
        1 - this->settings.watch_wait_jitter * this->random.Unit();
    return duration_cast<Duration>(share * longest);
  }

  // A watch without an answer does not show that the store is unreachable: its
  // connection may have fallen silent. Asks once on a new one, and takes its
  // answer if that is prompt. A store that was unreachable, or responds slowly,
  // keeps the time until it counts as lost.
  void ReplaceSilentConnection(StoreKind kind,
                               std::uint64_t revision,
                               Result<Changes, StoreError>* changes) {
    if (changes->error().code != StoreErrorCode::kNoAnswer || !this->store_up) {
      return;
    }
    const Instant asked = this->runtime->Now();
    auto fresh = this->store->ChangesOnNewConnection(
        kind, revision, this->settings.prompt_response);
    const Duration took = this->runtime->Now() - asked;
    const bool silent =
        fresh.has_value() && took <= this->settings.prompt_response;
    this->log->Info(
        "store.watch_unanswered",
        {{"what", NameOf(kind)},
         {"revision", revision},
         {"silent_ms",
          ToMilliseconds(asked - this->WatchOf(kind).last_response)},
         {"new_connection_ms", ToMilliseconds(took)},
         {"connection_was_silent", silent}});
    if (silent) {
      this->metrics->Increment("chervil_store_silent_connections_total");
      *changes = std::move(fresh);
    }
  }

  void OnStoreFailure(StoreKind kind, const StoreError& error) {
    if (!this->WatchOf(kind).last_call_failed) {
      this->WatchOf(kind).last_call_failed = true;
      this->state_changed.notify_all();
    }
    this->metrics->Increment("chervil_store_sync_failures_total");
    if (this->log->Enabled(LogLevel::kDebug)) {
      this->log->Debug("store.call_failed",
                       {{"what", NameOf(kind)}, {"detail", error.detail}});
    }
  }

  void LogUnreadable(StoreKind kind, std::size_t count) const {
    if (count > 0) {
      this->log->Warning("store.unreadable_objects",
                         {{"what", NameOf(kind)}, {"count", count}});
    }
  }

  void ApplyListing(StoreKind kind, const Listing& listing) {
    this->LogUnreadable(kind, listing.unreadable);
    if (kind == StoreKind::kConfig) {
      for (const StoredObject& object : listing.objects) {
        this->synced.ApplyConfig(object, "store");
      }
      this->routing_state->OnConfigConfirmed(this->runtime->Now());
      return;
    }
    this->routing_state->OnServersConfirmed(this->runtime->Now());
    this->synced.ApplyWorkers(listing.objects, listing.revision,
                              this->runtime->Now());
  }

  void ApplyChanges(StoreKind kind,
                    const Changes& changes,
                    std::uint64_t since) {
    this->LogUnreadable(kind, changes.unreadable);
    if (kind == StoreKind::kConfig) {
      for (const ObjectChange& change : changes.changes) {
        if (!change.deleted) {
          this->synced.ApplyConfig(change.object, "store");
        }
      }
      this->routing_state->OnConfigConfirmed(this->runtime->Now());
      return;
    }
    this->routing_state->OnServersConfirmed(this->runtime->Now());
    this->synced.ApplyWorkerChanges(changes.changes, since, changes.revision,
                                    this->runtime->Now());
  }

  // ---- as a follower ----

  // Each of two fibers polls a different relay, so that a relay that fails
  // silently causes no delay.
  void FollowRelay(std::size_t slot) {
    Backoff backoff(this->settings.min_retry_delay,
                    this->settings.max_retry_delay);
    // A relay is asked to respond at once after a failure, so that it is soon
    // known whether only the connection to it had failed.
    bool last_failed = false;
    while (!this->stopped) {
      const auto relays = this->events.relays();
      const bool follow =
          slot < relays.size() && (!this->watching || !this->store_up);
      const Duration wait =
          last_failed ? Duration::zero() : this->settings.relay_wait;
      const bool failed_before = last_failed;
      last_failed = follow && !this->PollRelay(relays[slot], wait);
      if (follow && last_failed != failed_before) {
        this->log->Info(
            "relay.poll",
            {{"relay", relays[slot].ToText()},
             {"answered", !last_failed},
             {"unconfirmed_ms",
              ToMilliseconds(this->routing_state
                                 ->ServersUnconfirmedFor(this->runtime->Now())
                                 .value_or(Duration::zero()))}});
      }
      if (!follow || last_failed) {
        this->runtime->SleepFor(follow ? backoff.Next(&this->random)
                                       : this->settings.relay_check_interval);
        continue;
      }
      backoff.Reset();
    }
  }

  bool PollRelay(const io::Endpoint& relay, Duration wait) {
    io::HttpRequest request;
    request.path = PeerStatePath();
    request.query = fmt::format(
        "config={}&workers={}&wait_ms={}", this->synced.Log().ConfigRevision(),
        this->synced.Log().WorkersRevision(), ToMilliseconds(wait));
    const std::uint64_t since = this->synced.Log().WorkersRevision();
    const auto response = this->peers->Call(
        relay, request,
        this->settings.relay_wait + this->settings.relay_timeout_margin);
    if (response.has_error() || response.value().status != 200) {
      this->metrics->Increment("chervil_relay_failures_total");
      return false;
    }
    const auto received = DecodePeerState(response.value().body);
    if (!received) {
      this->log->Warning("relay.unreadable", {{"relay", relay.ToText()}});
      return false;
    }
    const Instant now = this->runtime->Now();
    this->last_relay_response = now;
    if (received->expiry_grace > Duration::zero()) {
      const bool starts =
          this->routing_state->Servers().GraceLeft(now) == Duration::zero();
      this->routing_state->Servers().ExtendGrace(now + received->expiry_grace);
      if (starts) {
        this->LogGrace(relay.ToText(), now);
      }
    }
    if (received->config) {
      this->synced.ApplyConfig(*received->config, relay.ToText());
    }
    this->routing_state->OnConfigConfirmed(now);
    this->routing_state->OnServersConfirmed(now);
    if (received->is_full) {
      std::vector<StoredObject> objects;
      for (const ObjectChange& change : received->workers) {
        objects.push_back(change.object);
      }
      this->synced.ApplyWorkers(objects, received->workers_revision, now);
      return true;
    }
    return this->synced.ApplyWorkerChanges(received->workers, since,
                                           received->workers_revision, now);
  }

  void FetchConfig(const io::Endpoint& peer) {
    if (this->fetching_config) {
      return;
    }
    this->fetching_config = true;
    io::HttpRequest request;
    request.path = PeerStatePath();
    request.query = fmt::format("only=config&config={}",
                                this->synced.Log().ConfigRevision());
    const auto response =
        this->peers->Call(peer, request, this->settings.relay_timeout_margin);
    this->fetching_config = false;
    const auto received = response.has_error() || response.value().status != 200
                              ? std::nullopt
                              : DecodePeerState(response.value().body);
    if (received && received->config) {
      this->synced.ApplyConfig(*received->config, peer.ToText());
    }
  }

  // ---- as a relay ----

  // While calls to the store fail, the state of this VM may be stale.
  bool CanRelay() const {
    return this->store_up && !this->config_watch.last_call_failed &&
           !this->workers_watch.last_call_failed;
  }

  void NotifyFollowers() { this->state_changed.notify_all(); }

  io::HttpResponse HandleFollowerRequest(const io::HttpRequest& request) {
    const std::uint64_t known_config_revision = QueryNumber(request, "config");
    io::HttpResponse response;
    response.headers.Add("Content-Type", "application/json");
    if (request.QueryParameter("only") == "config") {
      PeerState state =
          this->synced.Log().Since(known_config_revision, UINT64_MAX);
      state.workers.clear();
      state.is_full = false;
      response.body = EncodePeerState(state);
      return response;
    }
    if (!this->CanRelay()) {
      response.status = 503;  // the follower polls another relay
      return response;
    }
    const std::uint64_t known_workers_revision =
        QueryNumber(request, "workers");
    const Duration wait =
        milliseconds(std::min(QueryNumber(request, "wait_ms"), kMaxWaitMs));
    if (!this->synced.Log().HasUpdates(known_config_revision,
                                       known_workers_revision)) {
      std::unique_lock lock(this->mutex);
      this->state_changed.wait_for(lock, wait, [&] {
        return this->synced.Log().HasUpdates(known_config_revision,
                                             known_workers_revision) ||
               !this->CanRelay();
      });
      lock.unlock();
      if (this->synced.Log().HasUpdates(known_config_revision,
                                        known_workers_revision)) {
        this->runtime->SleepFor(this->settings.relay_batch_delay);
      }
    }
    if (!this->CanRelay()) {
      response.status = 503;
      return response;
    }
    PeerState state =
        this->synced.Log().Since(known_config_revision, known_workers_revision);
    state.expiry_grace =
        this->routing_state->Servers().GraceLeft(this->runtime->Now());
    response.headers.Add("Content-Type", "application/json");
    response.body = EncodePeerState(state);
    return response;
  }

  io::Runtime* runtime;
  platform::StoreClient* store;
  serving::RoutingState* routing_state;
  MetricsRegistry* metrics;
  const Logger* log;
  StoreSyncSettings settings;
  StoreSyncEvents events;
  std::unique_ptr<io::HttpClient> peers;
  Random random;
  SyncedState synced;

  bool stopped = false;
  bool watching = false;  ///< this VM watches the store itself
  bool store_up = false;  ///< watching, and the store responds
  bool store_lost = false;
  bool workers_lost = false;     ///< their watch was silent for too long
  bool fetching_config = false;  ///< a FetchConfig is running
  WatchState config_watch;
  WatchState workers_watch;
  Instant last_relay_response{};
  Instant last_watch_needed{};
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable state_changed;
};

StoreSync::StoreSync(std::shared_ptr<State> state) : state(std::move(state)) {}

StoreSync::~StoreSync() {
  this->state->stopped = true;
}

std::unique_ptr<StoreSync> StoreSync::Create(
    io::Runtime* runtime,
    platform::StoreClient* store,
    serving::RoutingState* routing_state,
    MetricsRegistry* metrics,
    const Logger* log,
    StoreSyncSettings settings,
    StoreSyncEvents events) {
  io::HttpClientSettings http;
  http.connect_timeout = settings.relay_timeout_margin;
  auto state = std::make_shared<State>(runtime, store, routing_state, metrics,
                                       log, settings, std::move(events),
                                       io::HttpClient::Create(runtime, http));
  state->Start();
  return std::unique_ptr<StoreSync>(new StoreSync(std::move(state)));
}

bool StoreSync::StoreUp() const {
  return this->state->store_up;
}

bool StoreSync::IsSynced() const {
  return this->state->synced.IsSynced();
}

void StoreSync::FetchConfig(const io::Endpoint& peer) {
  this->state->runtime->Spawn(
      [state = this->state, peer] { state->FetchConfig(peer); });
}

io::HttpResponse StoreSync::HandleFollowerRequest(
    const io::HttpRequest& request) {
  return this->state->HandleFollowerRequest(request);
}

}  // namespace chervilpass::fleet
