#include "programs/load/recorder.h"

#include <algorithm>

namespace chervilpass::load {
namespace {

std::int64_t ToSecondIndex(Duration duration) {
  return duration_cast<std::chrono::seconds>(duration).count();
}

}  // namespace

void Recorder::OnToken(Duration since_start, Duration interval) {
  ++this->seconds[ToSecondIndex(since_start)].tokens;
  if (interval.count() > 0) {
    this->interval_seconds.push_back(ToSeconds(interval));
  }
}

void Recorder::OnEnd(RequestRecord record) {
  SecondRecord& second = this->seconds[ToSecondIndex(record.ended)];
  if (record.outcome == Outcome::kCorrect) {
    ++second.answers;
    if (record.first_token.count() > 0) {
      second.first_token_seconds.push_back(ToSeconds(record.first_token));
    }
  } else {
    ++second.refusals;
  }
  this->records.push_back(std::move(record));
}

double Quantile(std::vector<double> samples, double share) {
  if (samples.empty()) {
    return 0;
  }
  const auto index = static_cast<std::ptrdiff_t>(
      share * static_cast<double>(samples.size() - 1));
  std::nth_element(samples.begin(), samples.begin() + index, samples.end());
  return samples[static_cast<std::size_t>(index)];
}

}  // namespace chervilpass::load
