// Keeps an activity to a share of its thread's time.
#pragma once

#include <algorithm>
#include <optional>

#include "chervilpass/core/time.h"

namespace chervilpass {

/// Settings of a TimeShare.
struct TimeShareSettings {
  double share = 0.25;  ///< of the thread's time
  /// A turn that takes longer was interrupted.
  Duration max_turn = milliseconds(10);

  bool operator==(const TimeShareSettings&) const = default;
};

/// Gives the turns of an activity times at which they may begin. Each is spaced
/// from the one before by the latest duration of a turn, divided by the share.
/// Not thread-safe.
class TimeShare {
 public:
  explicit TimeShare(const TimeShareSettings& settings) : settings(settings) {}

  /// Reserves the next turn; returns when it may begin, not before `now`. Empty
  /// if that would be after `latest`.
  std::optional<Instant> Reserve(Instant now, Instant latest) {
    const Instant begin = std::max(now, this->next);
    if (begin > latest) {
      return std::nullopt;
    }
    this->next = begin + this->spacing;
    return begin;
  }

  /// Records how long a turn took.
  void OnTurn(Duration elapsed) {
    this->spacing = duration_cast<Duration>(
        std::min(elapsed, this->settings.max_turn) / this->settings.share);
  }

 private:
  TimeShareSettings settings;
  Instant next{};
  Duration spacing{0};
};

}  // namespace chervilpass
