// Workers that requests keep away from for a while, because of what earlier
// requests met there.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include "chervilpass/core/time.h"

namespace chervilpass::routing {

/// Why a worker is avoided.
enum class CooldownReason {
  kUnreachable,  ///< No connection, no answer, or requests stall there.
  kFull,         ///< It refused for want of room.
  kNotHolding,   ///< It does not hold the layers it was said to hold.
  kRefusing,     ///< It goes on refusing though it has room: it is leaving.
};

/// Describes a CooldownTracker.
struct CooldownTrackerSettings {
  /// For an unreachable worker; doubles with each time in a row. A worker that
  /// crashed is back after some seconds under a new registration.
  Duration unreachable_cooldown = milliseconds(1500);
  Duration max_unreachable_cooldown = seconds(12);
  /// Requests of a full worker end every few tens of milliseconds; doubles
  /// while it goes on refusing, as a worker does that gives its layers up.
  Duration full_cooldown = milliseconds(250);
  Duration max_full_cooldown = milliseconds(2000);
  /// A refusal this soon after the last time was over is one more in a row.
  Duration full_repeat_window = milliseconds(1000);
  /// Until the registration of the worker has caught up.
  Duration not_holding_cooldown = milliseconds(1200);
  /// For a worker that takes no new work; doubles with each time in a row. It
  /// ends some seconds later, or its registration changes.
  Duration refusing_cooldown = milliseconds(1000);
  Duration max_refusing_cooldown = seconds(4);

  bool operator==(const CooldownTrackerSettings&) const = default;
};

/// Not thread-safe. Keyed by incarnation, so that a restarted worker starts
/// with a clean record.
class CooldownTracker {
 public:
  explicit CooldownTracker(CooldownTrackerSettings settings)
      : settings(settings) {}

  /// True if that is news.
  bool StartCooldown(const std::string& incarnation,
                     CooldownReason reason,
                     Instant now) {
    Record& record = this->records[incarnation];
    switch (reason) {
      case CooldownReason::kUnreachable:
        return Extend(&record.unreachable, now,
                      this->settings.unreachable_cooldown,
                      this->settings.max_unreachable_cooldown,
                      this->settings.max_unreachable_cooldown);
      case CooldownReason::kFull:
        return Extend(&record.full, now, this->settings.full_cooldown,
                      this->settings.max_full_cooldown,
                      this->settings.full_repeat_window);
      case CooldownReason::kNotHolding:
        return Extend(&record.not_holding, now,
                      this->settings.not_holding_cooldown,
                      this->settings.not_holding_cooldown, Duration::zero());
      case CooldownReason::kRefusing:
        return Extend(&record.refusing, now, this->settings.refusing_cooldown,
                      this->settings.max_refusing_cooldown,
                      this->settings.max_refusing_cooldown);
    }
    return false;
  }

  /// True if it has refused for want of room more than once in a row.
  bool RefusedRepeatedly(const std::string& incarnation) const {
    const auto found = this->records.find(incarnation);
    return found != this->records.end() && found->second.full.times > 1;
  }

  /// It holds other layers than before: earlier refusals say nothing.
  void ClearRefusals(const std::string& incarnation) {
    const auto found = this->records.find(incarnation);
    if (found != this->records.end()) {
      found->second.full = Span{};
      found->second.not_holding = Span{};
      found->second.refusing = Span{};
    }
  }

  /// The worker has just carried a request to its end: it can be reached. That
  /// request may have begun before the worker became full.
  void Clear(const std::string& incarnation) {
    const auto found = this->records.find(incarnation);
    if (found != this->records.end()) {
      found->second.unreachable = Span{};
    }
  }

  bool InCooldown(const std::string& incarnation, Instant now) const {
    const auto found = this->records.find(incarnation);
    return found != this->records.end() && now < found->second.Until();
  }

  /// True if it is avoided as unreachable.
  bool IsUnreachable(const std::string& incarnation, Instant now) const {
    const auto found = this->records.find(incarnation);
    return found != this->records.end() &&
           now < found->second.unreachable.until;
  }

  /// True if it is avoided as one that goes on refusing.
  bool IsRefusing(const std::string& incarnation, Instant now) const {
    const auto found = this->records.find(incarnation);
    return found != this->records.end() && now < found->second.refusing.until;
  }

  /// Forgets records that have been over for long.
  void Expire(Instant now) {
    std::erase_if(this->records, [&](const auto& entry) {
      return now >
             entry.second.Until() + this->settings.max_unreachable_cooldown;
    });
  }

 private:
  /// A time of avoidance, and how many there were in a row.
  struct Span {
    Instant until{};
    std::uint32_t times = 0;
  };

  struct Record {
    Span unreachable;
    Span full;
    Span not_holding;
    Span refusing;

    Instant Until() const {
      return std::max({this->unreachable.until, this->full.until,
                       this->not_holding.until, this->refusing.until});
    }
  };

  // Each span in a row is twice as long as the last one, up to `longest`. One
  // that begins within `memory` after the end of the last is in a row with it.
  static bool Extend(Span* span,
                     Instant now,
                     Duration first,
                     Duration longest,
                     Duration memory) {
    if (now < span->until) {
      return false;
    }
    const bool in_a_row = span->times > 0 && now < span->until + memory;
    span->times = in_a_row ? span->times + 1 : 1;
    Duration length = first;
    for (std::uint32_t i = 1; i < span->times && length < longest; ++i) {
      length *= 2;
    }
    span->until = now + std::min(length, longest);
    return true;
  }

  CooldownTrackerSettings settings;
  std::map<std::string, Record> records;
};

}  // namespace chervilpass::routing
