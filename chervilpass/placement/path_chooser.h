// Chooses the workers that run a request and the layers that each of them runs:
// the shortest path over layer boundaries by marginal cost, constrained by KV
// cache capacity and batch slots. Mei et al., "Helix: Serving Large Language
// Models over Heterogeneous GPUs and Network via Max-Flow", ASPLOS 2025,
// formulates the problem as a flow. Pricing each worker at its marginal cost
// makes the sum of these choices approach the flow of minimum total delay
// (Pigou, 1920; Roughgarden and Tardos, "How Bad Is Selfish Routing?", 2002).
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chervilpass/core/random.h"
#include "chervilpass/core/result.h"
#include "chervilpass/placement/load_tracker.h"
#include "chervilpass/placement/model_profile.h"
#include "chervilpass/placement/path.h"
#include "chervilpass/placement/stream_times.h"

namespace chervilpass::placement {

/// A worker that may run a stage.
struct PathCandidate {
  std::string worker;
  io::Endpoint address;
  std::string data_centre;
  LayerRange layers;  ///< currently held
  AcceleratorKind kind;
  /// Factor of its times; 1 is the speed of its kind.
  double slowdown_factor = 1;
  WorkerLoad load;  ///< estimate over all entries
  /// Time for which its rate limit delays a request that is sent to it.
  Duration send_wait{0};
  /// Share of its capacity that it is given; below 1 while it is paced.
  double capacity_share = 1;
  /// It is paced, and this VM has its part of that share in flight.
  bool over_own_part = false;

  bool operator==(const PathCandidate&) const = default;
};

/// What is left of the objectives of a stream; not positive: none.
struct StreamObjective {
  Duration first_event_left{0};
  Duration event_interval{0};

  bool operator==(const StreamObjective&) const = default;
};

/// Weights of the parts of a stage's cost.
struct CostWeights {
  /// Of the time that the request itself takes.
  double own_time = 1;
  /// Of its predicted time to the first event, in addition.
  double first_event = 0;

  bool operator==(const CostWeights&) const = default;
};

/// Describes the path to find.
struct PathQuery {
  LayerRange layers;             ///< all of the model, or the stages to replace
  std::string from_data_centre;  ///< of the entry, or of the previous stage
  double prompt_tokens = 0;
  double answer_tokens = 0;
  std::set<std::string> excluded;    ///< ids of workers not to use
  std::set<std::string> avoided;     ///< used only if there is no other path
  bool includes_first_stage = true;  ///< that stage needs a batch slot
  /// Replaces PathChooserSettings::jitter.
  std::optional<double> cost_spread;
  /// Expected cost of the loss of a stage's worker, for each stage.
  Duration stage_loss_cost{0};
  /// Longest useful delay of the request by the rate limit of its first worker.
  Duration max_send_wait{0};
  /// Replaces PathChooserSettings::max_utilisation.
  std::optional<double> max_utilisation;
  /// Weight of the delay that the request adds to others, relative to its own.
  double added_delay_weight = 1;
  /// For ChooseByObjective; ChoosePath does not use it.
  StreamObjective objective;
  /// None: those of a request without an objective.
  std::optional<CostWeights> weights;

  bool operator==(const PathQuery&) const = default;
};

/// Settings of ChoosePath.
struct PathChooserSettings {
  /// Share of a worker's KV cache and batch slots up to which it is used. Below
  /// 1, since estimates lack the latest requests of other entries.
  double max_utilisation = 0.95;
  /// Utilisation above which a worker's cost rises, to spread load early.
  double high_utilisation = 0.6;
  /// Maximum random increase of each worker's cost, as a share of the cost;
  /// keeps entries from all choosing the same workers.
  double jitter = 0.08;
  /// Cost of each stage for each token of the answer: link and wake-up.
  Duration hop_delay = microseconds(100);
  /// Delay between two data centres; each token of the answer incurs it twice.
  Duration data_centre_delay = microseconds(700);
  /// Factor of a request's transfer time between data centres, since
  /// activations of all entries share the link.
  double link_sharing_factor = 3;
  /// Cost of a first stage in another data centre: each event of the answer
  /// crosses the link between them.
  Duration remote_entry_delay = milliseconds(400);

  bool operator==(const PathChooserSettings&) const = default;
};

enum class NoPathReason {
  kNoCover,     ///< Some layer is held by no usable worker.
  kNoCapacity,  ///< Every path lacks KV cache or a batch slot for the request.
};

/// A path with its cost: the time that the request takes and the delay that it
/// adds to the requests with which it shares workers.
struct ChosenPath {
  Path path;
  Duration cost{0};
  StreamTimes times;  ///< predicted, the wait for the first worker included

  bool operator==(const ChosenPath&) const = default;
};

/// Returns the path of least cost, or the reason why there is none. Paths
/// within one data centre take precedence. Deterministic for the same input and
/// random state.
Result<ChosenPath, NoPathReason> ChoosePath(
    const ModelProfile& model,
    const std::vector<PathCandidate>& candidates,
    const PathQuery& query,
    const PathChooserSettings& settings,
    Random* random);

}  // namespace chervilpass::placement
