#include "chervilpass/fleet/peer_group.h"

#include <boost/json.hpp>

#include "chervilpass/core/hash.h"
#include "chervilpass/rpc/gossip_codec.h"
#include "platform/json_fields.h"

namespace chervilpass::fleet {
namespace {

namespace json = boost::json;
using membership::Member;
using membership::Status;

constexpr std::uint32_t kAnnounceFanout = 3;  // receivers of an announcement
constexpr Duration kRegisterRetryDelay = milliseconds(500);

json::value EncodeMember(const Member& member) {
  json::object body;
  body["ip"] = member.ip;
  body["data_centre"] = member.data_centre;
  body["region"] = member.region;
  body["http_port"] = member.http_port;
  body["control_port"] = member.control_port;
  body["gossip_port"] = member.gossip_port;
  body["boot_id"] = member.boot_id;
  return body;
}

std::optional<Member> DecodeMember(const std::string& name,
                                   const json::value& body) {
  platform::JsonFields fields(body, name);
  Member member;
  member.vm = name;
  member.ip = fields.Text("ip");
  member.data_centre = fields.Text("data_centre");
  member.region = fields.Text("region");
  member.http_port = static_cast<std::uint16_t>(fields.Integer("http_port"));
  member.control_port =
      static_cast<std::uint16_t>(fields.Integer("control_port"));
  member.gossip_port =
      static_cast<std::uint16_t>(fields.Integer("gossip_port"));
  return fields.FirstError() ? std::nullopt : std::optional<Member>(member);
}

}  // namespace

struct PeerGroup::State : std::enable_shared_from_this<PeerGroup::State> {
  State(io::Runtime* runtime,
        platform::StoreClient* store,
        MetricsRegistry* metrics,
        const Logger* log,
        PeerGroupSettings settings,
        PeerGroupEvents events,
        std::unique_ptr<io::UdpSocket> socket)
      : runtime(runtime),
        store(store),
        metrics(metrics),
        log(log),
        settings(std::move(settings)),
        events(std::move(events)),
        socket(std::move(socket)),
        detector(this->settings.detector,
                 this->settings.self,
                 HashText(this->settings.self.vm) ^ this->settings.self.boot_id,
                 runtime->Now()) {}

  void Start() {
    const auto self = this->shared_from_this();
    this->runtime->Spawn([self] { self->ReceiveLoop(); });
    this->runtime->Spawn([self] { self->TickLoop(); });
    this->runtime->Spawn([self] { self->SeedLoop(); });
    this->runtime->Spawn([self] { self->LoadLoop(); });
    this->runtime->Spawn([self] { self->RegisterAndList(); });
  }

  void ReceiveLoop() {
    while (!this->stopped) {
      const std::string datagram = this->socket->Receive();
      const auto message = rpc::DecodeGossip(datagram);
      if (message && message->kind == membership::MessageKind::kLoads) {
        this->events.loads(message->from,
                           message->loads_of_data_centre
                               ? LoadScope::kDataCentre
                               : LoadScope::kVm,
                           message->loads);
      } else if (message) {
        this->Apply(this->detector.OnMessage(*message, this->runtime->Now()));
      } else {
        this->metrics->Increment("chervil_gossip_unreadable_total");
      }
    }
  }

  void LoadLoop() {
    LoadGossipSchedule schedule(this->settings.loads,
                                HashText(this->settings.self.vm));
    while (!this->stopped) {
      this->runtime->SleepFor(this->settings.loads.period);
      const std::string vm_loads = this->EncodeLoads(LoadScope::kVm);
      const LoadGossipRound round = schedule.Next(
          this->detector.Members(), this->settings.self, vm_loads.size());
      for (const Member& peer : round.same_data_centre) {
        this->socket->Send({peer.ip, peer.gossip_port}, vm_loads);
      }
      if (round.other_data_centres.empty()) {
        continue;
      }
      const std::string data_centre_loads =
          this->EncodeLoads(LoadScope::kDataCentre);
      for (const Member& peer : round.other_data_centres) {
        this->socket->Send({peer.ip, peer.gossip_port}, data_centre_loads);
      }
    }
  }

  std::string EncodeLoads(LoadScope scope) const {
    membership::GossipMessage message;
    message.kind = membership::MessageKind::kLoads;
    message.from = this->settings.self.vm;
    message.loads = this->events.collect_loads(scope);
    message.loads_of_data_centre = scope == LoadScope::kDataCentre;
    return rpc::EncodeGossip(message);
  }

  void TickLoop() {
    const Duration interval = this->settings.detector.probe_timeout / 2;
    while (!this->stopped) {
      this->runtime->SleepFor(interval);
      this->Apply(this->detector.OnTick(this->runtime->Now()));
    }
  }

  // Pings seeds that are not known to be alive repeatedly: they may have
  // started later, or a network partition may have separated them from this VM.
  void SeedLoop() {
    while (!this->stopped) {
      for (const std::string& ip : this->settings.seed_ips) {
        Member seed = this->settings.self;
        seed.vm = ip;
        seed.ip = ip;
        seed.boot_id = 0;
        seed.entry_up = false;
        seed.store_up = false;
        seed.cut_off = false;
        this->PingIfUnknown(seed);
      }
      for (const Member& seed : this->listed_members) {
        this->PingIfUnknown(seed);
      }
      this->runtime->SleepFor(this->settings.seed_period);
    }
  }

  void PingIfUnknown(const Member& seed) {
    for (const Member& member : this->detector.Members()) {
      if (member.vm == seed.vm && member.boot_id != 0 &&
          member.status != Status::kDead) {
        return;
      }
    }
    // The detector itself pings dead members too, but only from time to time.
    this->Apply(this->detector.AddSeed(seed, this->runtime->Now()));
  }

  // Registers this VM in the store and lists the other VMs periodically.
  void RegisterAndList() {
    const json::value body = EncodeMember(this->settings.self);
    while (!this->stopped && !this->Register(body)) {
      this->runtime->SleepFor(kRegisterRetryDelay);
    }
    while (!this->stopped) {
      const auto listing = this->store->List(platform::StoreKind::kEntries);
      if (listing.has_value()) {
        this->ApplyListing(listing.value());
        this->runtime->SleepFor(this->settings.list_period);
      } else {
        this->runtime->SleepFor(kRegisterRetryDelay);
      }
    }
  }

  bool Register(const json::value& body) {
    const std::string& name = this->settings.self.vm;
    const auto created =
        this->store->Create(platform::StoreKind::kEntries, name, body);
    if (created.has_value()) {
      return true;
    }
    if (created.error().code != platform::StoreErrorCode::kConflict) {
      this->log->Info("entry.register_failed",
                      {{"detail", created.error().detail}});
      return false;
    }
    const auto known = this->store->Get(platform::StoreKind::kEntries, name);
    if (known.has_error()) {
      return false;
    }
    if (known.value().spec == body) {
      return true;
    }
    return this->store
        ->Replace(platform::StoreKind::kEntries, name, known.value().revision,
                  body)
        .has_value();
  }

  void ApplyListing(const platform::Listing& listing) {
    this->listed_members.clear();
    for (const platform::StoredObject& object : listing.objects) {
      if (object.name == this->settings.self.vm) {
        continue;
      }
      if (const auto member = DecodeMember(object.name, object.spec)) {
        this->listed_members.push_back(*member);
        this->PingIfUnknown(*member);
      } else {
        this->log->Warning("entry.unreadable", {{"entry", object.name}});
      }
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
    this->log->Info("member.changed",
                    {{"member", member.vm},
                     {"status", static_cast<int>(member.status)},
                     {"incarnation", member.incarnation},
                     {"entry_up", member.entry_up},
                     {"store_up", member.store_up},
                     {"cut_off", member.cut_off}});
    std::size_t alive = 0;
    for (const Member& known : this->detector.Members()) {
      alive += known.status != Status::kDead ? 1 : 0;
    }
    this->max_alive = std::max(this->max_alive, alive);
  }

  void Do(const membership::StrikeReceived& received) {
    this->events.strike(received.strike);
  }

  void Do(const membership::ClearanceReceived& received) {
    this->events.clearance(received.clearance);
  }

  void Do(const membership::LeavingReceived& received) {
    this->events.refusing(received.notice.backend);
  }

  void Do(const membership::UnreachableReceived& received) {
    this->events.unreachable(received.notice.backend);
  }

  void Do(const membership::DepartureReceived& received) {
    this->events.departure(received.notice.backend, received.notice.started);
  }

  void Do(const membership::NewerConfigReceived& received) {
    this->events.newer_config(received.member);
  }

  template <class Change>
  void ChangeSelf(Change change) {
    Member self = this->detector.Self();
    const Member before = self;
    change(&self);
    if (self != before) {
      this->Apply(this->detector.UpdateSelf(self, this->runtime->Now()));
      this->Apply(this->detector.Announce(kAnnounceFanout));
    }
  }

  io::Runtime* runtime;
  platform::StoreClient* store;
  MetricsRegistry* metrics;
  const Logger* log;
  PeerGroupSettings settings;
  PeerGroupEvents events;
  std::unique_ptr<io::UdpSocket> socket;
  membership::Detector detector;
  std::vector<Member> listed_members;  ///< in the store, without this VM
  std::size_t max_alive = 1;
  bool stopped = false;
};

PeerGroup::PeerGroup(std::shared_ptr<State> state) : state(std::move(state)) {}

PeerGroup::~PeerGroup() {
  this->state->stopped = true;
}

Result<std::unique_ptr<PeerGroup>, io::HttpError> PeerGroup::Create(
    io::Runtime* runtime,
    platform::StoreClient* store,
    MetricsRegistry* metrics,
    const Logger* log,
    PeerGroupSettings settings,
    PeerGroupEvents events) {
  BOOST_OUTCOME_TRY(
      auto socket, io::UdpSocket::Create(
                       runtime, {settings.self.ip, settings.self.gossip_port}));
  auto state =
      std::make_shared<State>(runtime, store, metrics, log, std::move(settings),
                              std::move(events), std::move(socket));
  state->Start();
  return std::unique_ptr<PeerGroup>(new PeerGroup(std::move(state)));
}

void PeerGroup::SetReady(bool ready) {
  this->state->ChangeSelf([ready](Member* self) { self->entry_up = ready; });
}

void PeerGroup::SetStoreUp(bool up) {
  this->state->ChangeSelf([up](Member* self) { self->store_up = up; });
}

void PeerGroup::SetCutOff(bool cut_off) {
  this->state->ChangeSelf([cut_off](Member* self) { self->cut_off = cut_off; });
}

void PeerGroup::SetConfigVersion(std::uint64_t version) {
  this->state->detector.SetConfigVersion(version);
  this->state->Apply(this->state->detector.Announce(kAnnounceFanout));
}

void PeerGroup::SetLeaving() {
  this->state->ChangeSelf([](Member* self) {
    self->entry_up = false;
    self->status = Status::kLeaving;
  });
}

void PeerGroup::BroadcastStrikes(
    const std::vector<quarantine::Strike>& strikes) {
  this->state->Apply(this->state->detector.AddStrikes(strikes));
}

void PeerGroup::BroadcastClearance(const quarantine::Clearance& clearance) {
  this->state->Apply(this->state->detector.AddClearance(clearance));
}

void PeerGroup::BroadcastUnreachable(const std::string& backend) {
  this->state->Apply(this->state->detector.AddUnreachable(
      {backend, this->state->runtime->WallNow()}));
}

void PeerGroup::BroadcastRefusing(const std::string& backend) {
  this->state->Apply(this->state->detector.AddLeaving(
      {backend, this->state->runtime->WallNow()}));
}

void PeerGroup::BroadcastDeparture(const std::string& backend,
                                   WallTime started) {
  this->state->Apply(this->state->detector.AddDeparture(
      {backend, started, this->state->runtime->WallNow()}));
}

std::vector<Member> PeerGroup::Members() const {
  return this->state->detector.Members();
}

std::size_t PeerGroup::MaxAlive() const {
  return this->state->max_alive;
}

}  // namespace chervilpass::fleet
