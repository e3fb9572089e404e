#include "programs/ctl/log_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <optional>

#include "chervilpass/app/program.h"

namespace chervilpass::ctl {
namespace {

constexpr std::int64_t kIntervalMs = 2000;
constexpr std::size_t kOrganisationsShown = 5;
// An answer token occupies a worker about ten times as long as a prompt token.
constexpr std::uint64_t kAnswerTokenWeight = 10;
constexpr double kTenth = 0.1;
constexpr double kFifth = 0.2;

// The text of a field; empty if it is missing. The router writes all values as
// text.
std::string Field(const boost::json::object& line, std::string_view name) {
  const boost::json::value* found = line.if_contains(name);
  if (found == nullptr) {
    return "";
  }
  return found->is_string() ? std::string(found->as_string())
                            : boost::json::serialize(*found);
}

double Number(const boost::json::object& line, std::string_view name) {
  return std::strtod(Field(line, name).c_str(), nullptr);
}

std::uint64_t Count(const boost::json::object& line, std::string_view name) {
  return std::strtoull(Field(line, name).c_str(), nullptr, 10);
}

// Milliseconds since 1970 of "YYYY-MM-DDTHH:MM:SS.mmmZ".
std::optional<std::int64_t> ParseTime(const std::string& text) {
  int year = 0, hour = 0, minute = 0, second = 0, millisecond = 0;
  unsigned month = 0, day = 0;
  if (std::sscanf(text.c_str(), "%4d-%2u-%2uT%2d:%2d:%2d.%3dZ", &year, &month,
                  &day, &hour, &minute, &second, &millisecond) != 7) {
    return std::nullopt;
  }
  const std::chrono::year_month_day date{std::chrono::year(year),
                                         std::chrono::month(month),
                                         std::chrono::day(day)};
  if (!date.ok()) {
    return std::nullopt;
  }
  const auto days = std::chrono::sys_days(date).time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(days).count() +
         ((hour * 60LL + minute) * 60 + second) * 1000 + millisecond;
}

std::string FormatTime(std::int64_t at) {
  const std::chrono::sys_time<std::chrono::milliseconds> time{
      std::chrono::milliseconds(at)};
  const auto day = std::chrono::floor<std::chrono::days>(time);
  const std::chrono::hh_mm_ss clock(time - day);
  return fmt::format("{:02}:{:02}:{:02}", clock.hours().count(),
                     clock.minutes().count(), clock.seconds().count());
}

// Of the values of late requests, which always have a line of their own.
double Quantile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto index =
      static_cast<std::size_t>(share * static_cast<double>(values.size()));
  return values[std::min(index, values.size() - 1)];
}

bool StatesNotRun(const std::string& reason) {
  return reason.starts_with("status 503") || reason.starts_with("status 421");
}

}  // namespace

struct LogReport::Counts {
  std::uint64_t requests = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t left = 0;
  std::uint64_t not_run = 0;
  std::vector<double> first_event_ms;  ///< of late ones
  std::vector<double> longest_gap_ms;

  void Add(const Request& request) {
    this->requests += request.weight;
    if (request.outcome == "refused") {
      this->refused += request.weight;
    } else if (request.outcome == "left") {
      this->left += request.weight;
    } else if (request.outcome != "served") {
      this->failed += request.weight;
    } else if (request.late) {
      this->late += request.weight;
      this->first_event_ms.push_back(request.first_event_ms);
      this->longest_gap_ms.push_back(request.longest_gap_ms);
    }
  }
};

void LogReport::AddLine(std::string_view text) {
  ++this->lines;
  const std::size_t begin = text.find('{');
  boost::json::error_code error;
  boost::json::value parsed;
  if (begin != std::string_view::npos) {
    parsed = boost::json::parse(text.substr(begin), error);
  }
  if (error || !parsed.is_object()) {
    ++this->bad_lines;
    return;
  }
  const boost::json::object& line = parsed.as_object();
  const auto at = ParseTime(Field(line, "time"));
  const std::string event = Field(line, "event");
  if (!at || event.empty()) {
    ++this->bad_lines;
    return;
  }
  if (event != "request.ended" && event != "request.retry") {
    return;
  }
  Request request;
  request.at = *at;
  request.outcome = Field(line, "outcome");
  request.late = Field(line, "late") == "true";
  request.route = Field(line, "route");
  request.priority = Field(line, "priority");
  request.organisation = Field(line, "organisation");
  request.data_centre = Field(line, "data_centre");
  request.returned = Field(line, "returned") == "true";
  request.size = Count(line, "prompt_tokens") +
                 kAnswerTokenWeight * Count(line, "max_answer_tokens");
  request.first_event_ms = Number(line, "first_event_ms");
  request.longest_gap_ms = Number(line, "longest_gap_ms");
  if (event == "request.retry") {
    if (StatesNotRun(Field(line, "reason"))) {
      this->not_run.push_back({*at, Field(line, "request"), request});
    }
    return;
  }
  // The VM that received the request from its caller has a line too.
  if (Field(line, "forwarded") == "true") {
    ++this->forwarded;
    return;
  }
  if (line.contains("weight")) {
    request.weight = std::max<std::uint64_t>(1, Count(line, "weight"));
  } else {
    ++this->unweighted;
  }
  this->by_id[Field(line, "request")] = this->requests.size();
  this->requests.push_back(std::move(request));
}

std::vector<std::string> LogReport::LargestOrganisations() const {
  std::map<std::string, std::uint64_t> totals;
  for (const Request& request : this->requests) {
    totals[request.organisation] += request.weight;
  }
  std::vector<std::pair<std::uint64_t, std::string>> ordered;
  for (const auto& [organisation, total] : totals) {
    ordered.emplace_back(total, organisation);
  }
  std::sort(ordered.rbegin(), ordered.rend());
  std::vector<std::string> largest;
  for (const auto& [total, organisation] : ordered) {
    if (largest.size() < kOrganisationsShown) {
      largest.push_back(organisation);
    }
  }
  return largest;
}

// The sizes that separate the largest tenth of the requests of a route, and the
// fifth below it, from the rest.
std::map<std::string, LogReport::SizeBounds> LogReport::BoundsByRoute() const {
  std::map<std::string, std::map<std::uint64_t, std::uint64_t>> weights;
  for (const Request& request : this->requests) {
    if (request.size > 0) {
      weights[request.route][request.size] += request.weight;
    }
  }
  std::map<std::string, SizeBounds> bounds;
  for (const auto& [route, by_size] : weights) {
    double total = 0;
    for (const auto& [size, weight] : by_size) {
      total += static_cast<double>(weight);
    }
    double above = total;
    bool below_fifth = false;
    bool below_tenth = false;
    for (const auto& [size, weight] : by_size) {
      above -= static_cast<double>(weight);
      if (!below_fifth && above <= (kTenth + kFifth) * total) {
        below_fifth = true;
        bounds[route].fifth_below = size;
      }
      if (!below_tenth && above <= kTenth * total) {
        below_tenth = true;
        bounds[route].largest_tenth = size;
      }
    }
  }
  return bounds;
}

std::string LogReport::SizeName(
    const Request& request,
    const std::map<std::string, SizeBounds>& bounds) {
  const auto found = bounds.find(request.route);
  if (request.size == 0 || found == bounds.end()) {
    return "not stated";
  }
  if (request.size > found->second.largest_tenth) {
    return "largest tenth";
  }
  return request.size > found->second.fifth_below ? "fifth below" : "rest";
}

std::string LogReport::Text() const {
  const auto largest = this->LargestOrganisations();
  const auto bounds = this->BoundsByRoute();
  const auto rows_of = [&](const Request& request) {
    const bool shown = std::find(largest.begin(), largest.end(),
                                 request.organisation) != largest.end();
    const std::string size = SizeName(request, bounds);
    std::vector<Row> rows = {
        {"all", ""},
        {"route", request.route},
        {"priority", request.priority},
        {"organisation", shown ? request.organisation : "(others)"},
        {"size", size},
        {"data_centre", request.data_centre},
        {"submission", request.returned ? "return" : "first"}};
    if (request.size > 0) {
      rows.push_back({"route and size", request.route + " " + size});
    }
    return rows;
  };
  std::map<std::int64_t, Table> intervals;
  Table total;
  const auto add = [&](std::int64_t at, const Request& kind, auto change) {
    for (const Row& row : rows_of(kind)) {
      change(&total[row]);
      change(&intervals[at / kIntervalMs][row]);
    }
  };
  for (const Request& request : this->requests) {
    add(request.at, request, [&](Counts* counts) { counts->Add(request); });
  }
  for (const NotRun& send : this->not_run) {
    // Of a request that was served in time, mostly only the retry has a line.
    const auto ended = this->by_id.find(send.request);
    add(send.at,
        ended == this->by_id.end() ? send.kind : this->requests[ended->second],
        [](Counts* counts) { ++counts->not_run; });
  }
  std::string text = fmt::format(
      "lines {}, not readable {}, requests logged {}, of them without weight "
      "{}, forwarded (not counted again) {}\n",
      this->lines, this->bad_lines, this->requests.size(), this->unweighted,
      this->forwarded);
  const auto print = [&text](const std::string& when, const Table& table) {
    for (const auto& [row, counts] : table) {
      text += fmt::format(
          "{:<8} {:<14} {:<32} {:>8} {:>6} {:>7} {:>6} {:>6} {:>7} "
          "{:>9.0f} {:>9.0f} {:>9.0f} {:>9.0f}\n",
          when, row.first, row.second.empty() ? "-" : row.second,
          counts.requests, counts.late, counts.refused, counts.failed,
          counts.left, counts.not_run, Quantile(counts.first_event_ms, 0.5),
          Quantile(counts.first_event_ms, 0.9),
          Quantile(counts.longest_gap_ms, 0.5),
          Quantile(counts.longest_gap_ms, 0.9));
    }
  };
  text += fmt::format(
      "{:<8} {:<14} {:<32} {:>8} {:>6} {:>7} {:>6} {:>6} {:>7} {:>9} {:>9} "
      "{:>9} {:>9}\n",
      "time", "by", "value", "requests", "late", "refused", "failed", "left",
      "not_run", "first_p50", "first_p90", "gap_p50", "gap_p90");
  print("total", total);
  for (const auto& [interval, table] : intervals) {
    print(FormatTime(interval * kIntervalMs), table);
  }
  return text;
}

int Report(const std::vector<std::string>& files) {
  LogReport report;
  for (const std::string& path : files) {
    std::ifstream file(path);
    if (!file) {
      fmt::print(stderr, "{}: cannot be opened\n", path);
      return app::kExitBadInput;
    }
    std::string line;
    while (std::getline(file, line)) {
      if (!line.empty()) {
        report.AddLine(line);
      }
    }
  }
  fmt::print("{}", report.Text());
  return app::kExitOk;
}

}  // namespace chervilpass::ctl
