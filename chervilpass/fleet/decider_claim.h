// Leader election of the VM that decides on placement. The claim is an object
// in the store that outlives every VM; another VM takes it over by a
// conditional write once its holder is gone.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "chervilpass/core/time.h"
#include "chervilpass/membership/member.h"

namespace chervilpass::fleet {

/// The claim as stored.
struct DeciderRecord {
  std::string vm;
  std::uint64_t boot_id = 0;  ///< distinguishes starts of one VM
  std::uint64_t term = 0;     ///< increases with each takeover

  auto operator<=>(const DeciderRecord&) const = default;
};

/// Settings of a DeciderClaim.
struct DeciderClaimSettings {
  /// For this long after its start a VM does not take over the claim of another
  /// VM: gossip about the holder may not have reached it yet.
  Duration missing_holder_grace = milliseconds(1500);
  /// A read confirms the claim for this long: the time-out of a read.
  Duration confirmed_for = milliseconds(800);
  /// After a takeover the new holder sends nothing for this long: the former
  /// one may act until its last confirmation has aged and its last call ended.
  Duration handover_delay = milliseconds(1100);
  /// The same if the former holder is known to be alive: during an outage of
  /// the store it acts until it hears that another VM reaches the store again.
  Duration alive_handover_delay = milliseconds(1500);

  bool operator==(const DeciderClaimSettings&) const = default;
};

enum class ClaimAction {
  kNone,
  kRead,      ///< Read the store's record.
  kCreate,    ///< Write the first record.
  kTakeOver,  ///< Replace the record if it has not changed.
};

/// How far a VM may act as the decider.
enum class ClaimStanding {
  kNone,
  /// The store cannot be read, but no other VM can have taken over the claim:
  /// repairs may continue.
  kUncontested,
  kConfirmed,
};

/// Decides when this VM reads, creates or takes over the claim. Not
/// thread-safe. Invariant: the VM holds the claim only while the last record
/// that it read, at `LastReadAt`, names its current start.
class DeciderClaim {
 public:
  DeciderClaim(DeciderClaimSettings settings,
               std::string vm,
               std::uint64_t boot_id,
               Instant now)
      : settings(settings), vm(std::move(vm)), boot_id(boot_id), started(now) {}

  /// Handles a read or written record; none if the store has no record.
  /// `asked` is the time of the call, `answered` that of its response: a write
  /// may take effect as late as that.
  void OnRead(const std::optional<DeciderRecord>& record,
              Instant asked,
              Instant answered);
  void OnRead(const std::optional<DeciderRecord>& record, Instant now) {
    this->OnRead(record, now, now);
  }

  /// Returns what to do now. `members` has this VM first.
  ClaimAction Next(const std::vector<membership::Member>& members, Instant now);

  /// Returns the record to write for kCreate and kTakeOver.
  DeciderRecord Proposal() const;

  /// True if the last record read names this start of this VM.
  bool Holds() const;

  /// Returns how far this VM may act now. `members` has this VM first.
  ///
  /// Another VM takes over only if it reaches the store and finds the holder
  /// gone, without the store, or cut off. So the claim stays uncontested while
  /// this VM has announced since the last read that it reaches the store, or
  /// no other one has; and while it hears from most of the others, which would
  /// count it as gone otherwise.
  ClaimStanding Standing(const std::vector<membership::Member>& members,
                         Instant now) const;

  /// Time at which the last record was read.
  Instant LastReadAt() const { return this->read_at; }

  const std::optional<DeciderRecord>& Record() const { return this->record; }

 private:
  /// The first VM by address of those that can decide; null if there is none.
  static const membership::Member* Candidate(
      const std::vector<membership::Member>& members);

  // True if another VM may take over the claim now.
  bool IsContested(const std::vector<membership::Member>& members) const;

  DeciderClaimSettings settings;
  std::string vm;
  std::uint64_t boot_id;
  Instant started;
  bool store_read = false;  ///< at least once
  std::optional<DeciderRecord> record;
  Instant read_at{};
  std::optional<Instant> holder_missing_since;
  bool contested = false;           ///< at some time since the last read
  std::size_t heard_when_read = 0;  ///< other VMs that were present then
  bool holder_alive = false;  ///< the one before this VM, at the last Next
  Instant may_act_from{};     ///< after a takeover
};

}  // namespace chervilpass::fleet
