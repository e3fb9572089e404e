// What the store holds of an entry VM.
#pragma once

#include <boost/json.hpp>
#include <optional>
#include <string>

#include "chervilpass/core/time.h"
#include "chervilpass/membership/member.h"

namespace chervilpass::fleet {

/// The record of one entry VM, written by the process that it runs.
struct EntryRecord {
  /// Its addresses and boot id; state that changes is left out.
  membership::Member member;
  /// The latest end of a grace period: until then the platform may still end
  /// whichever process the VM runs. Empty if none of its processes was ordered
  /// to stop.
  std::optional<WallTime> stop_ends;

  bool operator==(const EntryRecord&) const = default;
};

boost::json::value EncodeEntry(const EntryRecord& record);

/// Empty if `body` is no record. `name` is the VM.
std::optional<EntryRecord> DecodeEntry(const std::string& name,
                                       const boost::json::value& body);

}  // namespace chervilpass::fleet
