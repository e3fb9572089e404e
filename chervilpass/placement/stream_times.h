// Predicts the times of a stream on a path from the kinds and the load of its
// workers.
#pragma once

#include <vector>

#include "chervilpass/placement/load_tracker.h"
#include "chervilpass/placement/model_profile.h"

namespace chervilpass::placement {

/// One stage of a path and the load of its worker.
struct StageLoad {
  AcceleratorKind kind;
  LayerRange layers;
  WorkerLoad load;

  bool operator==(const StageLoad&) const = default;
};

/// Predicted times of a stream.
struct StreamTimes {
  Duration first_event{0};     ///< from sending the request
  Duration event_interval{0};  ///< between two events

  bool operator==(const StreamTimes&) const = default;
};

/// Parts of the times of a stream that one stage takes, in seconds.
struct StageSeconds {
  double first_event = 0;
  double event_interval = 0;

  StageSeconds& operator+=(const StageSeconds& other) {
    this->first_event += other.first_event;
    this->event_interval += other.event_interval;
    return *this;
  }
  StreamTimes ToTimes() const;

  bool operator==(const StageSeconds&) const = default;
};

/// The times of one stage, without queueing.
StageSeconds PredictStage(const ModelProfile& model,
                          const StageLoad& stage,
                          double prompt_tokens);

/// Sums over the stages, without queueing: prefill in chunks, each in a pass
/// that also decodes the requests in the batch.
StreamTimes PredictStreamTimes(const ModelProfile& model,
                               const std::vector<StageLoad>& stages,
                               double prompt_tokens);

}  // namespace chervilpass::placement
