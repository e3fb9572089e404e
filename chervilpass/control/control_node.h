// The control daemon of one VM: membership, configuration distribution, and
// views for the other daemons of the VM.
#pragma once

#include <memory>
#include <vector>

#include "chervilpass/core/log.h"
#include "chervilpass/core/metrics.h"
#include "chervilpass/core/result.h"
#include "chervilpass/io/runtime.h"
#include "chervilpass/membership/detector.h"
#include "chervilpass/membership/loss_guard.h"
#include "chervilpass/platform/object_client.h"
#include "chervilpass/rpc/control_rpc.h"

namespace chervilpass::control {

/// Settings of a ControlNode.
struct ControlNodeSettings {
  membership::Member self;  ///< addresses and location; Create() sets boot_id
  std::vector<membership::Member> seeds;
  membership::DetectorSettings detector;
  membership::LossGuardSettings loss_guard;
  std::uint32_t relays_per_data_centre = 2;  ///< VMs that watch the platform
  Duration vm_list_interval = seconds(1);
  Duration watch_timeout = seconds(10);

  bool operator==(const ControlNodeSettings&) const = default;
};

/// Error of ControlNode::Create().
struct ControlError {
  std::string detail;

  bool operator==(const ControlError&) const = default;
};

/// Runs the control daemon of one VM. Fiber thread only.
class ControlNode {
 public:
  /// Creates and starts the node. Fails if the gossip socket cannot be opened.
  static Result<std::shared_ptr<ControlNode>, ControlError> Create(
      io::Runtime* runtime,
      MetricsRegistry* metrics,
      Logger log,
      std::shared_ptr<rpc::RpcLoop> loop,
      std::shared_ptr<platform::ObjectClient> store,
      ControlNodeSettings settings);

  /// Handlers for the RPC server.
  rpc::ControlHandlers Handlers();

  /// Announces to the other VMs that this VM is leaving.
  void Leave();

  /// True while a daemon of this VM requests views.
  bool DaemonsUp() const;

  /// Updates the gauges in the metrics registry.
  void ExportMetrics();

 private:
  struct State;
  explicit ControlNode(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

}  // namespace chervilpass::control
