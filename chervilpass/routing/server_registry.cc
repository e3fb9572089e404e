#include "chervilpass/routing/server_registry.h"

#include <algorithm>
#include <set>
#include <utility>

namespace chervilpass::routing {
namespace {

constexpr std::size_t kMaxRemovedIds = 4096;  // bounds memory
constexpr std::size_t kMaxLeavingIds = 4096;  // bounds memory

}  // namespace

void ServerRegistry::Upsert(const ServerRecord& record) {
  const auto removal = this->removed.find(record.id);
  if (removal != this->removed.end() && record.revision <= removal->second) {
    return;
  }
  const auto existing = this->entries.find(record.id);
  if (existing != this->entries.end() &&
      record.revision <= existing->second.revision) {
    // Not newer, but it confirms that the server is registered.
    if (record.revision == existing->second.revision) {
      existing->second.expired_since.reset();
    }
    return;
  }
  if (!record.server) {
    // Unreadable, so not written by a backend server: stop using the entry.
    if (existing != this->entries.end()) {
      this->by_address.erase(existing->second.server.address);
      this->entries.erase(existing);
      ++this->generation;
    }
    return;
  }
  BackendServer server = *record.server;
  const auto said = this->said_leaving.find(record.id);
  if (said != this->said_leaving.end()) {
    if (said->second == server.started) {
      server.leaving = true;
    } else {
      this->said_leaving.erase(said);
    }
  }
  if (existing != this->entries.end()) {
    existing->second.expired_since.reset();
    existing->second.revision = record.revision;
    if (existing->second.server == server) {
      return;
    }
    const auto old_address =
        this->by_address.find(existing->second.server.address);
    if (old_address != this->by_address.end() &&
        old_address->second == record.id) {
      this->by_address.erase(old_address);
    }
  }
  // A reused address belongs to the newer registration.
  const auto address_owner = this->by_address.find(server.address);
  if (address_owner != this->by_address.end() &&
      address_owner->second != record.id) {
    const auto owner = this->entries.find(address_owner->second);
    if (owner != this->entries.end()) {
      if (owner->second.revision > record.revision) {
        return;
      }
      this->entries.erase(owner);
    }
  }
  this->by_address[server.address] = record.id;
  this->entries[record.id] = {std::move(server), record.revision, std::nullopt};
  ++this->generation;
}

void ServerRegistry::Remove(const std::string& id,
                            std::uint64_t revision,
                            Instant now) {
  const auto existing = this->entries.find(id);
  if (existing == this->entries.end() || existing->second.revision > revision) {
    return;
  }
  const bool leaving = existing->second.server.leaving;
  if (!leaving && this->grace_until && now < *this->grace_until) {
    if (!existing->second.expired_since) {
      existing->second.expired_since = now;
    }
    return;
  }
  this->by_address.erase(existing->second.server.address);
  this->entries.erase(existing);
  if (this->removed.size() >= kMaxRemovedIds) {
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
    this->Upsert(record);
  }
  std::vector<std::string> missing;
  for (const auto& [id, entry] : this->entries) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    this->Remove(id, revision, now);
  }
}

void ServerRegistry::ApplyChange(const ServerRecord& record,
                                 bool removed,
                                 Instant now) {
  if (removed) {
    this->Remove(record.id, record.revision, now);
  } else {
    this->Upsert(record);
  }
}

bool ServerRegistry::MarkLeaving(const std::string& id, WallTime started) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end() || found->second.server.started != started) {
    return false;
  }
  if (this->said_leaving.size() >= kMaxLeavingIds) {
    std::erase_if(this->said_leaving, [this](const auto& entry) {
      return !this->entries.contains(entry.first);
    });
  }
  this->said_leaving[id] = started;
  if (found->second.server.leaving) {
    return false;
  }
  found->second.server.leaving = true;
  ++this->generation;
  return true;
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
    if (entry->second.expired_since) {
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
