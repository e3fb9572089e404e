// Decides when this VM tells the VMs of its data centre that a worker is full.
// Without I/O; a notice is never sent on by a VM that receives it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "chervilpass/core/time.h"
#include "chervilpass/core/token_bucket.h"
#include "chervilpass/membership/gossip_message.h"

namespace chervilpass::fleet {

/// Settings of FullWorkerNotices.
struct FullWorkerNoticesSettings {
  /// False: notices are neither sent nor applied.
  bool enabled = false;
  /// Shortest time between two notices of this VM about one worker.
  Duration interval = milliseconds(250);
  /// Bounds of a notice's time, of this VM and of others. The upper one is that
  /// of CooldownTrackerSettings.
  Duration max_time = milliseconds(2000);
  /// Bytes per second of notices that are sent directly, and at once. A notice
  /// to 80 VMs with the loads of 40 workers is 40 kB. The VMs that are left out
  /// learn from the next loads.
  double bytes_per_second = 2500;
  double burst_bytes = 40000;
  std::size_t max_notices = 64;  ///< in one datagram

  bool operator==(const FullWorkerNoticesSettings&) const = default;
};

/// Notices of this VM and of others that are in force. Not thread-safe.
/// Invariant: a notice of this VM that is in force is repeated in its loads.
class FullWorkerNotices {
 public:
  FullWorkerNotices(FullWorkerNoticesSettings settings, Instant now);

  /// A worker has refused a request of this VM; it should get none for `left`.
  /// True if the other VMs are to be told now.
  bool OnRefused(std::uint32_t worker, Duration left, Instant now);

  /// Records notices of another VM. Returns those that apply, with their times
  /// bounded.
  std::vector<membership::FullWorkerNotice> OnReceived(
      const std::vector<membership::FullWorkerNotice>& notices,
      Instant now);

  /// The notices of this VM that are in force, those that end last first.
  std::vector<membership::FullWorkerNotice> InForce(Instant now);

  /// Returns to how many of `receivers` VMs a datagram may be sent now, and
  /// counts the bytes.
  std::size_t TakeReceivers(std::size_t receivers,
                            std::size_t datagram_bytes,
                            Instant now);

 private:
  struct Own {
    Instant sent{};
    Instant until{};
  };

  void Expire(Instant now);

  FullWorkerNoticesSettings settings;
  std::unordered_map<std::uint32_t, Own> own;         ///< by worker
  std::unordered_map<std::uint32_t, Instant> others;  ///< ends, by worker
  TokenBucket bytes;
};

}  // namespace chervilpass::fleet
