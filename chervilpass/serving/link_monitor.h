// Tells whether this VM has lost its links to all backend servers. A server
// that does not answer counts as failed only if another one answers: otherwise
// the fault may be this VM's.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "chervilpass/core/log.h"
#include "chervilpass/core/metrics.h"
#include "chervilpass/io/http_client.h"
#include "chervilpass/io/runtime.h"
#include "chervilpass/serving/routing_state.h"

namespace chervilpass::serving {

/// Settings of a LinkMonitor.
struct LinkMonitorSettings {
  /// Servers that are connected to after a failure, all at once. Many, since
  /// several servers may end together.
  std::size_t sample_size = 8;
  /// Servers that are connected to in each check while this VM is cut off.
  std::size_t recheck_sample_size = 3;
  Duration connect_timeout = milliseconds(120);
  Duration recheck_interval = milliseconds(200);

  bool operator==(const LinkMonitorSettings&) const = default;
};

/// Fiber thread only.
class LinkMonitor {
 public:
  /// `on_change` is called when this VM is cut off and when it no longer is.
  static std::unique_ptr<LinkMonitor> Create(
      io::Runtime* runtime,
      RoutingState* routing_state,
      io::HttpClient* http,
      MetricsRegistry* metrics,
      const Logger* log,
      LinkMonitorSettings settings,
      std::function<void(bool cut_off)> on_change);
  ~LinkMonitor();

  /// True if no backend server can be reached.
  bool CutOff() const;

  /// A server has answered.
  void OnReached(const std::string& server);

  /// True if the server has answered this VM within `age`.
  bool ReachedWithin(const std::string& server, Duration age) const;

  /// A server has not answered a connection or a probe that began at `since`.
  /// Returns true if the server or its link is at fault, false if this VM is
  /// cut off; connects to other servers if none has answered since.
  bool ConfirmFailure(const std::string& server, Instant since);

 private:
  struct State;
  explicit LinkMonitor(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

}  // namespace chervilpass::serving
