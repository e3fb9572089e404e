// Keeps the router's view of configuration and backend servers up to date, from
// the store and, while the store is out of reach, from peers.
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

/// Describes a StoreSync.
struct StoreSyncSettings {
  /// A watch without a change returns after this time, so that a connection
  /// that has gone silent is noticed soon. Configurations also travel by
  /// gossip.
  Duration workers_watch_wait = milliseconds(1000);
  Duration config_watch_wait = milliseconds(2000);
  /// Changes of workers that follow each other this soon are asked for in one
  /// call.
  Duration worker_batch_delay = milliseconds(120);
  Duration min_retry_delay = milliseconds(50);
  Duration max_retry_delay = milliseconds(1000);
  /// Without an answer for this long the store counts as out of reach.
  Duration store_lost_timeout = milliseconds(2600);
  /// How often it is looked at whether this VM is to watch the store.
  Duration relay_check_interval = milliseconds(200);
  /// A VM goes on watching for this long after others have taken over.
  Duration relay_handover_time = seconds(2);
  /// A relay without a change answers after this time.
  Duration relay_wait = milliseconds(1000);
  /// A relay that has not answered this long after that is left.
  Duration relay_slack = milliseconds(350);
  /// Without word from any relay for this long a VM watches the store itself.
  Duration relay_lost_timeout = milliseconds(1700);
  /// A relay collects changes for this long before it tells them.
  Duration relay_batch_delay = milliseconds(30);
  /// Changes kept for followers; others get everything.
  std::size_t max_kept_changes = 4096;

  bool operator==(const StoreSyncSettings&) const = default;
};

/// What StoreSync asks and tells its owner. Called on the fiber thread; must
/// not wait.
struct StoreSyncEvents {
  std::function<void()> config_changed;
  std::function<void(bool up)> store_changed;
  /// True if this VM is one of those that watch the store for the others.
  std::function<bool()> is_relay;
  /// Up to two other VMs that watch the store, the nearest first.
  std::function<std::vector<io::Endpoint>()> relays;
};

/// A few VMs watch the store and pass changes on to the others, so that the
/// store's load does not grow with the fleet. Any VM watches for itself while
/// it hears from no relay. Fiber thread only.
class StoreSync {
 public:
  static std::unique_ptr<StoreSync> Create(io::Runtime* runtime,
                                           platform::StoreClient* store,
                                           serving::RoutingState* world,
                                           MetricsRegistry* metrics,
                                           const Logger* log,
                                           StoreSyncSettings settings,
                                           StoreSyncEvents events);
  ~StoreSync();

  /// True if the store has answered this VM of late.
  bool StoreUp() const;

  /// True once configuration and backend servers are known.
  bool IsSynced() const;

  /// A VM says that it has a newer configuration: it is asked for it at once,
  /// whoever it is, since configurations never go back.
  void FetchConfig(const io::Endpoint& peer);

  /// Answers a follower's question, waiting for a change if it asks for that.
  io::HttpResponse AnswerFollower(const io::HttpRequest& request);

 private:
  struct State;
  explicit StoreSync(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

/// Path of the followers' question.
std::string PeerStatePath();

}  // namespace chervilpass::fleet
