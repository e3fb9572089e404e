// Counters, gauges and latency quantiles, exported in Prometheus text format.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "chervilpass/core/time.h"

namespace chervilpass {

/// Collects the metrics of one process. Not thread-safe; fiber thread only.
class MetricsRegistry {
 public:
  MetricsRegistry();
  ~MetricsRegistry();
  MetricsRegistry(const MetricsRegistry&) = delete;
  MetricsRegistry& operator=(const MetricsRegistry&) = delete;

  /// Adds `by` to a counter. `labels` is in Prometheus format, `code="200"`.
  void Increment(std::string_view name,
                 std::string_view labels = "",
                 std::uint64_t by = 1);

  /// Sets a gauge.
  void Set(std::string_view name, std::string_view labels, double value);

  /// Adds a latency sample; exported as a summary in seconds.
  void Observe(std::string_view name, Duration sample);

  /// Current value of a counter; 0 if it does not exist.
  std::uint64_t CounterValue(std::string_view name,
                             std::string_view labels = "") const;

  /// All metrics in Prometheus text exposition format 0.0.4.
  std::string PrometheusText() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace chervilpass
