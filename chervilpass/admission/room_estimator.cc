#include "chervilpass/admission/room_estimator.h"

#include <algorithm>

namespace chervilpass::admission {

Duration RetryAfterRoom(const RoomState& state,
                        const RoomEstimatorSettings& settings,
                        double draw) {
  const double duration = ToSeconds(state.mean_duration);
  const double seconds_per_end = duration / std::max(1.0, state.streams);
  const double wait = std::max(
      ToSeconds(settings.min_wait),
      state.headroom * duration + state.refused_before * seconds_per_end);
  const double spread = std::max(ToSeconds(settings.min_spread),
                                 state.refused_alike * seconds_per_end);
  // A limited wait is still spread, so that callers do not return at once.
  const double max_wait = ToSeconds(settings.max_wait);
  const double limited_spread = std::min(spread, max_wait);
  return duration_cast<Duration>(std::chrono::duration<double>(
      std::min(wait, max_wait - std::min(limited_spread, max_wait / 2)) +
      draw * std::min(limited_spread, max_wait / 2)));
}

void RoomEstimator::OnCompleted(Duration duration) {
  this->mean_duration += duration_cast<Duration>(
      this->settings.duration_weight * (duration - this->mean_duration));
}

void RoomEstimator::OnRefused(const PriorityRank& rank, Instant now) {
  while (!this->refusals.empty() &&
         (now - this->refusals.front().first >= this->settings.refusal_window ||
          this->refusals.size() >= this->settings.max_refusals)) {
    this->refusals.pop_front();
  }
  this->refusals.emplace_back(now, rank);
}

RoomState RoomEstimator::StateFor(const PriorityRank& rank,
                                  double headroom,
                                  Instant now) const {
  RoomState state;
  state.streams = static_cast<double>(this->streams);
  state.mean_duration = this->mean_duration;
  state.headroom = headroom;
  for (const auto& [at, refused] : this->refusals) {
    if (now - at < this->settings.refusal_window) {
      state.refused_before += refused < rank ? 1 : 0;
      state.refused_alike += refused == rank ? 1 : 0;
    }
  }
  return state;
}

}  // namespace chervilpass::admission
