// Failure detector and membership dissemination after SWIM: Das, Gupta and
// Motivala, "SWIM: scalable weakly-consistent infection-style process group
// membership protocol", DSN 2002. Pure state machine: time, the random seed and
// datagrams are passed in.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "chervilpass/core/random.h"
#include "chervilpass/core/time.h"
#include "chervilpass/membership/member.h"
#include "chervilpass/quarantine/strike.h"

namespace chervilpass::membership {

/// Settings of a Detector.
struct DetectorSettings {
  Duration probe_period = milliseconds(500);
  Duration probe_timeout = milliseconds(150);  ///< before indirect probes
  Duration suspicion_timeout = seconds(1);     ///< before declaring death
  std::uint32_t indirect_probes = 3;
  std::uint32_t members_per_datagram = 6;
  std::uint32_t retransmit_factor = 4;  ///< times log2(members + 1)
  /// Probe periods for each ping to a member believed to be dead; the pings let
  /// partitioned regions rejoin.
  std::uint32_t periods_per_dead_ping = 8;
  /// A round of probes includes members of other regions only if the number of
  /// the period in which it starts is a multiple of this.
  std::uint32_t periods_per_remote_probe = 4;
  Duration forget_after = hours(1);  ///< for dead members

  bool operator==(const DetectorSettings&) const = default;
};

enum class MessageKind : std::uint8_t {
  kPing,
  kAck,
  kPingRequest,
  kJoin,
  kLoads,  ///< Carries loads only; ignored by the detector.
};

/// Load in flight on one worker, from one VM or from all of a data centre.
struct WorkerLoadNotice {
  std::uint32_t worker = 0;  ///< hash of the worker's id
  std::uint16_t sequences = 0;
  std::uint32_t kv_kilo_token_layers = 0;  ///< reserved, in thousands
  /// 0: no statement about a rate limit; 1: the server takes any number of
  /// requests; else 2 more than its limit in thousandths of requests a second.
  std::uint32_t rate_limit = 0;
  std::uint16_t rate_limit_age = 0;  ///< of the statement, 1/100 s

  auto operator<=>(const WorkerLoadNotice&) const = default;
};

/// Reports that a backend server accepts no new work: the VM list says that it
/// is leaving, or it kept refusing despite free capacity.
struct LeavingNotice {
  std::string backend;
  WallTime at;  ///< time of the report, by the clock of the reporting VM

  auto operator<=>(const LeavingNotice&) const = default;
};

/// Reports that a backend server did not answer a request.
struct UnreachableNotice {
  std::string backend;
  WallTime at;  ///< time of detection, by the clock of the detecting VM

  auto operator<=>(const UnreachableNotice&) const = default;
};

/// Reports that a start of a backend server has said that it leaves.
struct DepartureNotice {
  std::string backend;
  WallTime started;
  WallTime at;  ///< time of the statement, by the clock of the reporting VM

  auto operator<=>(const DepartureNotice&) const = default;
};

/// Contents of one datagram. The first member is the sender itself, with two
/// exceptions: messages of kind kLoads have no members, and the list of members
/// sent in answer to a join request continues in further datagrams.
struct GossipMessage {
  MessageKind kind = MessageKind::kPing;
  std::uint64_t sequence = 0;
  std::string from;
  std::string target;  ///< for kPingRequest: the member to probe
  std::vector<Member> members;
  std::vector<quarantine::Strike> strikes;
  std::vector<quarantine::Clearance> clearances;
  std::vector<LeavingNotice> leaving;
  std::vector<UnreachableNotice> unreachable;
  std::vector<DepartureNotice> departures;
  std::vector<WorkerLoadNotice> loads;
  /// True if the loads are totals of the sender's data centre, not of the
  /// sender alone.
  bool loads_of_data_centre = false;

  bool operator==(const GossipMessage&) const = default;
};

/// Sends a datagram to a member.
struct SendGossip {
  Member to;
  GossipMessage message;

  bool operator==(const SendGossip&) const = default;
};

/// The record of a member changed; `member` is the new one.
struct MemberChanged {
  Member member;

  bool operator==(const MemberChanged&) const = default;
};

/// A strike was received for the first time.
struct StrikeReceived {
  quarantine::Strike strike;

  bool operator==(const StrikeReceived&) const = default;
};

/// A first or a newer clearance of a request was received.
struct ClearanceReceived {
  quarantine::Clearance clearance;

  bool operator==(const ClearanceReceived&) const = default;
};

/// A first or a newer leaving notice about a backend server was received.
struct LeavingReceived {
  LeavingNotice notice;

  bool operator==(const LeavingReceived&) const = default;
};

/// A first or a newer unreachable notice about a backend server was received.
struct UnreachableReceived {
  UnreachableNotice notice;

  bool operator==(const UnreachableReceived&) const = default;
};

/// A first or a newer departure notice about a start of a backend server was
/// received.
struct DepartureReceived {
  DepartureNotice notice;

  bool operator==(const DepartureReceived&) const = default;
};

/// A member has a newer configuration than this node.
struct NewerConfigReceived {
  Member member;

  bool operator==(const NewerConfigReceived&) const = default;
};

using DetectorAction = std::variant<SendGossip,
                                    MemberChanged,
                                    StrikeReceived,
                                    ClearanceReceived,
                                    LeavingReceived,
                                    UnreachableReceived,
                                    DepartureReceived,
                                    NewerConfigReceived>;
using DetectorActions = std::vector<DetectorAction>;

/// State of one node in the protocol. Not thread-safe.
/// Invariants: the local record is never suspect or dead; the record of each VM
/// is one that no other record received supersedes.
class Detector {
 public:
  Detector(DetectorSettings settings,
           Member self,
           std::uint64_t seed,
           Instant now);

  /// Adds a member known from the VM list or the settings and sends it a join
  /// request.
  DetectorActions AddSeed(const Member& seed, Instant now);

  /// Must be called at least every quarter of the probe timeout.
  DetectorActions OnTick(Instant now);

  DetectorActions OnMessage(const GossipMessage& message, Instant now);

  /// Replaces the local record by `self` under a higher incarnation. The VM
  /// must be the same; boot id and incarnation of `self` are ignored.
  DetectorActions UpdateSelf(const Member& self, Instant now);

  /// Sets the version of the configuration that this node holds; it is sent
  /// with every datagram.
  void SetConfigVersion(std::uint64_t version) {
    this->self.config_version = version;
  }

  /// Sends a datagram to `count` random members that are not dead, so that a
  /// new configuration version spreads before the next probes.
  DetectorActions Announce(std::uint32_t count);

  /// Sends the strikes that are new to all members.
  DetectorActions AddStrikes(const std::vector<quarantine::Strike>& strikes);

  /// Sends a clearance to all members if it is the first one or newer than the
  /// known one.
  DetectorActions AddClearance(const quarantine::Clearance& clearance);

  /// Sends a leaving notice to all members if it is the first one or at least a
  /// second newer than the known one.
  DetectorActions AddLeaving(const LeavingNotice& notice);

  /// Sends an unreachable notice to all members if it is the first one or at
  /// least a second newer than the known one.
  DetectorActions AddUnreachable(const UnreachableNotice& notice);

  /// Sends a departure notice to all members if it is the first one about this
  /// start or at least a second newer than the known one.
  DetectorActions AddDeparture(const DepartureNotice& notice);

  /// Marks another member as leaving, according to the VM list.
  DetectorActions MarkLeaving(const std::string& vm, Instant now);

  const Member& Self() const { return this->self; }

  /// All known members, including this one and dead ones.
  std::vector<Member> Members() const;

 private:
  struct Entry {
    Member member;
    std::uint32_t sends_left = 0;  ///< remaining piggybacked sends
    std::optional<Instant> suspect_since;
    std::optional<Instant> dead_since;
  };
  struct Probe {
    std::string target;
    Instant sent;
    bool indirect_sent = false;
  };
  struct RelayedProbe {
    std::string requester;
    std::uint64_t requester_sequence = 0;
    Instant sent;
  };
  template <class Payload>
  struct GossipUpdate {
    Payload payload;
    std::uint32_t sends_left = 0;
  };

  std::uint32_t RetransmitLimit() const;
  void Merge(const Member& received, Instant now, DetectorActions* actions);
  void Refute(const Member& received, DetectorActions* actions);
  void Accept(Entry* entry,
              const Member& member,
              Instant now,
              DetectorActions* actions);
  void UpdateSenderConfigVersion(const Member& sender,
                                 DetectorActions* actions);
  bool MergeStrike(const quarantine::Strike& strike, DetectorActions* actions);
  template <class Received, class Notice>
  bool MergeNotice(std::vector<GossipUpdate<Notice>>* updates,
                   const Notice& notice,
                   DetectorActions* actions) const;
  void SendAllStrikes(const Member& to,
                      const GossipMessage& ack,
                      DetectorActions* actions) const;
  void Broadcast(const GossipMessage& contents, DetectorActions* actions);
  GossipMessage MakeMessage(MessageKind kind,
                            std::uint64_t sequence,
                            const std::string& to);
  void Send(const Member& to,
            GossipMessage message,
            DetectorActions* actions) const;
  void StartProbe(Instant now, DetectorActions* actions);
  void PingDeadMember(DetectorActions* actions);
  void CheckProbes(Instant now, DetectorActions* actions);
  void CheckSuspects(Instant now, DetectorActions* actions);
  std::optional<std::string> NextTarget();
  void RefillTargets();

  DetectorSettings settings;
  Member self;
  Random random;
  std::map<std::string, Entry> peers;  ///< by VM
  std::vector<std::string> targets;    ///< shuffled round of probe targets
  std::map<std::uint64_t, Probe> probes;
  std::map<std::uint64_t, RelayedProbe> relayed_probes;
  std::vector<GossipUpdate<quarantine::Strike>> strikes;
  std::vector<GossipUpdate<quarantine::Clearance>> clearances;
  std::vector<GossipUpdate<LeavingNotice>> leaving;
  std::vector<GossipUpdate<UnreachableNotice>> unreachable;
  std::vector<GossipUpdate<DepartureNotice>> departures;
  std::uint32_t self_sends_left = 0;
  std::uint64_t next_sequence = 0;
  std::uint64_t periods = 0;
  std::string filler_cursor;  ///< VM of the last member used as filler
  Instant next_probe;
};

}  // namespace chervilpass::membership
