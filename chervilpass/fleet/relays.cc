#include "chervilpass/fleet/relays.h"

#include <algorithm>

namespace chervilpass::fleet {
namespace {

using membership::Member;
using membership::Status;

bool IsPresent(const Member& member) {
  return member.status == Status::kAlive || member.status == Status::kSuspect;
}

const Member* FindMember(const std::vector<Member>& members,
                         const std::string& vm) {
  const auto found =
      std::find_if(members.begin(), members.end(),
                   [&vm](const Member& member) { return member.vm == vm; });
  return found == members.end() ? nullptr : &*found;
}

}  // namespace

bool IsRelay(const std::vector<Member>& members,
             const std::string& vm,
             FleetPhase phase) {
  const Member* self = FindMember(members, vm);
  if (self == nullptr) {
    return true;
  }
  return std::none_of(
      members.begin(), members.end(), [self, phase](const Member& member) {
        return member.vm < self->vm && member.status == Status::kAlive &&
               (member.store_up || phase == FleetPhase::kStarting) &&
               member.data_centre == self->data_centre;
      });
}

std::vector<Member> RelaysFor(const std::vector<Member>& members,
                              const std::string& vm) {
  const Member* self = FindMember(members, vm);
  std::vector<Member> relays;
  for (const Member& member : members) {
    if (member.vm != vm && IsPresent(member) && member.store_up) {
      relays.push_back(member);
    }
  }
  std::stable_sort(
      relays.begin(), relays.end(), [self](const Member& a, const Member& b) {
        const auto rank = [self](const Member& member) {
          return self == nullptr || member.data_centre == self->data_centre ? 0
                                                                            : 1;
        };
        return rank(a) != rank(b) ? rank(a) < rank(b) : a.vm < b.vm;
      });
  return relays;
}

}  // namespace chervilpass::fleet
