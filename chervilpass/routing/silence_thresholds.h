// Decides after how much silence of a stream its workers are probed, and a run
// whose worker has ended is given up. Without I/O.
#pragma once

#include <algorithm>

#include "chervilpass/core/time.h"
#include "chervilpass/core/token_bucket.h"

namespace chervilpass::routing {

/// Settings of SilenceThresholds.
struct SilenceThresholdsSettings {
  /// True if streams with a pause objective are treated by it.
  bool by_objective = false;
  /// Silence after which the workers of any stream are probed. Events come
  /// every few tens of milliseconds; routes allow intervals of some 200 ms,
  /// half of which a move to other workers takes.
  Duration probe_threshold = milliseconds(90);
  /// For streams with slow events, silence counts only from this multiple of
  /// the smoothed event interval.
  double stall_interval_factor = 2.5;
  /// The same two for early probes of streams with a pause objective: a share
  /// of the objective, and a multiple of the interval. A pass of a worker that
  /// also prefills takes 1.5 times as long as one that does not.
  double early_objective_share = 0.2;
  double early_interval_factor = 1.6;
  Duration min_early_threshold = milliseconds(40);
  /// Multiple of the interval after which a run is given up whose worker this
  /// VM has seen to have ended: its next event is overdue.
  double ended_interval_factor = 1;
  Duration min_ended_silence = milliseconds(20);
  /// Streams whose workers are probed early, per second and at once. A probe is
  /// a report of the worker, 2 to 4 kB.
  double early_probes_per_second = 10;
  double early_probe_burst = 10;

  bool operator==(const SilenceThresholdsSettings&) const = default;
};

/// What matters of a stream.
struct StreamSilence {
  Duration silence{0};
  Duration event_interval{0};   ///< smoothed
  Duration pause_objective{0};  ///< of its route; zero: none
  bool may_repeat = false;      ///< another run may follow
  bool expects_event = false;   ///< its first event has come

  bool operator==(const StreamSilence&) const = default;
};

/// Not thread-safe.
/// Invariant: no stream is treated later than without `by_objective`, and no
/// run is given up earlier without evidence that its worker has ended.
class SilenceThresholds {
 public:
  SilenceThresholds(SilenceThresholdsSettings settings, Instant now)
      : settings(settings),
        early_probes(settings.early_probes_per_second,
                     settings.early_probe_burst,
                     now) {}

  /// True if the silence counts: workers are probed, and the stream is moved if
  /// one of them is unreachable.
  bool Counts(const StreamSilence& stream) const {
    return stream.silence >=
           std::max(Scaled(this->settings.stall_interval_factor,
                           stream.event_interval),
                    this->settings.probe_threshold);
  }

  /// True if the workers should be probed although the silence does not count
  /// yet.
  bool WantsEarlyProbe(const StreamSilence& stream) const {
    const Duration threshold = std::max(
        {Scaled(this->settings.early_interval_factor, stream.event_interval),
         Scaled(this->settings.early_objective_share, stream.pause_objective),
         this->settings.min_early_threshold});
    return this->ByObjective(stream) && stream.silence >= threshold;
  }

  /// Takes one from the limit of early probes; false if none is left.
  bool TakeEarlyProbe(Instant now) { return this->early_probes.TryTake(now); }

  /// True if a run is to be given up now if one of its workers has ended.
  bool EndedRunIsGivenUp(const StreamSilence& stream) const {
    return this->ByObjective(stream) &&
           stream.silence >=
               std::max(Scaled(this->settings.ended_interval_factor,
                               stream.event_interval),
                        this->settings.min_ended_silence);
  }

 private:
  static Duration Scaled(double factor, Duration duration) {
    return duration_cast<Duration>(factor * duration);
  }

  bool ByObjective(const StreamSilence& stream) const {
    return this->settings.by_objective && stream.expects_event &&
           stream.may_repeat && stream.pause_objective > Duration::zero();
  }

  SilenceThresholdsSettings settings;
  TokenBucket early_probes;
};

}  // namespace chervilpass::routing
