#include "chervilpass/membership/member.h"

#include <fmt/format.h>

namespace chervilpass::membership {

std::uint32_t MemberIdentity(const Member& member) {
  return static_cast<std::uint32_t>(HashText(fmt::format(
      "{}\n{}\n{}\n{}\n{}\n{}\n{}\n{}\n{}", member.vm, member.data_centre,
      member.region, member.ip, member.http_port, member.dispatch_port,
      member.control_port, member.gossip_port, member.forward_port)));
}

std::uint64_t MemberDigest(const Member& member) {
  const std::uint64_t flags =
      (member.entry_up ? 1U : 0U) | (member.dispatch_up ? 2U : 0U) |
      (member.store_up ? 4U : 0U) | (member.cut_off ? 8U : 0U);
  const std::uint64_t state = flags | static_cast<std::uint64_t>(member.status)
                                          << 8U;
  return HashCombine(HashCombine(MemberKey(member.vm), member.boot_id),
                     HashCombine(member.incarnation, state));
}

MemberUpdate UpdateOf(const Member& member, std::uint32_t identity) {
  MemberUpdate update;
  update.vm_key = MemberKey(member.vm);
  update.identity = identity;
  update.boot_id = member.boot_id;
  update.incarnation = member.incarnation;
  update.status = member.status;
  update.entry_up = member.entry_up;
  update.dispatch_up = member.dispatch_up;
  update.store_up = member.store_up;
  update.cut_off = member.cut_off;
  return update;
}

Member WithUpdate(const Member& known, const MemberUpdate& update) {
  Member member = known;
  if (update.boot_id != known.boot_id) {
    member.config_version = 0;
  }
  member.boot_id = update.boot_id;
  member.incarnation = update.incarnation;
  member.status = update.status;
  member.entry_up = update.entry_up;
  member.dispatch_up = update.dispatch_up;
  member.store_up = update.store_up;
  member.cut_off = update.cut_off;
  return member;
}

}  // namespace chervilpass::membership
