// Comparison of the tables of two VMs: digests of both tables travel with
// probes and their answers; a VM that sees a difference sends its records of
// the buckets that differ, and the other one replies with what they lack.
#include <algorithm>
#include <unordered_map>

#include "chervilpass/membership/detector.h"

namespace chervilpass::membership {
namespace {

constexpr double kWholeRecordCost = 4;  // in updates, by size

}  // namespace

bool Detector::MaySendTable(Instant now) {
  const double burst = this->settings.sync_burst_per_member *
                       static_cast<double>(this->Members().size());
  this->sync_records = std::min(
      burst, this->sync_records + this->settings.sync_records_per_second *
                                      ToSeconds(now - this->sync_refilled));
  this->sync_refilled = now;
  return this->sync_records > 0;
}

void Detector::CompareTables(const GossipMessage& message,
                             const Member& from,
                             Instant now,
                             DetectorActions* actions) {
  if (!message.bucket_digests ||
      (this->last_sync &&
       now - *this->last_sync < this->settings.sync_interval) ||
      !this->MaySendTable(now)) {
    return;
  }
  this->last_sync = now;
  GossipMessage listing = this->MakeNote();
  for (std::size_t bucket = 0; bucket < kTableBuckets; ++bucket) {
    if (this->table.Buckets()[bucket] == (*message.bucket_digests)[bucket]) {
      continue;
    }
    const std::vector<const Member*> members = this->table.InBucket(bucket);
    if (!listing.updates.empty() && listing.updates.size() + members.size() >
                                        this->settings.updates_per_datagram) {
      this->Send(from, listing, actions);
      listing.updates.clear();
      listing.listed_buckets = 0;
    }
    listing.listed_buckets |= std::uint64_t{1} << bucket;
    for (const Member* member : members) {
      listing.updates.push_back(this->CurrentUpdate(*member));
      this->sync_records -= 1;
    }
  }
  if (listing.listed_buckets != 0) {
    this->Send(from, std::move(listing), actions);
  }
}

// Replies with the records that the sender of a listing lacks: whole ones of
// VMs that it does not know.
void Detector::CompleteListing(const GossipMessage& message,
                               const Member& from,
                               Instant now,
                               DetectorActions* actions) {
  if (message.listed_buckets == 0 || !this->MaySendTable(now)) {
    return;
  }
  std::unordered_map<std::uint64_t, const MemberUpdate*> listed;
  for (const MemberUpdate& update : message.updates) {
    listed[update.vm_key] = &update;
  }
  GossipMessage reply = this->MakeNote();
  const auto send_if_full = [&](bool last) {
    const double size =
        kWholeRecordCost * static_cast<double>(reply.members.size()) +
        static_cast<double>(reply.updates.size());
    const bool full = size >= this->settings.updates_per_datagram;
    const bool empty = reply.members.size() == 1 && reply.updates.empty();
    if (full || (last && !empty)) {
      this->Send(from, reply, actions);
      reply = this->MakeNote();
    }
  };
  for (std::size_t bucket = 0; bucket < kTableBuckets; ++bucket) {
    if ((message.listed_buckets >> bucket & 1U) == 0) {
      continue;
    }
    for (const Member* member : this->table.InBucket(bucket)) {
      const auto found = listed.find(MemberKey(member->vm));
      if (found == listed.end()) {
        if (member->status != Status::kDead && member->vm != from.vm) {
          reply.members.push_back(*member);
          this->sync_records -= kWholeRecordCost;
        }
      } else if (Supersedes(*member, WithUpdate(*member, *found->second))) {
        reply.updates.push_back(this->CurrentUpdate(*member));
        this->sync_records -= 1;
      }
      send_if_full(false);
    }
  }
  send_if_full(true);
}

void Detector::SendWanted(const GossipMessage& message,
                          const Member& from,
                          DetectorActions* actions) const {
  GossipMessage reply = this->MakeNote();
  for (const std::uint64_t key : message.wanted) {
    const Member* member = this->table.FindByKey(key);
    if (member != nullptr && member->vm != this->Self().vm &&
        member->boot_id != 0) {
      reply.members.push_back(*member);
    }
  }
  if (reply.members.size() > 1) {
    this->Send(from, std::move(reply), actions);
  }
}

// Asks the sender of updates for the records that they refer to.
void Detector::AskForWanted(const Member& from,
                            Instant now,
                            DetectorActions* actions) {
  std::erase_if(this->wanted, [&](const auto& item) {
    return now - item.second >= this->settings.want_interval;
  });
  GossipMessage request = this->MakeNote();
  for (const std::uint64_t key : this->wanted_now) {
    if (request.wanted.size() == this->settings.wanted_per_datagram) {
      break;
    }
    if (this->wanted.try_emplace(key, now).second) {
      request.wanted.push_back(key);
    }
  }
  this->wanted_now.clear();
  if (!request.wanted.empty()) {
    this->Send(from, std::move(request), actions);
  }
}

}  // namespace chervilpass::membership
