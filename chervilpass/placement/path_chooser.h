// Chooses the workers that run a request, each a part of the layers: the
// shortest path over layer boundaries by marginal cost, with KV room and batch
// slots as limits. Mei et al., "Helix: Serving Large Language Models over
// Heterogeneous GPUs and Network via Max-Flow", ASPLOS 2025, poses the problem
// as a flow; pricing each worker at its marginal cost makes the sum of such
// choices approach the flow of least total delay (Pigou, 1920; Roughgarden and
// Tardos, "How Bad Is Selfish Routing?", 2002).
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

namespace chervilpass::placement {

/// A worker that may take a part.
struct PathCandidate {
  std::string worker;
  io::Endpoint address;
  std::string data_centre;
  LayerRange layers;  ///< held now
  AcceleratorKind kind;
  double slowness = 1;  ///< 1 if it is as fast as its kind
  WorkerLoad load;      ///< estimate over all entries

  bool operator==(const PathCandidate&) const = default;
};

/// What is asked for.
struct PathQuery {
  LayerRange layers;             ///< the whole model, or the part to replace
  std::string from_data_centre;  ///< of the entry, or of the part before
  double prompt_tokens = 0;
  double answer_tokens = 0;
  std::set<std::string> excluded;  ///< workers that must not be used
  bool includes_first_stage = true;

  bool operator==(const PathQuery&) const = default;
};

/// Describes the choice.
struct PathChooserSettings {
  /// Share of a worker's KV room and batch slots that estimates may fill: they
  /// miss what other entries have sent since.
  double max_utilisation = 0.95;
  /// Fill from which a worker counts as slower, to spread load early.
  double high_utilisation = 0.6;
  /// Spread of costs by chance, so that entries do not choose alike.
  double jitter = 0.08;
  /// Cost of one more worker in the path, for each token: link and wake-up.
  Duration hop_delay = microseconds(100);
  /// Delay between two data centres, for each token.
  Duration data_centre_delay = microseconds(700);
  /// Activations of all entries share the link between data centres; ours are
  /// charged this many times.
  double link_sharing = 3;
  /// Cost of entering another data centre: its answer crosses the link between
  /// them, event by event.
  Duration remote_entry_delay = milliseconds(400);

  bool operator==(const PathChooserSettings&) const = default;
};

enum class NoPathReason {
  kNoCover,     ///< Some layer is held by no usable worker.
  kNoCapacity,  ///< Every path lacks KV room for the request.
};

/// A path with its cost: the time that the request takes and the delay that it
/// adds to the requests it shares workers with.
struct ChosenPath {
  Path path;
  Duration cost{0};

  bool operator==(const ChosenPath&) const = default;
};

/// Path or the reason why there is none. Same input and random state, same
/// result.
Result<ChosenPath, NoPathReason> ChoosePath(
    const ModelProfile& model,
    const std::vector<PathCandidate>& candidates,
    const PathQuery& query,
    const PathChooserSettings& settings,
    Random* random);

}  // namespace chervilpass::placement
