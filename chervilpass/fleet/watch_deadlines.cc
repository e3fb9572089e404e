#include "chervilpass/fleet/watch_deadlines.h"

#include <algorithm>

namespace chervilpass::fleet {

void WatchDeadlines::Reset(Instant now) {
  this->config_due = now - this->lateness;
  this->workers_due = now - this->lateness;
}

Instant WatchDeadlines::CurrentAt(Instant end, Instant now) const {
  return std::min(now, end + this->settings.overdue_margin + this->lateness);
}

void WatchDeadlines::MeasureLateness(Instant end, Instant now) {
  const Duration late = now - end;
  // Later than a call may take only if this process stood still.
  if (late <= this->settings.max_lateness + this->settings.overdue_margin) {
    this->lateness =
        std::clamp(late, Duration::zero(), this->settings.max_lateness);
  }
}

void WatchDeadlines::OnAnswer(platform::StoreKind kind, Instant begin) {
  if (kind == platform::StoreKind::kConfig) {
    this->config_due =
        begin + this->settings.config_wait + this->settings.overdue_margin;
  } else {
    this->workers_due =
        begin + this->settings.workers_wait + this->settings.overdue_margin;
  }
}

Instant WatchDeadlines::NextDue() const {
  return std::min(this->config_due, this->workers_due) + this->lateness;
}

}  // namespace chervilpass::fleet
