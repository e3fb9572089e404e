// What the detector asks its owner to do.
#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "chervilpass/membership/gossip_message.h"

namespace chervilpass::membership {

/// Sends a datagram to a member.
struct SendGossip {
  Member to;
  GossipMessage message;

  bool operator==(const SendGossip&) const = default;
};

/// How this VM came to a new record of a member.
enum class ChangeOrigin : std::uint8_t {
  kOwn,      ///< It decided: about itself, or about one that did not answer.
  kGossip,   ///< Another VM's message said so.
  kListing,  ///< The store's list of VMs said so.
};

/// The record of a member changed; `member` is the new one.
struct MemberChanged {
  Member member;
  ChangeOrigin origin = ChangeOrigin::kGossip;

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

}  // namespace chervilpass::membership
