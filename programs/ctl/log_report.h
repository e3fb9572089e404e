// Summary of the requests in log lines of chervil-router, by kind of request
// and two-second interval.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chervilpass::ctl {

/// Collects log lines and prints tables of them. A request counts in the
/// interval in which it ended, a send that was not run in that of its line.
class LogReport {
 public:
  /// Adds a line in JSON. Text before its first brace, as a collector adds it,
  /// is skipped. Lines that cannot be read are counted.
  void AddLine(std::string_view line);

  /// A line for each kind of request: first those of all lines, then those of
  /// each interval.
  std::string Text() const;

 private:
  // A line request.ended, which stands for `weight` requests.
  struct Request {
    std::int64_t at = 0;  ///< milliseconds since 1970
    std::uint64_t weight = 1;
    std::string outcome;
    bool late = false;
    std::string route;
    std::string priority;
    std::string organisation;
    std::string data_centre;
    bool returned = false;
    std::uint64_t size = 0;  ///< 0 if the request states none
    double first_event_ms = 0;
    double longest_gap_ms = 0;
  };

  // A line request.retry after a send that was not run.
  struct NotRun {
    std::int64_t at = 0;
    std::string request;
    Request kind;  ///< as far as the line states it
  };

  struct SizeBounds {
    std::uint64_t largest_tenth = 0;  ///< above this size
    std::uint64_t fifth_below = 0;
  };

  struct Counts;
  using Row = std::pair<std::string, std::string>;  ///< dimension and value
  using Table = std::map<Row, Counts>;

  std::vector<std::string> LargestOrganisations() const;
  std::map<std::string, SizeBounds> BoundsByRoute() const;
  static std::string SizeName(const Request& request,
                              const std::map<std::string, SizeBounds>& bounds);

  std::vector<Request> requests;
  std::map<std::string, std::size_t> by_id;  ///< indices into `requests`
  std::vector<NotRun> not_run;
  std::uint64_t lines = 0;
  std::uint64_t bad_lines = 0;
  std::uint64_t forwarded = 0;   ///< lines of a VM that a request passed on to
  std::uint64_t unweighted = 0;  ///< lines of builds that state no weight
};

/// Prints the report of the files; returns the exit code.
int Report(const std::vector<std::string>& files);

}  // namespace chervilpass::ctl
