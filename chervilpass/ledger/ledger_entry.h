// Entries of the ledger: claims on idempotency keys and their outcomes.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "chervilpass/core/time.h"
#include "chervilpass/io/http.h"

namespace chervilpass::ledger {

/// An idempotency key, scoped to the caller's organisation.
struct ClaimKey {
  std::string organisation;
  std::string key;

  auto operator<=>(const ClaimKey&) const = default;
};

/// An attempt has claimed the key, which permits running the call once.
struct Claimed {
  std::uint64_t digest = 0;  ///< of the request
  bool operator==(const Claimed&) const = default;
};

/// The call has run and had this outcome.
struct Completed {
  io::HttpResponse outcome;
  bool body_kept = true;  ///< False if the body was too large to store.
  bool operator==(const Completed&) const = default;
};

/// The call was not sent, so the key can be claimed again.
struct Released {
  bool operator==(const Released&) const = default;
};

/// One entry of the ledger. `attempt` is unique across processes and over time.
struct LedgerEntry {
  ClaimKey key;
  std::string attempt;
  WallTime at;
  std::variant<Claimed, Completed, Released> event;

  bool operator==(const LedgerEntry&) const = default;
};

/// One stored object: entries in the order written. A sealed segment is
/// immutable; the chain continues with the next one.
struct Segment {
  std::vector<LedgerEntry> entries;
  bool sealed = false;

  bool operator==(const Segment&) const = default;
};

}  // namespace chervilpass::ledger
