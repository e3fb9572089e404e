// Decides when a stream that has lost a worker goes on elsewhere. Workers that
// end together leave many streams at once, and the workers that take over read
// the tokens of all of them again: who comes first is back within its pause
// objective.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

#include "chervilpass/core/time.h"

namespace chervilpass::routing {

/// Settings of SilenceBeforeRecovery.
struct RecoveryScheduleSettings {
  /// Silence, in smoothed event intervals, that confirms that a worker of the
  /// path is gone. Above 1: an event may be on its way.
  double confirming_intervals = 1.25;
  /// Shortest silence that confirms it.
  Duration min_silence = milliseconds(40);
  /// A stream goes on so much later for each more urgent one that waits at this
  /// VM: about the time in which a worker reads the tokens of one stream.
  Duration spacing = milliseconds(15);
  /// Limit of that delay. Callers leave after two seconds without an event.
  Duration max_delay = milliseconds(150);

  bool operator==(const RecoveryScheduleSettings&) const = default;
};

/// A stream with a lost worker.
struct LostStream {
  Duration smoothed_event_interval{0};
  /// The worker is known to have ended; otherwise it has not answered.
  bool ended = false;
  /// Streams of this VM with lost workers and higher priority.
  std::size_t more_urgent = 0;

  auto operator<=>(const LostStream&) const = default;
};

/// Returns how long after its last event the stream goes on elsewhere.
Duration SilenceBeforeRecovery(const LostStream& stream,
                               const RecoveryScheduleSettings& settings);

}  // namespace chervilpass::routing
