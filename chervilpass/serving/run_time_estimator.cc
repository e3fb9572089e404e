#include "chervilpass/serving/run_time_estimator.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/variance.hpp>
#include <cmath>
#include <utility>

namespace chervilpass::serving {
namespace {

namespace accumulators = boost::accumulators;

constexpr std::size_t kMaxNames = 4096;  // routes, or services
// Effectively the latest five events or batches of them.
constexpr double kEarlierEventsWeight = 0.8;
constexpr std::uint64_t kMinPaceEvents = 4;

void Append(std::deque<double>* samples, double value, std::size_t limit) {
  samples->push_back(value);
  if (samples->size() > limit) {
    samples->pop_front();
  }
}

Duration FromSeconds(double time) {
  return duration_cast<Duration>(std::chrono::duration<double>(time));
}

double Quantile(std::vector<double> values, double share) {
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
      share * static_cast<double>(values.size() - 1) + 0.5)];
}

// Upper estimate from recent times, in seconds.
double UpperTime(const std::deque<double>& times,
                 const EstimateCaution& caution) {
  return Quantile({times.begin(), times.end()}, caution.time_quantile) *
         caution.time_margin;
}

// The same from streams in progress. Without a margin: it matters only where it
// is above the estimate from ended runs, which has one.
double UpperInterval(const std::vector<Duration>& intervals,
                     const EstimateCaution& caution) {
  std::vector<double> seconds;
  for (const Duration interval : intervals) {
    seconds.push_back(ToSeconds(interval));
  }
  return Quantile(std::move(seconds), caution.present_quantile);
}

// Names of the configuration come and go.
template <class Map>
typename Map::mapped_type& EntryOf(Map* map, const std::string& name) {
  if (map->size() >= kMaxNames && !map->contains(name)) {
    map->clear();
  }
  return (*map)[name];
}

}  // namespace

void EventPace::OnEvents(std::uint64_t events, Duration elapsed) {
  this->count += events;
  this->events =
      kEarlierEventsWeight * this->events + static_cast<double>(events);
  this->seconds = kEarlierEventsWeight * this->seconds + ToSeconds(elapsed);
}

std::optional<Duration> EventPace::Interval(Duration silence) const {
  if (this->count < kMinPaceEvents) {
    return std::nullopt;
  }
  const double until_now =
      (kEarlierEventsWeight * this->seconds + ToSeconds(silence)) /
      (kEarlierEventsWeight * this->events + 1);
  return FromSeconds(std::max(this->seconds / this->events, until_now));
}

void RunTimeEstimator::OnCallEnded(const std::string& route, Duration elapsed) {
  Append(&EntryOf(&this->calls, route), ToSeconds(elapsed),
         this->settings.timed_runs);
}

void RunTimeEstimator::OnStreamEnded(const std::string& service,
                                     const StreamRun& run) {
  if (run.events == 0) {
    return;
  }
  Streams& known = EntryOf(&this->streams, service);
  const auto events = static_cast<double>(run.events);
  Append(&known.first_event_seconds, ToSeconds(run.first_event),
         this->settings.timed_runs);
  Append(&known.seconds_per_event,
         ToSeconds(run.elapsed - run.first_event) / events,
         this->settings.timed_runs);
  const double limit = run.size.max_answer_tokens;
  if (limit <= 0) {
    return;
  }
  Append(&known.events_per_limit, events / limit, this->settings.sized_runs);
  if (run.size.expected_answer_tokens.value_or(0) > 0) {
    Append(&known.log_events_per_hint,
           std::log(events / *run.size.expected_answer_tokens),
           this->settings.sized_runs);
  }
}

std::optional<Duration> RunTimeEstimator::CallTime(
    const std::string& route,
    const EstimateCaution& caution) const {
  const auto found = this->calls.find(route);
  if (found == this->calls.end() ||
      found->second.size() < this->settings.min_timed_runs) {
    return std::nullopt;
  }
  return FromSeconds(UpperTime(found->second, caution));
}

std::optional<Duration> RunTimeEstimator::StreamTime(
    const std::string& service,
    const GenerationSize& size,
    const EstimateCaution& caution,
    const std::vector<Duration>& intervals) const {
  const auto found = this->streams.find(service);
  if (found == this->streams.end() ||
      found->second.seconds_per_event.size() < this->settings.min_timed_runs) {
    return std::nullopt;
  }
  const Streams& known = found->second;
  double seconds_per_event = UpperTime(known.seconds_per_event, caution);
  if (intervals.size() >= this->settings.min_in_progress) {
    seconds_per_event =
        std::max(seconds_per_event, UpperInterval(intervals, caution));
  }
  return FromSeconds(UpperTime(known.first_event_seconds, caution) +
                     seconds_per_event * this->MaxEvents(known, size, caution));
}

// An event usually holds at least one token, so that an answer has at most as
// many events as its limit. After some runs it is known how many at most; more
// than the limit if servers do not keep to it.
double RunTimeEstimator::MaxEvents(const Streams& known,
                                   const GenerationSize& size,
                                   const EstimateCaution& caution) const {
  double most = size.max_answer_tokens;
  if (known.events_per_limit.size() >= this->settings.min_sized_runs) {
    most *= *std::max_element(known.events_per_limit.begin(),
                              known.events_per_limit.end());
  }
  const Samples& ratios = known.log_events_per_hint;
  if (size.expected_answer_tokens.value_or(0) > 0 &&
      ratios.size() >= this->settings.min_sized_runs) {
    accumulators::accumulator_set<
        double, accumulators::stats<accumulators::tag::mean,
                                    accumulators::tag::variance>>
        statistics;
    for (const double ratio : ratios) {
      statistics(ratio);
    }
    const double mean = accumulators::mean(statistics);
    const double deviation = std::sqrt(accumulators::variance(statistics));
    const double by_hint =
        *size.expected_answer_tokens *
        std::exp(mean + caution.length_deviations * deviation);
    most = std::min(most, by_hint);
  }
  return most;
}

}  // namespace chervilpass::serving
