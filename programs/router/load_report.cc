#include "programs/router/load_report.h"

#include <fmt/format.h>

#include <utility>

namespace chervilpass {
namespace {

// Of a typical stream, with the tightest objective in use, for the report.
constexpr Duration kReportedExposure = seconds(1);
constexpr Duration kReportedObjective = milliseconds(250);
constexpr double kSecondsPerHour = 3600;

}  // namespace

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
      strike_lines(settings.strike_rate, settings.strike_burst, now),
      logged_at(now),
      losses_logged_at(now) {}

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

void LoadReport::OnStrike(const quarantine::Strike& strike,
                          std::uint32_t strikes,
                          WallTime wall,
                          Instant now) {
  this->metrics->Increment("chervil_strikes_received_total");
  if (!this->strike_lines.TryTake(now)) {
    ++this->unlogged_strikes;
    return;
  }
  this->log->Info(
      "strike.received",
      {{"fingerprint", fmt::format("{:016x}", strike.fingerprint)},
       {"worker", strike.worker},
       {"age_ms", wall.milliseconds - strike.at.milliseconds},
       {"prior", strike.prior},
       {"strikes", strikes},
       {"unlogged_before", std::exchange(this->unlogged_strikes, 0)}});
}

void LoadReport::Export(Instant now) {
  const placement::LossCost& losses = this->routing_state->Losses();
  this->metrics->Set("chervil_workers_lost_recently", "",
                     static_cast<double>(losses.Losses()));
  this->metrics->Set("chervil_worker_losses_per_hour", "",
                     kSecondsPerHour * losses.Rate(now));
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
  this->LogCorrections(now);
  if (this->routing_state->Settings().loss_cost) {
    this->LogLosses(now);
  }
}

void LoadReport::LogLosses(Instant now) {
  const placement::LossCost& losses = this->routing_state->Losses();
  if (losses.Losses() == this->logged_losses ||
      now - this->losses_logged_at < this->settings.period) {
    return;
  }
  this->log->Info(
      "losses.changed",
      {{"losses", losses.Losses()},
       {"per_worker_hour", kSecondsPerHour * losses.Rate(now)},
       {"stage_cost_us",
        duration_cast<std::chrono::microseconds>(
            losses.StageCost(kReportedExposure, kReportedObjective, now))
            .count()}});
  this->logged_losses = losses.Losses();
  this->losses_logged_at = now;
}

void LoadReport::LogCorrections(Instant now) {
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
