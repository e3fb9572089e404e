// Which VM decides on placement: an object in the store, taken over by a
// conditional write once its holder is gone. The object outlives every VM.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "chervilpass/core/time.h"
#include "chervilpass/membership/member.h"

namespace chervilpass::fleet {

/// What the store holds.
struct DeciderRecord {
  std::string vm;
  std::uint64_t boot_id = 0;  ///< tells starts of one VM apart
  std::uint64_t term = 0;     ///< rises with each takeover

  auto operator<=>(const DeciderRecord&) const = default;
};

/// Describes a claim.
struct DeciderClaimSettings {
  /// A holder that is not known to be alive keeps its place for this long, so
  /// that a fresh VM hears of it first.
  Duration missing_holder_grace = milliseconds(1500);

  bool operator==(const DeciderClaimSettings&) const = default;
};

enum class ClaimAction {
  kNone,
  kRead,      ///< Look at the store's record.
  kCreate,    ///< Write the first record.
  kTakeOver,  ///< Replace the record, if it has not changed.
};

/// Decides when to claim. Not thread-safe.
/// Invariant: a VM holds the claim only while the record it has read last,
/// under `ConfirmedSince`, names its own start.
class DeciderClaim {
 public:
  DeciderClaim(DeciderClaimSettings settings,
               std::string vm,
               std::uint64_t boot_id,
               Instant now)
      : settings(settings), vm(std::move(vm)), boot_id(boot_id), started(now) {}

  /// The record as read, or none if there is none.
  void OnRead(const std::optional<DeciderRecord>& record, Instant now);

  /// What to do now. `members` has this VM first.
  ClaimAction Next(const std::vector<membership::Member>& members, Instant now);

  /// The record to write for kCreate and kTakeOver.
  DeciderRecord Proposal() const;

  /// True if the record read last names this start of this VM.
  bool Holds() const;

  /// When that was read.
  Instant ConfirmedSince() const { return this->read_at; }

  const std::optional<DeciderRecord>& Record() const { return this->record; }

 private:
  /// The first VM by address of those that can do the work.
  static const membership::Member* Candidate(
      const std::vector<membership::Member>& members);

  DeciderClaimSettings settings;
  std::string vm;
  std::uint64_t boot_id;
  Instant started;
  bool known = false;  ///< the store has been read at least once
  std::optional<DeciderRecord> record;
  Instant read_at{};
  std::optional<Instant> holder_missing_since;
};

}  // namespace chervilpass::fleet
