// The control daemon's work: membership, configuration relay, and views for the
// other daemons of the VM.
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

/// Describes a ControlNode.
struct ControlNodeSettings {
  membership::Member self;  ///< addresses and place; boot id is set at start
  std::vector<membership::Member> seeds;
  membership::DetectorSettings detector;
  membership::LossGuardSettings loss_guard;
  std::uint32_t relays_per_data_centre = 2;
  Duration vm_list_interval = seconds(1);
  Duration watch_timeout = seconds(10);

  bool operator==(const ControlNodeSettings&) const = default;
};

/// What went wrong when control was started.
struct ControlError {
  std::string detail;

  bool operator==(const ControlError&) const = default;
};

/// One VM's control. Fiber thread only.
class ControlNode {
 public:
  static Result<std::shared_ptr<ControlNode>, ControlError> Create(
      io::Runtime* runtime,
      MetricsRegistry* metrics,
      Logger log,
      std::shared_ptr<rpc::RpcLoop> loop,
      std::shared_ptr<platform::ObjectClient> store,
      ControlNodeSettings settings);

  /// What the RPC server calls.
  rpc::ControlHandlers Handlers();

  /// Tells the others that this VM is leaving.
  void Leave();

  /// True while a daemon of this VM asks for views.
  bool DaemonsUp() const;

  /// Sets the gauges of the metrics registry.
  void ExportMetrics();

 private:
  struct State;
  explicit ControlNode(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

}  // namespace chervilpass::control
