// Records the outcomes of requests, as seen by the callers.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "chervilpass/core/time.h"

namespace chervilpass::load {

/// Outcome of a request for its caller.
enum class Outcome {
  kCorrect,     ///< a complete answer that equals the reference
  kWrong,       ///< a complete answer that differs from the reference
  kRefused,     ///< a final refusal
  kUnanswered,  ///< no answer or refusal within the answer timeout
};

/// One request as seen by its caller.
struct RequestRecord {
  std::string id;
  std::string organisation;
  std::string target;  ///< pipeline or service
  Outcome outcome = Outcome::kUnanswered;
  std::string refusal;             ///< code of the refusal
  std::string executed;            ///< `executed` of the refusal
  Duration started{0};             ///< since the start of the experiment
  Duration ended{0};               ///< since the start of the experiment
  Duration first_token{0};         ///< since the start of the request
  Duration max_token_interval{0};  ///< between two tokens
  std::uint32_t tokens = 0;
  /// Tokens received within the experiment's duration.
  std::uint32_t tokens_in_time = 0;
  std::uint32_t connections = 0;  ///< used for this request
  bool keyed = false;             ///< sent with an idempotency key
};

/// Tokens and outcomes of one second, for plots.
struct SecondRecord {
  std::uint64_t tokens = 0;
  std::uint64_t answers = 0;
  std::uint64_t refusals = 0;
  std::vector<double> first_token_seconds;
};

/// Collects the records of an experiment. Fiber thread only.
class Recorder {
 public:
  /// Records a token; `interval` is the time since the request's last one, 0
  /// for the first.
  void OnToken(Duration since_start, Duration interval);
  /// Records a request that has ended.
  void OnEnd(RequestRecord record);

  const std::vector<RequestRecord>& Records() const { return this->records; }
  const std::vector<double>& TokenIntervalSeconds() const {
    return this->interval_seconds;
  }
  const std::map<std::int64_t, SecondRecord>& Seconds() const {
    return this->seconds;
  }

 private:
  std::vector<RequestRecord> records;
  std::vector<double> interval_seconds;
  std::map<std::int64_t, SecondRecord> seconds;  ///< by second since the start
};

/// The sample at the quantile `share`, 0 to 1; 0 if there are no samples.
double Quantile(std::vector<double> samples, double share);

}  // namespace chervilpass::load
