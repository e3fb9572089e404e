#include "chervilpass/fleet/load_gossip_schedule.h"

#include <algorithm>

namespace chervilpass::fleet {
namespace {

using membership::Member;
using membership::Status;

// Returns the next `count` members of the ring sorted by VM and advances
// `*next`.
std::vector<Member> NextFromRing(std::vector<const Member*> ring,
                                 std::size_t count,
                                 std::uint64_t* next) {
  if (count == 0) {
    return {};
  }
  std::sort(ring.begin(), ring.end(),
            [](const Member* a, const Member* b) { return a->vm < b->vm; });
  std::vector<Member> selected;
  for (std::size_t i = 0; i < std::min(count, ring.size()); ++i) {
    selected.push_back(*ring[(*next)++ % ring.size()]);
  }
  return selected;
}

}  // namespace

LoadGossipRound LoadGossipSchedule::Next(const std::vector<Member>& members,
                                         const Member& self,
                                         std::size_t datagram_bytes) {
  std::vector<const Member*> same_data_centre;
  std::vector<const Member*> other_data_centres;
  for (const Member& member : members) {
    if (member.vm != self.vm && member.status != Status::kDead) {
      (member.data_centre == self.data_centre ? same_data_centre
                                              : other_data_centres)
          .push_back(&member);
    }
  }
  const double max_datagrams = this->settings.bytes_per_second *
                               ToSeconds(this->settings.period) /
                               std::max<std::size_t>(1, datagram_bytes);
  const auto count =
      std::max<std::size_t>(1, static_cast<std::size_t>(max_datagrams));
  const bool remote_due =
      ++this->rounds % this->settings.rounds_per_remote == 0;
  const std::size_t reserved_for_remote =
      remote_due && !other_data_centres.empty() ? 1 : 0;
  const std::size_t same_data_centre_count = std::min(
      same_data_centre.size(), count - std::min(count, reserved_for_remote));
  const std::size_t other_data_centre_count = count - same_data_centre_count;
  return {NextFromRing(std::move(same_data_centre), same_data_centre_count,
                       &this->next_same_data_centre),
          NextFromRing(std::move(other_data_centres), other_data_centre_count,
                       &this->next_other_data_centre)};
}

}  // namespace chervilpass::fleet
