// Which entry addresses callers are told to use.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "chervilpass/core/random.h"
#include "chervilpass/membership/member.h"

namespace chervilpass::fleet {

/// Describes an address list.
struct AddressListSettings {
  std::size_t max_addresses = 64;
  /// With fewer usable entries in the caller's data centre than this, entries
  /// of other data centres are added.
  std::size_t min_same_data_centre_entries = 2;

  bool operator==(const AddressListSettings&) const = default;
};

/// Addresses "IP:PORT" for a caller in `data_centre`: entries that say they
/// are ready and are not suspected, those of its data centre first. Suspected
/// ones are used only if there is nothing else.
std::vector<std::string> ListAddresses(
    const std::vector<membership::Member>& members,
    const std::string& data_centre,
    const AddressListSettings& settings,
    Random* random);

}  // namespace chervilpass::fleet
