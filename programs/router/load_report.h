// Shows operators what this VM learns about full workers, lost workers and
// strikes, and how it corrects loads: metrics, and log lines up to a rate.
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
  /// Lines about strikes that other VMs have added. The VM that adds a strike
  /// logs it; with 88 VMs, 1,809 strikes led to 146,270 further lines.
  double strike_rate = 0.2;
  double strike_burst = 5;
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

  /// A strike that another VM has added is new to this one.
  void OnStrike(const quarantine::Strike& strike,
                std::uint32_t strikes,
                WallTime wall,
                Instant now);

  /// Sets the gauges.
  void Export(Instant now);

  /// Logs what has changed since the last line, once in a period.
  void LogChanges(Instant now);

 private:
  void LogCorrections(Instant now);
  void LogLosses(Instant now);

  const serving::RoutingState* routing_state;
  MetricsRegistry* metrics;
  const Logger* log;
  LoadReportSettings settings;
  TokenBucket notice_lines;
  std::uint64_t unlogged_notices = 0;  ///< since the last line
  TokenBucket strike_lines;
  std::uint64_t unlogged_strikes = 0;  ///< since the last line
  placement::LoadCorrectionCounts logged;
  Instant logged_at;
  std::size_t logged_losses = 0;
  Instant losses_logged_at;
};

}  // namespace chervilpass
