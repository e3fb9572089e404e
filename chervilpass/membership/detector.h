// Failure detector and membership dissemination after SWIM: Das, Gupta and
// Motivala, "SWIM: scalable weakly-consistent infection-style process group
// membership protocol", DSN 2002, with suspicion timeouts after Lifeguard and
// comparison of tables (see MemberTable). Pure state machine: time, the random
// seed and datagrams are passed in.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "chervilpass/core/random.h"
#include "chervilpass/core/time.h"
#include "chervilpass/membership/detector_action.h"
#include "chervilpass/membership/detector_settings.h"
#include "chervilpass/membership/gossip_message.h"
#include "chervilpass/membership/local_lateness.h"
#include "chervilpass/membership/member_table.h"
#include "chervilpass/membership/notice_board.h"
#include "chervilpass/membership/suspicion.h"
#include "chervilpass/membership/update_queue.h"

namespace chervilpass::membership {

/// State of one node in the protocol. Not thread-safe.
/// Invariants: the local record is never suspect or dead; the record of each VM
/// is one that no other record received supersedes; exactly the suspected
/// members have a Suspicion.
class Detector {
 public:
  Detector(DetectorSettings settings,
           Member self,
           std::uint64_t seed,
           Instant now);

  /// Adds a member known from the settings or the VM list and sends it a join
  /// request.
  DetectorActions AddSeed(const Member& seed, Instant now);

  /// Adds members that the VM list states, as far as that is news. They are not
  /// passed on, since the other VMs read the same list.
  DetectorActions AddListed(const std::vector<Member>& listed, Instant now);

  /// Must be called at least every half of the probe timeout.
  DetectorActions OnTick(Instant now);

  DetectorActions OnMessage(const GossipMessage& message, Instant now);

  /// Replaces the local record by `self` under a higher incarnation. The VM
  /// must be the same; boot id and incarnation of `self` are ignored.
  DetectorActions UpdateSelf(const Member& self, Instant now);

  /// Sets the version of the configuration that this node holds; it is sent
  /// with every datagram.
  void SetConfigVersion(std::uint64_t version);

  /// Sends a datagram to `count` random members that are not dead, so that a
  /// new configuration version spreads before the next probes.
  DetectorActions Announce(std::uint32_t count, Instant now);

  /// Sends the strikes that are new to all members.
  DetectorActions AddStrikes(const std::vector<quarantine::Strike>& strikes);

  /// Sends a clearance to all members if it is the first one or newer than the
  /// known one.
  DetectorActions AddClearance(const quarantine::Clearance& clearance);

  /// Send a notice to all members if it is the first one about its subject or
  /// at least a second newer than the known one.
  DetectorActions AddLeaving(const LeavingNotice& notice);
  DetectorActions AddUnreachable(const UnreachableNotice& notice);
  DetectorActions AddDeparture(const DepartureNotice& notice);

  /// Marks another member as leaving, according to the VM list.
  DetectorActions MarkLeaving(const std::string& vm, Instant now);

  const Member& Self() const { return this->table.Self(); }

  /// All known members, this one first, dead ones included.
  const std::vector<Member>& Members() const { return this->table.Members(); }

  /// The known members with their indexes.
  const MemberTable& Table() const { return this->table; }

 private:
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
  /// Where a record comes from.
  struct Source {
    ChangeOrigin origin = ChangeOrigin::kGossip;
    std::uint32_t suspected_by = 0;  ///< as in MemberUpdate
    /// The record is part of a comparison of tables: it is not passed on, and a
    /// death, which may be old news, counts as a suspicion.
    bool from_table = false;
    bool first_hand = false;  ///< the VM itself has sent its record
  };

  std::uint32_t RetransmitLimit() const;
  bool IsPresent(const std::string& vm) const;
  std::uint32_t SelfKey() const;

  // Records.
  void Merge(const Member& stated,
             const Source& source,
             Instant now,
             DetectorActions* actions);
  void MergeUpdate(const MemberUpdate& update,
                   bool from_table,
                   Instant now,
                   DetectorActions* actions);
  void Refute(const Member& received, Instant now, DetectorActions* actions);
  void Accept(const Member& member,
              const Source& source,
              Instant now,
              DetectorActions* actions);
  void Suspect(const std::string& vm, Instant now, DetectorActions* actions);
  void PutSelf(const Member& next, DetectorActions* actions);
  void UpdateSenderConfigVersion(const Member& sender,
                                 DetectorActions* actions);

  // Messages.
  GossipMessage MakeMessage(MessageKind kind,
                            std::uint64_t sequence,
                            const std::string& to,
                            Instant now);
  GossipMessage MakeNote() const;
  MemberUpdate CurrentUpdate(const Member& member);
  void Ping(const std::string& vm, Instant now, DetectorActions* actions);
  void Send(const Member& to,
            GossipMessage message,
            DetectorActions* actions) const;
  void Broadcast(const GossipMessage& contents, DetectorActions* actions);
  std::vector<std::string> RandomPresent(std::size_t count,
                                         const std::string& except);
  void AnswerPing(const GossipMessage& message,
                  const Member& from,
                  Instant now,
                  DetectorActions* actions);
  void SendAllMembers(const Member& to,
                      const GossipMessage& ack,
                      DetectorActions* actions) const;
  void RelayProbe(const GossipMessage& message,
                  const Member& from,
                  Instant now,
                  DetectorActions* actions);
  void OnAck(const GossipMessage& message,
             Instant now,
             DetectorActions* actions);

  // Comparison of tables.
  bool MaySendTable(Instant now);
  void CompareTables(const GossipMessage& message,
                     const Member& from,
                     Instant now,
                     DetectorActions* actions);
  void CompleteListing(const GossipMessage& message,
                       const Member& from,
                       Instant now,
                       DetectorActions* actions);
  void SendWanted(const GossipMessage& message,
                  const Member& from,
                  DetectorActions* actions) const;
  void AskForWanted(const Member& from, Instant now, DetectorActions* actions);

  // Periodic work.
  void Extend(Duration stalled);
  void StartProbe(Instant now, DetectorActions* actions);
  void PingDeadMember(Instant now, DetectorActions* actions);
  void CheckProbes(Instant now, DetectorActions* actions);
  void ProbeIndirectly(std::uint64_t sequence,
                       const Probe& probe,
                       Instant now,
                       DetectorActions* actions);
  void OnProbeFailed(const std::string& vm,
                     Instant now,
                     DetectorActions* actions);
  void CheckSuspects(Instant now, DetectorActions* actions);
  std::optional<std::string> NextTarget();
  void RefillTargets();

  DetectorSettings settings;
  Random random;
  MemberTable table;
  UpdateQueue updates;
  NoticeBoard notices;
  std::map<std::string, Suspicion> suspicions;  ///< by VM
  std::map<std::string, Instant> dead_since;    ///< by VM
  /// VMs whose latest message had no digest: they read whole records only.
  std::set<std::string> without_updates;
  /// VMs that updates name and this VM lacks, with the last request.
  std::unordered_map<std::uint64_t, Instant> wanted;
  std::vector<std::uint64_t> wanted_now;  ///< not yet asked for
  std::vector<std::string> targets;       ///< shuffled round of probe targets
  std::map<std::uint64_t, Probe> probes;
  std::map<std::uint64_t, RelayedProbe> relayed_probes;
  std::uint64_t next_sequence = 0;
  std::uint64_t periods = 0;
  std::size_t filler = 0;  ///< position of the last member used as filler
  Instant next_probe;
  LocalLateness lateness;
  Instant last_received;   ///< any message of another VM
  bool found_out = false;  ///< a member does not answer; not yet announced
  std::optional<Instant> last_sync;
  double sync_records = 0;  ///< that may be sent in comparisons of tables
  Instant sync_refilled;
  std::optional<Instant> last_join_answer;
};

}  // namespace chervilpass::membership
