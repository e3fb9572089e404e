#include "chervilpass/membership/member_table.h"

#include <cassert>

namespace chervilpass::membership {

MemberTable::MemberTable(const Member& self) {
  this->Put(self);
}

MemberTable::Derived MemberTable::DerivedFrom(const Member& member) {
  return {MemberKey(member.vm), MemberIdentity(member),
          member.status == Status::kDead ? 0 : MemberDigest(member)};
}

// Adds the digest of a record to the sums, or removes it again.
void MemberTable::ToggleDigest(const Derived& derived) {
  this->digest ^= derived.digest;
  this->buckets[BucketOf(derived.key)] ^=
      static_cast<std::uint32_t>(derived.digest);
}

std::size_t MemberTable::PositionOf(const std::string& vm) const {
  const auto found = this->positions.find(vm);
  assert(found != this->positions.end());
  return found->second;
}

const Member* MemberTable::Find(const std::string& vm) const {
  const auto found = this->positions.find(vm);
  return found == this->positions.end() ? nullptr
                                        : &this->members[found->second];
}

const Member* MemberTable::FindByKey(std::uint64_t vm_key) const {
  const auto found = this->by_key.find(vm_key);
  return found == this->by_key.end() ? nullptr : &this->members[found->second];
}

std::uint32_t MemberTable::IdentityOf(const std::string& vm) const {
  return this->derived[this->PositionOf(vm)].identity;
}

void MemberTable::Put(const Member& member) {
  const Derived next = DerivedFrom(member);
  const auto [found, added] =
      this->positions.try_emplace(member.vm, this->members.size());
  const std::size_t position = found->second;
  if (added) {
    this->by_key.emplace(next.key, position);
    this->members.push_back(member);
    this->derived.push_back(next);
  } else {
    this->ToggleDigest(this->derived[position]);
    this->alive -= this->members[position].status == Status::kDead ? 0 : 1;
    this->members[position] = member;
    this->derived[position] = next;
  }
  this->ToggleDigest(next);
  this->alive += member.status == Status::kDead ? 0 : 1;
}

void MemberTable::Remove(const std::string& vm) {
  const std::size_t position = this->PositionOf(vm);
  assert(position != 0);
  this->ToggleDigest(this->derived[position]);
  this->alive -= this->members[position].status == Status::kDead ? 0 : 1;
  this->by_key.erase(this->derived[position].key);
  this->positions.erase(vm);
  if (position + 1 != this->members.size()) {
    this->members[position] = std::move(this->members.back());
    this->derived[position] = this->derived.back();
    this->positions[this->members[position].vm] = position;
    this->by_key[this->derived[position].key] = position;
  }
  this->members.pop_back();
  this->derived.pop_back();
}

void MemberTable::SetConfigVersion(const std::string& vm,
                                   std::uint64_t version) {
  this->members[this->PositionOf(vm)].config_version = version;
}

std::vector<const Member*> MemberTable::InBucket(std::size_t bucket) const {
  std::vector<const Member*> found;
  for (std::size_t i = 0; i < this->members.size(); ++i) {
    if (BucketOf(this->derived[i].key) == bucket) {
      found.push_back(&this->members[i]);
    }
  }
  return found;
}

}  // namespace chervilpass::membership
