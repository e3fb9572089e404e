// A member of the fleet: one entry VM and the state of its daemons.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace chervilpass::membership {

/// State of a member, ordered by precedence within one incarnation.
enum class Status : std::uint8_t { kAlive, kSuspect, kLeaving, kDead };

/// One entry VM. A later record replaces an earlier one of the same VM as
/// `Supersedes` says.
struct Member {
  std::string vm;
  std::string data_centre;
  std::string region;
  std::string ip;
  std::uint16_t http_port = 0;
  std::uint16_t dispatch_port = 0;
  std::uint16_t control_port = 0;
  std::uint16_t gossip_port = 0;
  std::uint64_t boot_id = 0;  ///< Rises with each start of the VM's control.
  std::uint64_t incarnation = 0;
  Status status = Status::kAlive;
  bool entry_up = false;
  bool dispatch_up = false;
  bool store_up = false;  ///< It has heard from the platform's store of late.
  std::uint64_t config_version = 0;

  auto operator<=>(const Member&) const = default;
};

/// True if `candidate` is newer knowledge of the same VM than `known`: a later
/// boot, else a higher incarnation, else a graver status.
inline bool Supersedes(const Member& candidate, const Member& known) {
  if (candidate.boot_id != known.boot_id) {
    return candidate.boot_id > known.boot_id;
  }
  if (candidate.incarnation != known.incarnation) {
    return candidate.incarnation > known.incarnation;
  }
  return candidate.status > known.status;
}

}  // namespace chervilpass::membership
