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
enum class AvoidReason {
  kUnreachable,  ///< No connection, no answer, or requests stall there.
  kFull,         ///< It refused for want of room.
  kNotHolding,   ///< It does not hold the layers it was said to hold.
};

/// Describes an AvoidBook.
struct AvoidBookSettings {
  /// For an unreachable worker; doubles with each time in a row. A worker that
  /// crashed is back after some seconds under a new registration.
  Duration unreachable = milliseconds(1500);
  Duration unreachable_longest = seconds(12);
  /// Requests of a full worker end every few tens of milliseconds.
  Duration full = milliseconds(250);
  /// Until the registration of the worker has caught up.
  Duration not_holding = milliseconds(1200);

  bool operator==(const AvoidBookSettings&) const = default;
};

/// Not thread-safe. Keyed by incarnation, so that a restarted worker starts
/// with a clean record.
class AvoidBook {
 public:
  explicit AvoidBook(AvoidBookSettings settings) : settings(settings) {}

  /// True if that is news.
  bool Avoid(const std::string& incarnation, AvoidReason reason, Instant now) {
    Record& record = this->records[incarnation];
    const bool news = record.until <= now;
    Duration length = this->settings.full;
    if (reason == AvoidReason::kUnreachable) {
      length = this->settings.unreachable;
      for (std::uint32_t i = 0;
           i < record.times && length < this->settings.unreachable_longest;
           ++i) {
        length *= 2;
      }
      length = std::min(length, this->settings.unreachable_longest);
      record.times += news ? 1 : 0;
      record.unreachable_until =
          std::max(record.unreachable_until, now + length);
    } else if (reason == AvoidReason::kNotHolding) {
      length = this->settings.not_holding;
    }
    record.until = std::max(record.until, now + length);
    return news;
  }

  /// The worker has just carried a request to its end.
  void Clear(const std::string& incarnation) {
    this->records.erase(incarnation);
  }

  bool IsAvoided(const std::string& incarnation, Instant now) const {
    const auto found = this->records.find(incarnation);
    return found != this->records.end() && now < found->second.until;
  }

  /// True if it is avoided as unreachable.
  bool IsUnreachable(const std::string& incarnation, Instant now) const {
    const auto found = this->records.find(incarnation);
    return found != this->records.end() &&
           now < found->second.unreachable_until;
  }

  /// Forgets records that have been over for long.
  void Expire(Instant now) {
    std::erase_if(this->records, [&](const auto& entry) {
      return now > entry.second.until + this->settings.unreachable_longest;
    });
  }

 private:
  struct Record {
    Instant until{};
    Instant unreachable_until{};
    std::uint32_t times = 0;  ///< unreachable, in a row
  };

  AvoidBookSettings settings;
  std::map<std::string, Record> records;
};

}  // namespace chervilpass::routing
