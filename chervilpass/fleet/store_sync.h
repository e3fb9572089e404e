// Keeps the router's view of configuration and backend servers up to date, from
// the store and, while the store is out of reach, from peers.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "chervilpass/core/log.h"
#include "chervilpass/core/metrics.h"
#include "chervilpass/io/http_client.h"
#include "chervilpass/io/runtime.h"
#include "chervilpass/serving/world.h"
#include "platform/store_client.h"

namespace chervilpass::fleet {

/// Describes a StoreSync.
struct StoreSyncSettings {
  /// A watch without a change returns after this time, so that a connection
  /// that has gone silent is noticed soon.
  Duration watch_wait = milliseconds(1500);
  Duration retry_least = milliseconds(50);
  Duration retry_longest = milliseconds(1000);
  /// Without an answer for this long the store counts as out of reach.
  Duration lost_after = milliseconds(2600);
  /// While it is, a peer is asked this often.
  Duration peer_period = milliseconds(400);
  Duration peer_timeout = milliseconds(400);

  bool operator==(const StoreSyncSettings&) const = default;
};

/// What StoreSync tells its owner. Called on the fiber thread; must not wait.
struct StoreSyncEvents {
  std::function<void()> config_changed;
  std::function<void(bool up)> store_changed;
  /// Address of a peer that has lately heard from the store, if one is known.
  std::function<std::optional<io::Endpoint>()> find_peer;
};

/// Fiber thread only.
class StoreSync {
 public:
  static std::unique_ptr<StoreSync> Create(io::Runtime* runtime,
                                           platform::StoreClient* store,
                                           serving::World* world,
                                           MetricsRegistry* metrics,
                                           const Logger* log,
                                           StoreSyncSettings settings,
                                           StoreSyncEvents events);
  ~StoreSync();

  /// True if the store has answered of late.
  bool StoreUp() const;

  /// True once configuration and backend servers are known.
  bool Complete() const;

  /// Asks a peer for what is newer there, at once.
  void PullFrom(const io::Endpoint& peer);

  /// What a peer is told that has these revisions; a text of the peers' own
  /// protocol.
  std::string StateSince(std::uint64_t config_revision,
                         std::uint64_t workers_revision) const;

 private:
  struct State;
  explicit StoreSync(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

/// Path of the peers' request for state.
std::string PeerStatePath();

}  // namespace chervilpass::fleet
