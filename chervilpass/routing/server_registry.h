// Registry of backend servers, built from listings and changes of the store.
// An older revision never replaces a newer one.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chervilpass/core/time.h"
#include "chervilpass/routing/backend_server.h"

namespace chervilpass::routing {

/// The store's record of one id; without a server if it is unreadable.
struct ServerRecord {
  std::string id;
  std::uint64_t revision = 0;
  std::optional<BackendServer> server;

  bool operator==(const ServerRecord&) const = default;
};

/// Settings of a ServerRegistry.
struct ServerRegistrySettings {
  /// Registrations that expired while the store was unreachable are kept for
  /// this long after it is reachable again, for their servers to renew them.
  Duration expiry_grace = milliseconds(2200);

  bool operator==(const ServerRegistrySettings&) const = default;
};

/// Other writers may leave records too, at the addresses of servers as well. Of
/// several records with one address, the newest of a configured service names
/// the server there; without one, the newest of all. The others are kept: they
/// may name the server again once that record is gone, and their servers need
/// not write them again.
///
/// Not thread-safe. Invariants: the record of an id is the one with the highest
/// revision received; no address belongs to two servers; a start of a server
/// that has said that it leaves, and each earlier one, is leaving in every
/// record of it, whether or not the start was registered when it said so.
class ServerRegistry {
 public:
  explicit ServerRegistry(ServerRegistrySettings settings)
      : settings(settings) {}

  /// Applies the complete list of the store's records as of `revision`.
  void ApplyListing(const std::vector<ServerRecord>& records,
                    std::uint64_t revision,
                    Instant now);

  /// Applies a change or removal of one record.
  void ApplyChange(const ServerRecord& record, bool removed, Instant now);

  /// A server has said itself that this start of it leaves, which counts more
  /// than its records. Returns true if it was not known to leave; false as well
  /// for an earlier start than the registered one.
  bool MarkLeaving(const std::string& id, WallTime started);

  /// True if the server leaves, according to its record or to itself.
  bool IsLeaving(const std::string& id) const;

  /// The registered start of a server or, if its registration is gone, the
  /// latest one; zero if it was never registered.
  WallTime StartOf(const std::string& id) const;

  /// An outage of the store ended at `at`; the grace period begins then.
  void OnStoreRegained(Instant at);

  /// Keeps expired registrations at least until `until`.
  void ExtendGrace(Instant until);

  /// There was no outage; removes the expired registrations.
  void EndGrace(Instant now);

  /// Time for which expired registrations are still kept.
  Duration GraceLeft(Instant now) const;

  /// Removes the expired registrations once the grace period has ended.
  void Expire(Instant now);

  /// Sets the services that are configured; all are until then.
  void SetServices(std::set<std::string> names);

  bool Empty() const { return this->by_address.empty(); }

  /// Null if no such server is registered, or if another record names the
  /// server at its address.
  const BackendServer* Find(const std::string& id) const;
  const BackendServer* FindByAddress(const io::Endpoint& address) const;

  /// Servers of a service that are not leaving.
  std::vector<const BackendServer*> Usable(const std::string& service) const;

  /// Servers of all services, leaving ones included.
  std::vector<const BackendServer*> All() const;

  /// Those of them whose services are configured.
  std::vector<const BackendServer*> Configured() const;

  /// Incremented with each change.
  std::uint64_t Generation() const { return this->generation; }

 private:
  struct Entry {
    BackendServer server;
    std::uint64_t revision = 0;
    /// Set if only the grace period keeps the entry.
    std::optional<Instant> expired_since;
    /// It names the server at its address.
    bool in_use = false;
  };

  // The latest start of a server that has said that it leaves.
  struct Departure {
    WallTime started;
    std::uint64_t number = 0;  ///< in the order of the statements
  };

  void Upsert(const ServerRecord& record);
  void Remove(const std::string& id, std::uint64_t revision, Instant now);
  bool IsConfigured(const BackendServer& server) const;
  void ReleaseAddress(const std::string& id, const io::Endpoint& address);
  void AssignAddress(const io::Endpoint& address);
  std::map<std::string, Entry>::iterator Erase(
      std::map<std::string, Entry>::iterator entry);
  void DropOldestDeparture();

  ServerRegistrySettings settings;
  std::map<std::string, Entry> entries;
  /// Ids of the entries with each address; no set is empty.
  std::map<io::Endpoint, std::set<std::string>> claims;
  /// The one of these that is in use.
  std::map<io::Endpoint, std::string> by_address;
  /// Configured services; none before the first configuration.
  std::optional<std::set<std::string>> services;
  /// Revision of each removal, by id; older records do not restore the server.
  std::map<std::string, std::uint64_t> removed;
  /// Starts of the servers whose entries are gone.
  std::map<std::string, WallTime> former_starts;
  /// Kept without an entry: the same start may be registered again.
  std::map<std::string, Departure> departures;
  std::uint64_t last_departure = 0;
  std::optional<Instant> grace_until;
  std::uint64_t generation = 0;
};

}  // namespace chervilpass::routing
