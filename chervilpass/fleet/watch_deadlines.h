// When the store has to answer the watches of a VM, and as of when its answers
// are current. Tells a store that is out of reach before a call to it fails.
#pragma once

#include "chervilpass/core/time.h"
#include "platform/store_client.h"

namespace chervilpass::fleet {

/// Settings of WatchDeadlines.
struct WatchDeadlineSettings {
  /// Longest waits of the watches.
  Duration config_wait = milliseconds(2000);
  Duration workers_wait = milliseconds(1000);
  /// An answer that is later than this after its watch has ended, or later than
  /// that by the lateness of the last one, is overdue.
  Duration overdue_margin = milliseconds(300);
  /// Greatest lateness that counts.
  Duration max_lateness = milliseconds(400);

  bool operator==(const WatchDeadlineSettings&) const = default;
};

/// Not thread-safe. Invariant: the lateness is at most `max_lateness`.
class WatchDeadlines {
 public:
  explicit WatchDeadlines(WatchDeadlineSettings settings)
      : settings(settings) {}

  /// No answer counts until both watches have got one.
  void Reset(Instant now);

  /// The time as of which an answer that is received at `now` is current, if
  /// its watch ended at `end`. A process that stood still reads old answers.
  Instant CurrentAt(Instant end, Instant now) const;

  /// A watch that ended at `end` without a change is answered at `now`. A slow
  /// store answers later than its watch ends, and is not taken for one that is
  /// out of reach.
  void MeasureLateness(Instant end, Instant now);

  /// The next watch of a kind begins at `begin`, after an answer.
  void OnAnswer(platform::StoreKind kind, Instant begin);

  /// True if an answer of the store is overdue.
  bool IsOverdue(Instant now) const { return now > this->NextDue(); }

  /// Until when the next answer arrives if the store is in reach.
  Instant NextDue() const;

 private:
  WatchDeadlineSettings settings;
  Instant config_due{};
  Instant workers_due{};
  /// How much later than its wait the last watch without a change was answered.
  Duration lateness{0};
};

}  // namespace chervilpass::fleet
