// Selects the entry addresses that callers are given.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "chervilpass/core/random.h"
#include "chervilpass/membership/member.h"

namespace chervilpass::fleet {

/// Settings of ListAddresses.
struct AddressListSettings {
  std::size_t max_addresses = 64;
  /// Entries of other data centres are added if the caller's data centre has
  /// fewer usable entries than this.
  std::size_t min_same_data_centre_entries = 2;

  bool operator==(const AddressListSettings&) const = default;
};

/// Returns addresses "IP:PORT" for a caller in `data_centre`: ready entries
/// that are not suspected, those of its data centre first. Suspected ones are
/// returned only if there are no others.
std::vector<std::string> ListAddresses(
    const std::vector<membership::Member>& members,
    const std::string& data_centre,
    const AddressListSettings& settings,
    Random* random);

}  // namespace chervilpass::fleet
