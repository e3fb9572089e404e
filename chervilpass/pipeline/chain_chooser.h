// Choice of one replica for each stage of a session.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "chervilpass/core/time.h"
#include "chervilpass/routing/cells.h"

namespace chervilpass::pipeline {

/// What the choice knows of one replica.
struct ReplicaState {
  std::string worker;
  std::uint32_t sessions = 0;  ///< placed there now
  std::uint32_t session_limit = 0;
  Duration step_time{0};      ///< smoothed, link delay included; 0 if unknown
  bool runs_suspect = false;  ///< a suspected request runs there

  bool operator==(const ReplicaState&) const = default;
};

/// The replicas of one stage that may be used.
using StageReplicas = std::vector<ReplicaState>;

/// The chosen workers, one a stage.
struct ChainChoice {
  std::vector<std::string> workers;
  std::vector<StageReplicas> candidates;

  bool operator==(const ChainChoice&) const = default;
};

/// Chooses for each stage the replica with the lowest expected step time: its
/// smoothed step time grown by its share of sessions. A suspected request goes
/// only where no other one runs. Empty if a stage has no replica with room.
std::optional<ChainChoice> ChooseChain(const std::vector<StageReplicas>& stages,
                                       bool suspect);

/// For the log line: "w1:3/8@1.2ms,w2:..|..", stages parted by '|'.
std::string Describe(const ChainChoice& choice);

}  // namespace chervilpass::pipeline
