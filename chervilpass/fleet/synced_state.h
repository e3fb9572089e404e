// The configuration and the registrations of backend servers that a VM has from
// the store or from relays: applies them to the routing state and keeps what
// followers lack.
#pragma once

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include "chervilpass/core/log.h"
#include "chervilpass/core/metrics.h"
#include "chervilpass/fleet/peer_state.h"
#include "chervilpass/serving/routing_state.h"
#include "platform/config_decoder.h"
#include "platform/store_client.h"

namespace chervilpass::fleet {

/// Callbacks of SyncedState to its owner; must not wait.
struct SyncedStateEvents {
  /// Another configuration is in force.
  std::function<void()> config_changed;
  /// The log has something that followers lack.
  std::function<void()> updated;
};

/// Not thread-safe. Nothing older replaces what is newer.
class SyncedState {
 public:
  /// The pointers must outlive the object.
  SyncedState(serving::RoutingState* routing_state,
              MetricsRegistry* metrics,
              const Logger* logger,
              std::size_t max_kept_changes,
              SyncedStateEvents events);

  /// Applies a configuration; `from` is its source in the log.
  void ApplyConfig(const platform::StoredObject& object, std::string_view from);

  /// Applies a complete listing of the backend servers as of a revision.
  void ApplyWorkers(const std::vector<platform::StoredObject>& objects,
                    std::uint64_t revision,
                    Instant now);

  /// Applies changes of backend servers that follow revision `since`. False if
  /// changes before these are missing.
  bool ApplyWorkerChanges(const std::vector<platform::ObjectChange>& changes,
                          std::uint64_t since,
                          std::uint64_t revision,
                          Instant now);

  /// True once configuration and backend servers are known.
  bool IsSynced() const;

  const StateLog& Log() const { return this->log; }

 private:
  placement::LayerRange LayersOf(const std::string& worker) const;
  routing::ServerRecord RecordOf(const platform::StoredObject& object) const;
  std::uint64_t Version() const;
  void LogWorker(const platform::ObjectChange& change) const;
  void ReportUnreadableItems(
      std::uint64_t revision,
      const std::vector<platform::UnreadableItem>& items) const;

  serving::RoutingState* routing_state;
  MetricsRegistry* metrics;
  const Logger* logger;
  SyncedStateEvents events;
  StateLog log;
};

}  // namespace chervilpass::fleet
