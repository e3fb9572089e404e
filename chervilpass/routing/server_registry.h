// The backend servers that are registered, kept from listings and changes of
// the store. What has been heard never regresses.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chervilpass/core/time.h"
#include "chervilpass/routing/backend_server.h"

namespace chervilpass::routing {

/// What the store holds under one id; no server if it cannot be read.
struct ServerRecord {
  std::string id;
  std::uint64_t revision = 0;
  std::optional<BackendServer> server;

  bool operator==(const ServerRecord&) const = default;
};

/// Describes a ServerRegistry.
struct ServerRegistrySettings {
  /// Registrations that lapsed while the store was away may come back for this
  /// long after its return.
  Duration expiry_grace = milliseconds(2200);

  bool operator==(const ServerRegistrySettings&) const = default;
};

/// Not thread-safe. Invariants: the record kept of an id is the one with the
/// highest revision heard of; no address belongs to two servers.
class ServerRegistry {
 public:
  explicit ServerRegistry(ServerRegistrySettings settings)
      : settings(settings) {}

  /// The store's records as of `revision`.
  void ApplyListing(const std::vector<ServerRecord>& records,
                    std::uint64_t revision,
                    Instant now);

  /// One record has changed, or is gone.
  void ApplyChange(const ServerRecord& record, bool removed, Instant now);

  /// The store could not be reached for a while and can be again.
  void OnStoreRegained(Instant now);

  /// Registrations that have lapsed may return until then.
  void ExtendGrace(Instant until);

  /// How long registrations that have lapsed may still return.
  Duration GraceLeft(Instant now) const;

  /// Forgets registrations that have lapsed for good.
  void Expire(Instant now);

  /// Null if it is not registered.
  bool Empty() const { return this->entries.empty(); }

  const BackendServer* Find(const std::string& id) const;
  const BackendServer* FindByAddress(const io::Endpoint& address) const;

  /// Servers of a service that are not leaving.
  std::vector<const BackendServer*> Usable(const std::string& service) const;

  std::vector<const BackendServer*> All() const;

  /// Rises with each change.
  std::uint64_t Generation() const { return this->generation; }

 private:
  struct Entry {
    BackendServer server;
    std::uint64_t revision = 0;
    std::optional<Instant> lapsed_since;
  };

  void Keep(const ServerRecord& record);
  void Drop(const std::string& id, std::uint64_t revision, Instant now);

  ServerRegistrySettings settings;
  std::map<std::string, Entry> entries;
  std::map<io::Endpoint, std::string> by_address;
  /// Revision of the removal, so that an older record cannot bring it back.
  std::map<std::string, std::uint64_t> removed;
  std::optional<Instant> grace_until;
  std::uint64_t generation = 0;
};

}  // namespace chervilpass::routing
