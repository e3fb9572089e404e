// Path selection by objective: a request with time to spare leaves the fast
// workers to others, one that would miss its objective takes the path with the
// shortest time to its first event.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "chervilpass/placement/path_chooser.h"

namespace chervilpass::placement {

/// Settings of ChooseByObjective.
struct ObjectiveCostSettings {
  /// A path is used for the sake of others only if its time to the first event
  /// and its event interval are within this share of the objectives. Loads are
  /// up to seconds old, and wake-ups and links to callers are not predicted.
  double spare_share = 0.5;
  /// A request whose time on the cheapest path exceeds this share of what is
  /// left of its objective is taken to miss it. Trials with 0.6 to 1 differed
  /// by no more than 0.024 in the share of late streams.
  double late_share = 0.8;
  /// Least weight of the request's own time. In trials with loads a second old,
  /// 0.1 left 1 % of the urgent streams late at a rate at which 0.2 left 0.2 %.
  double min_own_time_weight = 0.2;
  /// Weight of the time to the first event for a request that would miss its
  /// objective. High enough to decide: 10 ms count like 1 s of the usual cost.
  double first_event_weight = 100;

  bool operator==(const ObjectiveCostSettings&) const = default;
};

/// How the cheapest path meets the objective.
enum class ObjectiveFit {
  kNoObjective,  ///< there is none, or it has passed
  kTimeToSpare,
  kMet,
  kMissed,
};

/// Name of a fit in log lines and metrics.
const char* NameOf(ObjectiveFit fit);

/// Returns how a path with these times meets the objective.
ObjectiveFit FitOf(const StreamObjective& objective,
                   const StreamTimes& times,
                   const ObjectiveCostSettings& settings);

/// Returns the weights for a further search, given the times of the cheapest
/// path; none if that path is to be used.
std::optional<CostWeights> WeightsFor(const StreamObjective& objective,
                                      const StreamTimes& cheapest,
                                      const ObjectiveCostSettings& settings);

/// What a path was chosen by.
struct ObjectiveDecision {
  StreamObjective objective;
  ObjectiveFit fit = ObjectiveFit::kNoObjective;  ///< of the cheapest path
  bool searched = false;                          ///< a further search was made
  bool changed = false;  ///< its path is used instead of the cheapest one
  StreamTimes cheapest;  ///< of the cheapest path
  StreamTimes used;      ///< of the path that is used

  bool operator==(const ObjectiveDecision&) const = default;
};

/// "FIT, changed: A ms left, first event after B ms on the cheapest path and
/// C ms on the one used, ..." for the log.
std::string Describe(const ObjectiveDecision& decision);

/// The path of a request and what it was chosen by.
struct ObjectiveChoice {
  ChosenPath chosen;
  ObjectiveDecision decision;

  bool operator==(const ObjectiveChoice&) const = default;
};

/// Chooses between the cheapest path and that of at most one further search
/// with other weights. The cheapest path is used if the search finds none.
ObjectiveChoice ChooseByObjective(
    const ChosenPath& cheapest,
    const PathQuery& query,
    const ObjectiveCostSettings& settings,
    const std::function<Result<ChosenPath, NoPathReason>(const PathQuery&)>&
        search);

}  // namespace chervilpass::placement
