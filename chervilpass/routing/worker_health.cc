#include "chervilpass/routing/worker_health.h"

#include <algorithm>

namespace chervilpass::routing {

void WorkerHealth::OnSuccess(const std::string& worker,
                             Duration elapsed,
                             Instant now) {
  (void)now;
  Record& record = this->records[worker];
  record.failures = 0;
  record.ejections = 0;
  record.unreachable = false;
  record.ejected_until = Instant{};
  const double sample = ToSeconds(elapsed);
  record.step_seconds =
      record.samples == 0
          ? sample
          : record.step_seconds +
                this->settings.smoothing * (sample - record.step_seconds);
  ++record.samples;
}

void WorkerHealth::OnFailure(const std::string& worker, Instant now) {
  Record& record = this->records[worker];
  if (++record.failures >= this->settings.failures_to_eject) {
    this->Eject(&record, now);
  }
}

void WorkerHealth::OnRefusedConnection(const std::string& worker, Instant now) {
  Record& record = this->records[worker];
  ++record.failures;
  record.unreachable = true;
  this->Eject(&record, now);
}

void WorkerHealth::ClearRefusedConnections() {
  for (auto& [worker, record] : this->records) {
    if (record.unreachable) {
      record.unreachable = false;
      record.failures = 0;
      record.ejections = 0;
      record.ejected_until = Instant{};
    }
  }
}

// Each consecutive ejection lasts twice as long as the one before.
void WorkerHealth::Eject(Record* record, Instant now) {
  if (record->ejected_until > now) {
    return;
  }
  Duration length = this->settings.base_ejection_time;
  for (std::uint32_t i = 0;
       i < record->ejections && length < this->settings.max_ejection_time;
       ++i) {
    length *= 2;
  }
  record->ejected_until =
      now + std::min(length, this->settings.max_ejection_time);
  ++record->ejections;
}

Duration WorkerHealth::StepTime(const std::string& worker) const {
  const auto found = this->records.find(worker);
  if (found == this->records.end()) {
    return Duration(0);
  }
  return duration_cast<Duration>(
      std::chrono::duration<double>(found->second.step_seconds));
}

bool WorkerHealth::IsEjected(const std::string& worker, Instant now) const {
  const auto found = this->records.find(worker);
  return found != this->records.end() && found->second.ejected_until > now;
}

double WorkerHealth::MedianStepSeconds(
    const std::vector<std::string>& workers) const {
  std::vector<double> step_seconds;
  for (const std::string& worker : workers) {
    const auto found = this->records.find(worker);
    if (found != this->records.end() &&
        found->second.samples >= this->settings.slow_samples) {
      step_seconds.push_back(found->second.step_seconds);
    }
  }
  if (step_seconds.size() < 2) {
    return 0;
  }
  // Lower median, so that the slower of two workers is compared with the
  // faster.
  const std::size_t middle = (step_seconds.size() - 1) / 2;
  std::nth_element(step_seconds.begin(),
                   step_seconds.begin() + static_cast<std::ptrdiff_t>(middle),
                   step_seconds.end());
  return step_seconds[middle];
}

std::vector<std::string> WorkerHealth::Usable(
    const std::vector<std::string>& workers,
    Instant now) const {
  const double median = this->MedianStepSeconds(workers);
  std::vector<std::string> usable;
  std::vector<std::string> left_out;
  for (const std::string& worker : workers) {
    const auto found = this->records.find(worker);
    const bool is_ejected = this->IsEjected(worker, now);
    const bool is_slow =
        median > 0 && found != this->records.end() &&
        found->second.samples >= this->settings.slow_samples &&
        found->second.step_seconds > this->settings.slow_factor * median;
    if (!is_ejected && !is_slow) {
      usable.push_back(worker);
    } else if (found == this->records.end() || !found->second.unreachable ||
               !is_ejected) {
      left_out.push_back(worker);
    }
  }
  // Leave out at most the allowed share: apparent outliers may be caused by a
  // fault of this node.
  const auto min_usable =
      static_cast<std::size_t>(static_cast<double>(workers.size()) *
                                   (1 - this->settings.max_ejected_share) +
                               0.5);
  std::stable_sort(left_out.begin(), left_out.end(),
                   [this](const std::string& a, const std::string& b) {
                     return this->records.at(a).ejected_until <
                            this->records.at(b).ejected_until;
                   });
  for (const std::string& worker : left_out) {
    if (usable.size() >= std::max<std::size_t>(1, min_usable)) {
      break;
    }
    usable.push_back(worker);
  }
  return usable;
}

}  // namespace chervilpass::routing
