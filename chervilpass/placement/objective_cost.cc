#include "chervilpass/placement/objective_cost.h"

#include <fmt/format.h>

#include <algorithm>

namespace chervilpass::placement {
namespace {

// Share of an objective that a time takes; 0 without an objective.
double ShareOf(Duration objective, Duration time) {
  return objective <= Duration::zero() ? 0
                                       : ToSeconds(time) / ToSeconds(objective);
}

// The larger share of the two objectives.
double ShareOf(const StreamObjective& objective, const StreamTimes& times) {
  return std::max(ShareOf(objective.first_event_left, times.first_event),
                  ShareOf(objective.event_interval, times.event_interval));
}

bool Improves(const ChosenPath& found,
              const ChosenPath& cheapest,
              ObjectiveFit fit,
              const StreamObjective& objective,
              const ObjectiveCostSettings& settings) {
  if (fit == ObjectiveFit::kTimeToSpare) {
    return ShareOf(objective, found.times) <= settings.spare_share;
  }
  const Duration interval = found.times.event_interval;
  const bool interval_met = ShareOf(objective.event_interval, interval) <= 1 ||
                            interval <= cheapest.times.event_interval;
  return interval_met && found.times.first_event < cheapest.times.first_event;
}

}  // namespace

const char* NameOf(ObjectiveFit fit) {
  switch (fit) {
    case ObjectiveFit::kNoObjective:
      return "no_objective";
    case ObjectiveFit::kTimeToSpare:
      return "time_to_spare";
    case ObjectiveFit::kMet:
      return "met";
    case ObjectiveFit::kMissed:
      return "missed";
  }
  return "";
}

std::string Describe(const ObjectiveDecision& decision) {
  return fmt::format(
      "{}, {}: {} ms left, first event after {} ms on the cheapest path and {} "
      "ms on the one used, events every {} and {} ms",
      NameOf(decision.fit), decision.changed ? "changed" : "not changed",
      ToMilliseconds(decision.objective.first_event_left),
      ToMilliseconds(decision.cheapest.first_event),
      ToMilliseconds(decision.used.first_event),
      ToMilliseconds(decision.cheapest.event_interval),
      ToMilliseconds(decision.used.event_interval));
}

ObjectiveFit FitOf(const StreamObjective& objective,
                   const StreamTimes& times,
                   const ObjectiveCostSettings& settings) {
  if (objective.first_event_left <= Duration::zero()) {
    return ObjectiveFit::kNoObjective;
  }
  if (ShareOf(objective.first_event_left, times.first_event) >
      settings.late_share) {
    return ObjectiveFit::kMissed;
  }
  return ShareOf(objective, times) < settings.spare_share
             ? ObjectiveFit::kTimeToSpare
             : ObjectiveFit::kMet;
}

std::optional<CostWeights> WeightsFor(const StreamObjective& objective,
                                      const StreamTimes& cheapest,
                                      const ObjectiveCostSettings& settings) {
  switch (FitOf(objective, cheapest, settings)) {
    case ObjectiveFit::kTimeToSpare:
      // Reaches 1, the weight of other requests, where no time is to spare.
      return CostWeights{
          std::max(settings.min_own_time_weight,
                   ShareOf(objective, cheapest) / settings.spare_share),
          0};
    case ObjectiveFit::kMissed:
      return CostWeights{1, settings.first_event_weight};
    case ObjectiveFit::kNoObjective:
    case ObjectiveFit::kMet:
      break;
  }
  return std::nullopt;
}

ObjectiveChoice ChooseByObjective(
    const ChosenPath& cheapest,
    const PathQuery& query,
    const ObjectiveCostSettings& settings,
    const std::function<Result<ChosenPath, NoPathReason>(const PathQuery&)>&
        search) {
  ObjectiveChoice choice;
  choice.chosen = cheapest;
  ObjectiveDecision& decision = choice.decision;
  decision.objective = query.objective;
  decision.fit = FitOf(query.objective, cheapest.times, settings);
  decision.cheapest = cheapest.times;
  decision.used = cheapest.times;
  const auto weights = WeightsFor(query.objective, cheapest.times, settings);
  if (!weights) {
    return choice;
  }
  decision.searched = true;
  PathQuery weighted = query;
  weighted.weights = weights;
  const auto found = search(weighted);
  if (found.has_value() && found.value().path != cheapest.path &&
      Improves(found.value(), cheapest, decision.fit, query.objective,
               settings)) {
    choice.chosen = found.value();
    decision.changed = true;
    decision.used = choice.chosen.times;
  }
  return choice;
}

}  // namespace chervilpass::placement
