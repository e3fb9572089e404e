// One shard of the at-most-once ledger: a chain of segment objects, appended to
// by conditional updates that carry many entries at once (group commit: DeWitt
// et al., "Implementation techniques for main memory database systems", SIGMOD
// 1984). Pure state machine.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "chervilpass/core/time.h"
#include "chervilpass/ledger/ledger_entry.h"

namespace chervilpass::ledger {

/// Describes a ShardLog.
struct ShardLogSettings {
  std::size_t segment_bytes = 48 * 1024;         ///< sealed above this
  Duration write_interval = milliseconds(10);    ///< least time between writes
  Duration retry_interval = milliseconds(200);   ///< after the store failed
  std::size_t outcome_limit_bytes = 128 * 1024;  ///< bytes of a kept body

  bool operator==(const ShardLogSettings&) const = default;
};

// ---- answers to claims ----

/// The caller may send the call, once.
struct Granted {
  bool operator==(const Granted&) const = default;
};
/// Another attempt of this process is running.
struct Running {
  bool operator==(const Running&) const = default;
};
/// Another attempt took the key; whether it ran is not known.
struct Unknown {
  bool operator==(const Unknown&) const = default;
};
/// The key was used for another request.
struct Mismatch {
  bool operator==(const Mismatch&) const = default;
};
/// Nothing is known of the key (answer to a query only).
struct Absent {
  bool operator==(const Absent&) const = default;
};
/// The store does not answer; nothing was or will be sent for this attempt.
struct Unavailable {
  /// True if the shard has been read and holds no earlier attempt on the key.
  bool known_fresh = false;

  bool operator==(const Unavailable&) const = default;
};

using ClaimReply = std::variant<Granted,
                                Running,
                                Unknown,
                                Mismatch,
                                Absent,
                                Unavailable,
                                Completed>;

// ---- results of store calls ----

struct SegmentRead {
  std::uint64_t version = 0;
  Segment segment;
};
struct SegmentMissing {};
struct StoreFailed {};
using ReadResult = std::variant<SegmentRead, SegmentMissing, StoreFailed>;

struct WriteCommitted {
  std::uint64_t version = 0;
};
struct WriteConflict {};
struct WriteOutcomeUnknown {
};                       ///< May or may not have taken effect, now or later.
struct WriteNotSent {};  ///< Has not and will not take effect.
using WriteResult = std::
    variant<WriteCommitted, WriteConflict, WriteOutcomeUnknown, WriteNotSent>;

// ---- actions ----

struct ReadSegment {
  std::uint64_t index = 0;
};
/// Writes a segment if it still has `version`; 0: if it does not exist.
struct WriteSegment {
  std::uint64_t index = 0;
  std::uint64_t version = 0;
  Segment segment;
};
struct ReplyToClaim {
  std::string attempt;
  ClaimReply reply;
};
/// The outcome or release of an attempt is durable, or cannot be made so now;
/// in that case it is written later.
struct ReplyToRecord {
  std::string attempt;
  bool durable = false;
};

using ShardLogAction =
    std::variant<ReadSegment, WriteSegment, ReplyToClaim, ReplyToRecord>;
using ShardLogActions = std::vector<ShardLogAction>;

/// The state machine. Not thread-safe. At most one store call is outstanding;
/// its result must be given back by `OnRead` or `OnWrite`.
/// Invariants: an attempt is granted only after a conditional write that holds
/// its claim has been seen to take effect, on top of entries that have all been
/// looked at; hence of all attempts on one key, over all processes, one at most
/// is granted before a release. What an owner believes to know can be stale:
/// then its write fails.
class ShardLog {
 public:
  explicit ShardLog(ShardLogSettings settings) : settings(settings) {}

  ShardLogActions Claim(const ClaimKey& key,
                        const std::string& attempt,
                        std::uint64_t digest,
                        WallTime wall,
                        Instant now);

  /// The attempt has run; it must have been granted by this object.
  ShardLogActions Finish(const ClaimKey& key,
                         const std::string& attempt,
                         io::HttpResponse outcome,
                         WallTime wall,
                         Instant now);

  /// The attempt was granted and will never be sent.
  ShardLogActions Release(const ClaimKey& key,
                          const std::string& attempt,
                          WallTime wall,
                          Instant now);

  /// Looks a key up, reading the tail again first. `query` names the answer.
  ShardLogActions Query(const ClaimKey& key,
                        const std::string& query,
                        Instant now);

  ShardLogActions OnRead(std::uint64_t index,
                         const ReadResult& result,
                         Instant now);
  ShardLogActions OnWrite(const WriteResult& result, Instant now);
  ShardLogActions OnTick(Instant now);

  /// Entries held in memory.
  std::size_t KeyCount() const { return this->keys.size(); }

 private:
  enum class Phase {
    kCold,     ///< The chain has to be read on from `tail_index`.
    kReading,  ///< A read is outstanding.
    kReady,    ///< The tail is known; a write may start.
    kWriting,  ///< A write is outstanding.
  };
  struct KeyState {
    std::string attempt;
    std::uint64_t digest = 0;
    std::variant<Claimed, Completed, Released> what;
  };
  struct PendingClaim {
    LedgerEntry entry;
    bool ever_written = false;  ///< A write of it may yet take effect.
  };
  struct PendingRecord {
    LedgerEntry entry;
    bool reply_wanted = false;
    bool abandoned = false;  ///< Releases a claim that was never granted.
  };
  struct PendingQuery {
    ClaimKey key;
    std::string query;
  };

  ShardLogActions Advance(Instant now);
  void StartRead(ShardLogActions* actions);
  void StartWrite(Instant now, ShardLogActions* actions);
  void AbsorbTail();
  void Absorb(const LedgerEntry& entry);
  void SettlePending(ShardLogActions* actions);
  void SettleQueries(ShardLogActions* actions);
  void OnStoreFailed(Instant now, ShardLogActions* actions);
  std::optional<ClaimReply> ReplyFromKnown(const ClaimKey& key,
                                           std::uint64_t digest) const;
  bool IsStored(const LedgerEntry& entry) const;
  Unavailable UnavailableFor(const ClaimKey& key) const;

  ShardLogSettings settings;
  Phase phase = Phase::kCold;
  std::uint64_t tail_index = 0;
  std::uint64_t tail_version = 0;  ///< 0: the tail does not exist yet
  Segment tail;
  std::size_t tail_bytes = 0;
  std::map<ClaimKey, KeyState> keys;
  std::set<std::string> running;        ///< attempts granted here and not ended
  std::set<std::string> tail_attempts;  ///< attempts named in the tail
  std::vector<PendingClaim> claims;
  std::vector<PendingRecord> records;
  std::vector<PendingQuery> queries;
  bool tail_may_be_stale = false;
  bool loaded = false;  ///< The chain has been read to its end.
  Segment writing;      ///< what the outstanding write carries
  std::optional<Instant> last_write;
  std::optional<Instant> retry_at;
};

/// Bytes that an entry takes up in a stored segment, roughly.
std::size_t EntryBytes(const LedgerEntry& entry);

}  // namespace chervilpass::ledger
