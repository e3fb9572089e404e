#include "chervilpass/fleet/peer_group.h"

#include <utility>

#include "chervilpass/core/hash.h"
#include "chervilpass/core/random.h"
#include "chervilpass/core/token_bucket.h"
#include "chervilpass/fleet/load_digest.h"
#include "chervilpass/rpc/gossip_codec.h"

namespace chervilpass::fleet {
namespace {

using membership::Member;
using membership::Status;

constexpr std::uint32_t kAnnounceFanout = 3;  // receivers of an announcement
constexpr Duration kListRetryDelay = milliseconds(500);
// Lines about changed members: per second, and at once.
constexpr double kChangeLogRate = 5;
constexpr double kChangeLogBurst = 40;

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
        registration(
            EntryRegistration::Create(runtime,
                                      store,
                                      log,
                                      RegistrationSettings(this->settings))),
        detector(this->settings.detector,
                 this->settings.self,
                 HashText(this->settings.self.vm) ^ this->settings.self.boot_id,
                 runtime->Now()),
        full_workers(this->settings.full_workers, runtime->Now()),
        random(HashText(this->settings.self.vm)),
        change_log_rate(kChangeLogRate, kChangeLogBurst, runtime->Now()) {}

  static EntryRegistrationSettings RegistrationSettings(
      const PeerGroupSettings& settings) {
    EntryRegistrationSettings registration;
    registration.self = settings.self;
    registration.max_hold = settings.max_hold;
    return registration;
  }

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
      auto message = rpc::DecodeGossip(datagram);
      if (message && message->kind == membership::MessageKind::kLoads) {
        this->OnLoads(*message);
      } else if (message) {
        this->Apply(this->detector.OnMessage(*message, this->runtime->Now()));
      } else {
        this->metrics->Increment("chervil_gossip_unreadable_total");
      }
    }
  }

  void OnLoads(membership::GossipMessage message) {
    ScaleSample(&message);
    const LoadScope scope = message.loads_of_data_centre
                                ? LoadScope::kDataCentre
                            : message.partial_loads ? LoadScope::kVmSample
                                                    : LoadScope::kVm;
    this->events.loads(message.from, scope, message.loads);
    if (message.partial_loads && message.loads_of_data_centre) {
      this->events.rest_of_loads(message.from, *message.partial_loads);
    }
    if (!message.organisation_loads.empty() &&
        this->events.organisation_loads) {
      this->events.organisation_loads(message.from,
                                      message.loads_of_data_centre
                                          ? LoadScope::kDataCentre
                                          : LoadScope::kVm,
                                      message.organisation_loads);
    }
    if (!message.server_paces.empty() && this->events.paces) {
      this->events.paces(message.from, message.server_paces);
    }
    const auto applied = this->full_workers.OnReceived(message.full_workers,
                                                       this->runtime->Now());
    if (!applied.empty()) {
      this->metrics->Increment("chervil_full_worker_notices_applied_total", "",
                               applied.size());
      this->events.full_workers(message.from, applied);
    }
  }

  // Builds that do not know notices take the message for this VM's loads, so
  // it carries them as well.
  void BroadcastFull(std::uint32_t worker, Duration left) {
    const Instant now = this->runtime->Now();
    if (!this->full_workers.OnRefused(worker, left, now)) {
      this->metrics->Increment("chervil_full_worker_notices_withheld_total");
      return;
    }
    this->metrics->Increment("chervil_full_worker_notices_sent_total");
    std::vector<Member> receivers;
    for (const Member& member : this->detector.Members()) {
      if (member.vm != this->settings.self.vm &&
          member.data_centre == this->settings.self.data_centre &&
          member.status != Status::kDead) {
        receivers.push_back(member);
      }
    }
    if (receivers.empty()) {
      return;
    }
    const std::string datagram = this->EncodeLoads(LoadScope::kVm);
    const std::size_t taken = this->full_workers.TakeReceivers(
        receivers.size(), datagram.size(), now);
    this->metrics->Increment("chervil_full_worker_datagrams_unsent_total", "",
                             receivers.size() - taken);
    for (std::size_t i = 0; i < taken; ++i) {
      const Member& peer =
          receivers[this->next_notice_receiver++ % receivers.size()];
      this->socket->Send({peer.ip, peer.gossip_port}, datagram);
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

  std::string EncodeLoads(LoadScope scope) {
    membership::GossipMessage message;
    message.kind = membership::MessageKind::kLoads;
    message.from = this->settings.self.vm;
    message.loads = this->events.collect_loads(scope);
    message.loads_of_data_centre = scope == LoadScope::kDataCentre;
    message.full_workers = this->full_workers.InForce(this->runtime->Now());
    if (this->events.collect_organisation_loads) {
      message.organisation_loads =
          this->events.collect_organisation_loads(scope);
    }
    if (this->events.collect_paces) {
      message.server_paces = this->events.collect_paces();
    }
    BoundLoads(this->settings.load_digest, &this->random, &message);
    std::string datagram = rpc::EncodeGossip(message);
    if (message.partial_loads) {
      this->metrics->Increment("chervil_partial_load_datagrams_total");
    }
    this->metrics->Set(
        "chervil_load_datagram_bytes",
        scope == LoadScope::kVm ? "scope=\"vm\"" : "scope=\"data_centre\"",
        static_cast<double>(datagram.size()));
    return datagram;
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
      this->runtime->SleepFor(this->settings.seed_period);
    }
  }

  void PingIfUnknown(const Member& seed) {
    const Member* known = this->detector.Table().Find(seed.vm);
    if (known != nullptr && known->boot_id != 0 &&
        known->status != Status::kDead) {
      return;
    }
    // The detector itself pings dead members too, but only from time to time.
    this->Apply(this->detector.AddSeed(seed, this->runtime->Now()));
  }

  // Registers this VM in the store and lists the other VMs periodically.
  void RegisterAndList() {
    this->registration->Register();
    while (!this->stopped) {
      const auto listing = this->store->List(platform::StoreKind::kEntries);
      if (listing.has_value()) {
        this->ApplyListing(listing.value());
        this->runtime->SleepFor(this->settings.list_period);
      } else {
        this->runtime->SleepFor(kListRetryDelay);
      }
    }
  }

  void ApplyListing(const platform::Listing& listing) {
    std::vector<Member> listed;
    for (const platform::StoredObject& object : listing.objects) {
      if (const auto entry = DecodeEntry(object.name, object.spec)) {
        listed.push_back(entry->member);
      } else {
        this->log->Warning("entry.unreadable", {{"entry", object.name}});
      }
    }
    const std::size_t known = this->detector.Members().size();
    this->Apply(this->detector.AddListed(listed, this->runtime->Now()));
    this->log->Info("member.listed",
                    {{"listed", listed.size()},
                     {"new", this->detector.Members().size() - known}});
    this->Announce();
  }

  void Announce() {
    this->Apply(this->detector.Announce(kAnnounceFanout, this->runtime->Now()));
  }

  void Apply(const membership::DetectorActions& actions) {
    for (const membership::DetectorAction& action : actions) {
      std::visit([this](const auto& item) { this->Do(item); }, action);
    }
    this->max_alive =
        std::max(this->max_alive, this->detector.Table().AliveCount());
  }

  // A message to several VMs is encoded once.
  void Do(const membership::SendGossip& send) {
    if (this->last_message != send.message) {
      this->last_message = send.message;
      this->last_datagram = rpc::EncodeGossip(send.message);
    }
    this->socket->Send({send.to.ip, send.to.gossip_port}, this->last_datagram);
  }

  // What the list of VMs says is logged as a whole. Changes that other VMs
  // report are logged up to a rate: a herd of VMs that returns changes every
  // record.
  void Do(const membership::MemberChanged& change) {
    const Member& member = change.member;
    const Instant now = this->runtime->Now();
    this->metrics->Increment("chervil_member_changes_total");
    if (change.origin == membership::ChangeOrigin::kListing) {
      return;
    }
    if (!this->change_log_rate.TryTake(now)) {
      ++this->unlogged_changes;
      return;
    }
    this->log->Info(
        "member.changed",
        {{"member", member.vm},
         {"status", static_cast<int>(member.status)},
         {"boot_id", member.boot_id},
         {"incarnation", member.incarnation},
         {"own", change.origin == membership::ChangeOrigin::kOwn},
         {"entry_up", member.entry_up},
         {"store_up", member.store_up},
         {"cut_off", member.cut_off},
         {"unlogged_before", std::exchange(this->unlogged_changes, 0)}});
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
      this->Announce();
    }
  }

  io::Runtime* runtime;
  platform::StoreClient* store;
  MetricsRegistry* metrics;
  const Logger* log;
  PeerGroupSettings settings;
  PeerGroupEvents events;
  std::unique_ptr<io::UdpSocket> socket;
  std::unique_ptr<EntryRegistration> registration;
  membership::Detector detector;
  membership::GossipMessage last_message;  ///< encoded in `last_datagram`
  std::string last_datagram;
  FullWorkerNotices full_workers;
  std::size_t next_notice_receiver = 0;
  Random random;  ///< for samples of loads
  TokenBucket change_log_rate;
  std::uint64_t unlogged_changes = 0;  ///< since the last line
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
  this->state->Announce();
}

void PeerGroup::SetLeaving() {
  this->state->ChangeSelf([](Member* self) {
    self->entry_up = false;
    self->status = Status::kLeaving;
  });
}

void PeerGroup::AnnounceStop(WallTime ends) {
  this->state->registration->AnnounceStop(ends);
}

std::optional<Duration> PeerGroup::HoldLeft() const {
  return this->state->registration->HoldLeft();
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

void PeerGroup::BroadcastFull(std::uint32_t worker, Duration left) {
  this->state->BroadcastFull(worker, left);
}

const std::vector<Member>& PeerGroup::Members() const {
  return this->state->detector.Members();
}

const Member* PeerGroup::Find(const std::string& vm) const {
  return this->state->detector.Table().Find(vm);
}

std::size_t PeerGroup::AliveCount() const {
  return this->state->detector.Table().AliveCount();
}

std::size_t PeerGroup::MaxAlive() const {
  return this->state->max_alive;
}

std::uint64_t PeerGroup::BytesSent() const {
  return this->state->socket->BytesSent();
}

std::uint64_t PeerGroup::DatagramsSent() const {
  return this->state->socket->DatagramsSent();
}

}  // namespace chervilpass::fleet
