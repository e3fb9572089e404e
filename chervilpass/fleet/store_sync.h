// Keeps the router's configuration and backend servers in sync with the store,
// directly or through relays. Relays also serve a VM that cannot reach the
// store itself.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "chervilpass/core/log.h"
#include "chervilpass/core/metrics.h"
#include "chervilpass/io/http_client.h"
#include "chervilpass/io/runtime.h"
#include "chervilpass/serving/routing_state.h"
#include "platform/store_client.h"

namespace chervilpass::fleet {

/// Settings of a StoreSync.
struct StoreSyncSettings {
  /// A watch without a change returns after this time, so that a dead
  /// connection is detected soon. The time for the configuration may be longer,
  /// since gossip announces new versions too.
  Duration workers_watch_wait = milliseconds(1000);
  Duration config_watch_wait = milliseconds(2000);
  /// Each wait is shorter by up to this share, so that the watches of VMs that
  /// start together do not reach the store in bursts.
  double watch_wait_jitter = 0.05;
  /// Time between a change of workers and the next watch, to receive changes in
  /// batches.
  Duration worker_batch_delay = milliseconds(120);
  Duration min_retry_delay = milliseconds(50);
  Duration max_retry_delay = milliseconds(1000);
  /// Without a response to the watch of the workers for this long the store
  /// counts as unreachable; for that of the configuration, which waits longer,
  /// the difference is added until a call has failed.
  Duration store_lost_timeout = milliseconds(2600);
  /// A store that responds on a new connection within this time was reachable
  /// while a watch on another connection got no answer. One that was not may
  /// respond at any time once it is back, but hardly in this one.
  Duration prompt_response = milliseconds(250);
  /// An answer of the store that is later than this after its watch has ended,
  /// or later than that by the lateness of the last one, is overdue: a relay
  /// then sends its followers elsewhere, since its state may be old.
  Duration overdue_margin = milliseconds(300);
  /// Greatest lateness that counts.
  Duration max_watch_lateness = milliseconds(400);
  /// Interval of the check whether this VM should watch the store.
  Duration relay_check_interval = milliseconds(200);
  /// A VM continues to watch for this long after others have taken over.
  Duration relay_handover_time = seconds(2);
  /// A relay without a change responds after this time, or at once if the last
  /// call to it failed.
  Duration relay_wait = milliseconds(1000);
  /// A call to a relay times out this long after `relay_wait`.
  Duration relay_timeout_margin = milliseconds(350);
  /// A VM that no relay has answered for this long watches the store itself.
  Duration relay_lost_timeout = milliseconds(1700);
  /// A VM that loses its relays and has none after `direct_check_delay` asks
  /// the store for changes, and again after this time, until it watches the
  /// store.
  Duration direct_check_interval = milliseconds(1000);
  Duration direct_check_delay = milliseconds(100);
  /// Spreads the checks of VMs that lose a relay together.
  Duration direct_check_jitter = milliseconds(100);
  Duration direct_check_timeout = milliseconds(700);  ///< of one check
  /// A relay batches changes for this long before it sends them.
  Duration relay_batch_delay = milliseconds(30);
  /// Number of changes kept for followers; a follower that lacks more than
  /// these receives the full state.
  std::size_t max_kept_changes = 4096;

  bool operator==(const StoreSyncSettings&) const = default;
};

/// Callbacks of StoreSync to its owner. Called on the fiber thread; must not
/// wait.
struct StoreSyncEvents {
  std::function<void()> config_changed;
  std::function<void(bool up)> store_changed;
  /// Returns true if this VM is a relay.
  std::function<bool()> is_relay;
  /// Returns up to two relays other than this VM, the nearest first.
  std::function<std::vector<io::Endpoint>()> relays;
};

/// Relays watch the store and forward changes to the other VMs, so the load of
/// the store does not grow with the fleet. A VM that receives nothing from any
/// relay watches the store itself. Fiber thread only.
class StoreSync {
 public:
  static std::unique_ptr<StoreSync> Create(io::Runtime* runtime,
                                           platform::StoreClient* store,
                                           serving::RoutingState* routing_state,
                                           MetricsRegistry* metrics,
                                           const Logger* log,
                                           StoreSyncSettings settings,
                                           StoreSyncEvents events);
  ~StoreSync();

  /// True if this VM watches the store and the store responds.
  bool StoreUp() const;

  /// True once configuration and backend servers are known.
  bool IsSynced() const;

  /// Fetches the configuration from a VM that announced a newer one. Any VM
  /// will do, since older configurations are never applied.
  void FetchConfig(const io::Endpoint& peer);

  /// Handles a follower's request for the state; waits for a change if the
  /// request says so. Status 503 if this VM cannot act as a relay. A request
  /// for the configuration only is answered at once by any VM.
  io::HttpResponse HandleFollowerRequest(const io::HttpRequest& request);

 private:
  struct State;
  explicit StoreSync(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

/// Path of the followers' requests.
std::string PeerStatePath();

}  // namespace chervilpass::fleet
