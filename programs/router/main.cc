// chervil-router: the daemon of an entry VM. Serves callers, answers which
// addresses they are to use, and takes part in the fleet's own duties.
#include <fstream>
#include <sstream>

#include "chervilpass/app/program.h"
#include "chervilpass/core/hash.h"
#include "chervilpass/fleet/address_list.h"
#include "chervilpass/fleet/peer_group.h"
#include "chervilpass/fleet/placement_controller.h"
#include "chervilpass/fleet/relays.h"
#include "chervilpass/fleet/store_sync.h"
#include "chervilpass/serving/router.h"
#include "platform/entry_calls.h"
#include "programs/router/settings.h"

namespace chervilpass {
namespace {

// Part of the fleet's retry reserve that is given out; the rest covers restarts
// of processes, which start with a full share.
constexpr double kReserveShare = 0.7;
// A fleet of unknown size is taken to be this large.
constexpr std::size_t kLeastFleet = 9;
constexpr Duration kHousekeepingPeriod = milliseconds(250);
constexpr Duration kSettingsPeriod = seconds(3);
constexpr Duration kDrainPoll = milliseconds(50);
// Before the end of the grace period: idle connections are closed, then the
// process ends by itself.
constexpr Duration kCloseIdleBefore = milliseconds(900);
constexpr Duration kEndBefore = milliseconds(350);
// Callers may keep addresses three times as long as they are told.
constexpr int kAddressLifetimes = 3;
constexpr Duration kUnacknowledgedLimit = seconds(3);
constexpr std::size_t kIdleConnections = 64;  // to one backend server
constexpr std::uint32_t kReservedDescriptors = 200;
// Gossip reaches a fresh VM's whole data centre within a few round trips.
constexpr Duration kFirstGossip = milliseconds(400);
// VMs of a fleet start within 0.3 s; by then its first relays have listed.
constexpr Duration kFleetStart = milliseconds(1500);

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
  self.boot_id = boot_id;
  return self;
}

membership::DetectorSettings FastDetector() {
  membership::DetectorSettings settings;
  // Callers are told of an address for two seconds: an entry that is gone has
  // to be out of the lists sooner.
  settings.probe_period = milliseconds(350);
  settings.probe_timeout = milliseconds(120);
  settings.suspicion_timeout = milliseconds(900);
  return settings;
}

// The parts of the daemon and how they hang together.
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
        boot_id(BootId(runtime)),
        world(this->BeliefSettings(),
              HashCombine(HashText(this->settings.ip), this->boot_id)) {}

  int Run() {
    this->CreateClients();
    if (!this->CreatePeers() || !this->CreateServers()) {
      return app::kExitFailure;
    }
    this->log.Info("router.started",
                   {{"version", CHERVILPASS_VERSION},
                    {"callers", this->settings.callers.ToText()},
                    {"boot_id", this->boot_id}});
    this->runtime.Spawn([this] { this->Housekeeping(); });
    this->runtime.Spawn([this] { this->WatchSettings(); });
    this->runtime.OnReloadSignal([this] { this->Reload("signal"); });
    this->runtime.WaitForStopSignal();
    this->Leave();
    return app::kExitOk;
  }

 private:
  serving::RoutingStateSettings BeliefSettings() const {
    serving::RoutingStateSettings beliefs;
    beliefs.vm = this->settings.ip;
    beliefs.data_centre = this->settings.data_centre;
    beliefs.retries = {this->settings.retry_share,
                       this->ReserveFor(kLeastFleet)};
    return beliefs;
  }

  double ReserveFor(std::size_t fleet) const {
    return this->settings.retry_reserve * kReserveShare /
           static_cast<double>(std::max(fleet, kLeastFleet));
  }

  void CreateClients() {
    this->store = platform::StoreClient::Create(&this->runtime, &this->metrics,
                                                {this->settings.store});
    io::HttpClientSettings http;
    http.idle_connections = kIdleConnections;
    http.tcp_user_timeout = kUnacknowledgedLimit;
    this->http = io::HttpClient::Create(&this->runtime, http);
  }

  bool CreatePeers() {
    fleet::PeerGroupSettings group;
    group.self = SelfOf(this->settings, this->boot_id);
    group.seed_ips = this->settings.seed_ips;
    std::erase(group.seed_ips, this->settings.ip);
    group.detector = FastDetector();
    fleet::PeerGroupEvents events;
    events.strike = [this](const quarantine::Strike& strike) {
      this->world.Strikes().Add(strike, this->runtime.WallNow());
    };
    events.unreachable = [this](const std::string& worker) {
      this->OnPeerFoundUnreachable(worker);
    };
    events.refusing = [this](const std::string& worker) {
      this->world.StartCooldown(worker, routing::CooldownReason::kRefusing,
                                this->runtime.Now());
    };
    events.newer_config = [this](const membership::Member& holder) {
      this->sync->FetchConfig({holder.ip, holder.control_port});
    };
    events.loads = [this](const std::string& peer, fleet::LoadScope scope,
                          const auto& notices) {
      this->OnPeerLoads(peer, scope, notices);
    };
    events.collect_loads = [this](fleet::LoadScope scope) {
      return this->LoadsToTell(scope);
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
    this->CreateSync();
    this->placement = fleet::PlacementController::Create(
        &this->runtime, this->store.get(), this->http.get(), &this->world,
        &this->metrics, &this->log, {}, SelfOf(this->settings, this->boot_id),
        [this] { return this->peers->Members(); });
    return true;
  }

  void CreateSync() {
    fleet::StoreSyncEvents events;
    events.config_changed = [this] { this->OnConfigChanged(); };
    events.store_changed = [this](bool up) { this->peers->SetStoreUp(up); };
    events.is_relay = [this] { return this->IsRelay(); };
    events.relays = [this] { return this->Relays(); };
    this->sync = fleet::StoreSync::Create(&this->runtime, this->store.get(),
                                          &this->world, &this->metrics,
                                          &this->log, {}, std::move(events));
  }

  // Right after its start a VM knows no peers, and nobody says yet that it
  // reaches the store; all would watch it.
  bool IsRelay() const {
    const Duration age = this->runtime.Now() - this->started;
    return age >= kFirstGossip &&
           fleet::IsRelay(this->peers->Members(), this->settings.ip,
                          age < kFleetStart ? fleet::FleetPhase::kStarting
                                            : fleet::FleetPhase::kSteady);
  }

  bool CreateServers() {
    serving::RouterDependencies parts;
    parts.runtime = &this->runtime;
    parts.routing_state = &this->world;
    parts.http = this->http.get();
    parts.metrics = &this->metrics;
    parts.log = &this->log;
    parts.report_unreachable = [this](const std::string& worker) {
      this->peers->SpreadUnreachable(worker);
      this->placement->OnSuspect(worker);
    };
    parts.report_refusing = [this](const std::string& worker) {
      this->peers->SpreadRefusing(worker);
    };
    parts.report_strike = [this](const quarantine::Strike& strike) {
      this->peers->SpreadStrike(strike);
    };
    this->router = serving::Router::Create(std::move(parts), {});
    this->callers = this->Listen(
        this->settings.callers,
        [this](io::HttpExchange& exchange) { this->router->Handle(exchange); });
    const auto ask = [this](io::HttpExchange& exchange) {
      std::visit(
          [&](const auto& question) { this->Answer(exchange, question); },
          platform::ReadEntryRequest(exchange.Request()));
    };
    this->readiness = this->Listen(this->settings.readiness, ask);
    this->directory = this->Listen(this->settings.directory, ask);
    this->state = this->Listen(
        this->settings.peers,
        [this](io::HttpExchange& exchange) { this->AnswerPeer(exchange); });
    this->metrics_server = this->Listen(
        this->settings.metrics,
        [this](io::HttpExchange& exchange) { this->AnswerMetrics(exchange); });
    return this->callers && this->readiness && this->directory && this->state &&
           this->metrics_server;
  }

  std::unique_ptr<io::HttpServer> Listen(const io::Endpoint& address,
                                         io::HttpHandler handler) {
    io::HttpServerSettings server;
    server.listen = address;
    server.connection_limit =
        this->settings.descriptors > 2 * kReservedDescriptors
            ? (this->settings.descriptors - kReservedDescriptors) / 2
            : kReservedDescriptors;
    auto created =
        io::HttpServer::Create(&this->runtime, server, std::move(handler),
                               serving::Router::UnreadableResponse);
    if (created.has_error()) {
      this->log.Error("router.cannot_listen",
                      {{"detail", created.error().detail}});
      return nullptr;
    }
    return std::move(created).value();
  }

  // ---- questions ----

  bool Ready() const { return !this->leaving && this->sync->IsSynced(); }

  void Answer(io::HttpExchange& exchange, const platform::ReadinessRequest&) {
    exchange.Respond(platform::ReadinessResponse(this->Ready()));
  }

  void Answer(io::HttpExchange& exchange,
              const platform::AddressListRequest& question) {
    exchange.Respond(platform::AddressListResponse(
        fleet::ListAddresses(this->peers->Members(), question.data_centre, {},
                             &this->world.Rng()),
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
    exchange.Respond(this->sync->AnswerFollower(request));
  }

  void AnswerMetrics(io::HttpExchange& exchange) {
    this->metrics.Set("chervil_log_lines_dropped", "",
                      static_cast<double>(DroppedLogLines()));
    this->metrics.Set("chervil_requests_in_flight", "",
                      static_cast<double>(this->router->InFlight()));
    this->metrics.Set("chervil_connections_made", "",
                      static_cast<double>(this->http->ConnectionsMade()));
    this->metrics.Set("chervil_placement_decides", "",
                      this->placement->IsDecider() ? 1 : 0);
    io::HttpResponse answer;
    answer.headers.Add("Content-Type", "text/plain; version=0.0.4");
    answer.body = this->metrics.PrometheusText();
    exchange.Respond(answer);
  }

  // ---- events ----

  void OnConfigChanged() {
    const auto table = this->world.Table();
    this->peers->SetConfigVersion(table->Version());
    const routing::CallerLimits& limits = table->Limits();
    io::HttpServerLimits server;
    server.header_bytes = limits.header_bytes;
    server.body_bytes = limits.body_bytes;
    server.idle_timeout = limits.idle_timeout;
    if (this->callers) {
      this->callers->SetLimits(server);
    }
  }

  void OnPeerFoundUnreachable(const std::string& worker) {
    // Hearsay keeps new requests away for a moment; streams or layers are moved
    // only where this VM's own evidence agrees.
    this->world.StartCooldown(worker, routing::CooldownReason::kNotHolding,
                              this->runtime.Now());
    if (this->router) {
      this->router->OnPeerFoundUnreachable(worker);
    }
    this->placement->OnSuspect(worker);
  }

  void OnPeerLoads(const std::string& peer,
                   fleet::LoadScope scope,
                   const std::vector<membership::WorkerLoadNotice>& notices) {
    placement::LoadsByKey loads;
    for (const membership::WorkerLoadNotice& notice : notices) {
      placement::WorkerLoad& load = loads[notice.worker];
      load.sequences = notice.sequences;
      load.kv_token_layers = 1000.0 * notice.kv_kilo_token_layers;
    }
    placement::LoadTracker& book = this->world.Loads();
    if (scope == fleet::LoadScope::kVm) {
      book.OnPeerLoads(peer, std::move(loads), this->runtime.Now());
    } else if (const auto data_centre = this->DataCentreOf(peer)) {
      book.OnDataCentreLoads(*data_centre, std::move(loads),
                             this->runtime.Now());
    }
  }

  std::optional<std::string> DataCentreOf(const std::string& vm) const {
    for (const membership::Member& member : this->peers->Members()) {
      if (member.vm == vm) {
        return member.data_centre;
      }
    }
    return std::nullopt;
  }

  std::size_t LocalPeers() const {
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

  std::vector<membership::WorkerLoadNotice> LoadsToTell(
      fleet::LoadScope scope) {
    const placement::LoadTracker& book = this->world.Loads();
    const placement::LoadsByKey loads =
        scope == fleet::LoadScope::kVm
            ? book.LocalLoadsByKey()
            : book.DataCentreTotals(this->runtime.Now());
    std::vector<membership::WorkerLoadNotice> notices;
    for (const auto& [worker, load] : loads) {
      notices.push_back(
          {worker,
           static_cast<std::uint16_t>(std::min(load.sequences + 0.5, 65535.0)),
           static_cast<std::uint32_t>(
               std::min(load.kv_token_layers / 1000 + 0.5, 4e9))});
    }
    return notices;
  }

  // Two of the VMs that watch the store; which of those in other data centres
  // follows from the address, to spread the work.
  std::vector<io::Endpoint> Relays() {
    const auto relays =
        fleet::RelaysFor(this->peers->Members(), this->settings.ip);
    std::vector<io::Endpoint> two;
    if (!relays.empty()) {
      two.push_back({relays[0].ip, relays[0].control_port});
    }
    if (relays.size() > 1) {
      const std::size_t other =
          1 + HashText(this->settings.ip) % (relays.size() - 1);
      two.push_back({relays[other].ip, relays[other].control_port});
    }
    return two;
  }

  // ---- upkeep ----

  void Housekeeping() {
    bool was_ready = false;
    while (true) {
      this->runtime.SleepFor(kHousekeepingPeriod);
      this->world.Expire(this->runtime.Now(), this->runtime.WallNow());
      this->world.Loads().SetDataCentrePeerCount(this->LocalPeers());
      this->world.Retries().SetReserve(
          this->ReserveFor(this->peers->MaxAlive()));
      if (this->Ready() != was_ready) {
        was_ready = this->Ready();
        this->log.Info("router.ready", {{"ready", was_ready}});
        this->peers->SetReady(was_ready);
      }
    }
  }

  // The file may change without a signal.
  void WatchSettings() {
    std::string known = this->SettingsText();
    while (true) {
      this->runtime.SleepFor(kSettingsPeriod);
      std::string text = this->SettingsText();
      if (text != known) {
        known = std::move(text);
        this->Reload("file changed");
      }
    }
  }

  std::string SettingsText() const {
    std::ifstream file(this->command_line.config_path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
  }

  void Reload(std::string_view why) {
    auto reader =
        config::SettingsReader::FromFile(this->command_line.config_path);
    config::SettingsErrors faults;
    std::optional<RouterProgramSettings> fresh;
    if (reader.has_error()) {
      faults = reader.error();
    } else {
      fresh = ReadRouterSettings(reader.value(), this->command_line);
      faults = reader.value().Finish();
    }
    if (!faults.empty()) {
      this->log.Error("settings.rejected",
                      {{"why", why}, {"faults", config::ToText(faults)}});
      return;
    }
    // Addresses stay until the next start.
    this->settings.address_ttl = fresh->address_ttl;
    this->settings.shutdown_grace = fresh->shutdown_grace;
    this->settings.retry_reserve = fresh->retry_reserve;
    this->log.Info("settings.reloaded", {{"why", why}});
  }

  // Out of the address lists first, then no new work that would not end in
  // time, then the end.
  void Leave() {
    const Instant start = this->runtime.Now();
    const Instant end = start + this->settings.shutdown_grace - kEndBefore;
    this->leaving = true;
    this->log.Info(
        "router.leaving",
        {{"in_flight", this->router->InFlight()},
         {"grace_ms", ToMilliseconds(this->settings.shutdown_grace)}});
    this->peers->SetLeaving();
    this->callers->StopKeepingAlive();
    this->router->SetShutdownDeadline(end);
    const Instant addresses_expired =
        start + kAddressLifetimes * this->settings.address_ttl;
    while (this->runtime.Now() < end) {
      this->runtime.SleepFor(kDrainPoll);
      const Instant now = this->runtime.Now();
      if (now > end - kCloseIdleBefore || now > addresses_expired) {
        this->callers->CloseIdle();
      }
      if (now > addresses_expired && this->router->InFlight() == 0) {
        break;
      }
    }
    this->log.Info("router.stopped", {{"in_flight", this->router->InFlight()}});
  }

  io::Runtime& runtime;
  RouterProgramSettings settings;
  app::CommandLine command_line;
  Logger log;
  MetricsRegistry metrics;
  Instant started;
  std::uint64_t boot_id;
  serving::RoutingState world;
  bool leaving = false;
  std::unique_ptr<platform::StoreClient> store;
  std::unique_ptr<io::HttpClient> http;
  std::unique_ptr<fleet::PeerGroup> peers;
  std::unique_ptr<fleet::StoreSync> sync;
  std::unique_ptr<fleet::PlacementController> placement;
  std::unique_ptr<serving::Router> router;
  std::unique_ptr<io::HttpServer> callers;
  std::unique_ptr<io::HttpServer> readiness;
  std::unique_ptr<io::HttpServer> directory;
  std::unique_ptr<io::HttpServer> state;
  std::unique_ptr<io::HttpServer> metrics_server;
};

}  // namespace
}  // namespace chervilpass

int main(int argc, char** argv) {
  using namespace chervilpass;
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
