#include "chervilpass/placement/loss_cost.h"

#include <algorithm>

namespace chervilpass::placement {
namespace {

// Work waits half a pass on a busy worker, as in the costs of stages.
constexpr double kPassWait = 0.5;

Duration FromSeconds(double value) {
  return duration_cast<Duration>(std::chrono::duration<double>(value));
}

}  // namespace

bool LossCost::OnLost(const std::string& worker, Instant now) {
  this->Expire(now);
  this->reported = true;
  this->reported_at = now;
  const auto [entry, is_new] = this->last_report.try_emplace(worker, now);
  if (!is_new) {
    // A worker that stays silent is reported again and again.
    const bool same = now - entry->second < this->settings.same_loss_time;
    entry->second = now;
    if (same) {
      return false;
    }
  }
  double weight = 1;
  if (!this->losses.empty() &&
      now - this->losses.back().at < this->settings.joined_time) {
    weight = this->losses.back().weight * this->settings.joined_weight;
  }
  this->losses.push_back({now, weight});
  return true;
}

void LossCost::SetWorkers(std::size_t count, Instant now) {
  if (this->workers == 0 && count > 0) {
    this->watched_since = now;
  }
  this->workers = count;
}

double LossCost::Rate(Instant now) const {
  double lost = this->settings.prior_losses;
  for (const Loss& loss : this->losses) {
    lost += now - loss.at <= this->settings.window ? loss.weight : 0;
  }
  const Duration watched = std::min<Duration>(
      this->settings.window,
      std::max<Duration>(Duration::zero(), now - this->watched_since));
  const double worker_seconds =
      ToSeconds(this->settings.prior_worker_time) +
      (this->workers == 0
           ? 0
           : ToSeconds(watched) * static_cast<double>(this->workers));
  return lost / worker_seconds;
}

Duration LossCost::StageCost(Duration exposure,
                             Duration objective,
                             Instant now) const {
  const bool missed =
      objective > Duration::zero() && this->settings.recovery_time > objective;
  const double pause_seconds =
      ToSeconds(this->settings.recovery_time) +
      (missed ? ToSeconds(this->settings.missed_objective_cost) : 0);
  return std::min(
      FromSeconds(this->Rate(now) * ToSeconds(exposure) * pause_seconds),
      this->settings.max_stage_cost);
}

void LossCost::Expire(Instant now) {
  while (!this->losses.empty() &&
         now - this->losses.front().at > this->settings.window) {
    this->losses.pop_front();
  }
  std::erase_if(this->last_report, [&](const auto& entry) {
    return now - entry.second >= this->settings.same_loss_time;
  });
}

Duration StreamExposure(const ModelProfile& model, double answer_tokens) {
  double factor = 0;
  for (const auto& [name, kind] : model.accelerator_kinds) {
    factor += kind.step_factor;
  }
  factor = model.accelerator_kinds.empty()
               ? 1
               : factor / static_cast<double>(model.accelerator_kinds.size());
  return FromSeconds(answer_tokens * factor * (1 + kPassWait) *
                     ToSeconds(model.step_time));
}

}  // namespace chervilpass::placement
