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

// Each ejection in a row lasts twice as long as the one before.
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

double WorkerHealth::MedianStep(const std::vector<std::string>& workers) const {
  std::vector<double> steps;
  for (const std::string& worker : workers) {
    const auto found = this->records.find(worker);
    if (found != this->records.end() &&
        found->second.samples >= this->settings.slow_samples) {
      steps.push_back(found->second.step_seconds);
    }
  }
  if (steps.size() < 2) {
    return 0;
  }
  // The lower median: of two workers the slow one is compared to the fast one.
  const std::size_t middle = (steps.size() - 1) / 2;
  std::nth_element(steps.begin(),
                   steps.begin() + static_cast<std::ptrdiff_t>(middle),
                   steps.end());
  return steps[middle];
}

std::vector<std::string> WorkerHealth::Usable(
    const std::vector<std::string>& workers,
    Instant now) const {
  const double median = this->MedianStep(workers);
  std::vector<std::string> usable;
  std::vector<std::string> ejected;
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
      ejected.push_back(worker);
    }
  }
  // Never leave out more than the allowed share: what is called an outlier may
  // be a fault of this node's own.
  const auto floor =
      static_cast<std::size_t>(static_cast<double>(workers.size()) *
                                   (1 - this->settings.max_ejected_share) +
                               0.5);
  std::stable_sort(ejected.begin(), ejected.end(),
                   [this](const std::string& a, const std::string& b) {
                     return this->records.at(a).ejected_until <
                            this->records.at(b).ejected_until;
                   });
  for (const std::string& worker : ejected) {
    if (usable.size() >= std::max<std::size_t>(1, floor)) {
      break;
    }
    usable.push_back(worker);
  }
  return usable;
}

}  // namespace chervilpass::routing
