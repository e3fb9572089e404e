// The group of entry VMs: membership by gossip over UDP, and the events that
// gossip disseminates.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chervilpass/core/log.h"
#include "chervilpass/core/metrics.h"
#include "chervilpass/fleet/entry_registration.h"
#include "chervilpass/fleet/full_worker_notices.h"
#include "chervilpass/fleet/load_digest.h"
#include "chervilpass/fleet/load_gossip_schedule.h"
#include "chervilpass/io/runtime.h"
#include "chervilpass/io/udp_socket.h"
#include "chervilpass/membership/detector.h"
#include "platform/store_client.h"

namespace chervilpass::fleet {

/// Settings of a PeerGroup.
struct PeerGroupSettings {
  membership::Member self;  ///< `vm` is the IP address
  std::vector<std::string> seed_ips;
  membership::DetectorSettings detector;
  Duration seed_period = seconds(1);   ///< between pings to unknown seeds
  Duration list_period = seconds(60);  ///< between reads of the store's list
  LoadGossipScheduleSettings loads;
  FullWorkerNoticesSettings full_workers;
  LoadDigestSettings load_digest;
  /// Longest time for which requests are held back after a stop of an earlier
  /// process; zero: they are not.
  Duration max_hold{0};

  bool operator==(const PeerGroupSettings&) const = default;
};

/// Scope of load gossip: the loads of one VM, or their sums over a data centre.
enum class LoadScope {
  kVm,
  kDataCentre,
  kVmSample,  ///< A random sample of the loads of a VM, scaled up.
};

/// Callbacks for events from other VMs. Called on the fiber thread; must not
/// wait.
struct PeerGroupEvents {
  std::function<void(const quarantine::Strike&)> strike;
  std::function<void(const quarantine::Clearance&)> clearance;
  std::function<void(const std::string& backend)> unreachable;
  std::function<void(const std::string& backend)> refusing;
  /// A start of a backend server has said that it leaves.
  std::function<void(const std::string& backend, WallTime started)> departure;
  std::function<void(const membership::Member& holder)> newer_config;
  std::function<void(const std::string& peer,
                     LoadScope scope,
                     const std::vector<membership::WorkerLoadNotice>&)>
      loads;
  /// Another VM reports full workers that were not known to be full.
  std::function<void(const std::string& peer,
                     const std::vector<membership::FullWorkerNotice>&)>
      full_workers;
  /// Follows `loads` if these were only the largest of a data centre.
  std::function<void(const std::string& peer, const membership::PartialLoads&)>
      rest_of_loads;
  /// Returns the loads of this VM, or the known sums of its data centre.
  std::function<std::vector<membership::WorkerLoadNotice>(LoadScope scope)>
      collect_loads;
  /// The same of the tokens that organisations have in flight. Optional; not
  /// called for messages without such loads.
  std::function<void(const std::string& peer,
                     LoadScope scope,
                     const std::vector<membership::OrganisationLoadNotice>&)>
      organisation_loads;
  std::function<std::vector<membership::OrganisationLoadNotice>(
      LoadScope scope)>
      collect_organisation_loads;
  /// What a VM states about the paces of servers, and what this VM states. They
  /// may be empty.
  std::function<void(const std::string& peer,
                     const std::vector<membership::ServerPaceNotice>&)>
      paces;
  std::function<std::vector<membership::ServerPaceNotice>()> collect_paces;
};

/// Runs the gossip of this VM. Fiber thread only.
class PeerGroup {
 public:
  /// Starts the gossip; an error if the UDP socket cannot be opened.
  static Result<std::unique_ptr<PeerGroup>, io::HttpError> Create(
      io::Runtime* runtime,
      platform::StoreClient* store,
      MetricsRegistry* metrics,
      const Logger* log,
      PeerGroupSettings settings,
      PeerGroupEvents events);
  ~PeerGroup();

  /// Update and announce the state of this VM.
  void SetReady(bool ready);
  void SetStoreUp(bool up);
  void SetConfigVersion(std::uint64_t version);
  void SetCutOff(bool cut_off);
  void SetLeaving();

  /// This process was ordered to stop; the platform may end what the VM runs
  /// until `ends`, which its next process learns from the store.
  void AnnounceStop(WallTime ends);

  /// How much longer requests are to be held back because an earlier process
  /// was ordered to stop; empty while that is not known.
  std::optional<Duration> HoldLeft() const;

  /// Disseminate events to all VMs.
  void BroadcastStrikes(const std::vector<quarantine::Strike>& strikes);
  void BroadcastClearance(const quarantine::Clearance& clearance);
  void BroadcastUnreachable(const std::string& backend);
  void BroadcastRefusing(const std::string& backend);
  void BroadcastDeparture(const std::string& backend, WallTime started);

  /// Tells the VMs of this data centre at once, and other VMs with the next
  /// loads, that a worker has refused a request for lack of capacity and should
  /// get none for `left`. Not sent if they know, see FullWorkerNotices.
  void BroadcastFull(std::uint32_t worker, Duration left);

  /// All known members, this VM first, dead ones included. The reference stays
  /// valid; its contents change while a fiber waits.
  const std::vector<membership::Member>& Members() const;

  /// Returns the record of a VM; null if it is unknown.
  const membership::Member* Find(const std::string& vm) const;

  /// Returns the number of VMs, this one included, that are not dead.
  std::size_t AliveCount() const;

  /// Returns the maximum number of VMs, this one included, that were not dead
  /// at the same time.
  std::size_t MaxAlive() const;

  /// Payload bytes and number of all gossip datagrams that this VM has sent.
  std::uint64_t BytesSent() const;
  std::uint64_t DatagramsSent() const;

 private:
  struct State;
  explicit PeerGroup(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

}  // namespace chervilpass::fleet
