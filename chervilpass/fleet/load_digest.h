// Bounds the size of load datagrams. A list that is too long for a datagram is
// replaced by a part of it that says so: of a VM's own loads a random sample
// with the share that it is of all, of a data centre's sums the largest ones
// with the average of the rest.
#pragma once

#include <cstddef>

#include "chervilpass/core/random.h"
#include "chervilpass/membership/gossip_message.h"

namespace chervilpass::fleet {

/// Settings of BoundLoads.
struct LoadDigestSettings {
  /// Longer lists are sent in part. Data centres of the largest fleets measured
  /// with whole lists had about 130 workers.
  std::size_t max_whole = 160;
  /// Loads in a partial list: a datagram of one IP packet.
  std::size_t max_partial = 90;

  bool operator==(const LoadDigestSettings&) const = default;
};

/// Shortens `message->loads` and sets `partial_loads` if the list is too long.
void BoundLoads(const LoadDigestSettings& settings,
                Random* random,
                membership::GossipMessage* message);

/// Scales the loads of a sample so that they are, on average, those of the
/// whole list. Other messages stay as they are.
void ScaleSample(membership::GossipMessage* message);

}  // namespace chervilpass::fleet
