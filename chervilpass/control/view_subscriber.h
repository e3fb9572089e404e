// Connection of an entry or dispatch daemon to the control daemon of its VM. It
// holds the newest view, and keeps the last one while control is unreachable.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "chervilpass/core/log.h"
#include "chervilpass/io/http.h"
#include "chervilpass/membership/fleet_view.h"
#include "chervilpass/rpc/loop.h"

namespace chervilpass::control {

/// Subscribes to the views of one control daemon. Fiber thread only.
class ViewSubscriber {
 public:
  /// `role` is "entry" or "dispatch". Control reports the daemon as up while it
  /// requests views.
  static std::shared_ptr<ViewSubscriber> Create(
      std::shared_ptr<rpc::RpcLoop> loop,
      io::Endpoint control,
      std::string role,
      Logger log);
  ~ViewSubscriber();

  /// The newest view; never null. Its configuration is null until the first one
  /// is received.
  std::shared_ptr<const membership::FleetView> Current() const;

  /// Calls `listener` after each new view.
  void OnChange(std::function<void(const membership::FleetView&)> listener);

  /// Sends a strike to control, which gossips it. Does not wait; failures are
  /// logged.
  void ReportStrike(const quarantine::Strike& strike);

  /// Stops requesting views, so that control reports the daemon as down.
  void Stop();

 private:
  struct State;
  explicit ViewSubscriber(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

}  // namespace chervilpass::control
