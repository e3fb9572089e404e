// Selects the peers that receive load gossip next. Each VM sends at a constant
// rate, independent of the size of the fleet: in each round it sends its loads
// to the next few VMs of its data centre, and in some rounds the sums of its
// data centre to VMs of other data centres.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "chervilpass/core/time.h"
#include "chervilpass/membership/member.h"

namespace chervilpass::fleet {

/// Settings of a LoadGossipSchedule.
struct LoadGossipScheduleSettings {
  Duration period = milliseconds(300);  ///< between two rounds
  /// Bytes per second for all load gossip, out of the 13 KB/s that a node may
  /// spend on control traffic at the target size.
  double bytes_per_second = 8000;
  /// Once in this many rounds, one datagram is reserved for other data centres
  /// if this data centre's peers would use up the rate.
  std::uint32_t rounds_per_remote = 2;

  bool operator==(const LoadGossipScheduleSettings&) const = default;
};

/// Receivers of one round.
struct LoadGossipRound {
  /// Receive the loads of this VM.
  std::vector<membership::Member> same_data_centre;
  /// Receive the sums of this data centre.
  std::vector<membership::Member> other_data_centres;

  bool operator==(const LoadGossipRound&) const = default;
};

/// Cycles through the peers. Not thread-safe.
/// Invariant: over successive rounds all peers of this data centre are selected
/// equally often, and so are all peers of other data centres.
class LoadGossipSchedule {
 public:
  /// `seed` sets the position at which the first round begins, so that VMs do
  /// not all select the same peers.
  LoadGossipSchedule(LoadGossipScheduleSettings settings, std::uint64_t seed)
      : settings(settings),
        next_same_data_centre(seed),
        next_other_data_centre(seed) {}

  /// Returns the receivers of the next round. `members` includes `self`; dead
  /// members are skipped. `datagram_bytes` is the size of one datagram.
  LoadGossipRound Next(const std::vector<membership::Member>& members,
                       const membership::Member& self,
                       std::size_t datagram_bytes);

 private:
  LoadGossipScheduleSettings settings;
  std::uint64_t next_same_data_centre;
  std::uint64_t next_other_data_centre;
  std::uint32_t rounds = 0;
};

}  // namespace chervilpass::fleet
