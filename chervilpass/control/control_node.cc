#include "chervilpass/control/control_node.h"

#include <fmt/format.h>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <map>

#include "chervilpass/config/config_json.h"
#include "chervilpass/control/config_manager.h"
#include "chervilpass/core/hash.h"
#include "chervilpass/io/udp_socket.h"
#include "chervilpass/membership/rendezvous.h"
#include "chervilpass/rpc/gossip_codec.h"

namespace chervilpass::control {
namespace {

using membership::Member;
using membership::Status;

constexpr Duration kViewWait = milliseconds(500);  // of one WatchView call
constexpr Duration kRoleTimeout = milliseconds(1200);
constexpr Duration kRoleCheckInterval = milliseconds(100);
constexpr Duration kSeedInterval = seconds(5);
constexpr Duration kPullTimeout = seconds(2);
constexpr Duration kLeavingNoticeLifetime = seconds(60);
constexpr std::uint32_t kAnnounceFanout = 3;
constexpr std::uint64_t kRelayKey = 0x72656c61790000ULL;
constexpr std::size_t kMaxStrikesInView = 64;

// State of a daemon of this VM, which counts as up while it requests views.
struct RoleStatus {
  Instant last_seen{};
  bool seen = false;

  bool Up(Instant now) const {
    return this->seen && now - this->last_seen < kRoleTimeout;
  }
};

}  // namespace

struct ControlNode::State : std::enable_shared_from_this<ControlNode::State> {
  State(io::Runtime* runtime,
        MetricsRegistry* metrics,
        Logger log,
        std::shared_ptr<rpc::RpcLoop> loop,
        std::shared_ptr<platform::ObjectClient> store,
        ControlNodeSettings settings,
        std::unique_ptr<io::UdpSocket> socket,
        std::uint64_t seed)
      : runtime(runtime),
        metrics(metrics),
        log(std::move(log)),
        loop(std::move(loop)),
        store(std::move(store)),
        settings(std::move(settings)),
        socket(std::move(socket)),
        random(seed),
        detector(this->settings.detector,
                 this->settings.self,
                 seed,
                 runtime->Now()),
        loss_guard(this->settings.loss_guard),
        config_manager(
            runtime,
            this->log,
            this->store,
            seed,
            [this](const std::string& from) { this->OnConfigApplied(from); }) {}

  void Start() {
    const auto self = this->shared_from_this();
    this->runtime->Spawn([self] { self->ReceiveLoop(); });
    this->runtime->Spawn([self] { self->TickLoop(); });
    this->runtime->Spawn([self] { self->SeedLoop(); });
    this->runtime->Spawn([self] { self->RoleLoop(); });
    this->runtime->Spawn([self] { self->ConfigLoop(); });
    this->runtime->Spawn([self] { self->VmListLoop(); });
  }

  // ---- gossip ----

  void ReceiveLoop() {
    while (true) {
      const std::string datagram = this->socket->Receive();
      this->bytes_received += datagram.size();
      if (const auto message = rpc::DecodeGossip(datagram)) {
        this->Apply(this->detector.OnMessage(*message, this->runtime->Now()));
      }
    }
  }

  void TickLoop() {
    const Duration interval = this->settings.detector.probe_timeout / 4;
    while (true) {
      this->runtime->SleepFor(interval);
      this->Apply(this->detector.OnTick(this->runtime->Now()));
    }
  }

  // Contacts seeds that are not known to be alive at regular intervals: they
  // may have been started later than this VM, or separated from it by a
  // partition.
  void SeedLoop() {
    while (true) {
      const Instant now = this->runtime->Now();
      for (const Member& seed : this->settings.seeds) {
        bool alive = false;
        for (const Member& member : this->detector.Members()) {
          alive = alive || (member.vm == seed.vm && member.boot_id != 0 &&
                            member.status == Status::kAlive);
        }
        if (!alive) {
          this->Apply(this->detector.AddSeed(seed, now));
        }
      }
      this->runtime->SleepFor(kSeedInterval);
    }
  }

  void Apply(const membership::DetectorActions& actions) {
    for (const membership::DetectorAction& action : actions) {
      std::visit([this](const auto& item) { this->Do(item); }, action);
    }
  }

  void Do(const membership::SendGossip& send) {
    this->socket->Send({send.to.ip, send.to.gossip_port},
                       rpc::EncodeGossip(send.message));
  }

  void Do(const membership::MemberChanged& change) {
    const Member& member = change.member;
    this->log.Info("member.changed",
                   {{"member", member.vm},
                    {"status", static_cast<int>(member.status)},
                    {"incarnation", member.incarnation},
                    {"dispatch_up", member.dispatch_up},
                    {"entry_up", member.entry_up}});
    if (member.status == Status::kDead) {
      this->loss_guard.OnDead(member.vm, this->runtime->Now());
    } else {
      this->loss_guard.OnAlive(member.vm);
    }
    this->PublishView();
  }

  void Do(const membership::StrikeReceived& received) {
    this->strikes.push_back(received.strike);
    if (this->strikes.size() > kMaxStrikesInView) {
      this->strikes.erase(this->strikes.begin());
    }
    this->PublishView();
  }

  void Do(const membership::ClearanceReceived& received) {
    std::erase_if(this->strikes, [&](const quarantine::Strike& strike) {
      return strike.fingerprint == received.clearance.fingerprint;
    });
    this->PublishView();
  }

  void Do(const membership::LeavingReceived& received) {
    const bool known = this->leaving_backends.contains(received.notice.backend);
    this->leaving_backends[received.notice.backend] = received.notice.at;
    if (!known) {
      this->log.Info("backend.leaving", {{"backend", received.notice.backend}});
      this->PublishView();
    }
  }

  void Do(const membership::UnreachableReceived& received) {
    this->log.Debug("backend.unreachable",
                    {{"backend", received.notice.backend}});
  }

  void Do(const membership::DepartureReceived& received) {
    this->log.Debug("backend.departure",
                    {{"backend", received.notice.backend}});
  }

  void Do(const membership::NewerConfigReceived& received) {
    if (this->pulling || received.member.config_version <=
                             this->config_manager.History().Version()) {
      return;
    }
    this->pulling = true;
    this->runtime->Spawn(
        [self = this->shared_from_this(), member = received.member] {
          self->PullFrom(member);
        });
  }

  // ---- configuration ----

  void PullFrom(const Member& member) {
    auto& client = this->peers[member.vm];
    if (client == nullptr) {
      client = rpc::ControlClient::Create(this->loop,
                                          {member.ip, member.control_port});
    }
    const auto changes = client->PullConfig(
        this->config_manager.History().Version(), kPullTimeout);
    this->pulling = false;
    if (changes.has_error()) {
      this->log.Warning(
          "config.pull-failed",
          {{"from", member.vm}, {"detail", changes.error().detail}});
      this->peers.erase(member.vm);
      return;
    }
    this->metrics->Increment("chervil_config_bytes_pulled_total", "",
                             changes.value().body.size());
    this->config_manager.ApplyFromPeer(changes.value(), member.vm);
  }

  void OnConfigApplied(const std::string& from) {
    const std::uint64_t version = this->config_manager.History().Version();
    this->log.Info("config.taken", {{"version", version}, {"from", from}});
    this->metrics->Increment("chervil_config_taken_total");
    this->detector.SetConfigVersion(version);
    this->PublishView();
    this->Apply(this->detector.Announce(kAnnounceFanout, this->runtime->Now()));
  }

  // True if this VM is a relay of its data centre. Only relays watch the
  // platform.
  bool IsRelay() const {
    std::vector<std::string> candidates;
    for (const Member& member : this->detector.Members()) {
      if (member.data_centre == this->settings.self.data_centre &&
          member.status <= Status::kSuspect) {
        candidates.push_back(member.vm);
      }
    }
    const auto order = membership::RendezvousOrder(candidates, kRelayKey);
    for (std::size_t i = 0;
         i < order.size() && i < this->settings.relays_per_data_centre; ++i) {
      if (order[i] == this->settings.self.vm) {
        return true;
      }
    }
    return false;
  }

  // Reads the configuration from the platform until one is known; relays then
  // keep watching it.
  void ConfigLoop() {
    while (true) {
      if (!this->IsRelay() && this->config_manager.History().Version() > 0) {
        this->runtime->SleepFor(this->settings.vm_list_interval);
        continue;
      }
      this->config_manager.FollowOnce(this->settings.watch_timeout);
    }
  }

  // ---- VM list ----

  void VmListLoop() {
    std::vector<platform::ListedVm> last_list;
    while (true) {
      this->runtime->SleepFor(this->settings.vm_list_interval);
      this->ExpireLeaving();
      if (!this->IsRelay()) {
        last_list.clear();
        continue;
      }
      auto listed = this->store->ListVms();
      if (listed.has_value()) {
        last_list = std::move(listed).value();
      }
      // During an outage the last list is used. VMs missing from the list are
      // not treated as gone: the list lags and can be empty.
      for (const platform::ListedVm& vm : last_list) {
        if (vm.leaving) {
          this->OnListedLeaving(vm.name);
        }
      }
    }
  }

  void OnListedLeaving(const std::string& name) {
    const auto config = this->config_manager.History().Current();
    if (config != nullptr && config->backends.contains(name)) {
      this->Apply(this->detector.AddLeaving({name, this->runtime->WallNow()}));
    } else {
      this->Apply(this->detector.MarkLeaving(name, this->runtime->Now()));
    }
  }

  void ExpireLeaving() {
    const WallTime now = this->runtime->WallNow();
    const auto expired =
        std::erase_if(this->leaving_backends, [&](const auto& item) {
          return now.milliseconds - item.second.milliseconds >
                 ToMilliseconds(kLeavingNoticeLifetime);
        });
    if (expired > 0) {
      this->PublishView();
    }
  }

  // ---- views ----

  void PublishView() {
    ++this->generation;
    this->view_changed.notify_all();
  }

  rpc::View WatchView(const rpc::ViewQuery& query) {
    RoleStatus& role = this->roles[query.role];
    role.seen = true;
    role.last_seen = this->runtime->Now();
    std::unique_lock<boost::fibers::mutex> lock(this->view_mutex);
    this->view_changed.wait_until(lock, this->runtime->Now() + kViewWait, [&] {
      return this->generation != query.known_generation;
    });
    role.last_seen = this->runtime->Now();
    rpc::View view;
    view.generation = this->generation;
    view.config_version = this->config_manager.History().Version();
    if (this->generation == query.known_generation) {
      return view;
    }
    view.members = this->ViewMembers();
    view.strikes = this->strikes;
    for (const auto& [backend, at] : this->leaving_backends) {
      view.leaving_backends.push_back(backend);
    }
    if (this->config_manager.History().Version() > query.known_config_version) {
      view.config = this->config_manager.History().CurrentJson();
    }
    return view;
  }

  std::vector<Member> ViewMembers() {
    std::vector<Member> members = this->detector.Members();
    const auto held_members =
        this->loss_guard.HeldMembers(members.size(), this->runtime->Now());
    for (Member& member : members) {
      if (member.status == Status::kDead && held_members.contains(member.vm)) {
        member.status = Status::kSuspect;
      }
    }
    return members;
  }

  // Detects daemons of this VM that have started, stopped or frozen.
  void RoleLoop() {
    while (true) {
      this->runtime->SleepFor(kRoleCheckInterval);
      this->UpdateSelf();
    }
  }

  void UpdateSelf() {
    const Instant now = this->runtime->Now();
    Member self = this->detector.Self();
    const bool entry_up = this->roles["entry"].Up(now);
    const bool dispatch_up = this->roles["dispatch"].Up(now);
    const Status status = this->is_leaving ? Status::kLeaving : Status::kAlive;
    if (self.entry_up == entry_up && self.dispatch_up == dispatch_up &&
        self.status == status) {
      return;
    }
    self.entry_up = entry_up;
    self.dispatch_up = dispatch_up;
    self.status = status;
    this->Apply(this->detector.UpdateSelf(self, now));
    this->Apply(this->detector.Announce(kAnnounceFanout, this->runtime->Now()));
  }

  io::Runtime* runtime;
  MetricsRegistry* metrics;
  Logger log;
  std::shared_ptr<rpc::RpcLoop> loop;
  std::shared_ptr<platform::ObjectClient> store;
  ControlNodeSettings settings;
  std::unique_ptr<io::UdpSocket> socket;
  Random random;
  membership::Detector detector;
  membership::LossGuard loss_guard;
  ConfigManager config_manager;
  bool pulling = false;
  std::map<std::string, std::shared_ptr<rpc::ControlClient>> peers;  // by VM
  std::vector<quarantine::Strike> strikes;
  std::map<std::string, WallTime> leaving_backends;  // time of the last notice
  std::map<std::string, RoleStatus> roles;           // by role name
  std::uint64_t generation = 1;
  std::uint64_t bytes_received = 0;
  bool is_leaving = false;
  boost::fibers::mutex view_mutex;
  boost::fibers::condition_variable view_changed;
};

ControlNode::ControlNode(std::shared_ptr<State> state)
    : state(std::move(state)) {}

Result<std::shared_ptr<ControlNode>, ControlError> ControlNode::Create(
    io::Runtime* runtime,
    MetricsRegistry* metrics,
    Logger log,
    std::shared_ptr<rpc::RpcLoop> loop,
    std::shared_ptr<platform::ObjectClient> store,
    ControlNodeSettings settings) {
  // The boot id is the wall clock time in ms, so that a restarted VM supersedes
  // its earlier incarnation.
  settings.self.boot_id =
      static_cast<std::uint64_t>(runtime->WallNow().milliseconds);
  auto socket = io::UdpSocket::Create(
      runtime, {settings.self.ip, settings.self.gossip_port});
  if (socket.has_error()) {
    return ControlError{socket.error().detail};
  }
  const std::uint64_t seed = HashText(settings.self.vm, settings.self.boot_id);
  auto state = std::make_shared<State>(
      runtime, metrics, std::move(log), std::move(loop), std::move(store),
      std::move(settings), std::move(socket).value(), seed);
  state->Start();
  return std::shared_ptr<ControlNode>(new ControlNode(std::move(state)));
}

rpc::ControlHandlers ControlNode::Handlers() {
  rpc::ControlHandlers handlers;
  handlers.watch_view = [state = this->state](const rpc::ViewQuery& query) {
    return state->WatchView(query);
  };
  handlers.pull_config = [state = this->state](std::uint64_t known_version) {
    return state->config_manager.History().Version() == 0
               ? rpc::ConfigChanges{}
               : state->config_manager.History().ChangesSince(known_version);
  };
  handlers.get_version = [state = this->state](std::uint64_t version) {
    const auto config = state->config_manager.History().Find(version);
    return config == nullptr
               ? rpc::ConfigChanges{}
               : rpc::ConfigChanges{version, true, config::ToJson(*config)};
  };
  handlers.report_strike = [state =
                                this->state](const quarantine::Strike& strike) {
    state->Apply(state->detector.AddStrikes({strike}));
  };
  handlers.change = [state = this->state](const rpc::ChangeRequest& request) {
    return state->config_manager.Change(request);
  };
  return handlers;
}

void ControlNode::Leave() {
  this->state->is_leaving = true;
  this->state->UpdateSelf();
}

bool ControlNode::DaemonsUp() const {
  const Instant now = this->state->runtime->Now();
  return this->state->roles["entry"].Up(now) ||
         this->state->roles["dispatch"].Up(now);
}

void ControlNode::ExportMetrics() {
  MetricsRegistry& metrics = *this->state->metrics;
  const auto set = [&metrics](std::string_view name, std::uint64_t value) {
    metrics.Set(name, "", static_cast<double>(value));
  };
  set("chervil_gossip_bytes_sent", this->state->socket->BytesSent());
  set("chervil_gossip_datagrams_sent", this->state->socket->DatagramsSent());
  set("chervil_gossip_bytes_received", this->state->bytes_received);
  set("chervil_config_version",
      this->state->config_manager.History().Version());
  set("chervil_view_generation", this->state->generation);
  std::uint64_t alive = 0;
  for (const Member& member : this->state->detector.Members()) {
    alive += member.status == Status::kAlive ? 1 : 0;
  }
  set("chervil_members_alive", alive);
}

}  // namespace chervilpass::control
