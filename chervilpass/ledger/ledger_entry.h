// What the ledger stores: claims on idempotency keys and how they ended.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "chervilpass/core/time.h"
#include "chervilpass/io/http.h"

namespace chervilpass::ledger {

/// An idempotency key as the caller's organisation gave it. Keys of different
/// organisations never meet.
struct ClaimKey {
  std::string organisation;
  std::string key;

  auto operator<=>(const ClaimKey&) const = default;
};

/// The right to run the call once was taken.
struct Claimed {
  std::uint64_t digest = 0;  ///< of the request
  bool operator==(const Claimed&) const = default;
};

/// The call has run and this was its outcome.
struct Completed {
  io::HttpResponse outcome;
  bool body_kept = true;  ///< False if the body was too large to be kept.
  bool operator==(const Completed&) const = default;
};

/// The call was never sent: the key is free again.
struct Released {
  bool operator==(const Released&) const = default;
};

/// One line of the ledger. `attempt` is unique over all processes and time.
struct LedgerEntry {
  ClaimKey key;
  std::string attempt;
  WallTime at;
  std::variant<Claimed, Completed, Released> event;

  bool operator==(const LedgerEntry&) const = default;
};

/// One stored object: entries in the order written. A sealed segment never
/// changes again; the chain goes on with the next one.
struct Segment {
  std::vector<LedgerEntry> entries;
  bool sealed = false;

  bool operator==(const Segment&) const = default;
};

}  // namespace chervilpass::ledger
