#include "chervilpass/fleet/address_list.h"

#include <algorithm>

#include "chervilpass/io/http.h"

namespace chervilpass::fleet {
namespace {

using membership::Member;
using membership::Status;

void Shuffle(std::vector<const Member*>* members, Random* random) {
  for (std::size_t i = members->size(); i > 1; --i) {
    std::swap((*members)[i - 1], (*members)[random->Below(i)]);
  }
}

}  // namespace

std::vector<std::string> ListAddresses(const std::vector<Member>& members,
                                       const std::string& data_centre,
                                       const AddressListSettings& settings,
                                       Random* random) {
  std::vector<const Member*> same_data_centre;
  std::vector<const Member*> other_data_centres;
  std::vector<const Member*> suspected;
  for (const Member& member : members) {
    if (!member.entry_up || member.status == Status::kDead ||
        member.status == Status::kLeaving) {
      continue;
    }
    if (member.status == Status::kSuspect) {
      suspected.push_back(&member);
    } else if (member.data_centre == data_centre) {
      same_data_centre.push_back(&member);
    } else {
      other_data_centres.push_back(&member);
    }
  }
  Shuffle(&same_data_centre, random);
  Shuffle(&other_data_centres, random);
  std::vector<const Member*> chosen = same_data_centre;
  if (chosen.size() < settings.min_same_data_centre_entries) {
    chosen.insert(chosen.end(), other_data_centres.begin(),
                  other_data_centres.end());
  }
  if (chosen.empty()) {
    chosen = suspected;
  }
  chosen.resize(std::min(chosen.size(), settings.max_addresses));
  std::vector<std::string> addresses;
  for (const Member* member : chosen) {
    addresses.push_back(io::Endpoint{member->ip, member->http_port}.ToText());
  }
  return addresses;
}

}  // namespace chervilpass::fleet
