// Health of the workers of a cell: outlier ejection that always leaves some
// workers, and estimates of the step time including the link delay.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "chervilpass/core/time.h"

namespace chervilpass::routing {

/// Settings of a WorkerHealth.
struct WorkerHealthSettings {
  std::uint32_t failures_to_eject = 3;  ///< in a row
  Duration base_ejection_time = milliseconds(500);
  Duration max_ejection_time = seconds(15);
  double slow_factor = 4;           ///< times the median step time
  std::uint32_t slow_samples = 20;  ///< before a worker can count as slow
  double max_ejected_share = 0.5;   ///< of the workers of a stage
  double smoothing = 0.1;           ///< weight of a new sample

  bool operator==(const WorkerHealthSettings&) const = default;
};

/// Tracks workers by id. Not thread-safe.
/// Invariant: of the workers passed to `Usable`, at most max_ejected_share is
/// left out, apart from ejected workers that refused the connection.
class WorkerHealth {
 public:
  explicit WorkerHealth(WorkerHealthSettings settings) : settings(settings) {}

  /// The worker answered a step after `elapsed`.
  void OnSuccess(const std::string& worker, Duration elapsed, Instant now);

  /// A step failed or timed out.
  void OnFailure(const std::string& worker, Instant now);

  /// The worker refused the connection: nothing runs there now.
  void OnRefusedConnection(const std::string& worker, Instant now);

  /// Ends the ejections of workers that refused connections.
  void ClearRefusedConnections();

  /// Smoothed time from sending a step to its answer; 0 if unknown.
  Duration StepTime(const std::string& worker) const;

  /// `workers` without ejected and slow ones. If that leaves out more than
  /// max_ejected_share, those whose ejection ends first are included again.
  std::vector<std::string> Usable(const std::vector<std::string>& workers,
                                  Instant now) const;

  /// True if the worker is ejected now.
  bool IsEjected(const std::string& worker, Instant now) const;

 private:
  struct Record {
    std::uint32_t failures = 0;   ///< in a row
    std::uint32_t ejections = 0;  ///< in a row
    Instant ejected_until{};
    bool unreachable = false;
    double step_seconds = 0;
    std::uint32_t samples = 0;
  };

  void Eject(Record* record, Instant now);
  double MedianStepSeconds(const std::vector<std::string>& workers) const;

  WorkerHealthSettings settings;
  std::map<std::string, Record> records;
};

}  // namespace chervilpass::routing
