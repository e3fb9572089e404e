#include "chervilpass/ledger/shard_log.h"

#include <algorithm>
#include <cassert>

namespace chervilpass::ledger {
namespace {

constexpr std::size_t kEntryOverheadBytes = 120;  // JSON names, punctuation

}  // namespace

std::size_t EntryBytes(const LedgerEntry& entry) {
  std::size_t bytes = kEntryOverheadBytes + entry.key.organisation.size() +
                      entry.key.key.size() + entry.attempt.size();
  if (const auto* completed = std::get_if<Completed>(&entry.event)) {
    bytes += completed->outcome.body.size();
    for (const io::HttpHeader& field : completed->outcome.headers.All()) {
      bytes += field.name.size() + field.value.size();
    }
  }
  return bytes;
}

ShardLogActions ShardLog::Claim(const ClaimKey& key,
                                const std::string& attempt,
                                std::uint64_t digest,
                                WallTime wall,
                                Instant now) {
  // A claimed or completed key is answered from memory. Stale memory can only
  // lack entries, and a claim written without having read those fails at the
  // store.
  if (const auto reply = this->ReplyFromMemory(key, digest)) {
    return {ReplyToClaim{attempt, *reply}};
  }
  for (const PendingClaim& pending : this->claims) {
    if (pending.entry.key == key) {
      const bool same_request =
          std::get<Claimed>(pending.entry.event).digest == digest;
      const ClaimReply reply =
          same_request ? ClaimReply(Running{}) : ClaimReply(Mismatch{});
      return {ReplyToClaim{attempt, reply}};
    }
  }
  if (this->retry_at && now < *this->retry_at) {
    return {ReplyToClaim{attempt, this->UnavailableFor(key)}};
  }
  this->claims.push_back(
      {LedgerEntry{key, attempt, wall, Claimed{digest}}, false});
  return this->Advance(now);
}

ShardLogActions ShardLog::Finish(const ClaimKey& key,
                                 const std::string& attempt,
                                 io::HttpResponse outcome,
                                 WallTime wall,
                                 Instant now) {
  assert(this->running.contains(attempt));
  Completed completed{std::move(outcome), true};
  if (completed.outcome.body.size() > this->settings.outcome_limit_bytes) {
    completed.outcome.body.clear();
    completed.body_kept = false;
  }
  this->records.push_back(
      {LedgerEntry{key, attempt, wall, std::move(completed)}, true, false});
  return this->Advance(now);
}

ShardLogActions ShardLog::Release(const ClaimKey& key,
                                  const std::string& attempt,
                                  WallTime wall,
                                  Instant now) {
  assert(this->running.contains(attempt));
  this->records.push_back(
      {LedgerEntry{key, attempt, wall, Released{}}, true, false});
  return this->Advance(now);
}

ShardLogActions ShardLog::Query(const ClaimKey& key,
                                const std::string& query,
                                Instant now) {
  const auto found = this->keys.find(key);
  if (found != this->keys.end()) {
    if (const auto* completed = std::get_if<Completed>(&found->second.event)) {
      return {ReplyToClaim{query, *completed}};
    }
    if (this->running.contains(found->second.attempt)) {
      return {ReplyToClaim{query, Running{}}};
    }
  }
  if (this->retry_at && now < *this->retry_at) {
    return {ReplyToClaim{query, this->UnavailableFor(key)}};
  }
  this->queries.push_back({key, query});
  this->tail_may_be_stale = true;
  return this->Advance(now);
}

ShardLogActions ShardLog::OnTick(Instant now) {
  if (this->retry_at && now >= *this->retry_at) {
    this->retry_at.reset();
  }
  return this->Advance(now);
}

// Starts the next store call if one is needed and none is outstanding.
ShardLogActions ShardLog::Advance(Instant now) {
  ShardLogActions actions;
  const bool idle =
      this->claims.empty() && this->records.empty() && this->queries.empty();
  if (idle || this->retry_at) {
    return actions;
  }
  if (this->phase == Phase::kTailUnknown ||
      (this->phase == Phase::kReady && this->tail_may_be_stale)) {
    this->StartRead(&actions);
    return actions;
  }
  const bool too_soon = this->last_write &&
                        now - *this->last_write < this->settings.write_interval;
  if (this->phase == Phase::kReady && !too_soon) {
    this->StartWrite(now, &actions);
  }
  return actions;
}

void ShardLog::StartRead(ShardLogActions* actions) {
  this->phase = Phase::kReading;
  this->tail_may_be_stale = false;
  actions->push_back(ReadSegment{this->tail_index});
}

void ShardLog::StartWrite(Instant now, ShardLogActions* actions) {
  if (this->claims.empty() && this->records.empty()) {
    return;
  }
  this->writing = this->tail;
  std::size_t bytes = this->tail_bytes;
  for (PendingRecord& record : this->records) {
    bytes += EntryBytes(record.entry);
    this->writing.entries.push_back(record.entry);
  }
  for (PendingClaim& claim : this->claims) {
    claim.may_take_effect = true;
    bytes += EntryBytes(claim.entry);
    this->writing.entries.push_back(claim.entry);
  }
  this->writing.sealed = bytes > this->settings.segment_bytes;
  this->phase = Phase::kWriting;
  this->last_write = now;
  actions->push_back(
      WriteSegment{this->tail_index, this->tail_version, this->writing});
}

ShardLogActions ShardLog::OnRead(std::uint64_t index,
                                 const ReadResult& result,
                                 Instant now) {
  assert(this->phase == Phase::kReading && index == this->tail_index);
  ShardLogActions actions;
  if (std::holds_alternative<StoreFailed>(result)) {
    this->phase = Phase::kTailUnknown;
    this->OnStoreFailed(now, &actions);
    return actions;
  }
  if (std::holds_alternative<SegmentMissing>(result)) {
    this->tail = Segment{};
    this->tail_version = 0;
    this->tail_bytes = 0;
    this->tail_attempts.clear();
  } else {
    const auto& read = std::get<SegmentRead>(result);
    this->tail = read.segment;
    this->tail_version = read.version;
    this->ApplyTail();
    if (read.segment.sealed) {
      // Pending entries may be in this segment: resolve them before reading the
      // next one.
      this->ResolvePending(&actions);
      ++this->tail_index;
      this->StartRead(&actions);
      return actions;
    }
  }
  this->phase = Phase::kReady;
  this->read_to_end = true;
  this->ResolvePending(&actions);
  this->AnswerQueries(&actions);
  for (ShardLogAction& action : this->Advance(now)) {
    actions.push_back(std::move(action));
  }
  return actions;
}

ShardLogActions ShardLog::OnWrite(const WriteResult& result, Instant now) {
  assert(this->phase == Phase::kWriting);
  ShardLogActions actions;
  if (const auto* committed = std::get_if<WriteCommitted>(&result)) {
    this->tail = this->writing;
    this->tail_version = committed->version;
    this->ApplyTail();
    this->phase = Phase::kReady;
    this->ResolvePending(&actions);
    if (this->tail.sealed) {
      ++this->tail_index;
      this->tail = Segment{};
      this->tail_version = 0;
      this->tail_bytes = 0;
      this->tail_attempts.clear();
    }
  } else if (std::holds_alternative<WriteNotApplied>(result)) {
    this->phase = Phase::kReady;
    this->OnStoreFailed(now, &actions);
    return actions;
  } else {
    // Conflict or unknown outcome: read back what the store holds. A write that
    // is still in flight is conditional on the version, so it cannot take
    // effect in addition to a later write of this process.
    this->phase = Phase::kTailUnknown;
    // A conflict means that another process writes to this shard, so entries
    // are missing from memory.
    const bool conflict = std::holds_alternative<WriteConflict>(result);
    this->read_to_end = this->read_to_end && !conflict;
  }
  for (ShardLogAction& action : this->Advance(now)) {
    actions.push_back(std::move(action));
  }
  return actions;
}

void ShardLog::ApplyTail() {
  this->tail_bytes = 0;
  this->tail_attempts.clear();
  for (const LedgerEntry& entry : this->tail.entries) {
    this->Apply(entry);
    this->tail_bytes += EntryBytes(entry);
  }
}

// Applies one stored entry to the state in memory. Entries are applied in chain
// order; applying one again has no effect.
void ShardLog::Apply(const LedgerEntry& entry) {
  this->tail_attempts.insert(entry.attempt);
  const auto found = this->keys.find(entry.key);
  if (const auto* claimed = std::get_if<Claimed>(&entry.event)) {
    const bool known =
        found != this->keys.end() && found->second.attempt == entry.attempt;
    if (!known) {
      this->keys[entry.key] =
          KeyState{entry.attempt, claimed->digest, entry.event};
    }
    return;
  }
  if (found != this->keys.end() && found->second.attempt == entry.attempt) {
    found->second.event = entry.event;
  }
}

// True if the entry, or one that makes it redundant, is known to be stored.
bool ShardLog::IsStored(const LedgerEntry& entry) const {
  const auto found = this->keys.find(entry.key);
  if (found == this->keys.end() || found->second.attempt != entry.attempt) {
    return false;
  }
  return std::holds_alternative<Claimed>(entry.event) ||
         !std::holds_alternative<Claimed>(found->second.event);
}

void ShardLog::ResolvePending(ShardLogActions* actions) {
  std::erase_if(this->claims, [&](PendingClaim& claim) {
    const std::string& attempt = claim.entry.attempt;
    if (this->IsStored(claim.entry)) {
      this->running.insert(attempt);
      actions->push_back(ReplyToClaim{attempt, Granted{}});
      return true;
    }
    const std::uint64_t digest = std::get<Claimed>(claim.entry.event).digest;
    if (const auto reply = this->ReplyFromMemory(claim.entry.key, digest)) {
      actions->push_back(ReplyToClaim{attempt, *reply});
      return true;
    }
    return false;
  });
  std::erase_if(this->records, [&](PendingRecord& record) {
    if (this->IsStored(record.entry)) {
      this->running.erase(record.entry.attempt);
      if (record.reply_wanted) {
        actions->push_back(ReplyToRecord{record.entry.attempt, true});
      }
      return true;
    }
    if (!record.abandoned) {
      return false;
    }
    // The abandoned claim can no longer take effect once a later entry is
    // stored: the release itself or another claim on the key. If it has taken
    // effect, the release must still be written.
    const auto found = this->keys.find(record.entry.key);
    if (found == this->keys.end()) {
      return this->tail_attempts.contains(record.entry.attempt);
    }
    return found->second.attempt != record.entry.attempt;
  });
}

void ShardLog::AnswerQueries(ShardLogActions* actions) {
  for (const PendingQuery& query : this->queries) {
    const auto found = this->keys.find(query.key);
    ClaimReply reply = Absent{};
    if (found != this->keys.end()) {
      const KeyState& state = found->second;
      if (const auto* completed = std::get_if<Completed>(&state.event)) {
        reply = *completed;
      } else if (std::holds_alternative<Claimed>(state.event)) {
        reply = this->running.contains(state.attempt) ? ClaimReply(Running{})
                                                      : ClaimReply(Unknown{});
      }
    }
    actions->push_back(ReplyToClaim{query.query, reply});
  }
  this->queries.clear();
}

std::optional<ClaimReply> ShardLog::ReplyFromMemory(
    const ClaimKey& key,
    std::uint64_t digest) const {
  const auto found = this->keys.find(key);
  if (found == this->keys.end() ||
      std::holds_alternative<Released>(found->second.event)) {
    return std::nullopt;
  }
  const KeyState& state = found->second;
  if (state.digest != digest) {
    return Mismatch{};
  }
  if (const auto* completed = std::get_if<Completed>(&state.event)) {
    return *completed;
  }
  if (this->running.contains(state.attempt)) {
    return Running{};
  }
  return Unknown{};
}

// A dispatcher that has not read the whole shard cannot distinguish a first
// attempt from one that has run elsewhere. After a conflict, entries are known
// to be missing.
Unavailable ShardLog::UnavailableFor(const ClaimKey& key) const {
  const auto found = this->keys.find(key);
  const bool is_free = found == this->keys.end() ||
                       std::holds_alternative<Released>(found->second.event);
  return {this->read_to_end && is_free};
}

// Replies to all pending claims at once. A claim whose write may still take
// effect is released as soon as the store answers again, so that the caller can
// retry with the same key.
void ShardLog::OnStoreFailed(Instant now, ShardLogActions* actions) {
  this->retry_at = now + this->settings.retry_interval;
  for (const PendingClaim& claim : this->claims) {
    actions->push_back(ReplyToClaim{claim.entry.attempt,
                                    this->UnavailableFor(claim.entry.key)});
    if (claim.may_take_effect) {
      LedgerEntry release = claim.entry;
      release.event = Released{};
      this->records.push_back({std::move(release), false, true});
    }
  }
  this->claims.clear();
  for (const PendingQuery& query : this->queries) {
    actions->push_back(
        ReplyToClaim{query.query, this->UnavailableFor(query.key)});
  }
  this->queries.clear();
  for (PendingRecord& record : this->records) {
    if (record.reply_wanted) {
      actions->push_back(ReplyToRecord{record.entry.attempt, false});
      record.reply_wanted = false;
    }
  }
}

}  // namespace chervilpass::ledger
