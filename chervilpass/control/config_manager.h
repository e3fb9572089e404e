// Keeps the configuration of one VM in step with the platform and takes
// operators' changes.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "chervilpass/config/config_delta.h"
#include "chervilpass/control/config_history.h"
#include "chervilpass/core/backoff.h"
#include "chervilpass/core/log.h"
#include "chervilpass/core/random.h"
#include "chervilpass/io/runtime.h"
#include "chervilpass/platform/object_client.h"
#include "chervilpass/rpc/messages.h"

namespace chervilpass::control {

/// Called after a newer configuration was taken; `from` tells from whom.
using ConfigAppliedCallback = std::function<void(const std::string& from)>;

/// Fiber thread only. Invariant: what is held is what the platform has
/// accepted at some time, and its version never falls.
class ConfigManager {
 public:
  ConfigManager(io::Runtime* runtime,
                Logger log,
                std::shared_ptr<platform::ObjectClient> store,
                std::uint64_t seed,
                ConfigAppliedCallback on_taken);

  const ConfigHistory& History() const { return this->book; }

  /// Takes what a peer has sent, if it is newer.
  void ApplyFromPeer(const rpc::ConfigChanges& changes,
                     const std::string& peer);

  /// Reads the stored configuration, or waits for a newer one, `timeout` at
  /// most; after a failure it waits, longer each time.
  void FollowOnce(Duration timeout);

  /// Makes a change on top of what is stored, or says why not.
  rpc::ChangeResult Change(const rpc::ChangeRequest& request);

 private:
  void TakeStored(const platform::StoredObject& object);
  std::optional<rpc::ChangeResult> TryChange(const config::ConfigDelta& delta,
                                             const std::string& change_id,
                                             std::uint64_t stored_version);

  io::Runtime* runtime;
  Logger log;
  std::shared_ptr<platform::ObjectClient> store;
  Random random;
  Backoff backoff;
  ConfigAppliedCallback on_taken;
  ConfigHistory book;
  std::uint64_t store_version = 0;  ///< of the stored object, last seen
};

}  // namespace chervilpass::control
