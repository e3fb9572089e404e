#include "chervilpass/core/metrics.h"

#include <fmt/format.h>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <map>

namespace chervilpass {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

using LatencyAccumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count,
                                    acc::tag::sum,
                                    acc::tag::extended_p_square_quantile>>;

// Name and labels of one time series.
struct SeriesKey {
  std::string name;
  std::string labels;

  auto operator<=>(const SeriesKey&) const = default;
};

std::string SeriesText(const SeriesKey& key) {
  return key.labels.empty() ? key.name
                            : fmt::format("{}{{{}}}", key.name, key.labels);
}

}  // namespace

struct MetricsRegistry::State {
  std::map<SeriesKey, std::uint64_t> counters;
  std::map<SeriesKey, double> gauges;
  std::map<std::string, LatencyAccumulator> latencies;
};

MetricsRegistry::MetricsRegistry() : state(std::make_unique<State>()) {}
MetricsRegistry::~MetricsRegistry() = default;

void MetricsRegistry::Increment(std::string_view name,
                                std::string_view labels,
                                std::uint64_t by) {
  this->state->counters[{std::string(name), std::string(labels)}] += by;
}

void MetricsRegistry::Set(std::string_view name,
                          std::string_view labels,
                          double value) {
  this->state->gauges[{std::string(name), std::string(labels)}] = value;
}

void MetricsRegistry::Observe(std::string_view name, Duration sample) {
  auto found = this->state->latencies.find(std::string(name));
  if (found == this->state->latencies.end()) {
    LatencyAccumulator accumulator(acc::extended_p_square_probabilities =
                                       kQuantiles);
    found = this->state->latencies
                .emplace(std::string(name), std::move(accumulator))
                .first;
  }
  found->second(ToSeconds(sample));
}

std::uint64_t MetricsRegistry::CounterValue(std::string_view name,
                                            std::string_view labels) const {
  const auto found =
      this->state->counters.find({std::string(name), std::string(labels)});
  return found == this->state->counters.end() ? 0 : found->second;
}

std::string MetricsRegistry::PrometheusText() const {
  std::string text;
  std::string last_name;
  for (const auto& [key, value] : this->state->counters) {
    if (key.name != last_name) {
      text += fmt::format("# TYPE {} counter\n", key.name);
      last_name = key.name;
    }
    text += fmt::format("{} {}\n", SeriesText(key), value);
  }
  for (const auto& [key, value] : this->state->gauges) {
    if (key.name != last_name) {
      text += fmt::format("# TYPE {} gauge\n", key.name);
      last_name = key.name;
    }
    text += fmt::format("{} {}\n", SeriesText(key), value);
  }
  for (const auto& [name, accumulator] : this->state->latencies) {
    text += fmt::format("# TYPE {} summary\n", name);
    for (const double quantile : kQuantiles) {
      text += fmt::format(
          "{}{{quantile=\"{}\"}} {:.6f}\n", name, quantile,
          acc::quantile(accumulator, acc::quantile_probability = quantile));
    }
    text += fmt::format("{}_sum {:.6f}\n", name, acc::sum(accumulator));
    text += fmt::format("{}_count {}\n", name, acc::count(accumulator));
  }
  return text;
}

}  // namespace chervilpass
