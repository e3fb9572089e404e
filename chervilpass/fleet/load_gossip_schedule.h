// Which peers are told loads next. What a VM sends stays the same however large
// the fleet is: each turn reaches the next few VMs of its own data centre with
// its own loads, and now and then one of another data centre with the sums of
// its own one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "chervilpass/core/time.h"
#include "chervilpass/membership/member.h"

namespace chervilpass::fleet {

/// Describes a LoadGossipSchedule.
struct LoadGossipScheduleSettings {
  Duration period = milliseconds(300);  ///< between two turns
  /// Bytes a second for all loads, of the 13 KB/s that a node may spend on
  /// control at the target size.
  double bytes_per_second = 8000;
  /// Where the own data centre takes up all that may be sent, another one is
  /// told every so many turns.
  std::uint32_t rounds_per_remote = 2;

  bool operator==(const LoadGossipScheduleSettings&) const = default;
};

/// Peers to tell in one turn.
struct LoadGossipRound {
  std::vector<membership::Member> same_data_centre;  ///< the own loads
  std::vector<membership::Member>
      other_data_centres;  ///< the sums of the data centre

  bool operator==(const LoadGossipRound&) const = default;
};

/// Not thread-safe. Invariant: over successive turns all peers of a data centre
/// are told equally often.
class LoadGossipSchedule {
 public:
  /// `seed` sets where on the rings the first turn begins, so that VMs do not
  /// all tell the same ones.
  LoadGossipSchedule(LoadGossipScheduleSettings settings, std::uint64_t seed)
      : settings(settings), next_local(seed), next_remote(seed) {}

  /// Peers to tell now, given all members, `self` among them, and the size of
  /// one datagram in bytes. Dead members are left out.
  LoadGossipRound Next(const std::vector<membership::Member>& members,
                       const membership::Member& self,
                       std::size_t datagram_bytes);

 private:
  LoadGossipScheduleSettings settings;
  std::uint64_t next_local;
  std::uint64_t next_remote;
  std::uint32_t turns = 0;
};

}  // namespace chervilpass::fleet
