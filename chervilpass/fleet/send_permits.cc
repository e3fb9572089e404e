#include "chervilpass/fleet/send_permits.h"

#include <algorithm>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <map>
#include <optional>

#include "chervilpass/core/hash.h"
#include "chervilpass/membership/rendezvous.h"
#include "chervilpass/rpc/permit_codec.h"

namespace chervilpass::fleet {

using membership::Member;
using membership::Status;
using routing::Reservation;

namespace {

constexpr Duration kExpiryInterval = seconds(10);  // of unused schedules

}  // namespace

struct SendPermits::State : std::enable_shared_from_this<SendPermits::State> {
  State(io::Runtime* runtime,
        serving::RoutingState* routing_state,
        MetricsRegistry* metrics,
        const Logger* log,
        SendPermitsSettings settings,
        std::function<const std::vector<Member>&()> members,
        std::unique_ptr<io::UdpSocket> socket)
      : runtime(runtime),
        routing_state(routing_state),
        metrics(metrics),
        log(log),
        settings(std::move(settings)),
        members(std::move(members)),
        socket(std::move(socket)),
        scheduler(this->settings.scheduler),
        own_share(this->settings.scheduler),
        last_sequence(static_cast<std::uint64_t>(
            runtime->WallNow().milliseconds * 1000)) {}

  void ReceiveLoop() {
    while (!this->stopped) {
      io::Endpoint from;
      const auto message =
          rpc::DecodePermitMessage(this->socket->Receive(&from));
      if (message) {
        std::visit([&](const auto& item) { this->Handle(item, from); },
                   *message);
      } else {
        this->metrics->Increment("chervil_permits_unreadable_total");
      }
    }
  }

  void Handle(const rpc::PermitRequest& request, const io::Endpoint& from) {
    this->RecordLimit(request.server, request.limit);
    rpc::PermitReply reply;
    reply.sequence = request.sequence;
    const Reservation reservation =
        this->Schedule(request.server, request.max_wait);
    reply.granted = reservation.granted;
    reply.wait = reservation.wait;
    const Instant now = this->runtime->Now();
    if (const auto latest =
            this->routing_state->RateLimitRecord(request.server)) {
      reply.limit = {latest->per_second, now - latest->said_at};
    } else {
      reply.limit = request.limit;
    }
    this->socket->Send(from, rpc::EncodePermitMessage(reply));
  }

  void Handle(const rpc::PermitReply& reply, const io::Endpoint&) {
    const auto found = this->pending.find(reply.sequence);
    if (found != this->pending.end()) {
      found->second = reply;
      this->replied.notify_all();
    }
  }

  void RecordLimit(const std::string& server, const rpc::AgedRateLimit& limit) {
    if (this->routing_state->RecordRateLimit(
            server, {limit.per_second, this->runtime->Now() - limit.age})) {
      this->log->Info("rate_limit.learned",
                      {{"worker", server},
                       {"limited", limit.per_second.has_value()},
                       {"per_second", limit.per_second.value_or(0)},
                       {"age_ms", ToMilliseconds(limit.age)}});
    }
  }

  Reservation Schedule(const std::string& server, Duration max_wait) {
    const Instant now = this->runtime->Now();
    if (now - this->last_expiry > kExpiryInterval) {
      this->last_expiry = now;
      this->scheduler.Expire(now);
      this->own_share.Expire(now);
    }
    const auto limit = this->routing_state->RateLimitOf(server);
    return limit ? this->scheduler.Reserve(server, *limit, max_wait, now)
                 : Reservation{true, Duration::zero()};
  }

  Reservation Acquire(const std::string& server, Duration max_wait) {
    const auto limit = this->routing_state->RateLimitOf(server);
    if (!limit) {
      return {true, Duration::zero()};
    }
    const auto& known_members = this->members();
    // A copy: the table changes while this fiber waits for a reply.
    const Member scheduling = SchedulingMember(known_members, server);
    Reservation reservation;
    const auto silent = this->silent_until.find(scheduling.vm);
    if (scheduling.vm == known_members.front().vm) {
      reservation = this->Schedule(server, max_wait);
    } else if (silent != this->silent_until.end() &&
               this->runtime->Now() < silent->second) {
      reservation = this->UseOwnShare(server, max_wait, known_members);
    } else if (const auto reply = this->Ask(scheduling, server, max_wait)) {
      this->RecordLimit(server, reply->limit);
      reservation = {reply->granted, reply->wait};
    } else {
      this->silent_until[scheduling.vm] =
          this->runtime->Now() + this->settings.silent_time;
      this->log->Warning("permit.no_reply",
                         {{"worker", server}, {"to_vm", scheduling.vm}});
      reservation = this->UseOwnShare(server, max_wait, known_members);
    }
    this->metrics->Increment(reservation.granted
                                 ? "chervil_permits_granted_total"
                                 : "chervil_permits_denied_total");
    this->routing_state->SetNextSend(server,
                                     this->runtime->Now() + reservation.wait);
    return reservation;
  }

  // Of the VMs that are alive, the one with the highest score for the server.
  static const Member& SchedulingMember(const std::vector<Member>& members,
                                        const std::string& server) {
    const std::uint64_t key = HashText(server);
    const Member* best = &members.front();
    std::uint64_t best_score = 0;
    for (const Member& member : members) {
      const std::uint64_t score = membership::RendezvousScore(member.vm, key);
      if (member.status == Status::kAlive && score >= best_score) {
        best = &member;
        best_score = score;
      }
    }
    return *best;
  }

  Reservation UseOwnShare(const std::string& server,
                          Duration max_wait,
                          const std::vector<Member>& known_members) {
    const auto alive = std::count_if(
        known_members.begin(), known_members.end(),
        [](const Member& member) { return member.status != Status::kDead; });
    const double limit = this->routing_state->RateLimitOf(server).value_or(0);
    return this->own_share.Reserve(
        server, limit / static_cast<double>(std::max<std::int64_t>(1, alive)),
        max_wait, this->runtime->Now());
  }

  std::optional<rpc::PermitReply> Ask(const Member& scheduling,
                                      const std::string& server,
                                      Duration max_wait) {
    const io::Endpoint to{scheduling.ip, this->settings.listen.port};
    for (std::uint32_t i = 0; i < this->settings.attempts; ++i) {
      rpc::PermitRequest request;
      request.sequence = ++this->last_sequence;
      request.server = server;
      request.max_wait = max_wait;
      if (const auto latest = this->routing_state->RateLimitRecord(server)) {
        request.limit = {latest->per_second,
                         this->runtime->Now() - latest->said_at};
      }
      const auto reply = this->Exchange(to, request);
      if (reply) {
        return reply;
      }
    }
    return std::nullopt;
  }

  std::optional<rpc::PermitReply> Exchange(const io::Endpoint& to,
                                           const rpc::PermitRequest& request) {
    this->pending[request.sequence] = std::nullopt;
    this->socket->Send(to, rpc::EncodePermitMessage(request));
    std::unique_lock lock(this->mutex);
    this->replied.wait_for(lock, this->settings.reply_timeout, [&] {
      return this->pending.at(request.sequence).has_value();
    });
    lock.unlock();
    const auto reply = this->pending.at(request.sequence);
    this->pending.erase(request.sequence);
    return reply;
  }

  io::Runtime* runtime;
  serving::RoutingState* routing_state;
  MetricsRegistry* metrics;
  const Logger* log;
  SendPermitsSettings settings;
  std::function<const std::vector<Member>&()> members;
  std::unique_ptr<io::UdpSocket> socket;
  /// Of the servers that this VM schedules for all VMs.
  routing::RateScheduler scheduler;
  /// Of servers whose scheduling VM does not reply.
  routing::RateScheduler own_share;
  std::map<std::string, Instant> silent_until;  ///< by VM
  /// Replies by sequence number; empty until they arrive.
  std::map<std::uint64_t, std::optional<rpc::PermitReply>> pending;
  /// Begins at the start time, so that a late reply to an earlier process is
  /// not taken for one to this process.
  std::uint64_t last_sequence = 0;
  Instant last_expiry{};
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable replied;
  bool stopped = false;
};

SendPermits::SendPermits(std::shared_ptr<State> state)
    : state(std::move(state)) {}

SendPermits::~SendPermits() {
  this->state->stopped = true;
}

Result<std::unique_ptr<SendPermits>, io::HttpError> SendPermits::Create(
    io::Runtime* runtime,
    serving::RoutingState* routing_state,
    MetricsRegistry* metrics,
    const Logger* log,
    SendPermitsSettings settings,
    std::function<const std::vector<Member>&()> members) {
  BOOST_OUTCOME_TRY(auto socket,
                    io::UdpSocket::Create(runtime, settings.listen));
  auto state = std::make_shared<State>(runtime, routing_state, metrics, log,
                                       std::move(settings), std::move(members),
                                       std::move(socket));
  runtime->Spawn([state] { state->ReceiveLoop(); });
  return std::unique_ptr<SendPermits>(new SendPermits(std::move(state)));
}

Reservation SendPermits::Acquire(const std::string& server, Duration max_wait) {
  return this->state->Acquire(server, max_wait);
}

std::uint64_t SendPermits::BytesSent() const {
  return this->state->socket->BytesSent();
}

}  // namespace chervilpass::fleet
