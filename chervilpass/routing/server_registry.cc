#include "chervilpass/routing/server_registry.h"

#include <algorithm>
#include <set>
#include <utility>

namespace chervilpass::routing {
namespace {

constexpr std::size_t kMaxRemovedIds = 4096;  // bounds memory
constexpr std::size_t kMaxDepartures = 4096;  // bounds memory

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
      this->Erase(existing);
    }
    return;
  }
  BackendServer server = *record.server;
  const auto departure = this->departures.find(record.id);
  server.leaving |= departure != this->departures.end() &&
                    server.started <= departure->second.started;
  if (existing != this->entries.end()) {
    existing->second.expired_since.reset();
    existing->second.revision = record.revision;
    if (existing->second.server == server) {
      // Now the newest record of its address.
      this->AssignAddress(server.address);
      return;
    }
    this->ReleaseAddress(record.id, existing->second.server.address);
  }
  const io::Endpoint address = server.address;
  this->entries[record.id] = {std::move(server), record.revision, std::nullopt,
                              false};
  this->claims[address].insert(record.id);
  this->AssignAddress(address);
  ++this->generation;
}

bool ServerRegistry::IsConfigured(const BackendServer& server) const {
  return !this->services || this->services->contains(server.service);
}

// Removes the claim of an entry; another one may be in use then.
void ServerRegistry::ReleaseAddress(const std::string& id,
                                    const io::Endpoint& address) {
  const auto found = this->claims.find(address);
  found->second.erase(id);
  if (found->second.empty()) {
    this->claims.erase(found);
  }
  this->AssignAddress(address);
}

// A reused address belongs to the newest registration.
void ServerRegistry::AssignAddress(const io::Endpoint& address) {
  const auto found = this->claims.find(address);
  const std::string* newest = nullptr;
  std::pair<bool, std::uint64_t> highest_rank;
  if (found != this->claims.end()) {
    for (const std::string& id : found->second) {
      const Entry& entry = this->entries.at(id);
      const std::pair rank(this->IsConfigured(entry.server), entry.revision);
      if (newest == nullptr || rank > highest_rank) {
        newest = &id;
        highest_rank = rank;
      }
    }
  }
  const auto holder = this->by_address.find(address);
  const bool held = holder != this->by_address.end();
  if (held && newest != nullptr && holder->second == *newest) {
    return;
  }
  if (held) {
    const auto previous = this->entries.find(holder->second);
    if (previous != this->entries.end()) {
      previous->second.in_use = false;
    }
    this->by_address.erase(holder);
  }
  if (newest != nullptr) {
    this->entries.at(*newest).in_use = true;
    this->by_address[address] = *newest;
  }
  if (held || newest != nullptr) {
    ++this->generation;
  }
}

void ServerRegistry::SetServices(std::set<std::string> names) {
  if (this->services == names) {
    return;
  }
  this->services = std::move(names);
  for (const auto& [address, ids] : this->claims) {
    this->AssignAddress(address);
  }
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
  this->Erase(existing);
  if (this->removed.size() >= kMaxRemovedIds) {
    this->removed.erase(this->removed.begin());
  }
  this->removed[id] = revision;
}

std::map<std::string, ServerRegistry::Entry>::iterator ServerRegistry::Erase(
    std::map<std::string, Entry>::iterator entry) {
  const std::string id = entry->first;
  const io::Endpoint address = entry->second.server.address;
  if (this->former_starts.size() >= kMaxRemovedIds) {
    this->former_starts.erase(this->former_starts.begin());
  }
  this->former_starts[id] = entry->second.server.started;
  const auto next = this->entries.erase(entry);
  this->ReleaseAddress(id, address);
  ++this->generation;
  return next;
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
  if (found != this->entries.end() && found->second.server.started > started) {
    return false;
  }
  const auto known = this->departures.find(id);
  if (known != this->departures.end() && known->second.started >= started) {
    return false;
  }
  if (known == this->departures.end() &&
      this->departures.size() >= kMaxDepartures) {
    this->DropOldestDeparture();
  }
  this->departures[id] = {started, ++this->last_departure};
  if (found == this->entries.end()) {
    return true;
  }
  if (found->second.server.leaving) {
    return false;
  }
  found->second.server.leaving = true;
  ++this->generation;
  return true;
}

// Of a server without an entry, if there is one: its start has ended, most
// likely.
void ServerRegistry::DropOldestDeparture() {
  const auto rank = [this](const auto& departure) {
    return std::make_pair(this->entries.contains(departure.first),
                          departure.second.number);
  };
  this->departures.erase(std::min_element(
      this->departures.begin(), this->departures.end(),
      [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); }));
}

bool ServerRegistry::IsLeaving(const std::string& id) const {
  const auto entry = this->entries.find(id);
  if (entry != this->entries.end()) {
    return entry->second.server.leaving;
  }
  const auto departure = this->departures.find(id);
  return departure != this->departures.end() &&
         this->StartOf(id) <= departure->second.started;
}

WallTime ServerRegistry::StartOf(const std::string& id) const {
  const auto entry = this->entries.find(id);
  if (entry != this->entries.end()) {
    return entry->second.server.started;
  }
  const auto former = this->former_starts.find(id);
  return former == this->former_starts.end() ? WallTime{} : former->second;
}

void ServerRegistry::OnStoreRegained(Instant at) {
  this->grace_until = at + this->settings.expiry_grace;
}

void ServerRegistry::EndGrace(Instant now) {
  if (this->grace_until) {
    this->grace_until = std::min(*this->grace_until, now);
    this->Expire(now);
  }
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
      entry = this->Erase(entry);
    } else {
      ++entry;
    }
  }
}

const BackendServer* ServerRegistry::Find(const std::string& id) const {
  const auto found = this->entries.find(id);
  return found != this->entries.end() && found->second.in_use
             ? &found->second.server
             : nullptr;
}

const BackendServer* ServerRegistry::FindByAddress(
    const io::Endpoint& address) const {
  const auto found = this->by_address.find(address);
  return found == this->by_address.end()
             ? nullptr
             : &this->entries.at(found->second).server;
}

std::vector<const BackendServer*> ServerRegistry::Usable(
    const std::string& service) const {
  std::vector<const BackendServer*> usable;
  for (const auto& [id, entry] : this->entries) {
    if (entry.in_use && entry.server.service == service &&
        !entry.server.leaving) {
      usable.push_back(&entry.server);
    }
  }
  return usable;
}

std::vector<const BackendServer*> ServerRegistry::All() const {
  std::vector<const BackendServer*> all;
  for (const auto& [id, entry] : this->entries) {
    if (entry.in_use) {
      all.push_back(&entry.server);
    }
  }
  return all;
}

std::vector<const BackendServer*> ServerRegistry::Configured() const {
  std::vector<const BackendServer*> configured = this->All();
  std::erase_if(configured, [this](const BackendServer* server) {
    return !this->IsConfigured(*server);
  });
  return configured;
}

}  // namespace chervilpass::routing
