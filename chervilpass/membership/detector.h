// Failure detector and membership dissemination after SWIM: Das, Gupta and
// Motivala, "SWIM: scalable weakly-consistent infection-style process group
// membership protocol", DSN 2002. Pure state machine: time, random numbers and
// datagrams come in as values.
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

/// Describes a Detector.
struct DetectorSettings {
  Duration probe_period = milliseconds(500);
  Duration probe_timeout = milliseconds(150);  ///< before indirect probes
  Duration suspicion_timeout = seconds(1);     ///< before a suspect is dead
  std::uint32_t indirect_probes = 3;
  std::uint32_t members_per_datagram = 6;
  std::uint32_t retransmit_factor = 4;  ///< times log2(members + 1)
  /// A member held to be dead is greeted once in this many periods, so that
  /// parted regions find each other again.
  std::uint32_t periods_per_dead_ping = 8;
  /// Probes to members of other regions go out once in this many periods.
  std::uint32_t periods_per_remote_probe = 4;
  Duration forget_after = hours(1);  ///< dead members are dropped after this

  bool operator==(const DetectorSettings&) const = default;
};

enum class MessageKind : std::uint8_t {
  kPing,
  kAck,
  kPingRequest,
  kJoin,
  kLoads,  ///< Carries loads only; not for the detector.
};

/// What one VM, or all of a data centre, have in flight on one worker.
struct WorkerLoadNotice {
  std::uint32_t worker = 0;  ///< hash of the worker's id
  std::uint16_t sequences = 0;
  std::uint32_t kv_kilo_token_layers = 0;  ///< reserved, in thousands

  auto operator<=>(const WorkerLoadNotice&) const = default;
};

/// A backend server takes no new work: the VM list says that it is leaving, or
/// it has gone on refusing though it had room.
struct LeavingNotice {
  std::string backend;
  WallTime at;  ///< when the VM list was read

  auto operator<=>(const LeavingNotice&) const = default;
};

/// A backend server did not answer a request.
struct UnreachableNotice {
  std::string backend;
  WallTime at;  ///< when that was found out, by the finder's clock

  auto operator<=>(const UnreachableNotice&) const = default;
};

/// What travels in one datagram. The first member is the sender itself.
struct GossipMessage {
  MessageKind kind = MessageKind::kPing;
  std::uint64_t sequence = 0;
  std::string from;
  std::string target;  ///< for kPingRequest: whom to probe
  std::vector<Member> members;
  std::vector<quarantine::Strike> strikes;
  std::vector<LeavingNotice> leaving;
  std::vector<UnreachableNotice> unreachable;
  std::vector<WorkerLoadNotice> loads;
  /// The loads are sums over the sender's data centre, not its own alone.
  bool loads_of_data_centre = false;

  bool operator==(const GossipMessage&) const = default;
};

/// Sends a datagram to a member.
struct SendGossip {
  Member to;
  GossipMessage message;

  bool operator==(const SendGossip&) const = default;
};

/// Something about a member changed; `member` is the new record.
struct MemberChanged {
  Member member;

  bool operator==(const MemberChanged&) const = default;
};

/// A strike was heard of for the first time.
struct StrikeReceived {
  quarantine::Strike strike;

  bool operator==(const StrikeReceived&) const = default;
};

/// A leaving notice was heard of for the first time, or a newer one.
struct LeavingReceived {
  LeavingNotice notice;

  bool operator==(const LeavingReceived&) const = default;
};

/// A backend server was found unreachable, or once more.
struct UnreachableReceived {
  UnreachableNotice notice;

  bool operator==(const UnreachableReceived&) const = default;
};

/// A member has a newer configuration than the one last heard of from it.
struct NewerConfigReceived {
  Member member;

  bool operator==(const NewerConfigReceived&) const = default;
};

using DetectorAction = std::variant<SendGossip,
                                    MemberChanged,
                                    StrikeReceived,
                                    LeavingReceived,
                                    UnreachableReceived,
                                    NewerConfigReceived>;
using DetectorActions = std::vector<DetectorAction>;

/// One node's part in the protocol. Not thread-safe.
/// Invariants: the own record is never suspect or dead; for each VM the record
/// kept is one that no other record heard of supersedes.
class Detector {
 public:
  Detector(DetectorSettings settings,
           Member self,
           std::uint64_t seed,
           Instant now);

  /// Learns of a member from the VM list or settings, to have someone to ask.
  DetectorActions AddSeed(const Member& seed, Instant now);

  /// To be called at least every quarter of a probe timeout.
  DetectorActions OnTick(Instant now);

  DetectorActions OnMessage(const GossipMessage& message, Instant now);

  /// Changes what this node says of itself; status, flags and configuration
  /// version are taken from `self`.
  DetectorActions UpdateSelf(const Member& self, Instant now);

  /// The configuration that this node holds; it goes out with every datagram.
  void SetConfigVersion(std::uint64_t version) {
    this->self.config_version = version;
  }

  /// Sends a datagram to `count` random members, so that a new configuration
  /// version is heard of without waiting for the next probes.
  DetectorActions Announce(std::uint32_t count);

  /// Spreads a strike.
  DetectorActions AddStrike(const quarantine::Strike& strike);

  /// Spreads a leaving notice.
  DetectorActions AddLeaving(const LeavingNotice& notice);

  /// Spreads the news that a backend server does not answer.
  DetectorActions AddUnreachable(const UnreachableNotice& notice);

  /// Marks another member leaving, as the VM list says.
  DetectorActions MarkLeaving(const std::string& vm, Instant now);

  const Member& Self() const { return this->self; }

  /// All members known, the own one included, dead ones too.
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
  template <class News>
  struct Rumour {
    News news;
    std::uint32_t sends_left = 0;
  };

  std::uint32_t RetransmitLimit() const;
  void Merge(const Member& heard, Instant now, DetectorActions* actions);
  void Refute(const Member& heard, DetectorActions* actions);
  void Accept(Entry* entry,
              const Member& member,
              Instant now,
              DetectorActions* actions);
  void HearSender(const Member& sender, DetectorActions* actions);
  bool HearStrike(const quarantine::Strike& strike, DetectorActions* actions);
  template <class Heard, class Notice>
  bool HearNotice(std::vector<Rumour<Notice>>* rumours,
                  const Notice& notice,
                  DetectorActions* actions) const;
  void Broadcast(const GossipMessage& news, DetectorActions* actions);
  GossipMessage MakeMessage(MessageKind kind,
                            std::uint64_t sequence,
                            const std::string& to);
  void Send(const Member& to,
            GossipMessage message,
            DetectorActions* actions) const;
  void StartProbe(Instant now, DetectorActions* actions);
  void GreetDead(DetectorActions* actions);
  void CheckProbes(Instant now, DetectorActions* actions);
  void CheckSuspects(Instant now, DetectorActions* actions);
  std::optional<std::string> NextTarget();
  void RefillTargets();

  DetectorSettings settings;
  Member self;
  Random random;
  std::map<std::string, Entry> others;  ///< by VM
  std::vector<std::string> targets;     ///< shuffled round of probe targets
  std::map<std::uint64_t, Probe> probes;
  std::map<std::uint64_t, RelayedProbe> relayed;
  std::vector<Rumour<quarantine::Strike>> strikes;
  std::vector<Rumour<LeavingNotice>> leaving;
  std::vector<Rumour<UnreachableNotice>> unreachable;
  std::uint32_t self_sends_left = 0;
  std::uint64_t next_sequence = 0;
  std::uint64_t periods = 0;
  std::string filler_cursor;  ///< next member to use as filler
  Instant next_probe;
};

}  // namespace chervilpass::membership
