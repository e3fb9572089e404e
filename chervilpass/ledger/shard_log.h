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

/// Settings of a ShardLog.
struct ShardLogSettings {
  std::size_t segment_bytes = 48 * 1024;         ///< sealed above this size
  Duration write_interval = milliseconds(10);    ///< minimum between writes
  Duration retry_interval = milliseconds(200);   ///< after a store failure
  std::size_t outcome_limit_bytes = 128 * 1024;  ///< maximum stored body

  bool operator==(const ShardLogSettings&) const = default;
};

// ---- replies to claims and queries ----

/// The call may be sent, once.
struct Granted {
  bool operator==(const Granted&) const = default;
};
/// Another attempt of this process is running the call.
struct Running {
  bool operator==(const Running&) const = default;
};
/// Another attempt holds the claim; whether the call ran is unknown.
struct Unknown {
  bool operator==(const Unknown&) const = default;
};
/// The key was used with another request.
struct Mismatch {
  bool operator==(const Mismatch&) const = default;
};
/// The key has no claim (reply to a query only).
struct Absent {
  bool operator==(const Absent&) const = default;
};
/// The store does not answer; no call was or will be sent for this attempt.
struct Unavailable {
  /// True if the shard has been read and holds no unreleased claim on the key.
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
/// The write may have taken effect or may do so later.
struct WriteOutcomeUnknown {};
/// The write has not taken effect and will not.
struct WriteNotApplied {};
using WriteResult = std::variant<WriteCommitted,
                                 WriteConflict,
                                 WriteOutcomeUnknown,
                                 WriteNotApplied>;

// ---- actions ----

struct ReadSegment {
  std::uint64_t index = 0;
};
/// Writes a segment on condition that its stored version is `version`; 0: that
/// it does not exist.
struct WriteSegment {
  std::uint64_t index = 0;
  std::uint64_t version = 0;
  Segment segment;
};
struct ReplyToClaim {
  std::string attempt;
  ClaimReply reply;
};
/// The outcome or release of an attempt is durable; if `durable` is false, it
/// will be written later.
struct ReplyToRecord {
  std::string attempt;
  bool durable = false;
};

using ShardLogAction =
    std::variant<ReadSegment, WriteSegment, ReplyToClaim, ReplyToRecord>;
using ShardLogActions = std::vector<ShardLogAction>;

/// The state machine. Not thread-safe. At most one store call is outstanding;
/// its result must be passed to `OnRead` or `OnWrite`.
/// Invariants: an attempt is granted only after a conditional write that
/// contains its claim is known to have taken effect, and all entries before the
/// claim have been read. Hence at most one attempt on a key, across all
/// processes, is granted before a release. An owner whose memory is stale fails
/// to write.
class ShardLog {
 public:
  explicit ShardLog(ShardLogSettings settings) : settings(settings) {}

  /// Claims `key` for `attempt`; `digest` identifies the request. The reply is
  /// a ReplyToClaim, returned by this call or a later one.
  ShardLogActions Claim(const ClaimKey& key,
                        const std::string& attempt,
                        std::uint64_t digest,
                        WallTime wall,
                        Instant now);

  /// Records the outcome of an attempt that this object granted.
  ShardLogActions Finish(const ClaimKey& key,
                         const std::string& attempt,
                         io::HttpResponse outcome,
                         WallTime wall,
                         Instant now);

  /// Records the release of an attempt that this object granted and that will
  /// never be sent.
  ShardLogActions Release(const ClaimKey& key,
                          const std::string& attempt,
                          WallTime wall,
                          Instant now);

  /// Looks up a key. Reads the tail again first, unless the key is known to be
  /// completed or running here. `query` is the `attempt` of the reply.
  ShardLogActions Query(const ClaimKey& key,
                        const std::string& query,
                        Instant now);

  ShardLogActions OnRead(std::uint64_t index,
                         const ReadResult& result,
                         Instant now);
  ShardLogActions OnWrite(const WriteResult& result, Instant now);
  ShardLogActions OnTick(Instant now);

  /// Number of keys held in memory.
  std::size_t KeyCount() const { return this->keys.size(); }

 private:
  enum class Phase {
    kTailUnknown,  ///< The chain must be read from `tail_index` on.
    kReading,      ///< A read is outstanding.
    kReady,        ///< The tail is known; a write may start.
    kWriting,      ///< A write is outstanding.
  };
  struct KeyState {
    std::string attempt;
    std::uint64_t digest = 0;
    std::variant<Claimed, Completed, Released> event;
  };
  struct PendingClaim {
    LedgerEntry entry;
    bool may_take_effect = false;  ///< A write has carried it.
  };
  struct PendingRecord {
    LedgerEntry entry;
    bool reply_wanted = false;
    bool abandoned = false;  ///< It releases a claim that was never granted.
  };
  struct PendingQuery {
    ClaimKey key;
    std::string query;
  };

  ShardLogActions Advance(Instant now);
  void StartRead(ShardLogActions* actions);
  void StartWrite(Instant now, ShardLogActions* actions);
  void ApplyTail();
  void Apply(const LedgerEntry& entry);
  void ResolvePending(ShardLogActions* actions);
  void AnswerQueries(ShardLogActions* actions);
  void OnStoreFailed(Instant now, ShardLogActions* actions);
  std::optional<ClaimReply> ReplyFromMemory(const ClaimKey& key,
                                            std::uint64_t digest) const;
  bool IsStored(const LedgerEntry& entry) const;
  Unavailable UnavailableFor(const ClaimKey& key) const;

  ShardLogSettings settings;
  Phase phase = Phase::kTailUnknown;
  std::uint64_t tail_index = 0;
  std::uint64_t tail_version = 0;  ///< 0: the tail does not exist yet
  Segment tail;
  std::size_t tail_bytes = 0;
  std::map<ClaimKey, KeyState> keys;
  std::set<std::string> running;  ///< attempts granted here and not yet ended
  std::set<std::string> tail_attempts;  ///< attempts with entries in the tail
  std::vector<PendingClaim> claims;
  std::vector<PendingRecord> records;
  std::vector<PendingQuery> queries;
  bool tail_may_be_stale = false;
  /// The chain was read to its end, and no write has met a conflict since.
  bool read_to_end = false;
  Segment writing;  ///< content of the outstanding write
  std::optional<Instant> last_write;
  std::optional<Instant> retry_at;
};

/// Approximate size of an entry in a stored segment, in bytes.
std::size_t EntryBytes(const LedgerEntry& entry);

}  // namespace chervilpass::ledger
