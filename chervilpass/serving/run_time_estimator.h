// Estimates how long a request will take, from the requests that were served
// lately.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chervilpass/core/time.h"
#include "chervilpass/serving/request_metadata.h"

namespace chervilpass::serving {

/// Settings of a RunTimeEstimator.
struct RunTimeEstimatorSettings {
  std::size_t timed_runs = 64;      ///< latest runs that give times
  std::size_t sized_runs = 256;     ///< latest streams that give lengths
  std::size_t min_timed_runs = 8;   ///< without them there is no estimate
  std::size_t min_sized_runs = 64;  ///< before, answers may reach their limit
  std::size_t min_in_progress = 4;  ///< streams that show the present pace

  bool operator==(const RunTimeEstimatorSettings&) const = default;
};

/// How far an estimate lies above the usual time.
struct EstimateCaution {
  double time_quantile = 0;  ///< of the times of recent runs
  double time_margin = 1;    ///< factor on that quantile
  /// Bound of an answer's length by its caller's estimate, in standard
  /// deviations of the logarithm of their ratio.
  double length_deviations = 0;
  /// Of the present times between events. Lower, since a single stream may
  /// have waited for another worker.
  double present_quantile = 0;

  bool operator==(const EstimateCaution&) const = default;
};

/// The time between the latest events of a stream in progress. Not thread-safe.
class EventPace {
 public:
  /// `events` have come, `elapsed` after the ones before.
  void OnEvents(std::uint64_t events, Duration elapsed);

  /// The time between two events, `silence` after the latest; empty as long as
  /// there are too few.
  std::optional<Duration> Interval(Duration silence) const;

 private:
  std::uint64_t count = 0;
  // Weighted sums over the latest events.
  double events = 0;
  double seconds = 0;
};

/// A stream that was served to its end.
struct StreamRun {
  Duration first_event{0};  ///< from the arrival of the request
  Duration elapsed{0};      ///< from the arrival of the request
  std::uint64_t events = 0;
  GenerationSize size;

  bool operator==(const StreamRun&) const = default;
};

/// Upper estimates of run times. Streams of one service share their pace, calls
/// are kept apart by route. Not thread-safe. Invariant: the number of runs and
/// of names that are kept is bounded.
class RunTimeEstimator {
 public:
  explicit RunTimeEstimator(RunTimeEstimatorSettings settings)
      : settings(settings) {}

  /// Records a call that got its response.
  void OnCallEnded(const std::string& route, Duration elapsed);

  /// Records a stream that was served.
  void OnStreamEnded(const std::string& service, const StreamRun& run);

  /// Time of a call on the route; empty if too few are known.
  std::optional<Duration> CallTime(const std::string& route,
                                   const EstimateCaution& caution) const;

  /// Time of a stream of this size; empty if too few are known. `intervals`
  /// are the present times between events of the service's streams in progress:
  /// runs that have ended do not show yet that workers have slowed down.
  std::optional<Duration> StreamTime(
      const std::string& service,
      const GenerationSize& size,
      const EstimateCaution& caution,
      const std::vector<Duration>& intervals = {}) const;

 private:
  using Samples = std::deque<double>;

  struct Streams {
    Samples first_event_seconds;
    Samples seconds_per_event;
    Samples events_per_limit;     ///< events by the limit of the answer
    Samples log_events_per_hint;  ///< logarithm of events by the estimate
  };

  double MaxEvents(const Streams& streams,
                   const GenerationSize& size,
                   const EstimateCaution& caution) const;

  RunTimeEstimatorSettings settings;
  std::map<std::string, Samples> calls;    ///< seconds, by route
  std::map<std::string, Streams> streams;  ///< by service
};

}  // namespace chervilpass::serving
