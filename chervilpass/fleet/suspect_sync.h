// Keeps the requests that crash backend servers in the store, so that VMs know
// them after a restart, after joining and after missing gossip.
#pragma once

#include <functional>
#include <memory>

#include "chervilpass/core/log.h"
#include "chervilpass/io/runtime.h"
#include "chervilpass/serving/routing_state.h"
#include "platform/store_client.h"

namespace chervilpass::fleet {

/// Settings of a SuspectSync.
struct SuspectSyncSettings {
  /// Requests with fewer independent strikes are not stored: after the loss of
  /// a backend server that is every request that ran there.
  std::uint32_t min_strikes = 2;
  Duration watch_wait = seconds(20);
  Duration list_period = seconds(60);  ///< of VMs that are no relays
  Duration relay_check_interval = seconds(1);
  Duration retry_delay = milliseconds(500);  ///< after a failed call
  /// Records to write; further ones are dropped.
  std::size_t max_pending_writes = 256;
  /// Age from which a record is removed.
  Duration record_lifetime = std::chrono::minutes(10);

  bool operator==(const SuspectSyncSettings&) const = default;
};

/// Restores strikes from the store into the routing state and writes those that
/// this VM adds. Fiber thread only.
class SuspectSync {
 public:
  /// `is_relay` tells whether this VM watches the store and removes expired
  /// records; other VMs only list them from time to time.
  static std::unique_ptr<SuspectSync> Create(
      io::Runtime* runtime,
      platform::StoreClient* store,
      serving::RoutingState* routing_state,
      const Logger* log,
      SuspectSyncSettings settings,
      std::function<bool()> is_relay);
  ~SuspectSync();

  /// This VM has added a strike of the request.
  void OnStrike(std::uint64_t fingerprint);

  /// The request has completed at this VM.
  void OnCleared(std::uint64_t fingerprint);

 private:
  struct State;
  explicit SuspectSync(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

}  // namespace chervilpass::fleet
