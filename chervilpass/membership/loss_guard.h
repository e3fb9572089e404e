// Delays the reaction to a sudden loss of many members: the cause may be a
// fault of the observer's own network.
#pragma once

#include <map>
#include <set>
#include <string>

#include "chervilpass/core/time.h"

namespace chervilpass::membership {

/// Settings of a LossGuard.
struct LossGuardSettings {
  double share = 1.0 / 3;  ///< of all members, lost within the window
  std::uint32_t min_lost_members = 3;  ///< a smaller loss is never held
  Duration window = seconds(10);
  Duration hold_time = seconds(30);  ///< then members count as dead

  bool operator==(const LossGuardSettings&) const = default;
};

/// Not thread-safe.
class LossGuard {
 public:
  explicit LossGuard(LossGuardSettings settings) : settings(settings) {}

  /// A member was declared dead.
  void OnDead(const std::string& vm, Instant now) { this->dead[vm] = now; }

  /// A member that was declared dead is alive.
  void OnAlive(const std::string& vm) { this->dead.erase(vm); }

  /// Dead members that must be treated as suspect for now. `members` is the
  /// number of known members, dead ones included.
  std::set<std::string> HeldMembers(std::size_t members, Instant now);

 private:
  LossGuardSettings settings;
  std::map<std::string, Instant> dead;  ///< time of the declaration, by VM
};

}  // namespace chervilpass::membership
