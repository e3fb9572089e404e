#include "chervilpass/membership/fleet_view.h"

#include <algorithm>

namespace chervilpass::membership {
namespace {

bool CanDispatch(const Member& member) {
  const bool is_active =
      member.status == Status::kAlive || member.status == Status::kSuspect;
  return is_active && member.dispatch_up;
}

template <class Predicate>
std::vector<std::string> Select(const std::vector<Member>& members,
                                Predicate predicate) {
  std::vector<std::string> vms;
  for (const Member& member : members) {
    if (CanDispatch(member) && predicate(member)) {
      vms.push_back(member.vm);
    }
  }
  std::sort(vms.begin(), vms.end());
  return vms;
}

}  // namespace

const Member* FleetView::Find(const std::string& vm) const {
  for (const Member& member : this->members) {
    if (member.vm == vm) {
      return &member;
    }
  }
  return nullptr;
}

std::vector<std::string> FleetView::Dispatchers(
    const std::string& data_centre,
    const std::string& region) const {
  std::vector<std::string> vms = Select(this->members, [&](const Member& m) {
    return m.data_centre == data_centre;
  });
  if (vms.empty()) {
    vms = Select(this->members,
                 [&](const Member& m) { return m.region == region; });
  }
  return vms.empty() ? this->AllDispatchers() : vms;
}

std::vector<std::string> FleetView::AllDispatchers() const {
  return Select(this->members, [](const Member&) { return true; });
}

}  // namespace chervilpass::membership
