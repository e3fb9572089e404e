// Notices about backend servers and requests that VMs pass on to each other:
// which are known, and how often each must still be sent.
#pragma once

#include <cstdint>
#include <vector>

#include "chervilpass/membership/detector_action.h"
#include "chervilpass/membership/gossip_message.h"

namespace chervilpass::membership {

/// Not thread-safe.
class NoticeBoard {
 public:
  /// Records a strike; true if it is new. `sends` is how often it is sent with
  /// other messages.
  bool Merge(const quarantine::Strike& strike,
             std::uint32_t sends,
             DetectorActions* actions);

  /// Record other notices. True if the notice must be sent to all members at
  /// once: it is the first one about its subject or, but for clearances, at
  /// least a second newer than the known one.
  bool Merge(const quarantine::Clearance& clearance,
             std::uint32_t sends,
             DetectorActions* actions);
  bool Merge(const LeavingNotice& notice,
             std::uint32_t sends,
             DetectorActions* actions);
  bool Merge(const UnreachableNotice& notice,
             std::uint32_t sends,
             DetectorActions* actions);
  bool Merge(const DepartureNotice& notice,
             std::uint32_t sends,
             DetectorActions* actions);

  /// Records the notices of a message. Returns a message with those that are
  /// new to this VM.
  GossipMessage MergeAll(const GossipMessage& message,
                         std::uint32_t sends,
                         DetectorActions* actions);

  /// Adds notices that must still be sent to a message.
  void AppendTo(GossipMessage* message);

  /// All known strikes, in parts that fit into one message each.
  std::vector<std::vector<quarantine::Strike>> StrikesInParts() const;

 private:
  template <class Payload>
  struct Update {
    Payload payload;
    std::uint32_t sends_left = 0;
  };

  template <class Received, class Notice>
  static bool MergeNotice(std::vector<Update<Notice>>* updates,
                          const Notice& notice,
                          std::uint32_t sends,
                          DetectorActions* actions);

  std::vector<Update<quarantine::Strike>> strikes;
  std::vector<Update<quarantine::Clearance>> clearances;
  std::vector<Update<LeavingNotice>> leaving;
  std::vector<Update<UnreachableNotice>> unreachable;
  std::vector<Update<DepartureNotice>> departures;
};

/// Number of notices of each kind that fit into one message.
inline constexpr std::size_t kMaxNoticesPerMessage = 8;

}  // namespace chervilpass::membership
