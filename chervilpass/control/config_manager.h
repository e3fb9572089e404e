// Synchronises the configuration of one VM with the platform's object store and
// applies operators' changes.
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

/// Called after a newer configuration was applied. `from` is its source: the VM
/// of a peer, "platform" or "operator".
using ConfigAppliedCallback = std::function<void(const std::string& from)>;

/// Follows the stored configuration and writes changes to it. Fiber thread
/// only. Invariants: the current configuration is one that the object store has
/// accepted, and its version never decreases.
class ConfigManager {
 public:
  ConfigManager(io::Runtime* runtime,
                Logger log,
                std::shared_ptr<platform::ObjectClient> store,
                std::uint64_t seed,
                ConfigAppliedCallback on_applied);

  const ConfigHistory& History() const { return this->history; }

  /// Applies a configuration that a peer has sent, if it is newer.
  void ApplyFromPeer(const rpc::ConfigChanges& changes,
                     const std::string& peer);

  /// Reads the stored configuration if none has been read yet, else waits up to
  /// `timeout` for a newer one. After a failure it sleeps with exponential
  /// backoff.
  void FollowOnce(Duration timeout);

  /// Merges a change into the stored configuration and writes it. Returns
  /// ChangeAccepted with the new version, ChangeInvalid, ChangeConflict, or
  /// ChangeUnavailable if every attempt to read and write the store failed.
  rpc::ChangeResult Change(const rpc::ChangeRequest& request);

 private:
  void ApplyStored(const platform::StoredObject& object);
  std::optional<rpc::ChangeResult> TryChange(const config::ConfigDelta& delta,
                                             const std::string& change_id,
                                             std::uint64_t stored_version);

  io::Runtime* runtime;
  Logger log;
  std::shared_ptr<platform::ObjectClient> store;
  Random random;
  Backoff backoff;
  ConfigAppliedCallback on_applied;
  ConfigHistory history;
  std::uint64_t store_version = 0;  ///< of the stored object when last read
};

}  // namespace chervilpass::control
