// Watches the streams in progress: finds workers at which streams stall, and
// starts standby runs for the streams or moves them to other paths.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "chervilpass/routing/recovery_schedule.h"
#include "chervilpass/serving/call_scope.h"
#include "chervilpass/serving/crash_monitor.h"
#include "chervilpass/serving/request_context.h"
#include "chervilpass/serving/run_time_estimator.h"

namespace chervilpass::serving {

/// Settings of a StreamRegistry.
struct StreamRegistrySettings {
  /// Interval between checks of all streams.
  Duration check_interval = milliseconds(20);
  /// Silence of a running stream after which the workers of its path are
  /// probed. Events come every few tens of milliseconds; routes allow intervals
  /// of some 200 ms, half of which a move to other workers takes.
  Duration probe_threshold = milliseconds(90);
  /// For streams with slow events, silence counts as a stall only from this
  /// multiple of the smoothed event interval.
  double stall_interval_factor = 2.5;
  /// Workers of a stream with an event this recent are not probed.
  Duration recent_event_window = milliseconds(50);
  /// A worker that has answered a probe is not probed again for this long.
  Duration probe_interval = milliseconds(400);
  /// Silence after which the first worker is asked which workers its requests
  /// wait for.
  Duration stall_threshold = milliseconds(180);
  /// The first worker is not asked again sooner than this, since its report is
  /// some hundred milliseconds old.
  Duration examine_interval = milliseconds(150);
  /// The stall threshold before the first event, and after a move until the
  /// next event, since prompts may be queued.
  Duration first_event_stall_threshold = milliseconds(700);
  /// Silence after which a standby run is started although no unreachable
  /// worker was found. Callers disconnect after two seconds.
  Duration stall_timeout = milliseconds(1400);
  /// Shortest time from the end of one standby run to the start of the next;
  /// doubles with each one that fails during the same run.
  Duration standby_interval = milliseconds(100);
  /// Timeout for a worker's report or its response to an order.
  Duration report_timeout = milliseconds(250);
  /// Timeout for a probe; a report takes a few milliseconds and no slot.
  Duration verify_timeout = milliseconds(100);

  /// Streams whose workers are known to be gone go on elsewhere by `recovery`,
  /// on paths whose workers have answered a probe; otherwise they wait as long
  /// as for a stall.
  bool early_recovery = false;
  routing::RecoveryScheduleSettings recovery;
  /// Longest wait for the probes of a path before a lost run goes on there: a
  /// worker that lives answers within a few milliseconds.
  Duration path_probe_wait = milliseconds(25);

  bool operator==(const StreamRegistrySettings&) const = default;
};

class StandbyRun;

/// A stream in progress. Owned by the fiber that serves it.
struct ActiveStream {
  std::string request_id;
  std::string service;
  const placement::ModelProfile* model = nullptr;
  CallScope* scope = nullptr;
  std::uint32_t priority = 0;  ///< 0 is first
  bool may_resume = false;     ///< another run may follow this one
  /// Another run may follow if the first worker of this one has ended.
  bool may_replace_ended = false;
  bool may_forward = false;  ///< another run may go through another VM
  /// Starts a run that takes over once it has written; it is paid from the
  /// retry budget already.
  std::function<void(const std::set<std::string>& excluded)> start_standby;
  StandbyRun* standby = nullptr;      ///< null if none is in progress
  std::uint32_t failed_standbys = 0;  ///< during the run in progress
  Instant last_standby_end{};

  placement::Path path;          ///< empty while no run is in progress
  std::uint32_t run_number = 0;  ///< of the run in progress or the last one
  TrackedRun run;                ///< reported if the run in progress is lost
  /// The starts of the workers that were on the path since the run began; of a
  /// worker that was on it twice, the latest.
  std::map<std::string, ServerStart> workers;
  double tokens = 0;  ///< KV tokens reserved on the path
  double prompt_tokens = 0;
  double answer_tokens = 0;
  Duration pause_objective{0};  ///< of its route; zero: none
  Instant last_progress{};
  Duration smoothed_event_interval{0};
  EventPace pace;
  Instant last_event{};
  bool first_event_seen = false;
  bool moving = false;  ///< a move to another path is in progress
  bool moved = false;   ///< since the last event
  /// A worker of the path has ended since the last event; it may start again.
  bool worker_ended = false;
};

/// Records the starts of the workers that a run was given or moved to. Workers
/// of `kept`, the path before a move, are those it runs on already.
void RecordWorkers(const RouterDependencies& dependencies,
                   ActiveStream* stream,
                   const placement::Path& kept);

/// Records the workers of the path that have started again: the first worker
/// sends the stream on to them by itself.
void RecordRestarts(const RouterDependencies& dependencies,
                    ActiveStream* stream);

/// Forgets the workers of a run that has ended.
void ForgetWorkers(const RouterDependencies& dependencies,
                   ActiveStream* stream);

/// Watches the streams in progress. Fiber thread only.
class StreamRegistry {
 public:
  static std::unique_ptr<StreamRegistry> Create(
      const RouterDependencies* dependencies,
      StreamRegistrySettings settings);
  ~StreamRegistry();

  /// Starts to watch a stream; it must be removed before it is destroyed.
  void Add(ActiveStream* stream);
  void Remove(ActiveStream* stream);

  /// Probes the workers of the path that have not shown recently that they
  /// live. Returns those that do not answer; none without `early_recovery`.
  std::set<std::string> UnansweredWorkers(const placement::Path& path);

  /// The present times between events of the service's streams, of those that
  /// have written some.
  std::vector<Duration> EventIntervals(const std::string& service) const;

  /// A peer has found a worker unreachable: streams that wait for it are moved
  /// sooner than on local evidence alone.
  void OnPeerFoundUnreachable(const std::string& worker);

 private:
  struct State;
  explicit StreamRegistry(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

}  // namespace chervilpass::serving
