// Tests of the summary of requests that operators print from log lines.
#include <criterion/criterion.h>

#include <fmt/format.h>

#include <sstream>

#include "chervilpass/core/log.h"
#include "programs/ctl/log_report.h"

using namespace chervilpass;
using namespace chervilpass::ctl;

namespace {

constexpr std::int64_t kDay = 1796515200000;  // 2026-12-06T00:00:00Z

std::string Line(std::int64_t at,
                 std::string_view event,
                 const std::vector<LogField>& fields) {
  return FormatLogLine(
      {"chervil-router", "vm1", LogLevel::kInfo, LogFormat::kJson},
      LogLevel::kInfo, kDay + at, event, fields);
}

std::string Ended(std::int64_t at,
                  const std::string& id,
                  const std::string& outcome,
                  bool late,
                  int prompt_tokens,
                  int weight) {
  return Line(at, "request.ended",
              {{"request", id},
               {"route", "chat"},
               {"priority", 1},
               {"organisation", "acme"},
               {"data_centre", "a"},
               {"outcome", outcome},
               {"late", late},
               {"returned", outcome == "refused"},
               {"prompt_tokens", prompt_tokens},
               {"max_answer_tokens", 10},
               {"first_event_ms", late ? 700 : 100},
               {"longest_gap_ms", 300},
               {"weight", weight}});
}

// The first numbers of the row: requests, late, refused, failed, left and sends
// not run.
std::vector<int> Row(const std::string& text, const std::string& begin) {
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.starts_with(begin)) {
      // After the widths of time, dimension and value.
      std::istringstream numbers(line.substr(57));
      std::vector<int> row(6);
      for (int& number : row) {
        numbers >> number;
      }
      return row;
    }
  }
  return {};
}

std::string Begin(const std::string& time,
                  const std::string& by,
                  const std::string& value) {
  return fmt::format("{:<8} {:<14} {} ", time, by, value);
}

}  // namespace

// Guards against rates that leave out the served requests without a line.
Test(log_report, requests_count_by_their_weight_in_their_interval) {
  LogReport report;
  report.AddLine("collector 7: " + Ended(100, "r1", "served", false, 100, 20));
  report.AddLine(Ended(1900, "r2", "served", true, 100, 1));
  report.AddLine(Ended(2100, "r3", "refused", false, 100, 1));
  report.AddLine(Ended(2200, "r4", "broken", true, 100, 1));
  report.AddLine(Ended(2300, "r5", "left", false, 100, 1));
  report.AddLine(Line(2400, "request.retry",
                      {{"request", "r2"}, {"reason", "status 503 from w1"}}));
  report.AddLine(Line(2400, "request.retry",
                      {{"request", "r2"}, {"reason", "connection reset"}}));
  report.AddLine(Line(2400, "worker.refusing", {{"worker", "w1"}}));
  const std::string text = report.Text();
  const std::vector<int> all = {24, 1, 1, 1, 1, 1};
  cr_assert(Row(text, Begin("total", "all", "-")) == all);
  cr_assert(Row(text, Begin("total", "route", "chat")) == all);
  cr_assert(Row(text, Begin("total", "priority", "1")) == all);
  cr_assert(Row(text, Begin("total", "organisation", "acme")) == all);
  cr_assert(Row(text, Begin("total", "data_centre", "a")) == all);
  cr_assert(Row(text, Begin("total", "submission", "return")) ==
            (std::vector<int>{1, 0, 1, 0, 0, 0}));
  cr_assert(Row(text, Begin("00:00:00", "all", "-")) ==
            (std::vector<int>{21, 1, 0, 0, 0, 0}));
  cr_assert(Row(text, Begin("00:00:02", "all", "-")) ==
            (std::vector<int>{3, 0, 1, 1, 1, 1}));
}

// Guards against a largest tenth that is taken among the logged lines only.
Test(log_report, sizes_are_shares_of_all_requests) {
  LogReport report;
  for (int i = 0; i < 70; ++i) {
    report.AddLine(Ended(0, fmt::format("s{}", i), "served", false, i + 1, 20));
  }
  for (int i = 0; i < 400; ++i) {
    report.AddLine(Ended(0, fmt::format("m{}", i), "served", true, 500 + i, 1));
  }
  for (int i = 0; i < 200; ++i) {
    report.AddLine(
        Ended(0, fmt::format("l{}", i), "served", true, 5000 + i, 1));
  }
  const std::string text = report.Text();
  cr_assert_eq(Row(text, Begin("total", "size", "largest tenth"))[0], 200);
  cr_assert_eq(Row(text, Begin("total", "size", "fifth below"))[0], 400);
  cr_assert_eq(Row(text, Begin("total", "size", "rest"))[0], 1400);
}

// Guards against a report that stops at a damaged line of a collected log.
Test(log_report, bad_lines_are_counted_and_skipped) {
  LogReport report;
  for (const char* line :
       {"no brace", "{", "{\"event\":\"request.ended\"}", "[1]", "{}",
        "{\"time\":\"2026-13-40T00:00:00.000Z\",\"event\":\"request."
        "ended\"}"}) {
    report.AddLine(line);
  }
  report.AddLine(Ended(0, "r", "served", false, 1, 1));
  cr_assert(
      report.Text().starts_with("lines 7, not readable 6, requests "
                                "logged 1,"));
}
