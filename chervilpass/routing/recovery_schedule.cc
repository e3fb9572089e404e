#include "chervilpass/routing/recovery_schedule.h"

#include <algorithm>

namespace chervilpass::routing {

Duration SilenceBeforeRecovery(const LostStream& stream,
                               const RecoveryScheduleSettings& settings) {
  const double intervals = stream.ended
                               ? std::min(1.0, settings.confirming_intervals)
                               : settings.confirming_intervals;
  const Duration confirmed = std::max(
      settings.min_silence,
      duration_cast<Duration>(intervals * stream.smoothed_event_interval));
  const Duration delay = std::min(
      settings.max_delay,
      settings.spacing *
          static_cast<int>(std::min<std::size_t>(stream.more_urgent, 1000)));
  return confirmed + delay;
}

}  // namespace chervilpass::routing
