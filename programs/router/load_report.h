// Shows operators what this VM knows about full workers and how it corrects
// loads: metrics, and log lines up to a rate.
#pragma once

#include <string>

#include "chervilpass/core/log.h"
#include "chervilpass/core/metrics.h"
#include "chervilpass/core/token_bucket.h"
#include "chervilpass/serving/routing_state.h"

namespace chervilpass {

/// Settings of a LoadReport.
struct LoadReportSettings {
  /// Lines about full workers that other VMs report: per second, and at once.
  double notice_rate = 0.5;
  double notice_burst = 10;
  Duration period = seconds(30);  ///< between two lines about corrections

  bool operator==(const LoadReportSettings&) const = default;
};

/// Fiber thread only. The constructor's pointers must outlive it.
class LoadReport {
 public:
  LoadReport(const serving::RoutingState* routing_state,
             MetricsRegistry* metrics,
             const Logger* log,
             LoadReportSettings settings,
             Instant now);

  /// Another VM has reported that a worker is full for `left`.
  void OnFullLearned(const std::string& worker,
                     const std::string& peer,
                     Duration left,
                     Instant now);

  /// Sets the gauges.
  void Export(Instant now);

  /// Logs what has changed since the last line, once in a period.
  void LogChanges(Instant now);

 private:
  const serving::RoutingState* routing_state;
  MetricsRegistry* metrics;
  const Logger* log;
  LoadReportSettings settings;
  TokenBucket notice_lines;
  std::uint64_t unlogged_notices = 0;  ///< since the last line
  placement::LoadCorrectionCounts logged;
  Instant logged_at;
};

}  // namespace chervilpass
