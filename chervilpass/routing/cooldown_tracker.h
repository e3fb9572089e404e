// Tracks workers that are skipped for a limited time after requests to them
// failed.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "chervilpass/core/time.h"

namespace chervilpass::routing {

/// Why a worker is in cooldown.
enum class CooldownReason {
  kUnreachable,  ///< Refuses connections, does not answer or stalls.
  kFull,         ///< Refused for lack of capacity.
  kNotHolding,   ///< Does not hold the layers it is registered with.
  kRefusing,     ///< Keeps refusing despite free capacity: is leaving.
  kSuspected,    ///< A peer has found it unreachable.
};

/// Settings of a CooldownTracker.
struct CooldownTrackerSettings {
  /// For an unreachable worker; doubles with each consecutive cooldown. A
  /// crashed worker is registered again, as a new incarnation, after some
  /// seconds.
  Duration unreachable_cooldown = milliseconds(1500);
  Duration max_unreachable_cooldown = seconds(12);
  /// For a full worker: its requests end every few tens of milliseconds.
  /// Doubles while the worker keeps refusing, for example while it is dropping
  /// its layers.
  Duration full_cooldown = milliseconds(250);
  Duration max_full_cooldown = milliseconds(2000);
  /// A refusal within this time after the end of a cooldown is consecutive to
  /// it.
  Duration full_repeat_window = milliseconds(1000);
  /// Long enough for the registration of the worker to be up to date again.
  Duration not_holding_cooldown = milliseconds(1200);
  /// For a worker that accepts no new work; doubles with each consecutive
  /// cooldown. The worker exits or its registration changes within seconds.
  Duration refusing_cooldown = milliseconds(1000);
  Duration max_refusing_cooldown = seconds(4);

  /// For a worker that a peer has found unreachable.
  Duration suspected_cooldown = milliseconds(1200);
  /// An unreachable or suspected worker stays out for so much longer at most,
  /// until it has answered a probe. Zero: no probe is needed.
  Duration proof_time{0};

  bool operator==(const CooldownTrackerSettings&) const = default;
};

/// Not thread-safe. Keyed by incarnation, so that a restarted worker has no
/// cooldowns.
class CooldownTracker {
 public:
  explicit CooldownTracker(CooldownTrackerSettings settings)
      : settings(settings) {}

  void SetProofTime(Duration proof_time) {
    this->settings.proof_time = proof_time;
  }

  /// Returns false if a cooldown for that reason is already running.
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
      case CooldownReason::kSuspected:
        return Extend(&record.suspected, now, this->settings.suspected_cooldown,
                      this->settings.suspected_cooldown, Duration::zero());
    }
    return false;
  }

  /// True if the worker's cooldown as unreachable or suspected has ended, and
  /// it has to answer a probe before it gets requests again.
  bool NeedsProof(const std::string& incarnation, Instant now) const {
    const auto found = this->records.find(incarnation);
    if (found == this->records.end()) {
      return false;
    }
    const Instant until = found->second.LostUntil();
    return until != Instant{} && now >= until &&
           now < until + this->settings.proof_time;
  }

  /// Incarnations of which NeedsProof is true.
  std::vector<std::string> ToProve(Instant now) const {
    std::vector<std::string> incarnations;
    for (const auto& [incarnation, record] : this->records) {
      if (this->NeedsProof(incarnation, now)) {
        incarnations.push_back(incarnation);
      }
    }
    return incarnations;
  }

  /// True if the worker has refused for lack of capacity more than once in a
  /// row.
  bool RefusedRepeatedly(const std::string& incarnation) const {
    const auto found = this->records.find(incarnation);
    return found != this->records.end() && found->second.full.consecutive > 1;
  }

  /// Another VM has found the worker full: starts or extends its cooldown for
  /// `length`, at most max_full_cooldown. Does not count as a refusal.
  void OnFullElsewhere(const std::string& incarnation,
                       Duration length,
                       Instant now) {
    Instant& until = this->records[incarnation].full_elsewhere;
    until = std::max(until,
                     now + std::min(length, this->settings.max_full_cooldown));
  }

  /// Time until the cooldown for lack of capacity ends; zero if there is none.
  Duration FullLeft(const std::string& incarnation, Instant now) const {
    const auto found = this->records.find(incarnation);
    if (found == this->records.end()) {
      return Duration::zero();
    }
    const Record& record = found->second;
    return std::max(
        Duration::zero(),
        Duration(std::max(record.full.until, record.full_elsewhere) - now));
  }

  /// Ends the cooldowns after refusals: the worker holds other layers now, so
  /// earlier refusals do not apply.
  void ClearRefusals(const std::string& incarnation) {
    const auto found = this->records.find(incarnation);
    if (found != this->records.end()) {
      found->second.full = Cooldown{};
      found->second.full_elsewhere = Instant{};
      found->second.not_holding = Cooldown{};
      found->second.refusing = Cooldown{};
    }
  }

  /// Ends the cooldown as unreachable: the worker has just completed a request.
  /// The other cooldowns stay, since that request may have started before the
  /// worker became full.
  void ClearUnreachable(const std::string& incarnation) {
    const auto found = this->records.find(incarnation);
    if (found != this->records.end()) {
      found->second.unreachable = Cooldown{};
      found->second.suspected = Cooldown{};
    }
  }

  /// Ends all cooldowns as unreachable.
  void ClearAllUnreachable() {
    for (auto& [incarnation, record] : this->records) {
      record.unreachable = Cooldown{};
      record.suspected = Cooldown{};
    }
  }

  /// True if no worker is in cooldown.
  bool Empty() const { return this->records.empty(); }

  bool InCooldown(const std::string& incarnation, Instant now) const {
    const auto found = this->records.find(incarnation);
    return found != this->records.end() &&
           (now < found->second.Until() || this->NeedsProof(incarnation, now));
  }

  /// True if the worker is in cooldown as unreachable.
  bool IsUnreachable(const std::string& incarnation, Instant now) const {
    const auto found = this->records.find(incarnation);
    return found != this->records.end() &&
           now < found->second.unreachable.until;
  }

  /// True if the worker is in cooldown because it keeps refusing.
  bool IsRefusing(const std::string& incarnation, Instant now) const {
    const auto found = this->records.find(incarnation);
    return found != this->records.end() && now < found->second.refusing.until;
  }

  /// Deletes records whose cooldowns ended more than max_unreachable_cooldown
  /// ago.
  void Expire(Instant now) {
    std::erase_if(this->records, [&](const auto& entry) {
      return now >
             entry.second.Until() + this->settings.max_unreachable_cooldown;
    });
  }

 private:
  /// The end of a cooldown and the number of consecutive ones up to it.
  struct Cooldown {
    Instant until{};
    std::uint32_t consecutive = 0;
  };

  struct Record {
    Cooldown unreachable;
    Cooldown full;
    Cooldown not_holding;
    Cooldown refusing;
    Cooldown suspected;
    Instant full_elsewhere{};  ///< end of the cooldown that other VMs state

    Instant Until() const {
      return std::max({this->LostUntil(), this->full.until,
                       this->full_elsewhere, this->not_holding.until,
                       this->refusing.until});
    }

    Instant LostUntil() const {
      return std::max(this->unreachable.until, this->suspected.until);
    }
  };

  // Each consecutive cooldown is twice as long as the one before, up to
  // `max_length`. One that starts within `repeat_window` after the end of the
  // one before is consecutive.
  static bool Extend(Cooldown* cooldown,
                     Instant now,
                     Duration base_length,
                     Duration max_length,
                     Duration repeat_window) {
    if (now < cooldown->until) {
      return false;
    }
    const bool is_consecutive =
        cooldown->consecutive > 0 && now < cooldown->until + repeat_window;
    cooldown->consecutive = is_consecutive ? cooldown->consecutive + 1 : 1;
    Duration length = base_length;
    for (std::uint32_t i = 1; i < cooldown->consecutive && length < max_length;
         ++i) {
      length *= 2;
    }
    cooldown->until = now + std::min(length, max_length);
    return true;
  }

  CooldownTrackerSettings settings;
  std::map<std::string, Record> records;
};

}  // namespace chervilpass::routing
