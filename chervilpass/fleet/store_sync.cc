#include "chervilpass/fleet/store_sync.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <mutex>

#include "chervilpass/core/backoff.h"
#include "chervilpass/fleet/peer_state.h"
#include "chervilpass/fleet/store_contact.h"
#include "chervilpass/fleet/synced_state.h"
#include "chervilpass/fleet/watch_deadlines.h"

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
// VMs state ages, so that they name slightly different times for one event.
constexpr Duration kAgeRounding = milliseconds(100);

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

// The history that a watch needs is gone, or too much for one answer.
bool NeedsListing(const StoreError& error) {
  return error.code == StoreErrorCode::kRevisionCompacted ||
         error.code == StoreErrorCode::kTooLarge ||
         error.code == StoreErrorCode::kMalformed;
}

// One of the relays that this VM follows.
struct FollowedRelay {
  io::Endpoint address;
  bool answers = false;  ///< the last poll was answered
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
        deadlines({settings.config_watch_wait, settings.workers_watch_wait,
                   settings.overdue_margin, settings.max_watch_lateness}),
        synced(routing_state,
               metrics,
               log,
               settings.max_kept_changes,
               {this->events.config_changed,
                [this] { this->NotifyFollowers(); }}) {}

  void Start() {
    const Instant now = this->runtime->Now();
    this->last_had_relay = now;
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
      if (this->HasRelay()) {
        this->last_had_relay = now;
      }
      const bool relays_lost =
          !this->watching &&
          now - this->last_had_relay > this->settings.relay_lost_timeout;
      if (this->events.is_relay() || relays_lost) {
        this->last_watch_needed = now;
      }
      const bool watch =
          now - this->last_watch_needed < this->settings.relay_handover_time;
      if (watch != this->watching) {
        this->watching = watch;
        this->ResetWatchStates(now);
        this->last_had_relay = now;
        this->log->Info("store.watch", {{"watching", watch}});
      }
      this->CheckStore(now);
      this->CheckDirectly(Duration::zero());
    }
  }

  void ResetWatchStates(Instant now) {
    this->config_watch = {false, now};
    this->workers_watch = {false, now};
    this->deadlines.Reset(now);
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
    const bool lost = config_silent || workers_silent || !this->watching;
    if (!this->store_up || !lost) {
      return;
    }
    this->store_up = false;
    if (this->watching) {
      this->log->Warning(
          "store.lost",
          {{"config_silent_ms",
            ToMilliseconds(now - this->config_watch.last_response)},
           {"workers_silent_ms",
            ToMilliseconds(now - this->workers_watch.last_response)}});
    }
    this->events.store_changed(false);
  }

  // The store has given an answer that is current as of `current_at`; the next
  // watch begins `pause` after that.
  void OnStoreResponse(StoreKind kind,
                       Instant current_at,
                       Duration pause = Duration::zero()) {
    const Instant now = this->runtime->Now();
    this->WatchOf(kind) = {false, now};
    this->deadlines.OnAnswer(kind, current_at + pause);
    // Before the response is applied: registrations may have expired.
    this->OnStoreReached({now, now}, "store");
    if (this->store_up || !this->watching ||
        this->IsSilent(StoreKind::kConfig, now) ||
        this->IsSilent(StoreKind::kWorkers, now)) {
      return;
    }
    this->store_up = true;
    this->log->Info("store.regained", {});
    this->events.store_changed(true);
  }

  // The store answered a VM in `span`, according to `from`. Registrations that
  // expired in an outage of the store are kept for a while; a gap in the
  // answers to this VM alone is none.
  void OnStoreReached(AnswerSpan span, std::string_view from) {
    const Instant now = this->runtime->Now();
    routing::ServerRegistry& servers = this->routing_state->Servers();
    const auto known_end = this->contact.OutageEnd();
    this->contact.Add(span);
    const auto end = this->contact.OutageEnd();
    if (end == known_end ||
        (end && known_end &&
         std::chrono::abs(*end - *known_end) < kAgeRounding)) {
      return;
    }
    if (end) {
      servers.OnStoreRegained(*end);
    } else {
      servers.EndGrace(now);
    }
    this->metrics->Increment("chervil_store_gaps_total",
                             end ? "judged=\"outage\"" : "judged=\"none\"");
    this->LogGrace(from, now);
  }

  void LogGrace(std::string_view from, Instant now) const {
    const auto end = this->contact.OutageEnd();
    this->log->Info(
        "servers.grace",
        {{"from", from},
         {"outage_end_ms", end ? ToMilliseconds(now - *end) : -1},
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
      const Instant asked = this->runtime->Now();
      const auto listing = this->store->List(kind);
      if (listing.has_error()) {
        this->OnStoreFailure(kind, listing.error());
        this->runtime->SleepFor(backoff.Next(&this->random));
        continue;
      }
      backoff.Reset();
      listed = true;
      this->OnStoreResponse(kind, asked);
      this->ApplyListing(kind, listing.value());
      this->WatchFrom(kind, listing.value().revision);
    }
  }

  void WatchFrom(StoreKind kind, std::uint64_t revision) {
    Backoff backoff(this->settings.min_retry_delay,
                    this->settings.max_retry_delay);
    while (!this->stopped && this->watching) {
      // After a failure a relay asks the store to respond at once, so that its
      // followers soon have it again.
      const Duration wait =
          this->WatchOf(kind).last_call_failed && this->events.is_relay()
              ? Duration::zero()
              : this->NextWatchWait(kind);
      const Instant end = this->runtime->Now() + wait;
      auto changes = this->store->Watch(kind, revision, wait);
      Instant current_at = this->deadlines.CurrentAt(end, this->runtime->Now());
      if (changes.has_error()) {
        this->ReplaceSilentConnection(kind, revision, &changes);
        current_at = this->runtime->Now();
      } else if (changes.value().changes.empty()) {
        this->deadlines.MeasureLateness(end, this->runtime->Now());
      }
      if (changes.has_error()) {
        this->OnStoreFailure(kind, changes.error());
        if (NeedsListing(changes.error())) {
          return;
        }
        this->runtime->SleepFor(backoff.Next(&this->random));
        continue;
      }
      backoff.Reset();
      const bool batched =
          kind == StoreKind::kWorkers && !changes.value().changes.empty();
      const Duration pause =
          batched ? this->settings.worker_batch_delay : Duration::zero();
      this->OnStoreResponse(kind, current_at, pause);
      this->ApplyChanges(kind, changes.value(), revision);
      revision = std::max(revision, changes.value().revision);
      if (batched) {
        this->runtime->SleepFor(pause);
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
      this->config_checked = std::max(this->config_checked, listing.revision);
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
      this->config_checked = std::max(this->config_checked, changes.revision);
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
    FollowedRelay& followed = this->followed.at(slot);
    while (!this->stopped) {
      const auto relays = this->events.relays();
      if (slot >= relays.size() || !this->NeedsRelay()) {
        followed = {};
        this->runtime->SleepFor(this->settings.relay_check_interval);
        continue;
      }
      if (followed.address != relays[slot]) {
        followed = {relays[slot], false};
        backoff.Reset();
      }
      // A relay is asked to respond at once at first and after a failure, so
      // that it is soon known whether it is in reach.
      const bool answered = this->PollRelay(
          followed.address,
          followed.answers ? this->settings.relay_wait : Duration::zero());
      if (answered != followed.answers) {
        followed.answers = answered;
        this->LogPoll(followed);
      }
      if (answered) {
        backoff.Reset();
        continue;
      }
      this->CheckDirectly(
          this->settings.direct_check_delay +
          duration_cast<Duration>(this->random.Unit() *
                                  this->settings.direct_check_jitter));
      this->AwaitOtherRelay(slot, backoff.Next(&this->random));
    }
  }

  // A VM whose own calls to the store are unanswered, or were, asks the relays
  // too: the store may have answered them.
  bool NeedsRelay() const {
    return !this->watching || !this->CanRelay() ||
           this->routing_state->Servers().GraceLeft(this->runtime->Now()) >
               Duration::zero();
  }

  bool HasRelay() const {
    return std::any_of(
        this->followed.begin(), this->followed.end(),
        [](const FollowedRelay& relay) { return relay.answers; });
  }

  // Waits for `delay`, or until another relay is to be followed.
  void AwaitOtherRelay(std::size_t slot, Duration delay) {
    const Instant until = this->runtime->Now() + delay;
    while (!this->stopped && this->runtime->Now() < until) {
      this->runtime->SleepFor(std::min(this->settings.relay_check_interval,
                                       until - this->runtime->Now()));
      const auto relays = this->events.relays();
      if (slot >= relays.size() ||
          relays[slot] != this->followed.at(slot).address) {
        return;
      }
    }
  }

  void LogPoll(const FollowedRelay& relay) const {
    const auto unconfirmed =
        this->routing_state->ServersUnconfirmedFor(this->runtime->Now());
    this->log->Info(
        "relay.poll",
        {{"relay", relay.address.ToText()},
         {"answered", relay.answers},
         {"unconfirmed_ms", ToMilliseconds(unconfirmed.value_or(Duration()))}});
  }

  // ---- without a relay ----

  // Asks the store for changes if no relay answers, and still none does after
  // `delay`. So this VM learns of changes in time before it watches the store
  // itself.
  void CheckDirectly(Duration delay) {
    const Instant now = this->runtime->Now();
    const Instant last_asked =
        std::max(this->last_direct_check, this->workers_watch.last_response);
    if (this->checking || this->watching || !this->had_relay ||
        this->HasRelay() || !this->synced.IsSynced() ||
        now - last_asked < this->settings.direct_check_interval) {
      return;
    }
    this->checking = true;
    this->last_direct_check = now + delay;
    this->runtime->Spawn([self = this->shared_from_this(), delay] {
      self->runtime->SleepFor(delay);
      if (!self->HasRelay() &&
          self->CheckKind(StoreKind::kWorkers,
                          self->synced.Log().WorkersRevision())) {
        self->CheckKind(StoreKind::kConfig,
                        std::max(self->config_checked,
                                 self->synced.Log().ConfigRevision()));
      }
      self->checking = false;
    });
  }

  // False if there was no answer.
  bool CheckKind(StoreKind kind, std::uint64_t revision) {
    if (this->stopped) {
      return false;
    }
    const auto changes = this->store->ChangesOnNewConnection(
        kind, revision, this->settings.direct_check_timeout);
    this->log->Info(
        "store.direct_check",
        {{"what", NameOf(kind)},
         {"revision", revision},
         {"answered", changes.has_value()},
         {"changes",
          changes.has_value() ? changes.value().changes.size() : 0}});
    this->metrics->Increment("chervil_store_direct_checks_total");
    if (changes.has_value()) {
      const Instant now = this->runtime->Now();
      this->OnStoreReached({now, now}, "store");
      this->ApplyChanges(kind, changes.value(), revision);
    } else if (NeedsListing(changes.error())) {
      this->last_watch_needed = this->runtime->Now();
    }
    return changes.has_value();
  }

  bool PollRelay(const io::Endpoint& relay, Duration wait) {
    io::HttpRequest request;
    request.path = PeerStatePath();
    request.query = fmt::format(
        "config={}&workers={}&wait_ms={}", this->synced.Log().ConfigRevision(),
        this->synced.Log().WorkersRevision(), ToMilliseconds(wait));
    const std::uint64_t since = this->synced.Log().WorkersRevision();
    const Instant asked = this->runtime->Now();
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
    this->had_relay = true;
    const Instant current_at =
        this->OnRelayReach(*received, relay, asked + wait);
    if (received->config) {
      this->synced.ApplyConfig(*received->config, relay.ToText());
    }
    this->config_checked =
        std::max(this->config_checked, received->config_checked);
    this->ConfirmAt(current_at);
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

  // A relay has stated configuration and servers as of `at`. Another one may
  // have stated newer ones.
  void ConfirmAt(Instant at) {
    const Instant now = this->runtime->Now();
    const auto config_age = this->routing_state->ConfigUnconfirmedFor(now);
    if (!config_age || now - at < *config_age) {
      this->routing_state->OnConfigConfirmed(at);
    }
    const auto servers_age = this->routing_state->ServersUnconfirmedFor(now);
    if (!servers_age || now - at < *servers_age) {
      this->routing_state->OnServersConfirmed(at);
    }
  }

  // Takes over when the store has answered a relay whose response was due at
  // `due`. Returns the time as of which the response is current.
  Instant OnRelayReach(const PeerState& received,
                       const io::Endpoint& relay,
                       Instant due) {
    const Instant now = this->runtime->Now();
    if (!received.store_reach) {
      // An earlier build, which judges by itself whether there was an outage.
      this->OnStoreReached({now, now}, relay.ToText());
      if (received.expiry_grace > Duration::zero()) {
        this->routing_state->Servers().ExtendGrace(now + received.expiry_grace);
      }
      return now;
    }
    const Instant current_at =
        std::min(now, due + this->settings.relay_timeout_margin) -
        received.store_reach->silent;
    this->OnStoreReached(
        {current_at - received.store_reach->reached, current_at},
        relay.ToText());
    return current_at;
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

  // While calls to the store fail or get no answer, the state of this VM may be
  // stale.
  bool CanRelay() const {
    return this->store_up && !this->config_watch.last_call_failed &&
           !this->workers_watch.last_call_failed &&
           !this->deadlines.IsOverdue(this->runtime->Now());
  }

  std::optional<StoreReach> Reach() const {
    const auto span = this->contact.Newest();
    if (!span) {
      return std::nullopt;
    }
    return StoreReach{this->runtime->Now() - span->to, span->to - span->from};
  }

  // Waits until a follower lacks something, for `wait`, or until this VM cannot
  // act as a relay.
  void AwaitUpdates(std::uint64_t config_revision,
                    std::uint64_t workers_revision,
                    Duration wait) {
    const Instant until = this->runtime->Now() + wait;
    std::unique_lock lock(this->mutex);
    while (this->runtime->Now() < until && this->CanRelay() &&
           !this->synced.Log().HasUpdates(config_revision, workers_revision)) {
      // An answer that is due may move the time at which the next one is.
      this->state_changed.wait_until(
          lock, std::min(until, this->deadlines.NextDue() + milliseconds(1)));
    }
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
      this->AwaitUpdates(known_config_revision, known_workers_revision, wait);
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
    state.config_checked = this->config_checked;
    state.store_reach = this->Reach();
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
  StoreContact contact;
  WatchDeadlines deadlines;
  SyncedState synced;

  bool stopped = false;
  bool watching = false;         ///< this VM watches the store itself
  bool store_up = false;         ///< watching, and the store responds
  bool fetching_config = false;  ///< a FetchConfig is running
  bool checking = false;         ///< a direct check is running
  bool had_relay = false;        ///< a relay has answered since the start
  WatchState config_watch;
  WatchState workers_watch;
  /// Revision of the store up to which the configuration is known.
  std::uint64_t config_checked = 0;
  std::array<FollowedRelay, 2> followed;
  Instant last_had_relay{};
  Instant last_direct_check{};
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
