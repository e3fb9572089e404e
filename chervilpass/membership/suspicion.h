// How long a suspected member has to refute the suspicion. Dadgar, Phillips and
// Currey, "Lifeguard: local health awareness for more accurate failure
// detection", DSN-W 2018: the time shrinks with each further VM whose probe
// fails, so that one VM with a bad link declares no one dead quickly.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "chervilpass/core/time.h"

namespace chervilpass::membership {

/// Settings of a Suspicion.
struct SuspicionSettings {
  Duration min_timeout = seconds(1);  ///< with all confirmations
  Duration max_timeout = seconds(3);  ///< with none
  std::uint32_t confirmations = 3;    ///< that shorten the timeout

  bool operator==(const SuspicionSettings&) const = default;
};

/// One suspicion of one start of a member. Not thread-safe.
class Suspicion {
 public:
  /// `by` is the VM whose probe failed, as in MemberUpdate; 0 if unknown.
  /// `confirmations` limits those of the settings in a small fleet.
  Suspicion(SuspicionSettings settings,
            std::size_t confirmations,
            std::uint32_t by,
            Instant now);

  /// A probe of `by` has failed too; true if that was not known and counts.
  bool Confirm(std::uint32_t by);

  /// Time at which the member is declared dead.
  Instant Deadline() const;

  /// One of the VMs whose probes failed; successive calls cycle through them.
  std::uint32_t NextSuspector();

  /// Extends the deadline by a time for which this VM did not run.
  void Extend(Duration stalled) { this->since += stalled; }

 private:
  SuspicionSettings settings;
  std::size_t needed;  ///< confirmations for the shortest timeout
  Instant since;
  std::vector<std::uint32_t> suspectors;
  std::size_t next = 0;
};

}  // namespace chervilpass::membership
