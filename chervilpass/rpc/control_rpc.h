// Client and server of the Control interface, for use from fibers.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "chervilpass/core/result.h"
#include "chervilpass/io/http.h"
#include "chervilpass/rpc/loop.h"
#include "chervilpass/rpc/messages.h"

namespace chervilpass::rpc {

/// The caller's role and the versions that it already has when it requests the
/// next view.
struct ViewQuery {
  std::string role;  ///< "entry", "dispatch" or "ctl"
  std::uint64_t known_generation = 0;
  std::uint64_t known_config_version = 0;

  bool operator==(const ViewQuery&) const = default;
};

/// Calls one control daemon. Reconnects by itself. Fiber thread only.
class ControlClient {
 public:
  static std::shared_ptr<ControlClient> Create(std::shared_ptr<RpcLoop> loop,
                                               io::Endpoint address);
  ~ControlClient();

  /// Waits a short time for a view newer than the known one; if there is none,
  /// the result has the known generation. kTimeout after `timeout`.
  Result<View, RpcError> WatchView(const ViewQuery& query, Duration timeout);

  /// The delta since `known_version`, or the full configuration if the delta is
  /// not available or larger. An empty body if nothing is newer.
  Result<ConfigChanges, RpcError> PullConfig(std::uint64_t known_version,
                                             Duration timeout);

  /// The full configuration of one version; an empty body if it is no longer
  /// available.
  Result<ConfigChanges, RpcError> GetVersion(std::uint64_t version,
                                             Duration timeout);

  /// Reports a strike to be spread by gossip. The value is always true;
  /// kTimeout after `timeout`.
  Result<bool, RpcError> ReportStrike(const quarantine::Strike& strike,
                                      Duration timeout);

  /// Requests a change of the configuration.
  Result<ChangeResult, RpcError> Change(const ChangeRequest& request,
                                        Duration timeout);

 private:
  struct State;
  explicit ControlClient(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

/// Handlers of the Control interface. Each call runs on its own fiber.
struct ControlHandlers {
  std::function<View(const ViewQuery&)> watch_view;
  std::function<ConfigChanges(std::uint64_t known_version)> pull_config;
  std::function<ConfigChanges(std::uint64_t version)> get_version;
  std::function<void(const quarantine::Strike&)> report_strike;
  std::function<ChangeResult(const ChangeRequest&)> change;
};

/// Serves the Control interface on `listen` until the process ends; kFailed if
/// it cannot listen.
Result<void, RpcError> ServeControl(std::shared_ptr<RpcLoop> loop,
                                    const io::Endpoint& listen,
                                    ControlHandlers handlers);

}  // namespace chervilpass::rpc
