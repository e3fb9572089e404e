#include "chervilpass/pipeline/chain_chooser.h"

#include <fmt/format.h>

namespace chervilpass::pipeline {
namespace {

// Assumed for replicas without a measured step time.
constexpr double kUnknownStepSeconds = 0.001;

double ExpectedStepTime(const ReplicaState& replica) {
  const double step_seconds = replica.step_time.count() > 0
                                  ? ToSeconds(replica.step_time)
                                  : kUnknownStepSeconds;
  const double utilisation = static_cast<double>(replica.sessions + 1) /
                             static_cast<double>(replica.session_limit);
  // The smoothed step time already reflects part of the load; the utilisation
  // distinguishes replicas whose sessions have only just been placed.
  return step_seconds * (1 + utilisation);
}

bool CanPlace(const ReplicaState& replica, bool suspect) {
  const bool has_capacity = replica.sessions < replica.session_limit;
  return has_capacity && !(suspect && replica.runs_suspect);
}

}  // namespace

std::optional<ChainChoice> ChooseChain(const std::vector<StageReplicas>& stages,
                                       bool suspect) {
  ChainChoice choice;
  choice.candidates = stages;
  for (const StageReplicas& replicas : stages) {
    const ReplicaState* best = nullptr;
    for (const ReplicaState& replica : replicas) {
      if (CanPlace(replica, suspect) &&
          (best == nullptr ||
           ExpectedStepTime(replica) < ExpectedStepTime(*best))) {
        best = &replica;
      }
    }
    if (best == nullptr) {
      return std::nullopt;
    }
    choice.workers.push_back(best->worker);
  }
  return choice;
}

std::string Describe(const ChainChoice& choice) {
  std::string text;
  for (const StageReplicas& replicas : choice.candidates) {
    text += text.empty() ? "" : "|";
    bool first = true;
    for (const ReplicaState& replica : replicas) {
      text +=
          fmt::format("{}{}:{}/{}@{:.1f}ms", first ? "" : ",", replica.worker,
                      replica.sessions, replica.session_limit,
                      ToSeconds(replica.step_time) * 1000);
      first = false;
    }
  }
  return text;
}

}  // namespace chervilpass::pipeline
