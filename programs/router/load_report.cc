#include "programs/router/load_report.h"

#include <utility>

namespace chervilpass {

LoadReport::LoadReport(const serving::RoutingState* routing_state,
                       MetricsRegistry* metrics,
                       const Logger* log,
                       LoadReportSettings settings,
                       Instant now)
    : routing_state(routing_state),
      metrics(metrics),
      log(log),
      settings(settings),
      notice_lines(settings.notice_rate, settings.notice_burst, now),
      logged_at(now) {}

void LoadReport::OnFullLearned(const std::string& worker,
                               const std::string& peer,
                               Duration left,
                               Instant now) {
  if (!this->notice_lines.TryTake(now)) {
    ++this->unlogged_notices;
    return;
  }
  this->log->Info(
      "worker.full_learned",
      {{"worker", worker},
       {"peer", peer},
       {"left_ms", ToMilliseconds(left)},
       {"unlogged_before", std::exchange(this->unlogged_notices, 0)}});
}

void LoadReport::Export(Instant now) {
  if (!this->routing_state->Settings().load_correction) {
    return;
  }
  const placement::LoadCorrection& correction =
      this->routing_state->Correction();
  const placement::LoadCorrectionCounts& counts = correction.Counts();
  const auto set = [this](std::string_view name, std::string_view labels,
                          double value) {
    this->metrics->Set(name, labels, value);
  };
  set("chervil_loads_corrected", "reason=\"full\"",
      static_cast<double>(counts.raised_as_full));
  set("chervil_loads_corrected", "reason=\"stated\"",
      static_cast<double>(counts.by_statement));
  set("chervil_loads_corrected", "reason=\"growth\"",
      static_cast<double>(counts.by_growth));
  set("chervil_full_refusals_known", "", static_cast<double>(counts.refusals));
  set("chervil_full_workers_known", "",
      static_cast<double>(correction.FullWorkers(now)));
}

void LoadReport::LogChanges(Instant now) {
  const placement::LoadCorrectionCounts& counts =
      this->routing_state->Correction().Counts();
  if (counts == this->logged || now - this->logged_at < this->settings.period) {
    return;
  }
  this->log->Info(
      "load.corrected",
      {{"period_ms", ToMilliseconds(now - this->logged_at)},
       {"refusals", counts.refusals - this->logged.refusals},
       {"raised_as_full", counts.raised_as_full - this->logged.raised_as_full},
       {"by_statement", counts.by_statement - this->logged.by_statement},
       {"by_growth", counts.by_growth - this->logged.by_growth},
       {"full_workers", this->routing_state->Correction().FullWorkers(now)}});
  this->logged = counts;
  this->logged_at = now;
}

}  // namespace chervilpass
