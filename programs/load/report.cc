#include "programs/load/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <sstream>

#include "programs/load/throughput_bound.h"

namespace chervilpass::load {
namespace {

constexpr const char* kOutcomeNames[] = {"correct", "wrong", "refused",
                                         "unanswered"};

// Geometry of the plot, in pixels.
constexpr double kWidth = 900;
constexpr double kPanelHeight = 180;
constexpr double kMargin = 60;

double Mean(const CountRange& range) {
  return (static_cast<double>(range.low) + range.high) / 2;
}

double ThroughputBound(const Experiment& experiment) {
  if (experiment.pipelines.empty()) {
    return 0;
  }
  const LoadPipeline& pipeline = experiment.pipelines.front();
  const double prefix =
      pipeline.shared_prefixes > 0 ? pipeline.prefix_words : 0;
  return TokensPerSecondBound(experiment.pool,
                              Mean(pipeline.prompt_words) + prefix,
                              Mean(pipeline.answer_tokens));
}

void PrintQuantiles(const char* name, const std::vector<double>& samples) {
  fmt::print("{}_ms p50={:.1f} p95={:.1f} p99={:.1f} n={}\n", name,
             Quantile(samples, 0.5) * 1000, Quantile(samples, 0.95) * 1000,
             Quantile(samples, 0.99) * 1000, samples.size());
}

void PrintFairness(const Experiment& experiment,
                   const std::map<std::string, std::uint64_t>& tokens_by_org) {
  double tokens = 0;
  double weights = 0;
  for (const LoadOrganisation& organisation : experiment.organisations) {
    weights += organisation.weight;
    const auto found = tokens_by_org.find(organisation.name);
    tokens +=
        found == tokens_by_org.end() ? 0 : static_cast<double>(found->second);
  }
  for (const LoadOrganisation& organisation : experiment.organisations) {
    const auto found = tokens_by_org.find(organisation.name);
    const double received =
        found == tokens_by_org.end() ? 0 : static_cast<double>(found->second);
    fmt::print(
        "organisation={} tokens={:.0f} share={:.3f} weight_share={:.3f}\n",
        organisation.name, received, tokens > 0 ? received / tokens : 0,
        organisation.weight / weights);
  }
}

// Draws a line chart with one value per second.
void DrawPanel(std::ostream& out,
               double top,
               const std::string& title,
               const std::map<std::int64_t, double>& values,
               double span_seconds) {
  double max_value = 1e-9;
  for (const auto& [second, value] : values) {
    max_value = std::max(max_value, value);
  }
  out << fmt::format(
      "<text x='{}' y='{}' font-size='13'>{} (max {:.1f})</text>\n", kMargin,
      top - 6, title, max_value);
  out << fmt::format(
      "<rect x='{}' y='{}' width='{}' height='{}' fill='none' "
      "stroke='#999'/>\n<polyline fill='none' stroke='#1f5fa8' points='",
      kMargin, top, kWidth, kPanelHeight);
  for (const auto& [second, value] : values) {
    out << fmt::format(
        "{:.1f},{:.1f} ",
        kMargin + kWidth * (static_cast<double>(second) + 0.5) / span_seconds,
        top + kPanelHeight * (1 - value / max_value));
  }
  out << "'/>\n";
}

void DrawMarks(std::ostream& out,
               const std::string& path,
               double span_seconds) {
  std::ifstream marks(path);
  std::string line;
  while (std::getline(marks, line)) {
    std::istringstream words(line);
    double milliseconds_since_start = 0;
    std::string text;
    words >> milliseconds_since_start >> text;
    const double x =
        kMargin + kWidth * milliseconds_since_start / 1000 / span_seconds;
    out << fmt::format(
        "<line x1='{0:.1f}' y1='40' x2='{0:.1f}' y2='{1}' stroke='#c33' "
        "stroke-dasharray='4'/><text x='{0:.1f}' y='36' font-size='11' "
        "fill='#c33'>{2}</text>\n",
        x, 2 * kPanelHeight + 110, text);
  }
}

}  // namespace

std::size_t PrintSummary(const Experiment& experiment,
                         const Recorder& recorder,
                         Duration elapsed) {
  std::map<std::string, std::uint64_t> outcomes;
  std::map<std::string, std::uint64_t> refusals;
  std::map<std::string, std::uint64_t> tokens_by_org;
  std::vector<double> first_tokens;
  double max_token_interval = 0;
  std::uint64_t correct_tokens = 0;
  std::uint64_t resumed = 0;
  for (const RequestRecord& record : recorder.Records()) {
    ++outcomes[kOutcomeNames[static_cast<int>(record.outcome)]];
    resumed += record.connections > 1 ? 1 : 0;
    max_token_interval =
        std::max(max_token_interval, ToSeconds(record.max_token_interval));
    if (record.outcome == Outcome::kRefused) {
      ++refusals[record.refusal + "/" + record.executed];
    }
    if (record.outcome == Outcome::kCorrect) {
      // Only tokens received within the experiment's duration: those of the
      // backlog that is processed afterwards would inflate the rate.
      correct_tokens += record.tokens_in_time;
      tokens_by_org[record.organisation] += record.tokens_in_time;
      if (record.first_token.count() > 0) {
        first_tokens.push_back(ToSeconds(record.first_token));
      }
    }
  }
  fmt::print(
      "requests={} correct={} wrong={} refused={} unanswered={} "
      "resumed={}\n",
      recorder.Records().size(), outcomes["correct"], outcomes["wrong"],
      outcomes["refused"], outcomes["unanswered"], resumed);
  for (const auto& [kind, count] : refusals) {
    fmt::print("refused_as={} count={}\n", kind, count);
  }
  const double rate = static_cast<double>(correct_tokens) / ToSeconds(elapsed);
  const double bound = ThroughputBound(experiment);
  fmt::print("correct_tokens_per_second={:.0f} bound={:.0f} ratio={:.3f}\n",
             rate, bound, bound > 0 ? rate / bound : 0);
  PrintQuantiles("first_token", first_tokens);
  PrintQuantiles("token_gap", recorder.TokenIntervalSeconds());
  fmt::print("longest_gap_ms={:.0f}\n", max_token_interval * 1000);
  PrintFairness(experiment, tokens_by_org);
  return outcomes["wrong"] + outcomes["unanswered"];
}

bool WriteCsv(const std::string& path, const Recorder& recorder) {
  std::ofstream out(path);
  out << "id,organisation,target,ending,refusal,executed,keyed,started_ms,"
         "ended_ms,first_token_ms,longest_gap_ms,tokens,connections\n";
  for (const RequestRecord& record : recorder.Records()) {
    out << fmt::format(
        "{},{},{},{},{},{},{},{},{},{:.2f},{:.2f},{},{}\n", record.id,
        record.organisation, record.target,
        kOutcomeNames[static_cast<int>(record.outcome)], record.refusal,
        record.executed, record.keyed ? 1 : 0, ToMilliseconds(record.started),
        ToMilliseconds(record.ended), ToSeconds(record.first_token) * 1000,
        ToSeconds(record.max_token_interval) * 1000, record.tokens,
        record.connections);
  }
  return static_cast<bool>(out);
}

bool WritePlot(const std::string& path,
               const Experiment& experiment,
               const Recorder& recorder) {
  std::ofstream out(path);
  double span_seconds = 1;
  std::map<std::int64_t, double> throughput;
  std::map<std::int64_t, double> latency;
  for (const auto& [second, record] : recorder.Seconds()) {
    span_seconds = std::max(span_seconds, static_cast<double>(second) + 1);
    throughput[second] = static_cast<double>(record.tokens);
    if (!record.first_token_seconds.empty()) {
      latency[second] = Quantile(record.first_token_seconds, 0.95) * 1000;
    }
  }
  out << fmt::format(
      "<svg xmlns='http://www.w3.org/2000/svg' width='{}' height='{}' "
      "font-family='sans-serif'>\n<rect width='100%' height='100%' "
      "fill='white'/>\n",
      kWidth + 2 * kMargin, 2 * kPanelHeight + 150);
  DrawPanel(out, 60, "tokens per second", throughput, span_seconds);
  DrawPanel(out, kPanelHeight + 100, "first token p95, ms", latency,
            span_seconds);
  if (!experiment.fault_marks_path.empty()) {
    DrawMarks(out, experiment.fault_marks_path, span_seconds);
  }
  out << "</svg>\n";
  return static_cast<bool>(out);
}

}  // namespace chervilpass::load
