// A member of the fleet: one entry VM and the state of its daemons.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "chervilpass/core/hash.h"

namespace chervilpass::membership {

/// State of a member, ordered by precedence within one incarnation.
enum class Status : std::uint8_t { kAlive, kSuspect, kLeaving, kDead };

/// Record of one entry VM. `Supersedes` decides which of two records of a VM is
/// kept.
struct Member {
  std::string vm;
  std::string data_centre;
  std::string region;
  std::string ip;
  std::uint16_t http_port = 0;
  std::uint16_t dispatch_port = 0;
  std::uint16_t control_port = 0;
  std::uint16_t gossip_port = 0;
  std::uint64_t boot_id = 0;  ///< higher with each start of the gossip process
  std::uint64_t incarnation = 0;
  Status status = Status::kAlive;
  bool entry_up = false;
  bool dispatch_up = false;
  bool store_up = false;  ///< the VM recently reached the platform's store
  std::uint64_t config_version = 0;
  /// Serves requests that other VMs forward; 0: it takes none.
  std::uint16_t forward_port = 0;
  bool cut_off = false;  ///< the VM reaches no backend server

  auto operator<=>(const Member&) const = default;
};

/// True if `candidate` is a newer record of the same VM than `known`: it has a
/// higher boot id, or else a higher incarnation, or else a higher status.
inline bool Supersedes(const Member& candidate, const Member& known) {
  if (candidate.boot_id != known.boot_id) {
    return candidate.boot_id > known.boot_id;
  }
  if (candidate.incarnation != known.incarnation) {
    return candidate.incarnation > known.incarnation;
  }
  return candidate.status > known.status;
}

/// What changes of a record within one start of its VM, as sent to VMs that
/// know the rest. About a quarter of the size of a `Member`.
struct MemberUpdate {
  std::uint64_t vm_key = 0;    ///< MemberKey of the VM
  std::uint32_t identity = 0;  ///< MemberIdentity of the record
  std::uint64_t boot_id = 0;
  std::uint64_t incarnation = 0;
  Status status = Status::kAlive;
  bool entry_up = false;
  bool dispatch_up = false;
  bool store_up = false;
  bool cut_off = false;
  /// For kSuspect: the VM whose probe failed, by the lower half of its
  /// MemberKey; 0 if unknown.
  std::uint32_t suspected_by = 0;

  auto operator<=>(const MemberUpdate&) const = default;
};

/// Identifies a VM in updates and digests.
inline std::uint64_t MemberKey(const std::string& vm) {
  return HashText(vm);
}

/// Hash of the parts of a record that an update leaves out.
std::uint32_t MemberIdentity(const Member& member);

/// Hash of the parts of a record on which all VMs agree once its last change
/// has reached them.
std::uint64_t MemberDigest(const Member& member);

/// Returns the update that states `member`, whose MemberIdentity is `identity`.
MemberUpdate UpdateOf(const Member& member, std::uint32_t identity);

/// Returns `known` with the changes of `update`, which is about the same VM.
Member WithUpdate(const Member& known, const MemberUpdate& update);

}  // namespace chervilpass::membership
