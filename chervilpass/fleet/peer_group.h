// The other entry VMs: membership by gossip over UDP, and the news that
// travels with it.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "chervilpass/core/log.h"
#include "chervilpass/core/metrics.h"
#include "chervilpass/fleet/load_gossip_schedule.h"
#include "chervilpass/io/runtime.h"
#include "chervilpass/io/udp_socket.h"
#include "chervilpass/membership/detector.h"
#include "platform/store_client.h"

namespace chervilpass::fleet {

/// Describes a PeerGroup.
struct PeerGroupSettings {
  membership::Member self;  ///< `vm` is the IP address
  std::vector<std::string> seed_ips;
  membership::DetectorSettings detector;
  /// Peers not heard of are greeted, and the store's list is read, this often.
  Duration seed_period = seconds(1);
  Duration list_period = seconds(60);
  LoadGossipScheduleSettings loads;

  bool operator==(const PeerGroupSettings&) const = default;
};

/// Whose loads are told: those of one VM, or their sums over a data centre.
enum class LoadScope { kVm, kDataCentre };

/// News from other VMs. Called on the fiber thread; must not wait.
struct PeerGroupEvents {
  std::function<void(const quarantine::Strike&)> strike;
  std::function<void(const std::string& backend)> unreachable;
  std::function<void(const std::string& backend)> refusing;
  std::function<void(const membership::Member& holder)> newer_config;
  std::function<void(const std::string& peer,
                     LoadScope scope,
                     const std::vector<membership::WorkerLoadNotice>&)>
      loads;
  /// Loads of this VM, or as far as it knows of its data centre.
  std::function<std::vector<membership::WorkerLoadNotice>(LoadScope scope)>
      collect_loads;
};

/// Fiber thread only.
class PeerGroup {
 public:
  static Result<std::unique_ptr<PeerGroup>, io::HttpError> Create(
      io::Runtime* runtime,
      platform::StoreClient* store,
      MetricsRegistry* metrics,
      const Logger* log,
      PeerGroupSettings settings,
      PeerGroupEvents events);
  ~PeerGroup();

  /// What this VM says of itself.
  void SetReady(bool ready);
  void SetStoreUp(bool up);
  void SetConfigVersion(std::uint64_t version);
  void SetLeaving();

  void SpreadStrike(const quarantine::Strike& strike);
  void SpreadUnreachable(const std::string& backend);
  void SpreadRefusing(const std::string& backend);

  /// All members known, this VM first, dead ones too.
  std::vector<membership::Member> Members() const;

  /// The largest number of VMs that were alive at the same time.
  std::size_t MaxAlive() const;

 private:
  struct State;
  explicit PeerGroup(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

}  // namespace chervilpass::fleet
