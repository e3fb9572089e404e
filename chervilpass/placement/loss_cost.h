// Estimates the cost of the losses of workers for the paths of streams: each
// further worker of a path may be lost while the stream runs, which costs a
// pause.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "chervilpass/core/time.h"
#include "chervilpass/placement/model_profile.h"

namespace chervilpass::placement {

/// Settings of a LossCost.
struct LossCostSettings {
  /// Losses are counted over this time.
  Duration window = seconds(300);
  /// The rate before any loss was seen: `prior_losses` in `prior_worker_time`,
  /// which counts as much as that time of observation. One loss per worker in
  /// 80 hours.
  double prior_losses = 0.05;
  Duration prior_worker_time = hours(4);
  /// Further reports about the same worker within this time are the same loss:
  /// one that stays unreachable is reported every 12 s at least.
  Duration same_loss_time = seconds(15);
  /// Losses within this time of each other are joined. A stream pauses once for
  /// all of them, so that each counts `joined_weight` times the one before.
  Duration joined_time = seconds(2);
  double joined_weight = 0.8;
  /// The time that a stream needs to go on after a loss: p50 in December 2026.
  Duration recovery_time = milliseconds(432);
  /// Cost of a pause over the objective of the route, in addition to the pause:
  /// the response loses 0.3 to 0.6 of its credit, as one that is late by about
  /// this.
  Duration missed_objective_cost = seconds(2);
  /// Upper bound of the cost of one worker of a path.
  Duration max_stage_cost = milliseconds(250);

  bool operator==(const LossCostSettings&) const = default;
};

/// Counts losses of workers. Not thread-safe.
/// Invariant: the weight of each loss is at most 1; losses older than the
/// window are removed by Expire.
class LossCost {
 public:
  explicit LossCost(LossCostSettings settings) : settings(settings) {}

  /// A worker has ended or does not respond. False if that loss is known.
  bool OnLost(const std::string& worker, Instant now);

  /// Records the number of workers that are watched; called regularly.
  void SetWorkers(std::size_t workers, Instant now);

  /// Losses per worker and second.
  double Rate(Instant now) const;

  /// Expected cost of the loss of one worker of a path for a stream that lasts
  /// `exposure` and whose events may pause for `objective`; zero: any time.
  Duration StageCost(Duration exposure, Duration objective, Instant now) const;

  /// True if a worker was reported within `age`, for the same loss or a new
  /// one.
  bool ReportedWithin(Duration age, Instant now) const {
    return this->reported && now - this->reported_at <= age;
  }

  /// Losses within the window, joined ones included.
  std::size_t Losses() const { return this->losses.size(); }

  /// Removes losses that are older than the window.
  void Expire(Instant now);

 private:
  struct Loss {
    Instant at{};
    double weight = 1;
  };

  LossCostSettings settings;
  std::deque<Loss> losses;                     ///< oldest first
  std::map<std::string, Instant> last_report;  ///< by worker
  bool reported = false;
  Instant reported_at{};  ///< the latest report
  std::size_t workers = 0;
  Instant watched_since{};
};

/// Estimated duration of a stream that writes `answer_tokens` tokens, on
/// workers with the average of the model's accelerators.
Duration StreamExposure(const ModelProfile& model, double answer_tokens);

}  // namespace chervilpass::placement
