#include "chervilpass/routing/rate_scheduler.h"

#include <algorithm>

namespace chervilpass::routing {

Reservation RateScheduler::Reserve(const std::string& server,
                                   double per_second,
                                   Duration max_wait,
                                   Instant now) {
  const auto interval = duration_cast<Duration>(std::chrono::duration<double>(
      1 / std::max(per_second, this->settings.min_rate)));
  Instant& next_arrival =
      this->next_arrival.try_emplace(server, now).first->second;
  const Duration wait = std::max(
      Duration::zero(), next_arrival - this->settings.burst_time - now);
  if (wait > max_wait) {
    return {false, wait};
  }
  next_arrival = std::max(next_arrival, now) + interval;
  return {true, wait};
}

void RateScheduler::Expire(Instant now) {
  std::erase_if(this->next_arrival,
                [now](const auto& entry) { return entry.second < now; });
}

}  // namespace chervilpass::routing
