// The streams that are in progress, and the watch over them: finds workers at
// which streams stall and moves the streams to other paths.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "chervilpass/serving/call_scope.h"
#include "chervilpass/serving/request_context.h"

namespace chervilpass::serving {

/// Describes a StreamRegistry.
struct StreamRegistrySettings {
  /// How often streams are looked at.
  Duration check_interval = milliseconds(20);
  /// Silence of a running stream after which the workers of its path are asked
  /// whether they are there. Events come every few tens of milliseconds; routes
  /// allow pauses of some 200 ms, of which a move to other workers takes half.
  Duration probe_threshold = milliseconds(90);
  /// A stream whose events come slowly is silent for longer than usual only
  /// after this many times the usual pause.
  double pause_factor = 2.5;
  /// Workers that serve a stream with an event this recent are there.
  Duration recent_event_window = milliseconds(50);
  /// A worker that has answered is not asked again for this long.
  Duration probe_interval = milliseconds(400);
  /// Silence after which the first worker is asked whom its requests wait for.
  Duration stall_threshold = milliseconds(180);
  /// Its report is some hundred ms old, so that it is not asked again sooner.
  Duration examine_interval = milliseconds(150);
  /// The same before the first event: prompts wait for their turn.
  Duration first_event_stall_threshold = milliseconds(700);
  /// After this silence the run is given up, if no fault was found and the
  /// stream may be resumed. Callers leave after two seconds.
  Duration stall_timeout = milliseconds(1400);
  /// Time for a worker's report or the answer to an order.
  Duration report_timeout = milliseconds(250);
  /// Time for a worker that is suspected to show that it is there; a report
  /// takes a few milliseconds and no slot.
  Duration verify_timeout = milliseconds(100);
  /// A look that comes this late means that this VM stood still: what seemed
  /// to time out meanwhile says nothing.
  Duration local_stall_threshold = milliseconds(60);

  bool operator==(const StreamRegistrySettings&) const = default;
};

/// One stream in progress. Lives in the fiber that serves it.
struct ActiveStream {
  std::string request_id;
  std::string service;
  const placement::ModelProfile* model = nullptr;
  CallScope* scope = nullptr;
  bool may_resume = false;  ///< another run is allowed once this one ended
  bool retry_budget_charged = false;  ///< out of the retry budget

  placement::Path path;  ///< empty while no run is in progress
  double tokens = 0;     ///< reserved on the path
  double prompt_tokens = 0;
  double answer_tokens = 0;
  Instant last_progress{};
  Duration smoothed_event_interval{0};  ///< smoothed, between two events
  bool first_event_seen = false;
  bool moving = false;  ///< an order for another path is on its way
  bool moved = false;   ///< since the last event
};

/// Fiber thread only.
class StreamRegistry {
 public:
  static std::unique_ptr<StreamRegistry> Create(
      const RouterDependencies* parts,
      StreamRegistrySettings settings);
  ~StreamRegistry();

  /// Watches a stream from now on; it must be removed before it ends.
  void Add(ActiveStream* stream);
  void Remove(ActiveStream* stream);

  /// A connection to a worker was refused or broke. It is asked before it is
  /// taken for dead: a busy worker resets connections too. If it is,
  /// `on_dead` is called; not after the registry has ended.
  void VerifyWorker(const std::string& worker,
                    std::string evidence,
                    std::function<void()> on_dead);

  /// A peer has found a worker unreachable. Streams that wait for it are moved
  /// sooner than on this VM's own evidence.
  void OnPeerFoundUnreachable(const std::string& worker);

 private:
  struct State;
  explicit StreamRegistry(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

}  // namespace chervilpass::serving
