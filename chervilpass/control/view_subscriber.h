// The link of an entry or dispatch daemon to the control daemon of its VM: it
// keeps the newest view, and the last one when control is away.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "chervilpass/core/log.h"
#include "chervilpass/io/http.h"
#include "chervilpass/membership/fleet_view.h"
#include "chervilpass/rpc/loop.h"

namespace chervilpass::control {

/// Follows the views of one control daemon. Fiber thread only.
class ViewSubscriber {
 public:
  /// `role` is "entry" or "dispatch"; control counts the daemon as up while it
  /// asks for views.
  static std::shared_ptr<ViewSubscriber> Create(
      std::shared_ptr<rpc::RpcLoop> loop,
      io::Endpoint control,
      std::string role,
      Logger log);
  ~ViewSubscriber();

  /// The newest view; never null. Its configuration is null until one is known.
  std::shared_ptr<const membership::FleetView> Current() const;

  /// Calls `listener` after each new view.
  void OnChange(std::function<void(const membership::FleetView&)> listener);

  /// Hands a strike to control, which spreads it. Does not wait.
  void ReportStrike(const quarantine::Strike& strike);

  /// Stops asking, so that control counts the daemon as down.
  void Stop();

 private:
  struct State;
  explicit ViewSubscriber(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

}  // namespace chervilpass::control
