// Decides which requests a leaving VM still sends to backend servers.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "chervilpass/core/time.h"
#include "chervilpass/serving/request_metadata.h"
#include "chervilpass/serving/run_time_estimator.h"

namespace chervilpass::serving {

/// Settings of a ShutdownGate.
struct ShutdownGateSettings {
  RunTimeEstimatorSettings run_times;
  /// While callers cannot know that this VM leaves, a refusal costs them a
  /// retry, so that a few streams may be cut.
  EstimateCaution streams{.time_quantile = 0.5,
                          .time_margin = 1.05,
                          .length_deviations = 1.3,
                          .present_quantile = 0.5};
  /// Callers have this long to learn of the shutdown, or the lifetime of their
  /// addresses if that is shorter. Streams are not begun by estimates
  /// afterwards. Shorter than the 3 s after SIGTERM in which a stream may be
  /// begun and cut, since the signal may be noticed late.
  Duration max_notice = milliseconds(2500);
  EstimateCaution calls{.time_quantile = 0.95, .time_margin = 1.1};
  /// A call of a route without recent calls is expected to take this many times
  /// the route's response objective.
  double unknown_call_objectives = 4;
  /// Before the end of the process, requests without a response get one. Longer
  /// than a connection to a backend server may take, which cannot be cancelled.
  Duration final_response_time = milliseconds(500);
  /// The end of the process may come nearer by so much while it is slow.
  /// Streams that are begun by their deadline end in time all the same.
  Duration max_end_advance = seconds(2);
  /// Callers are told to retry at once if at least this share of the other VMs
  /// is ready.
  double min_ready_share = 0.5;
  Duration retry_delay = milliseconds(50);
  Duration restart_time = seconds(1);  ///< from the end until ready again

  bool operator==(const ShutdownGateSettings&) const = default;
};

/// What a leaving VM expects of a request, and whether it sends it.
struct ShutdownVerdict {
  std::optional<Duration> expected;      ///< time until its end, if known
  Duration left{0};                      ///< time in which it must end
  std::optional<std::string> objection;  ///< why it is not sent

  bool operator==(const ShutdownVerdict&) const = default;
};

/// Compares the expected time of requests with the time until the process ends.
/// A VM that does not leave accepts all. Not thread-safe.
class ShutdownGate {
 public:
  explicit ShutdownGate(ShutdownGateSettings settings)
      : settings(settings), run_times(settings.run_times) {}

  /// The process ends at `end`; callers keep addresses for `address_lifetime`,
  /// also those that they were given before this VM began to leave, at `start`.
  void SetEnd(Instant start, Instant end, Duration address_lifetime) {
    this->end = end;
    this->address_lifetime = address_lifetime;
    this->notice_ends =
        start + std::min(address_lifetime, this->settings.max_notice);
  }

  bool Leaving() const { return this->end.has_value(); }

  /// True once requests without a response must get one.
  bool MustRespond(Instant now) const;

  /// Whether to send a call. A call always gets a response before the end; one
  /// that is expected to end later is better sent through another VM.
  /// `objective` is the route's response objective, zero if it has none. This
  /// VM leaves.
  ShutdownVerdict JudgeCall(const std::string& route,
                            Duration objective,
                            Duration time_left,
                            Instant now) const;

  /// Whether to send a stream. A stream that has begun and outlasts the process
  /// is lost, so that one of which nothing is known is not sent. Once callers
  /// can know of the shutdown, only `time_left`, the time until its deadline,
  /// counts: a stream may exceed what its caller states, and whatever earlier
  /// ones took. `intervals` are the present times between events of the
  /// service's streams. This VM leaves.
  ShutdownVerdict JudgeStream(
      const std::string& service,
      const std::optional<GenerationSize>& size,
      Duration time_left,
      Instant now,
      const std::vector<Duration>& intervals = {}) const;

  /// The objections of JudgeCall and JudgeStream; none if this VM does not
  /// leave.
  std::optional<std::string> ObjectionToCall(const std::string& route,
                                             Duration objective,
                                             Duration time_left,
                                             Instant now) const;
  std::optional<std::string> ObjectionToStream(
      const std::string& service,
      const std::optional<GenerationSize>& size,
      Duration time_left,
      Instant now,
      const std::vector<Duration>& intervals = {}) const;

  /// When the caller of a refused request should retry: at once if it will find
  /// a ready VM; otherwise after its addresses have expired or, if no VM is
  /// ready, once this one is back.
  Duration RetryAfter(double ready_share, Instant now) const;

  RunTimeEstimator& RunTimes() { return this->run_times; }

 private:
  /// True once callers should have learnt of the shutdown from address lists.
  bool NoticeEnded(Instant now) const { return now >= this->notice_ends; }

  ShutdownGateSettings settings;
  RunTimeEstimator run_times;
  std::optional<Instant> end;
  Duration address_lifetime{0};
  Instant notice_ends{};
};

}  // namespace chervilpass::serving
