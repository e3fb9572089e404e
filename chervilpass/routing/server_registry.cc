#include "chervilpass/routing/server_registry.h"

#include <algorithm>
#include <set>

namespace chervilpass::routing {
namespace {

constexpr std::size_t kRemovedKept = 4096;  // ids; bounds memory

}  // namespace

void ServerRegistry::Keep(const ServerRecord& record) {
  const auto gone = this->removed.find(record.id);
  if (gone != this->removed.end() && record.revision <= gone->second) {
    return;
  }
  const auto known = this->entries.find(record.id);
  if (known != this->entries.end() &&
      record.revision <= known->second.revision) {
    // Nothing new, but it is there.
    if (record.revision == known->second.revision) {
      known->second.lapsed_since.reset();
    }
    return;
  }
  if (!record.server) {
    // Written by something that is not a backend server: not to be used.
    if (known != this->entries.end()) {
      this->by_address.erase(known->second.server.address);
      this->entries.erase(known);
      ++this->generation;
    }
    return;
  }
  if (known != this->entries.end()) {
    known->second.lapsed_since.reset();
    known->second.revision = record.revision;
    if (known->second.server == *record.server) {
      return;
    }
    const auto held = this->by_address.find(known->second.server.address);
    if (held != this->by_address.end() && held->second == record.id) {
      this->by_address.erase(held);
    }
  }
  // An address that is used again belongs to the newer registration.
  const auto holder = this->by_address.find(record.server->address);
  if (holder != this->by_address.end() && holder->second != record.id) {
    const auto other = this->entries.find(holder->second);
    if (other != this->entries.end()) {
      if (other->second.revision > record.revision) {
        return;
      }
      this->entries.erase(other);
    }
  }
  this->entries[record.id] = {*record.server, record.revision, std::nullopt};
  this->by_address[record.server->address] = record.id;
  ++this->generation;
}

void ServerRegistry::Drop(const std::string& id,
                          std::uint64_t revision,
                          Instant now) {
  const auto known = this->entries.find(id);
  if (known == this->entries.end() || known->second.revision > revision) {
    return;
  }
  const bool leaving = known->second.server.leaving;
  if (!leaving && this->grace_until && now < *this->grace_until) {
    if (!known->second.lapsed_since) {
      known->second.lapsed_since = now;
    }
    return;
  }
  this->by_address.erase(known->second.server.address);
  this->entries.erase(known);
  if (this->removed.size() >= kRemovedKept) {
    this->removed.erase(this->removed.begin());
  }
  this->removed[id] = revision;
  ++this->generation;
}

void ServerRegistry::ApplyListing(const std::vector<ServerRecord>& records,
                                  std::uint64_t revision,
                                  Instant now) {
  std::set<std::string> listed;
  for (const ServerRecord& record : records) {
    listed.insert(record.id);
    this->Keep(record);
  }
  std::vector<std::string> missing;
  for (const auto& [id, entry] : this->entries) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    this->Drop(id, revision, now);
  }
}

void ServerRegistry::ApplyChange(const ServerRecord& record,
                                 bool removed,
                                 Instant now) {
  if (removed) {
    this->Drop(record.id, record.revision, now);
  } else {
    this->Keep(record);
  }
}

void ServerRegistry::OnStoreRegained(Instant now) {
  this->ExtendGrace(now + this->settings.expiry_grace);
}

void ServerRegistry::ExtendGrace(Instant until) {
  this->grace_until = std::max(this->grace_until.value_or(until), until);
}

Duration ServerRegistry::GraceLeft(Instant now) const {
  return this->grace_until
             ? std::max(Duration::zero(), *this->grace_until - now)
             : Duration::zero();
}

void ServerRegistry::Expire(Instant now) {
  if (!this->grace_until || now < *this->grace_until) {
    return;
  }
  this->grace_until.reset();
  for (auto entry = this->entries.begin(); entry != this->entries.end();) {
    if (entry->second.lapsed_since) {
      this->by_address.erase(entry->second.server.address);
      entry = this->entries.erase(entry);
      ++this->generation;
    } else {
      ++entry;
    }
  }
}

const BackendServer* ServerRegistry::Find(const std::string& id) const {
  const auto found = this->entries.find(id);
  return found == this->entries.end() ? nullptr : &found->second.server;
}

const BackendServer* ServerRegistry::FindByAddress(
    const io::Endpoint& address) const {
  const auto found = this->by_address.find(address);
  return found == this->by_address.end() ? nullptr : this->Find(found->second);
}

std::vector<const BackendServer*> ServerRegistry::Usable(
    const std::string& service) const {
  std::vector<const BackendServer*> usable;
  for (const auto& [id, entry] : this->entries) {
    if (entry.server.service == service && !entry.server.leaving) {
      usable.push_back(&entry.server);
    }
  }
  return usable;
}

std::vector<const BackendServer*> ServerRegistry::All() const {
  std::vector<const BackendServer*> all;
  for (const auto& [id, entry] : this->entries) {
    all.push_back(&entry.server);
  }
  return all;
}

}  // namespace chervilpass::routing
