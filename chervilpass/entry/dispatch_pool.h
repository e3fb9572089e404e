// What an entry knows about dispatchers: clients by VM, cooldowns after
// failures, and the load of cells.
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

/// Holds one client for each dispatcher, its cooldown, and the load of each
/// cell. Fiber thread only.
class DispatchPool {
 public:
  explicit DispatchPool(std::shared_ptr<rpc::RpcLoop> loop)
      : loop(std::move(loop)) {}

  /// The client of the dispatcher on `vm`; null if the VM is not in the view.
  std::shared_ptr<rpc::DispatchClient> ClientOf(
      const membership::FleetView& view,
      const std::string& vm);

  /// Starts the cooldown of a dispatcher that has failed a call or stopped
  /// responding. Pick() prefers other dispatchers until it ends.
  void StartCooldown(const std::string& vm, Instant now);

  /// The first VM of `order` that is neither in `failed` nor in cooldown; else
  /// the first that is not in `failed`; else empty.
  std::string Pick(const std::vector<std::string>& order,
                   const std::set<std::string>& failed,
                   Instant now) const;

  /// Counts an attempt of this entry that starts or ends at a cell.
  void OnStart(std::uint32_t cell) { ++this->loads[cell].local; }
  void OnEnd(std::uint32_t cell) { --this->loads[cell].local; }

  /// Stores the load of a cell that a dispatcher has reported.
  void OnReport(std::uint32_t cell, const routing::CellLoad& load, Instant now);

  /// Estimated load of a cell: the last report corrected by the attempts that
  /// this entry has started and ended since, or only this entry's attempts if
  /// the report is too old.
  routing::CellLoad LoadOf(std::uint32_t cell, Instant now) const;

 private:
  struct Client {
    io::Endpoint address;
    std::shared_ptr<rpc::DispatchClient> client;
  };
  struct Load {
    std::uint32_t local = 0;  ///< attempts of this entry
    routing::CellLoad reported;
    Instant reported_at{};
    std::uint32_t local_at_report = 0;
  };

  std::shared_ptr<rpc::RpcLoop> loop;
  std::map<std::string, Client> clients;          ///< by VM
  std::map<std::string, Instant> cooldown_until;  ///< by VM
  std::map<std::uint32_t, Load> loads;            ///< by cell
};

}  // namespace chervilpass::entry
