// Guards against acting blindly on a sudden loss of many members: the fault may
// lie with the observer's own network.
#pragma once

#include <map>
#include <set>
#include <string>

#include "chervilpass/core/time.h"

namespace chervilpass::membership {

/// Describes a LossGuard.
struct LossGuardSettings {
  double share = 1.0 / 3;  ///< of all members, lost within the window
  std::uint32_t min_lost_members = 3;  ///< lost members below this are believed
  Duration window = seconds(10);
  Duration hold_time = seconds(30);  ///< then the loss is believed

  bool operator==(const LossGuardSettings&) const = default;
};

/// Not thread-safe.
class LossGuard {
 public:
  explicit LossGuard(LossGuardSettings settings) : settings(settings) {}

  /// A member was declared dead.
  void OnDead(const std::string& vm, Instant now) { this->dead[vm] = now; }

  /// A member lives after all.
  void OnAlive(const std::string& vm) { this->dead.erase(vm); }

  /// Dead members that are to be treated as suspect for now. `members` counts
  /// all members known, dead ones included.
  std::set<std::string> HeldMembers(std::size_t members, Instant now);

 private:
  LossGuardSettings settings;
  std::map<std::string, Instant> dead;  ///< by VM, when declared dead
};

}  // namespace chervilpass::membership
