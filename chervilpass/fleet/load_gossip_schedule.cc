#include "chervilpass/fleet/load_gossip_schedule.h"

#include <algorithm>

namespace chervilpass::fleet {
namespace {

using membership::Member;
using membership::Status;

// The next `count` members of a ring, from `*next` on.
std::vector<Member> TakeFromRing(std::vector<Member> ring,
                                 std::size_t count,
                                 std::uint64_t* next) {
  std::sort(ring.begin(), ring.end(),
            [](const Member& a, const Member& b) { return a.vm < b.vm; });
  std::vector<Member> taken;
  for (std::size_t i = 0; i < std::min(count, ring.size()); ++i) {
    taken.push_back(ring[(*next)++ % ring.size()]);
  }
  return taken;
}

}  // namespace

LoadGossipRound LoadGossipSchedule::Next(const std::vector<Member>& members,
                                         const Member& self,
                                         std::size_t datagram_bytes) {
  std::vector<Member> local;
  std::vector<Member> remote;
  for (const Member& member : members) {
    if (member.vm != self.vm && member.status != Status::kDead) {
      (member.data_centre == self.data_centre ? local : remote)
          .push_back(member);
    }
  }
  const double affordable = this->settings.bytes_per_second *
                            ToSeconds(this->settings.period) /
                            std::max<std::size_t>(1, datagram_bytes);
  const auto count =
      std::max<std::size_t>(1, static_cast<std::size_t>(affordable));
  const bool due = ++this->turns % this->settings.rounds_per_remote == 0;
  const std::size_t kept_for_remote = due && !remote.empty() ? 1 : 0;
  const std::size_t local_count =
      std::min(local.size(), count - std::min(count, kept_for_remote));
  const std::size_t remote_count = count - local_count;
  return {TakeFromRing(std::move(local), local_count, &this->next_local),
          TakeFromRing(std::move(remote), remote_count, &this->next_remote)};
}

}  // namespace chervilpass::fleet
