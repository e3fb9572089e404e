// The dispatchers as an entry sees them: clients by VM, dispatchers to avoid,
// and the load of cells.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "chervilpass/core/time.h"
#include "chervilpass/membership/fleet_view.h"
#include "chervilpass/routing/cell_chooser.h"
#include "chervilpass/rpc/dispatch_rpc.h"

namespace chervilpass::entry {

/// Keeps one client for each dispatcher. Fiber thread only.
class DispatchPool {
 public:
  explicit DispatchPool(std::shared_ptr<rpc::RpcLoop> loop)
      : loop(std::move(loop)) {}

  /// The client of that VM's dispatcher; null if the VM is not in the view.
  std::shared_ptr<rpc::DispatchClient> ClientOf(
      const membership::FleetView& view,
      const std::string& vm);

  /// The dispatcher broke a call or went silent: others go first for a while.
  void StartCooldown(const std::string& vm, Instant now);

  /// The first of `order` that is neither in `failed` nor avoided; if there is
  /// none, the first that is not in `failed`; empty if there is none either.
  std::string Pick(const std::vector<std::string>& order,
                   const std::set<std::string>& failed,
                   Instant now) const;

  /// A request of this entry was given to a cell, or has ended there.
  void OnStart(std::uint32_t cell) { ++this->loads[cell].own; }
  void OnEnd(std::uint32_t cell) { --this->loads[cell].own; }

  /// A dispatcher reported the load of a cell.
  void OnReport(std::uint32_t cell, const routing::CellLoad& load, Instant now);

  /// Best knowledge of the load of a cell.
  routing::CellLoad LoadOf(std::uint32_t cell, Instant now) const;

 private:
  struct Client {
    io::Endpoint address;
    std::shared_ptr<rpc::DispatchClient> client;
  };
  struct Load {
    std::uint32_t own = 0;  ///< requests of this entry
    routing::CellLoad reported;
    Instant reported_at{};
    std::uint32_t own_at_report = 0;
  };

  std::shared_ptr<rpc::RpcLoop> loop;
  std::map<std::string, Client> clients;         ///< by VM
  std::map<std::string, Instant> avoided_until;  ///< by VM
  std::map<std::uint32_t, Load> loads;           ///< by cell
};

}  // namespace chervilpass::entry
