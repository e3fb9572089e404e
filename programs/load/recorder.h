// Records what callers saw.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "chervilpass/core/time.h"

namespace chervilpass::load {

/// How a request ended for its caller.
enum class Outcome {
  kCorrect,     ///< whole and as the reference says
  kWrong,       ///< whole and not as the reference says
  kRefused,     ///< a final refusal
  kUnanswered,  ///< no final word within the caller's patience
};

/// One request as its caller saw it.
struct RequestRecord {
  std::string id;
  std::string organisation;
  std::string target;  ///< pipeline or service
  Outcome outcome = Outcome::kUnanswered;
  std::string refusal;   ///< code, if refused
  std::string executed;  ///< what the refusal said
  Duration started{0};   ///< since the experiment began
  Duration ended{0};
  Duration first_token{0};         ///< from the start of the request
  Duration max_token_interval{0};  ///< between two tokens
  std::uint32_t tokens = 0;
  std::uint32_t tokens_in_time = 0;  ///< before arrivals ended
  std::uint32_t connections = 0;     ///< used for this request
  bool keyed = false;                ///< may not be repeated
};

/// Tokens and requests of one second, for plots.
struct SecondRecord {
  std::uint64_t tokens = 0;
  std::uint64_t answers = 0;
  std::uint64_t refusals = 0;
  std::vector<double> first_token_seconds;
};

/// Collects records. Fiber thread only.
class Recorder {
 public:
  void OnToken(Duration since_start, Duration gap);
  void OnEnd(RequestRecord record);

  const std::vector<RequestRecord>& Records() const { return this->records; }
  const std::vector<double>& TokenIntervalSeconds() const { return this->gaps; }
  const std::map<std::int64_t, SecondRecord>& Seconds() const {
    return this->seconds;
  }

 private:
  std::vector<RequestRecord> records;
  std::vector<double> gaps;
  std::map<std::int64_t, SecondRecord> seconds;  ///< by second
};

/// The value below which `share` of the samples lie; 0 if there are none.
double Quantile(std::vector<double> samples, double share);

}  // namespace chervilpass::load
