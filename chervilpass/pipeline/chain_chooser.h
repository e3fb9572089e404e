// Chooses one replica for each stage of a session.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "chervilpass/core/time.h"
#include "chervilpass/routing/cells.h"

namespace chervilpass::pipeline {

/// State of one replica that the choice depends on.
struct ReplicaState {
  std::string worker;
  std::uint32_t sessions = 0;  ///< currently placed there
  std::uint32_t session_limit = 0;
  Duration step_time{0};      ///< smoothed, link delay included; 0 if unknown
  bool runs_suspect = false;  ///< a suspect request runs there

  bool operator==(const ReplicaState&) const = default;
};

/// The usable replicas of one stage.
using StageReplicas = std::vector<ReplicaState>;

/// The chosen workers, one for each stage, and the candidates.
struct ChainChoice {
  std::vector<std::string> workers;
  std::vector<StageReplicas> candidates;

  bool operator==(const ChainChoice&) const = default;
};

/// Chooses for each stage the replica with the lowest expected step time: its
/// smoothed step time multiplied by one plus its session utilisation. A suspect
/// request is not placed on a replica that runs a suspect request. Empty if a
/// stage has no replica that can take the session.
std::optional<ChainChoice> ChooseChain(const std::vector<StageReplicas>& stages,
                                       bool suspect);

/// The candidates as a log field: "w1:3/8@1.2ms,w2:..|.." with sessions,
/// session limit and step time; stages are separated by '|'.
std::string Describe(const ChainChoice& choice);

}  // namespace chervilpass::pipeline
