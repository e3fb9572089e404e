// Applies the paces of servers to the routing state: which starts and outages
// there are, what the answers of servers say, and what paced servers may get.
// The decisions are routing::ServerPace's.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "chervilpass/placement/path_chooser.h"
#include "chervilpass/placement/stream_times.h"
#include "chervilpass/routing/backend_server.h"
#include "chervilpass/routing/server_pace.h"

namespace chervilpass::serving {

class RoutingState;

/// Paces of the servers of a RoutingState. Fiber thread only.
class ServerPacing {
 public:
  ServerPacing(routing::ServerPaceSettings settings, const std::string& vm);

  routing::ServerPace& Pace() { return this->pace; }
  const routing::ServerPace& Pace() const { return this->pace; }

  /// False while no server is paced.
  bool Active() const { return !this->pace.NonePaced(); }

  /// Updates the starts and outages; to be called a few times a second.
  void Update(const RoutingState& state, Instant now);

  /// This VM's own links were at fault: outages since are no news of servers.
  void OnLinksRegained(Instant now);

  /// Sets what a paced worker may get.
  void Limit(const RoutingState& state,
             const placement::ModelProfile& model,
             placement::PathCandidate* candidate) const;

  /// True if a paced server may get a call beside `in_flight` ones of this VM.
  bool MayCall(const std::string& start,
               std::uint32_t slots,
               std::uint32_t in_flight) const;

  /// Counts a request for which some server was left out since it is paced.
  void CountHeldBack() { ++this->held_back; }
  std::uint64_t HeldBack() const { return this->held_back; }

  /// Records how a call to a plain server ended; `elapsed` after it was sent.
  void RecordCall(RoutingState& state,
                  const routing::BackendServer& server,
                  routing::PaceEvidence evidence,
                  Duration elapsed,
                  Instant now);

  /// Records that a worker refused a request.
  void RecordRefusal(const std::string& start, double slots, Instant now);

 private:
  friend class StreamPaceRecorder;

  // Smoothed ratios of observed to predicted times of streams without paced
  // workers: what the prediction leaves out does not count against a worker.
  struct Baseline {
    double first_event = 0;  ///< 0: unknown
    double event_interval = 0;
  };

  routing::ServerPace pace;
  std::set<std::string> away;  ///< starts in an outage
  std::uint64_t generation = 0;
  Instant listed{};
  std::uint64_t held_back = 0;
  std::uint64_t runs = 0;                     ///< without paced workers
  std::map<std::string, Baseline> baselines;  ///< by service
};

/// Records what the times of one run of a stream say about the paced workers on
/// its path. Does nothing while pacing is off.
class StreamPaceRecorder {
 public:
  explicit StreamPaceRecorder(RoutingState* state) : state(state) {}

  /// A run is sent on `path`.
  void OnRunBegun(const std::string& service,
                  const placement::ModelProfile& model,
                  const placement::Path& path,
                  double prompt_tokens,
                  Instant now);

  /// `events` have come at once. `moved`: the path has changed since, so the
  /// times say nothing about it any more.
  void OnEvents(std::uint64_t events, bool moved, Instant now);

  /// The run has ended. `failed`: its first worker has answered with a failure.
  void OnRunEnded(const placement::Path& path, bool failed, Instant now);

 private:
  // A paced worker of the path.
  struct PacedStage {
    std::string start;
    double slots = 1;
  };

  void Record(double observed,
              double predicted,
              double* baseline,
              Instant sent,
              Instant now);

  RoutingState* state;
  bool recording = false;
  std::string service;
  std::vector<PacedStage> paced;
  double weight = 1;  ///< of the paced workers in the predicted times
  double demand = 1;
  placement::StreamTimes predicted;
  Instant begun{};
  bool first_seen = false;
  Instant interval_begun{};
  std::uint64_t events = 0;  ///< since then
};

}  // namespace chervilpass::serving
