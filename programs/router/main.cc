// chervil-router: the daemon of an entry VM. Serves callers, tells them which
// entry addresses to use, and takes part in gossip, store sync and placement.
#include <fmt/format.h>

#include <fstream>
#include <set>
#include <sstream>

#include "chervilpass/app/program.h"
#include "chervilpass/core/build_id.h"
#include "chervilpass/core/hash.h"
#include "chervilpass/fleet/address_list.h"
#include "chervilpass/fleet/organisation_loads.h"
#include "chervilpass/fleet/pace_exchange.h"
#include "chervilpass/fleet/peer_group.h"
#include "chervilpass/fleet/placement_controller.h"
#include "chervilpass/fleet/relays.h"
#include "chervilpass/fleet/router_detector.h"
#include "chervilpass/fleet/send_permits.h"
#include "chervilpass/fleet/store_sync.h"
#include "chervilpass/fleet/suspect_sync.h"
#include "chervilpass/io/address_wait.h"
#include "chervilpass/io/descriptor_limit.h"
#include "chervilpass/memory/allocator.h"
#include "chervilpass/memory/memory_budget.h"
#include "chervilpass/serving/link_monitor.h"
#include "chervilpass/serving/route_preview.h"
#include "chervilpass/serving/router.h"
#include "platform/entry_calls.h"
#include "programs/router/connection_limits.h"
#include "programs/router/load_report.h"
#include "programs/router/settings.h"
#include "programs/router/shutdown_sequence.h"

namespace chervilpass {
namespace {

// Share of the fleet's retry reserve that is divided among its VMs. The rest
// covers restarted processes, which start with a full reserve.
constexpr double kDistributedReserveShare = 0.7;
// Smallest fleet size, in VMs, by which the retry reserve is divided; also used
// while the size is unknown.
constexpr std::size_t kMinFleetSize = 9;
constexpr std::size_t kBytesPerMb = 1024 * 1024;
// The budget of an owner counts as short from the first share of its limit on,
// until it is below the second one.
constexpr double kShortShare = 0.8;
constexpr double kAmpleShare = 0.6;
// Of requests that have no body, or hardly any.
constexpr std::uint64_t kMaxControlBodyBytes = 16 * 1024;
// On the metrics port: where a request would be sent now.
constexpr std::string_view kPreviewPath = "/v1/where";
constexpr Duration kHousekeepingPeriod = milliseconds(250);
constexpr Duration kConnectionLogInterval = seconds(1);
constexpr Duration kSettingsPollInterval = seconds(3);
// Of a process that has served nothing.
constexpr Duration kUnusedExitMargin = milliseconds(100);
constexpr Duration kTcpUserTimeout = seconds(3);
constexpr std::size_t kIdleConnectionsPerServer = 64;
// Of a server's answer to a probe, a question for its report, or an order.
constexpr std::uint64_t kMaxControlAnswerBytes = 256 * 1024;
// For the header fields that a VM adds to a request that it forwards.
constexpr std::uint32_t kForwardingHeaderBytes = 1024;
// A new VM has exchanged gossip with its data centre after a few round trips.
constexpr Duration kInitialGossipTime = milliseconds(400);
// The VMs of a fleet start within 0.3 s; after kFleetStartTime the first
// relays have listed the store.
constexpr Duration kFleetStartTime = milliseconds(1500);
// A worker that has answered this VM so recently is not avoided because of a
// peer's report.
constexpr Duration kReachedEvidenceTime = milliseconds(500);
// A lost worker that has not answered a probe gets requests again after this
// time at the latest: a probe times out within 100 ms.
constexpr Duration kMaxProofTime = milliseconds(500);
// Rate limits in load gossip: see membership::WorkerLoadNotice.
constexpr std::uint32_t kNoRateLimitStatement = 0;
constexpr std::uint32_t kUnlimited = 1;
constexpr std::uint32_t kZeroRateLimit = 2;
constexpr double kRateLimitUnits = 1000;  // per request a second
constexpr Duration kRateLimitAgeUnit = milliseconds(10);
// Statements that are older are not passed on. Each VM hears again of a server
// that it sends to.
constexpr Duration kRateLimitGossipTime = seconds(2);
constexpr std::size_t kMaxGossipedRateLimits = 64;  // in one datagram

std::uint64_t BootId(io::Runtime& runtime) {
  return static_cast<std::uint64_t>(runtime.WallNow().milliseconds);
}

membership::Member SelfOf(const RouterProgramSettings& settings,
                          std::uint64_t boot_id) {
  membership::Member self;
  self.vm = settings.ip;
  self.data_centre = settings.data_centre;
  self.region = settings.region;
  self.ip = settings.ip;
  self.http_port = settings.callers.port;
  self.control_port = settings.peers.port;
  self.gossip_port = settings.gossip_port;
  self.forward_port = settings.forwarded.port;
  self.boot_id = boot_id;
  return self;
}

// Owns the components of the daemon and connects them.
class Daemon {
 public:
  Daemon(io::Runtime& runtime,
         RouterProgramSettings settings,
         const app::CommandLine& command_line)
      : runtime(runtime),
        settings(std::move(settings)),
        command_line(command_line),
        log(this->settings.log),
        started(runtime.Now()),
        descriptors(io::RaiseDescriptorLimit(this->settings.descriptors)),
        memory_division(
            memory::DivideMemory(this->settings.memory_mb * kBytesPerMb)),
        limits(LimitConnections(io::DivideDescriptors(this->descriptors),
                                this->settings.memory_mb * kBytesPerMb,
                                this->memory_division)),
        shares(this->limits.shares),
        budget(this->memory_division),
        boot_id(BootId(runtime)),
        routing_state(this->RoutingSettings(),
                      HashCombine(HashText(this->settings.ip), this->boot_id)),
        load_report(&this->routing_state,
                    &this->metrics,
                    &this->log,
                    {},
                    runtime.Now()) {}

  int Run() {
    this->runtime.LogTo(&this->log);
    this->CreateClients();
    if (!this->CreatePeers() || !this->CreateServers()) {
      if (!io::StopSignalPending()) {
        return app::kExitFailure;
      }
      this->OutlastGrace();
      return app::kExitOk;
    }
    this->log.Info(
        "router.started",
        {{"version", CHERVILPASS_VERSION},
         {"build", BuildId()},
         {"callers", this->settings.callers.ToText()},
         {"descriptors", this->descriptors},
         {"memory_mb", this->settings.memory_mb},
         {"caller_connections", this->shares.callers.connections},
         {"caller_connections_by_descriptors",
          io::DivideDescriptors(this->descriptors).callers.connections},
         {"connection_buffer_bytes", this->limits.budget.buffer},
         {"memory_bound_bytes", this->limits.budget.bound},
         {"memory_sum_bytes", this->limits.budget.Sum()},
         {"boot_id", this->boot_id}});
    if (this->CountConnections().servers.buffer_failures > 0) {
      this->log.Warning(
          "router.buffers_not_set",
          {{"connection_buffer_bytes", this->limits.budget.buffer}});
    }
    this->runtime.Spawn([this] { this->Housekeeping(); });
    this->runtime.Spawn([this] { this->WatchSettings(); });
    this->runtime.OnReloadSignal([this] { this->Reload("signal"); });
    this->runtime.WaitForStopSignal();
    this->Leave();
    return app::kExitOk;
  }

 private:
  serving::RoutingStateSettings RoutingSettings() const {
    serving::RoutingStateSettings routing;
    routing.vm = this->settings.ip;
    routing.data_centre = this->settings.data_centre;
    routing.retries = {this->settings.retry_share,
                       this->ReserveFor(kMinFleetSize)};
    routing.strikes_are_stored = true;
    if (this->settings.early_recovery) {
      routing.cooldowns.proof_time = kMaxProofTime;
    }
    routing.load_correction = this->settings.load_correction;
    routing.capacity.shares.enabled = this->settings.organisation_shares;
    if (this->settings.server_pacing) {
      routing.server_pacing = routing::ServerPaceSettings();
    }
    routing.samples.max_priced_workers = this->settings.priced_workers;
    routing.loss_cost = this->settings.loss_cost;
    if (this->settings.objective_paths) {
      routing.objective_paths = placement::ObjectiveCostSettings();
    }
    return routing;
  }

  double ReserveFor(std::size_t fleet_size) const {
    return this->settings.retry_reserve * kDistributedReserveShare /
           static_cast<double>(std::max(fleet_size, kMinFleetSize));
  }

  void CreateClients() {
    this->store = platform::StoreClient::Create(&this->runtime, &this->metrics,
                                                {this->settings.store});
    io::HttpClientSettings http;
    http.body_limit_bytes = kMaxControlAnswerBytes;
    http.budget = &this->budget;
    http.idle_connections = kIdleConnectionsPerServer;
    http.idle_connections_total = this->shares.idle_to_servers;
    http.tcp_user_timeout = kTcpUserTimeout;
    http.buffers = this->Buffers();
    this->http = io::HttpClient::Create(&this->runtime, http);
  }

  bool CreatePeers() {
    fleet::PeerGroupSettings group;
    group.self = SelfOf(this->settings, this->boot_id);
    group.seed_ips = this->settings.seed_ips;
    std::erase(group.seed_ips, this->settings.ip);
    group.detector = fleet::RouterDetectorSettings();
    group.full_workers.enabled = this->settings.load_correction;
    if (this->settings.whole_grace) {
      group.max_hold = this->settings.shutdown_grace;
    }
    fleet::PeerGroupEvents events;
    events.strike = [this](const quarantine::Strike& strike) {
      this->OnPeerStrike(strike);
    };
    events.clearance = [this](const quarantine::Clearance& clearance) {
      this->routing_state.Strikes().OnCompleted(clearance.fingerprint,
                                                this->runtime.WallNow());
    };
    events.unreachable = [this](const std::string& worker) {
      this->OnPeerFoundUnreachable(worker);
    };
    events.refusing = [this](const std::string& worker) {
      this->routing_state.StartCooldown(
          worker, routing::CooldownReason::kRefusing, this->runtime.Now());
    };
    events.departure = [this](const std::string& worker, WallTime started) {
      if (this->routing_state.Servers().MarkLeaving(worker, started)) {
        this->log.Info("worker.departure_learned",
                       {{"worker", worker}, {"started", started.milliseconds}});
      }
    };
    events.newer_config = [this](const membership::Member& holder) {
      this->sync->FetchConfig({holder.ip, holder.control_port});
    };
    events.loads = [this](const std::string& peer, fleet::LoadScope scope,
                          const auto& notices) {
      this->OnPeerLoads(peer, scope, notices);
    };
    events.full_workers = [this](const std::string& peer, const auto& notices) {
      this->OnFullWorkers(peer, notices);
    };
    events.rest_of_loads = [this](const std::string& peer,
                                  const membership::PartialLoads& partial) {
      this->OnRestOfLoads(peer, partial);
    };
    events.collect_loads = [this](fleet::LoadScope scope) {
      return this->CollectLoads(scope);
    };
    events.organisation_loads = [this](const std::string& peer,
                                       fleet::LoadScope scope,
                                       const auto& notices) {
      this->OnOrganisationLoads(peer, scope, notices);
    };
    events.collect_organisation_loads = [this](fleet::LoadScope scope) {
      return this->CollectOrganisationLoads(scope);
    };
    events.paces = [this](const std::string& peer, const auto& notices) {
      fleet::ApplyPaces(this->routing_state, peer, notices,
                        this->runtime.Now());
    };
    events.collect_paces = [this] {
      return fleet::CollectPaces(this->routing_state, this->runtime.Now());
    };
    auto created = fleet::PeerGroup::Create(
        &this->runtime, this->store.get(), &this->metrics, &this->log,
        std::move(group), std::move(events));
    if (created.has_error()) {
      this->log.Error("router.cannot_listen",
                      {{"detail", created.error().detail}});
      return false;
    }
    this->peers = std::move(created).value();
    const auto members = [this]() -> const std::vector<membership::Member>& {
      return this->peers->Members();
    };
    fleet::SendPermitsSettings permit_settings;
    permit_settings.listen = this->settings.peers;
    auto created_permits = fleet::SendPermits::Create(
        &this->runtime, &this->routing_state, &this->metrics, &this->log,
        std::move(permit_settings), members);
    if (created_permits.has_error()) {
      this->log.Error("router.cannot_listen",
                      {{"detail", created_permits.error().detail}});
      return false;
    }
    this->permits = std::move(created_permits).value();
    this->links = serving::LinkMonitor::Create(
        &this->runtime, &this->routing_state, this->http.get(), &this->metrics,
        &this->log, {},
        [this](bool cut_off) { this->OnLinksChanged(cut_off); });
    this->CreateSync();
    fleet::PlacementControllerSettings placement;
    placement.governor.loads_per_minute =
        this->settings.weight_loads_per_minute;
    placement.planner.return_time = this->settings.lost_worker_time;
    this->placement = fleet::PlacementController::Create(
        &this->runtime, this->store.get(), this->http.get(),
        &this->routing_state, &this->metrics, &this->log, placement,
        SelfOf(this->settings, this->boot_id), members,
        [this] { return this->links->CutOff(); });
    return true;
  }

  void OnLinksChanged(bool cut_off) {
    this->peers->SetCutOff(cut_off);
    if (cut_off) {
      this->router->OnLinksLost();
    }
  }

  // The VMs that take requests which this VM cannot serve.
  std::vector<io::Endpoint> ForwardTargets() const {
    std::vector<io::Endpoint> targets;
    for (const membership::Member& member : this->peers->Members()) {
      if (member.vm != this->settings.ip && member.entry_up &&
          !member.cut_off && member.forward_port != 0 &&
          member.status == membership::Status::kAlive) {
        targets.push_back({member.ip, member.forward_port});
      }
    }
    return targets;
  }

  void CreateSync() {
    fleet::StoreSyncEvents events;
    events.config_changed = [this] { this->OnConfigChanged(); };
    events.store_changed = [this](bool up) { this->peers->SetStoreUp(up); };
    events.is_relay = [this] { return this->IsRelay(); };
    events.relays = [this] { return this->Relays(); };
    this->sync = fleet::StoreSync::Create(&this->runtime, this->store.get(),
                                          &this->routing_state, &this->metrics,
                                          &this->log, {}, std::move(events));
    this->suspects = fleet::SuspectSync::Create(
        &this->runtime, this->store.get(), &this->routing_state, &this->log, {},
        [this] { return this->IsRelay(); });
  }

  // Right after its start a VM knows no peers, and no VM has reported yet that
  // it can reach the store. Without the delay all VMs would watch the store.
  bool IsRelay() const {
    const Duration uptime = this->runtime.Now() - this->started;
    return uptime >= kInitialGossipTime &&
           fleet::IsRelay(this->peers->Members(), this->settings.ip,
                          uptime < kFleetStartTime
                              ? fleet::FleetPhase::kStarting
                              : fleet::FleetPhase::kSteady);
  }

  bool CreateServers() {
    serving::RouterDependencies dependencies;
    dependencies.runtime = &this->runtime;
    dependencies.routing_state = &this->routing_state;
    dependencies.http = this->http.get();
    dependencies.metrics = &this->metrics;
    dependencies.log = &this->log;
    dependencies.report_unreachable = [this](const std::string& worker) {
      this->peers->BroadcastUnreachable(worker);
      this->placement->OnSuspect(worker);
    };
    dependencies.report_refusing = [this](const std::string& worker) {
      this->peers->BroadcastRefusing(worker);
    };
    if (this->settings.load_correction) {
      dependencies.report_full = [this](const std::string& worker) {
        if (!this->routing_state.LoadCorrection()) {
          return;
        }
        this->peers->BroadcastFull(
            placement::WorkerKey(worker),
            this->routing_state.FullCooldownLeft(worker, this->runtime.Now()));
      };
    }
    dependencies.report_departure = [this](const std::string& worker,
                                           WallTime started) {
      this->peers->BroadcastDeparture(worker, started);
    };
    dependencies.report_strikes =
        [this](const std::vector<quarantine::Strike>& strikes) {
          this->peers->BroadcastStrikes(strikes);
          for (const quarantine::Strike& strike : strikes) {
            this->suspects->OnStrike(strike.fingerprint);
          }
        };
    dependencies.report_clearance =
        [this](const quarantine::Clearance& clearance) {
          this->peers->BroadcastClearance(clearance);
          this->suspects->OnCleared(clearance.fingerprint);
        };
    dependencies.links = this->links.get();
    dependencies.forward_targets = [this] { return this->ForwardTargets(); };
    dependencies.acquire_permit = [this](const std::string& server,
                                         Duration max_wait) {
      return this->permits->Acquire(server, max_wait);
    };
    dependencies.hold_left = [this] { return this->peers->HoldLeft(); };
    dependencies.ready_share = [this] { return this->ReadyShare(); };
    serving::RouterSettings router_settings;
    router_settings.served_requests_per_log_line =
        this->settings.served_requests_per_log_line;
    router_settings.streams.early_recovery = this->settings.early_recovery;
    this->router =
        serving::Router::Create(std::move(dependencies), router_settings);
    this->caller_server = this->Listen(
        this->settings.callers, this->shares.callers, Listener::kCallers,
        [this](io::HttpExchange& exchange) { this->router->Handle(exchange); });
    const auto handle_entry_request = [this](io::HttpExchange& exchange) {
      std::visit([&](const auto& request) { this->Answer(exchange, request); },
                 platform::ReadEntryRequest(exchange.Request()));
    };
    this->forwarded_server = this->Listen(
        this->settings.forwarded, this->shares.forwarded, Listener::kForwarded,
        [this](auto& exchange) { this->router->HandleForwarded(exchange); });
    this->RefuseByHead(this->caller_server.get(), false);
    this->RefuseByHead(this->forwarded_server.get(), true);
    this->readiness_server =
        this->Listen(this->settings.readiness, this->shares.readiness,
                     Listener::kReadiness, handle_entry_request);
    this->directory_server =
        this->Listen(this->settings.directory, this->shares.directory,
                     Listener::kDirectory, handle_entry_request);
    this->peer_server = this->Listen(
        this->settings.peers, this->shares.peers, Listener::kPeers,
        [this](io::HttpExchange& exchange) { this->AnswerPeer(exchange); });
    this->metrics_server = this->Listen(
        this->settings.metrics, this->shares.metrics, Listener::kMetrics,
        [this](io::HttpExchange& exchange) { this->AnswerMetrics(exchange); });
    return this->caller_server && this->forwarded_server &&
           this->readiness_server && this->directory_server &&
           this->peer_server && this->metrics_server;
  }

  io::SocketBuffers Buffers() const {
    return {this->limits.budget.buffer, this->limits.budget.buffer};
  }

  std::unique_ptr<io::HttpServer> Listen(const io::Endpoint& address,
                                         const io::ListenerShare& share,
                                         Listener listener,
                                         io::HttpHandler handler) {
    io::HttpServerSettings server;
    server.listen = address;
    server.connection_limit = share.connections;
    server.refusal_limit = share.refusals;
    server.backlog = memory::BacklogOf(share.connections);
    server.buffers = this->Buffers();
    // Other VMs close a connection only if its caller has left.
    server.half_closed_peers = listener == Listener::kCallers;
    server.budget = &this->budget;
    server.owner = RequestOwnerOf(listener);
    if (server.owner == memory::Owner::kControlRequests) {
      server.limits.body_bytes = kMaxControlBodyBytes;
    }
    auto created =
        io::HttpServer::Create(&this->runtime, server, std::move(handler),
                               serving::Router::UnreadableResponse);
    if (created.has_error()) {
      this->log.Error("router.cannot_listen",
                      {{"detail", created.error().detail}});
      return nullptr;
    }
    std::unique_ptr<io::HttpServer> listening = std::move(created).value();
    listening->OnException([this, address](std::string_view detail) {
      this->log.Error("connection.exception",
                      {{"listener", address.ToText()}, {"detail", detail}});
    });
    return listening;
  }

  void RefuseByHead(io::HttpServer* server, bool forwarded) {
    if (server != nullptr) {
      server->OnHead([this, forwarded](const io::HttpRequest& head) {
        return this->router->RefuseByHead(head, forwarded);
      });
    }
  }

  // ---- requests ----

  bool Ready() const {
    return !this->leaving && this->sync->IsSynced() &&
           this->peers->HoldLeft() == Duration::zero();
  }

  void Answer(io::HttpExchange& exchange, const platform::ReadinessRequest&) {
    exchange.Respond(platform::ReadinessResponse(this->Ready()));
  }

  void Answer(io::HttpExchange& exchange,
              const platform::AddressListRequest& request) {
    exchange.Respond(platform::AddressListResponse(
        fleet::ListAddresses(this->peers->Members(), request.data_centre, {},
                             &this->routing_state.Rng()),
        this->settings.address_ttl));
  }

  void Answer(io::HttpExchange& exchange, const platform::UnknownRequest&) {
    exchange.Respond(serving::Router::UnreadableResponse(404, "no such call"));
  }

  void AnswerPeer(io::HttpExchange& exchange) {
    const io::HttpRequest& request = exchange.Request();
    if (request.path != fleet::PeerStatePath()) {
      exchange.Respond(
          serving::Router::UnreadableResponse(404, "no such call"));
      return;
    }
    exchange.Respond(this->sync->HandleFollowerRequest(request));
  }

  void AnswerMetrics(io::HttpExchange& exchange) {
    if (exchange.Request().path == kPreviewPath) {
      exchange.Respond(serving::AnswerPreview(
          this->routing_state, exchange.Request(), this->settings.operator_key,
          this->runtime.Now()));
      return;
    }
    this->metrics.Set("chervil_build_info",
                      fmt::format("version=\"{}\",build=\"{}\"",
                                  CHERVILPASS_VERSION, BuildId()),
                      1);
    this->metrics.Set("chervil_uptime_seconds", "",
                      ToSeconds(this->runtime.Now() - this->started));
    this->metrics.Set("chervil_log_lines_dropped", "",
                      static_cast<double>(DroppedLogLines()));
    this->metrics.Set("chervil_requests_in_flight", "",
                      static_cast<double>(this->router->InFlight()));
    this->metrics.Set("chervil_connections_made", "",
                      static_cast<double>(this->http->ConnectionsMade()));
    this->ExportConnectionCounts();
    this->ExportConfigAge();
    this->load_report.Export(this->runtime.Now());
    this->ExportPathSamples();
    this->ExportMemory();
    this->metrics.Set("chervil_members_alive", "",
                      static_cast<double>(this->peers->AliveCount()));
    this->metrics.Set("chervil_gossip_sent_bytes", "",
                      static_cast<double>(this->peers->BytesSent()));
    this->metrics.Set("chervil_gossip_sent_datagrams", "",
                      static_cast<double>(this->peers->DatagramsSent()));
    this->metrics.Set("chervil_placement_decides", "",
                      this->placement->IsDecider() ? 1 : 0);
    io::HttpResponse response;
    response.headers.Add("Content-Type", "text/plain; version=0.0.4");
    response.body = this->metrics.PrometheusText();
    exchange.Respond(response);
  }

  void ExportConnectionCounts() {
    const ConnectionCounts counts = this->CountConnections();
    this->metrics.Set("chervil_connections_over_limit", "",
                      static_cast<double>(counts.servers.over_limit));
    this->metrics.Set("chervil_idle_connections_replaced", "",
                      static_cast<double>(counts.servers.idle_replaced));
    this->metrics.Set("chervil_descriptor_limit", "",
                      static_cast<double>(this->descriptors));
    this->metrics.Set("chervil_accept_failures", "",
                      static_cast<double>(counts.servers.accept_failures));
    this->metrics.Set("chervil_connection_exceptions", "",
                      static_cast<double>(counts.servers.exceptions));
    this->metrics.Set("chervil_stalled_connections_closed", "",
                      static_cast<double>(counts.servers.stalled_closed));
    const io::PeerEndCounts ends = this->caller_server->PeerEnds();
    this->metrics.Set("chervil_caller_ends", "how=\"input_ended\"",
                      static_cast<double>(ends.inputs_ended));
    this->metrics.Set("chervil_caller_ends", "how=\"reset\"",
                      static_cast<double>(ends.resets));
    this->metrics.Set("chervil_caller_ends", "how=\"write_failed\"",
                      static_cast<double>(ends.failed_writes));
    this->metrics.Set("chervil_connect_failures_local", "",
                      static_cast<double>(counts.local_failures));
    this->metrics.Set("chervil_caller_connections", "",
                      static_cast<double>(this->caller_server->Connections()));
  }

  void ExportPathSamples() {
    this->metrics.Set("chervil_sampled_paths", "",
                      static_cast<double>(this->routing_state.SampledPaths()));
    this->metrics.Set(
        "chervil_widely_sampled_paths", "",
        static_cast<double>(this->routing_state.WidelySampledPaths()));
  }

  void ExportConfigAge() {
    const auto table = this->routing_state.Table();
    this->metrics.Set("chervil_config_version", "",
                      table ? static_cast<double>(table->Version()) : 0);
    if (const auto unconfirmed =
            this->routing_state.ConfigUnconfirmedFor(this->runtime.Now())) {
      this->metrics.Set("chervil_config_unconfirmed_seconds", "",
                        ToSeconds(*unconfirmed));
    }
  }

  // ---- connections ----

  // Connections that were not served or could not be made, since the start.
  struct ConnectionCounts {
    io::HttpServerCounts servers;
    std::uint64_t local_failures = 0;

    bool operator==(const ConnectionCounts&) const = default;
  };

  ConnectionCounts CountConnections() const {
    ConnectionCounts sum;
    for (const auto* server : {&this->caller_server, &this->forwarded_server,
                               &this->readiness_server, &this->directory_server,
                               &this->peer_server, &this->metrics_server}) {
      const io::HttpServerCounts counts = (*server)->Counts();
      sum.servers.over_limit += counts.over_limit;
      sum.servers.idle_replaced += counts.idle_replaced;
      sum.servers.accept_failures += counts.accept_failures;
      sum.servers.exceptions += counts.exceptions;
      sum.servers.stalled_closed += counts.stalled_closed;
      sum.servers.buffer_failures += counts.buffer_failures;
    }
    sum.local_failures = this->http->LocalFailures();
    return sum;
  }

  // One line as the budget of an owner gets short, and one as it is ample
  // again.
  void LogMemory() {
    for (const memory::Owner owner : memory::kOwners) {
      const memory::OwnerUse& use = this->budget.UseOf(owner);
      const auto limit = static_cast<double>(this->budget.LimitOf(owner));
      const auto held = static_cast<double>(use.held);
      const bool was_short = this->short_owners.contains(owner);
      if (!was_short && held >= kShortShare * limit) {
        this->short_owners.insert(owner);
        this->LogMemoryOf(owner, true);
      } else if (was_short && held < kAmpleShare * limit) {
        this->short_owners.erase(owner);
        this->LogMemoryOf(owner, false);
      }
    }
  }

  void LogMemoryOf(memory::Owner owner, bool is_short) const {
    const memory::OwnerUse& use = this->budget.UseOf(owner);
    this->log.Warning("memory.budget",
                      {{"owner", memory::OwnerName(owner)},
                       {"short", is_short},
                       {"held_bytes", use.held},
                       {"limit_bytes", this->budget.LimitOf(owner)},
                       {"peak_bytes", use.peak},
                       {"refused", use.refused}});
  }

  void ExportMemory() {
    this->ExportKernelMemory();
    for (const memory::Owner owner : memory::kOwners) {
      const memory::OwnerUse& use = this->budget.UseOf(owner);
      const std::string label =
          fmt::format("owner=\"{}\"", memory::OwnerName(owner));
      this->metrics.Set("chervil_memory_held_bytes", label,
                        static_cast<double>(use.held));
      this->metrics.Set("chervil_memory_peak_bytes", label,
                        static_cast<double>(use.peak));
      this->metrics.Set("chervil_memory_refused", label,
                        static_cast<double>(use.refused));
      this->metrics.Set("chervil_memory_limit_bytes", label,
                        static_cast<double>(this->budget.LimitOf(owner)));
    }
  }

  void ExportKernelMemory() {
    const auto set = [this](std::string_view name, std::size_t bytes) {
      this->metrics.Set("chervil_kernel_held_bytes",
                        fmt::format("listener=\"{}\"", name),
                        static_cast<double>(bytes));
    };
    set("callers", this->caller_server->QueuedBytes());
    set("forwarded", this->forwarded_server->QueuedBytes());
    set("readiness", this->readiness_server->QueuedBytes());
    set("directory", this->directory_server->QueuedBytes());
    set("peers", this->peer_server->QueuedBytes());
    set("metrics", this->metrics_server->QueuedBytes());
    set("to_servers", this->http->QueuedBytes());
    this->metrics.Set("chervil_connection_buffer_bytes", "",
                      static_cast<double>(this->limits.budget.buffer));
    this->metrics.Set("chervil_memory_bound_bytes", "",
                      static_cast<double>(this->limits.budget.bound));
  }

  // At most one line in `kConnectionLogInterval`.
  void LogConnections() {
    const Instant now = this->runtime.Now();
    const ConnectionCounts counts = this->CountConnections();
    if (counts == this->logged_connections ||
        now - this->connections_logged_at < kConnectionLogInterval) {
      return;
    }
    this->log.Warning("connections.refused",
                      {{"over_limit", counts.servers.over_limit},
                       {"idle_replaced", counts.servers.idle_replaced},
                       {"stalled_closed", counts.servers.stalled_closed},
                       {"accept_failures", counts.servers.accept_failures},
                       {"connect_failures_local", counts.local_failures},
                       {"callers", this->caller_server->Connections()},
                       {"in_flight", this->router->InFlight()}});
    this->logged_connections = counts;
    this->connections_logged_at = now;
  }

  // ---- events ----

  void OnConfigChanged() {
    const auto table = this->routing_state.Table();
    this->peers->SetConfigVersion(table->Version());
    this->LogPriorityClasses();
    // Their probes and datagrams pay where urgent requests compete with others
    // for the same workers.
    const bool compete = !this->routing_state.Capacity().Classes().empty();
    this->routing_state.SetProtection(
        this->settings.early_recovery && compete,
        this->settings.load_correction && compete);
    const routing::CallerLimits& limits = table->Limits();
    io::HttpServerLimits server_limits;
    server_limits.header_bytes = limits.header_bytes;
    server_limits.body_bytes = limits.body_bytes;
    server_limits.idle_timeout = limits.idle_timeout;
    if (this->caller_server) {
      this->caller_server->SetLimits(server_limits);
    }
    server_limits.header_bytes += kForwardingHeaderBytes;
    server_limits.idle_timeout = io::HttpServerLimits().idle_timeout;
    if (this->forwarded_server) {
      this->forwarded_server->SetLimits(server_limits);
    }
  }

  // One line for each service whose requests have different priorities.
  void LogPriorityClasses() {
    for (const auto& [service, classes] :
         this->routing_state.Capacity().Classes()) {
      if (this->logged_classes[service] == classes) {
        continue;
      }
      this->log.Info("priority.classes",
                     {{"service", service},
                      {"classes", admission::DescribeClasses(classes)}});
    }
    this->logged_classes = this->routing_state.Capacity().Classes();
  }

  // One line as requests of a service begin to lack capacity, and one as they
  // cease to.
  void LogShortages() {
    const Instant now = this->runtime.Now();
    admission::CapacityPolicy& capacity = this->routing_state.Capacity();
    std::set<std::string> services = capacity.ShortServices(now);
    std::erase_if(services, [&](const std::string& service) {
      return !capacity.ActiveFor(service);
    });
    for (const std::string& service : services) {
      if (!this->short_services.contains(service)) {
        this->LogShortage(service, true);
      }
    }
    for (const std::string& service : this->short_services) {
      if (!services.contains(service)) {
        this->LogShortage(service, false);
      }
    }
    this->short_services = std::move(services);
  }

  void LogShortage(const std::string& service, bool is_short) {
    admission::CapacityPolicy& capacity = this->routing_state.Capacity();
    const admission::RoomState room =
        capacity.RoomOf(service).StateFor({}, 0, this->runtime.Now());
    this->log.Info("capacity.shortage",
                   {{"service", service},
                    {"short", is_short},
                    {"streams", room.streams},
                    {"mean_ms", ToMilliseconds(room.mean_duration)},
                    {"shares", capacity.Shares().Active()}});
  }

  void OnPeerStrike(const quarantine::Strike& strike) {
    const WallTime now = this->runtime.WallNow();
    quarantine::StrikeTracker& tracker = this->routing_state.Strikes();
    this->routing_state.OnServerEnded(strike.worker);
    if (tracker.CompletedRecently(strike.fingerprint, now) ||
        this->routing_state.PromptParts().ProvenSince(strike.fingerprint,
                                                      strike.at)) {
      // The VM that added the strike does not know that the request completes,
      // or a later run of one with the same part of the prompt.
      // One strike alone has no effect.
      if (strike.prior > 0) {
        this->peers->BroadcastClearance({strike.fingerprint, now});
      }
      return;
    }
    if (tracker.Add(strike, now)) {
      this->load_report.OnStrike(strike, tracker.Count(strike.fingerprint, now),
                                 now, this->runtime.Now());
      // The VM that added the strike may not know the earlier ones.
      if (this->IsRelay()) {
        this->suspects->OnStrike(strike.fingerprint);
      }
    }
  }

  void OnPeerFoundUnreachable(const std::string& worker) {
    // The links of the peer may be at fault.
    if (this->links->CutOff() ||
        this->links->ReachedWithin(worker, kReachedEvidenceTime)) {
      return;
    }
    this->routing_state.RecordLoss(worker, this->runtime.Now());
    // A peer's report only starts a cooldown for new requests. Streams and
    // layers are moved only if this VM's own observations confirm the report.
    this->routing_state.StartCooldown(
        worker,
        this->settings.early_recovery && this->routing_state.EarlyRecovery()
            ? routing::CooldownReason::kSuspected
            : routing::CooldownReason::kNotHolding,
        this->runtime.Now());
    if (this->router) {
      this->router->OnPeerFoundUnreachable(worker);
    }
    this->placement->OnSuspect(worker);
  }

  void OnPeerLoads(const std::string& peer,
                   fleet::LoadScope scope,
                   const std::vector<membership::WorkerLoadNotice>& notices) {
    this->RecordRateLimits(notices);
    placement::LoadsByKey loads;
    for (const membership::WorkerLoadNotice& notice : notices) {
      placement::WorkerLoad& load = loads[notice.worker];
      load.sequences = notice.sequences;
      load.kv_token_layers = 1000.0 * notice.kv_kilo_token_layers;
    }
    placement::LoadTracker& tracker = this->routing_state.Loads();
    if (scope == fleet::LoadScope::kVm) {
      this->routing_state.OnPeerLoads(peer, std::move(loads),
                                      this->runtime.Now());
    } else if (scope == fleet::LoadScope::kVmSample) {
      tracker.OnPeerLoads(peer, std::move(loads), this->runtime.Now());
    } else if (const auto data_centre = this->DataCentreOf(peer)) {
      tracker.OnDataCentreLoads(*data_centre, std::move(loads),
                                this->runtime.Now());
    }
  }

  void OnFullWorkers(const std::string& peer,
                     const std::vector<membership::FullWorkerNotice>& notices) {
    if (!this->routing_state.LoadCorrection()) {
      return;
    }
    std::map<std::uint32_t, Duration> left_by_key;
    for (const membership::FullWorkerNotice& notice : notices) {
      left_by_key[notice.worker] = milliseconds(notice.milliseconds);
    }
    const Instant now = this->runtime.Now();
    for (const routing::BackendServer* server :
         this->routing_state.Servers().All()) {
      const auto found = left_by_key.find(placement::WorkerKey(server->id));
      if (found == left_by_key.end()) {
        continue;
      }
      this->routing_state.OnFullNotice(server->id, found->second, now);
      this->load_report.OnFullLearned(server->id, peer, found->second, now);
    }
  }

  void OnRestOfLoads(const std::string& peer,
                     const membership::PartialLoads& partial) {
    if (const auto data_centre = this->DataCentreOf(peer)) {
      this->routing_state.Loads().OnRestOfDataCentreLoads(
          *data_centre, {partial.rest_sequences_hundredths / 100.0, 0,
                         1000.0 * partial.rest_kv_kilo_token_layers});
    }
  }

  void RecordRateLimits(
      const std::vector<membership::WorkerLoadNotice>& notices) {
    std::map<std::uint32_t, const membership::WorkerLoadNotice*> by_worker;
    for (const membership::WorkerLoadNotice& notice : notices) {
      if (notice.rate_limit != kNoRateLimitStatement) {
        by_worker[notice.worker] = &notice;
      }
    }
    if (by_worker.empty()) {
      return;
    }
    const Instant now = this->runtime.Now();
    for (const routing::BackendServer* server :
         this->routing_state.Servers().All()) {
      const auto found = by_worker.find(placement::WorkerKey(server->id));
      if (found == by_worker.end()) {
        continue;
      }
      routing::RateLimit limit;
      limit.said_at =
          now - kRateLimitAgeUnit * int{found->second->rate_limit_age};
      if (found->second->rate_limit >= kZeroRateLimit) {
        limit.per_second =
            (found->second->rate_limit - kZeroRateLimit) / kRateLimitUnits;
      }
      this->routing_state.RecordRateLimit(server->id, limit);
    }
  }

  // Adds the latest statements about rate limits that this VM knows.
  void AddRateLimits(std::vector<membership::WorkerLoadNotice>* notices) const {
    const Instant now = this->runtime.Now();
    auto recent =
        this->routing_state.RateLimitsSince(now - kRateLimitGossipTime);
    std::sort(recent.begin(), recent.end(), [](const auto& a, const auto& b) {
      return a.second.said_at > b.second.said_at;
    });
    recent.resize(std::min(recent.size(), kMaxGossipedRateLimits));
    for (const auto& [server, limit] : recent) {
      const std::uint32_t key = placement::WorkerKey(server);
      auto notice =
          std::find_if(notices->begin(), notices->end(),
                       [key](const membership::WorkerLoadNotice& candidate) {
                         return candidate.worker == key;
                       });
      if (notice == notices->end()) {
        notices->push_back({key, 0, 0});
        notice = std::prev(notices->end());
      }
      notice->rate_limit = kUnlimited;
      if (limit.per_second) {
        notice->rate_limit =
            kZeroRateLimit + static_cast<std::uint32_t>(std::min(
                                 *limit.per_second * kRateLimitUnits, 4e9));
      }
      notice->rate_limit_age =
          static_cast<std::uint16_t>((now - limit.said_at) / kRateLimitAgeUnit);
    }
  }

  std::optional<std::string> DataCentreOf(const std::string& vm) const {
    const membership::Member* member = this->peers->Find(vm);
    return member == nullptr ? std::nullopt
                             : std::optional<std::string>(member->data_centre);
  }

  std::size_t DataCentrePeerCount() const {
    std::size_t count = 0;
    for (const membership::Member& member : this->peers->Members()) {
      count += member.vm != this->settings.ip &&
                       member.data_centre == this->settings.data_centre &&
                       member.status != membership::Status::kDead
                   ? 1
                   : 0;
    }
    return count;
  }

  std::vector<membership::WorkerLoadNotice> CollectLoads(
      fleet::LoadScope scope) {
    const placement::LoadTracker& tracker = this->routing_state.Loads();
    const placement::LoadsByKey loads =
        scope == fleet::LoadScope::kVm
            ? tracker.LocalLoadsByKey()
            : tracker.DataCentreTotals(this->runtime.Now());
    std::vector<membership::WorkerLoadNotice> notices;
    for (const auto& [worker, load] : loads) {
      notices.push_back(
          {worker,
           static_cast<std::uint16_t>(std::min(load.sequences + 0.5, 65535.0)),
           static_cast<std::uint32_t>(
               std::min(load.kv_token_layers / 1000 + 0.5, 4e9))});
    }
    this->AddRateLimits(&notices);
    return notices;
  }

  void OnOrganisationLoads(
      const std::string& peer,
      fleet::LoadScope scope,
      const std::vector<membership::OrganisationLoadNotice>& notices) {
    admission::OrganisationShares& shares =
        this->routing_state.Capacity().Shares();
    auto tokens = fleet::OrganisationTokensOf(notices);
    if (scope == fleet::LoadScope::kVm) {
      shares.OnPeerLoads(peer, std::move(tokens), this->runtime.Now());
    } else if (const auto data_centre = this->DataCentreOf(peer)) {
      shares.OnDataCentreLoads(*data_centre, std::move(tokens),
                               this->runtime.Now());
    }
  }

  std::vector<membership::OrganisationLoadNotice> CollectOrganisationLoads(
      fleet::LoadScope scope) {
    admission::OrganisationShares& shares =
        this->routing_state.Capacity().Shares();
    if (!shares.Active()) {
      return {};
    }
    return fleet::OrganisationNotices(
        scope == fleet::LoadScope::kVm
            ? shares.LocalTokens()
            : shares.DataCentreTokens(this->runtime.Now()));
  }

  // The share of the other VMs of the fleet to which callers can go.
  double ReadyShare() const {
    const auto& members = this->peers->Members();
    const auto ready = std::count_if(
        members.begin(), members.end(),
        [this](const membership::Member& member) {
          return member.vm != this->settings.ip && member.entry_up &&
                 member.status == membership::Status::kAlive;
        });
    const std::size_t others = this->peers->MaxAlive() - 1;
    return others == 0
               ? 0
               : static_cast<double>(ready) / static_cast<double>(others);
  }

  // Up to two of the VMs that watch the store. The second one is chosen by a
  // hash of this VM's address, to spread the load.
  std::vector<io::Endpoint> Relays() {
    const auto relays =
        fleet::RelaysFor(this->peers->Members(), this->settings.ip);
    std::vector<io::Endpoint> endpoints;
    if (!relays.empty()) {
      endpoints.push_back({relays[0].ip, relays[0].control_port});
    }
    if (relays.size() > 1) {
      const std::size_t second =
          1 + HashText(this->settings.ip) % (relays.size() - 1);
      endpoints.push_back({relays[second].ip, relays[second].control_port});
    }
    return endpoints;
  }

  // ---- housekeeping ----

  void Housekeeping() {
    bool was_ready = false;
    while (true) {
      this->runtime.SleepFor(kHousekeepingPeriod);
      this->routing_state.Expire(this->runtime.Now(), this->runtime.WallNow());
      this->routing_state.Loads().SetDataCentrePeerCount(
          this->DataCentrePeerCount());
      this->routing_state.SetFleetSize(this->peers->AliveCount());
      admission::OrganisationShares& shares =
          this->routing_state.Capacity().Shares();
      shares.SetVms(this->peers->AliveCount());
      shares.SetDataCentrePeers(this->DataCentrePeerCount());
      this->LogShortages();
      fleet::SetPacingVms(this->routing_state, this->peers->Members(),
                          this->runtime.Now());
      fleet::ReportPaces(this->routing_state, this->log, this->metrics);
      this->routing_state.Retries().SetReserve(
          this->ReserveFor(this->peers->MaxAlive()));
      this->LogConnections();
      this->LogMemory();
      this->load_report.LogChanges(this->runtime.Now());
      if (this->Ready() != was_ready) {
        was_ready = this->Ready();
        this->log.Info("router.ready", {{"ready", was_ready}});
        this->peers->SetReady(was_ready);
      }
    }
  }

  // Polls the settings file, which may change without a signal.
  void WatchSettings() {
    while (true) {
      this->runtime.SleepFor(kSettingsPollInterval);
      this->PollSettings();
    }
  }

  // The first call reads them in any case: the file may have changed since the
  // start.
  void PollSettings() {
    std::string text = this->SettingsText();
    if (text != this->settings_text) {
      const bool first = this->settings_text.empty();
      this->settings_text = std::move(text);
      this->Reload(first ? "first poll" : "file changed");
    }
  }

  std::string SettingsText() const {
    std::ifstream file(this->command_line.config_path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
  }

  void Reload(std::string_view reason) {
    auto reader =
        config::SettingsReader::FromFile(this->command_line.config_path);
    config::SettingsErrors errors;
    std::optional<RouterProgramSettings> new_settings;
    if (reader.has_error()) {
      errors = reader.error();
    } else {
      new_settings = ReadRouterSettings(reader.value(), this->command_line);
      errors = reader.value().Finish();
    }
    if (!errors.empty()) {
      this->log.Error("settings.rejected",
                      {{"why", reason}, {"faults", config::ToText(errors)}});
      return;
    }
    // All other changes take effect at the next start.
    this->settings.address_ttl = new_settings->address_ttl;
    this->settings.shutdown_grace = new_settings->shutdown_grace;
    this->settings.whole_grace = new_settings->whole_grace;
    this->settings.retry_reserve = new_settings->retry_reserve;
    this->log.Info("settings.reloaded", {{"why", reason}});
  }

  // Leaves the address lists and ends the work of this VM.
  void Leave() {
    this->leaving = true;
    this->peers->SetLeaving();
    this->OnStopOrdered();
    this->runtime.OnFurtherStopSignal([this] { this->OnStopOrdered(); });
    ShutdownParts parts;
    parts.runtime = &this->runtime;
    parts.log = &this->log;
    parts.router = this->router.get();
    parts.callers = this->caller_server.get();
    parts.forwarded = this->forwarded_server.get();
    parts.settings = &this->settings;
    parts.started = this->started;
    parts.refresh_settings = [this] {
      this->PollSettings();
      this->AnnounceStop();
    };
    ShutdownSequence(parts).Run();
  }

  // While an earlier process has the ports, the record in the store is its own:
  // the next process would not learn of the end that an order to this one sets.
  void OutlastGrace() {
    if (this->settings.whole_grace) {
      this->log.Info(
          "router.outlasting_grace",
          {{"grace_ms", ToMilliseconds(this->settings.shutdown_grace)}});
      this->runtime.SleepFor(this->settings.shutdown_grace - kUnusedExitMargin);
    }
  }

  // Each order has a grace period of its own, at whose end the platform ends
  // whichever process the VM runs then.
  void OnStopOrdered() {
    this->stop_ordered = this->runtime.WallNow();
    this->AnnounceStop();
  }

  // Also if the grace period changes during the stop.
  void AnnounceStop() {
    const WallTime ends{this->stop_ordered.milliseconds +
                        ToMilliseconds(this->settings.shutdown_grace)};
    if (this->settings.whole_grace && ends != this->announced_end) {
      this->announced_end = ends;
      this->peers->AnnounceStop(ends);
    }
  }

  io::Runtime& runtime;
  RouterProgramSettings settings;
  std::string settings_text;  // of the file, at the last poll
  app::CommandLine command_line;
  Logger log;
  MetricsRegistry metrics;
  Instant started;
  std::size_t descriptors;  // the process may open
  memory::MemoryBudgetSettings memory_division;
  ConnectionLimits limits;
  io::DescriptorDivision shares;
  memory::MemoryBudget budget;
  std::uint64_t boot_id;
  serving::RoutingState routing_state;
  bool leaving = false;
  WallTime stop_ordered;   // by the latest order
  WallTime announced_end;  // of its grace period, to the next process
  std::set<memory::Owner> short_owners;
  std::map<std::string, admission::PriorityClasses> logged_classes;
  std::set<std::string> short_services;  // as logged
  ConnectionCounts logged_connections;
  Instant connections_logged_at{};
  LoadReport load_report;
  std::unique_ptr<platform::StoreClient> store;
  std::unique_ptr<io::HttpClient> http;
  std::unique_ptr<fleet::PeerGroup> peers;
  std::unique_ptr<fleet::SendPermits> permits;
  std::unique_ptr<fleet::StoreSync> sync;
  std::unique_ptr<fleet::SuspectSync> suspects;
  std::unique_ptr<fleet::PlacementController> placement;
  std::unique_ptr<serving::LinkMonitor> links;
  std::unique_ptr<serving::Router> router;
  std::unique_ptr<io::HttpServer> caller_server;
  std::unique_ptr<io::HttpServer> forwarded_server;
  std::unique_ptr<io::HttpServer> readiness_server;
  std::unique_ptr<io::HttpServer> directory_server;
  std::unique_ptr<io::HttpServer> peer_server;
  std::unique_ptr<io::HttpServer> metrics_server;
};

}  // namespace
}  // namespace chervilpass

int main(int argc, char** argv) {
  using namespace chervilpass;
  io::Runtime::PrepareSignals();
  memory::ReturnLargeBlocks();
  const app::CommandLine command_line =
      app::ParseCommandLine(argc, argv, "Router daemon of an entry VM.");
  const auto settings = app::LoadSettings<RouterProgramSettings>(
      command_line, [&](config::SettingsReader& reader) {
        return ReadRouterSettings(reader, command_line);
      });
  int code = app::kExitOk;
  io::Runtime::Run([&](io::Runtime& runtime) {
    code = Daemon(runtime, settings, command_line).Run();
    app::ExitNow(code);
  });
  return code;
}
