// The records of all known members, with the indexes and digests that the
// detector needs. Digests of two VMs are equal if their tables agree, so tables
// are compared without being sent; cf. the anti-entropy of Demers et al.,
// "Epidemic algorithms for replicated database maintenance", PODC 1987.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "chervilpass/membership/member.h"

namespace chervilpass::membership {

/// Number of parts into which members are divided by key to find the records
/// in which two tables differ.
inline constexpr std::size_t kTableBuckets = 64;

/// Digest of each bucket of a table.
using BucketDigests = std::array<std::uint32_t, kTableBuckets>;

/// Returns the bucket of a VM.
constexpr std::size_t BucketOf(std::uint64_t vm_key) {
  return vm_key % kTableBuckets;
}

/// Holds one record for each known VM. Not thread-safe.
/// Invariants: the first record is the one of this VM; digests and counts
/// always match the records.
class MemberTable {
 public:
  explicit MemberTable(const Member& self);

  /// All records, that of this VM first. The reference stays valid; its
  /// contents change with the table.
  const std::vector<Member>& Members() const { return this->members; }

  const Member& Self() const { return this->members.front(); }

  /// Number of other VMs.
  std::size_t PeerCount() const { return this->members.size() - 1; }

  /// Number of VMs, this one included, that are not dead.
  std::size_t AliveCount() const { return this->alive; }

  /// Returns the record of a VM; null if it is unknown.
  const Member* Find(const std::string& vm) const;
  const Member* FindByKey(std::uint64_t vm_key) const;

  /// MemberIdentity of a known VM.
  std::uint32_t IdentityOf(const std::string& vm) const;

  /// Adds or replaces the record of a VM.
  void Put(const Member& member);

  /// Removes the record of another VM.
  void Remove(const std::string& vm);

  /// Sets the configuration version of a known VM; digests ignore it.
  void SetConfigVersion(const std::string& vm, std::uint64_t version);

  /// Digest of all records but those of dead VMs, which are forgotten at
  /// different times. Never zero.
  std::uint64_t Digest() const { return this->digest | 1U; }

  const BucketDigests& Buckets() const { return this->buckets; }

  /// Records of one bucket, dead VMs included.
  std::vector<const Member*> InBucket(std::size_t bucket) const;

 private:
  struct Derived {
    std::uint64_t key = 0;
    std::uint32_t identity = 0;
    std::uint64_t digest = 0;  ///< zero if the VM is dead
  };

  static Derived DerivedFrom(const Member& member);
  void ToggleDigest(const Derived& derived);
  std::size_t PositionOf(const std::string& vm) const;

  std::vector<Member> members;
  std::vector<Derived> derived;  ///< of the member at the same position
  std::unordered_map<std::string, std::size_t> positions;  ///< by VM
  std::unordered_map<std::uint64_t, std::size_t> by_key;   ///< positions
  std::uint64_t digest = 0;
  BucketDigests buckets{};
  std::size_t alive = 0;
};

}  // namespace chervilpass::membership
