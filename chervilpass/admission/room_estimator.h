// Estimates when a service has capacity again for a request of some rank,
// from the streams that this VM has in progress and has refused.
#pragma once

#include <deque>
#include <utility>

#include "chervilpass/admission/priority_rank.h"
#include "chervilpass/core/time.h"

namespace chervilpass::admission {

/// Settings of a RoomEstimator.
struct RoomEstimatorSettings {
  Duration refusal_window = seconds(2);  ///< refusals that count
  std::size_t max_refusals = 1024;
  Duration min_wait = milliseconds(300);
  Duration min_spread = milliseconds(300);
  Duration max_wait = seconds(5);  ///< with the spread
  /// Mean duration of a stream while none has ended.
  Duration initial_duration = seconds(2);
  /// Weight of the latest duration in the mean: an average over some 20
  /// streams.
  double duration_weight = 0.05;

  bool operator==(const RoomEstimatorSettings&) const = default;
};

/// What the time of a retry depends on.
struct RoomState {
  /// Streams of this VM in progress: their ends free capacity.
  double streams = 0;
  Duration mean_duration{0};
  double refused_before = 0;  ///< lately, of more urgent ranks
  double refused_alike = 0;   ///< lately, of the same rank
  /// Share of all capacity that the request leaves to more urgent ones.
  double headroom = 0;

  bool operator==(const RoomState&) const = default;
};

/// When a caller should retry, for `draw` uniform in [0, 1). Callers choose VMs
/// at random, so all VMs have as many streams and refusals as this one on
/// average: those that all VMs have refused are spread over the time in which
/// the ends of all streams free capacity for them, in the order of their ranks.
Duration RetryAfterRoom(const RoomState& state,
                        const RoomEstimatorSettings& settings,
                        double draw);

/// Keeps the state of one service. Not thread-safe.
class RoomEstimator {
 public:
  explicit RoomEstimator(RoomEstimatorSettings settings = {})
      : settings(settings), mean_duration(settings.initial_duration) {}

  void OnStreamBegun() { ++this->streams; }
  void OnStreamEnded() { this->streams -= this->streams > 0 ? 1 : 0; }

  /// A stream was completed after `duration` on its workers.
  void OnCompleted(Duration duration);

  /// A request was refused for lack of capacity.
  void OnRefused(const PriorityRank& rank, Instant now);

  /// `headroom` is the share of capacity that the rank leaves to others.
  RoomState StateFor(const PriorityRank& rank,
                     double headroom,
                     Instant now) const;

  Duration RetryAfter(const PriorityRank& rank,
                      double headroom,
                      Instant now,
                      double draw) const {
    return RetryAfterRoom(this->StateFor(rank, headroom, now), this->settings,
                          draw);
  }

 private:
  RoomEstimatorSettings settings;
  Duration mean_duration;
  std::size_t streams = 0;
  /// Of recent refusals, with their ranks.
  std::deque<std::pair<Instant, PriorityRank>> refusals;
};

}  // namespace chervilpass::admission
