// A second run of a stream whose first run is silent. The first run goes on
// until the second one has begun to write: a run is never given up for one that
// may not come about.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "chervilpass/serving/crash_monitor.h"
#include "chervilpass/serving/event_stream.h"
#include "chervilpass/serving/peer_forwarder.h"
#include "chervilpass/serving/stream_run.h"

namespace chervilpass::serving {

/// Describes the stream that a standby run is for.
struct StandbyRunRequest {
  RequestContext context;  ///< its exchange is not used
  io::HttpRequest request;
  const placement::ModelProfile* model = nullptr;  ///< of `context.table`
  placement::PathQuery query;
  double tokens = 0;  ///< KV tokens to reserve on the path
  Instant deadline{};
  /// The events that the caller has: the run goes on after them.
  EventSequence sequence{std::nullopt};
  TrackedRun run;  ///< as of the first run
  /// The workers of the first run.
  std::map<std::string, ServerStart> workers;
  /// VMs that the request has been forwarded to.
  std::set<io::Endpoint> tried_peers;
};

/// Runs on a fiber of its own. Fiber thread only.
/// Invariant: its call is cancelled unless it is taken over.
class StandbyRun : public std::enable_shared_from_this<StandbyRun> {
 public:
  /// Starts the run. `on_done` is called, unless the run is cancelled, once it
  /// has written or has failed.
  static std::shared_ptr<StandbyRun> Start(
      const RouterDependencies* dependencies,
      StandbyRunRequest request,
      std::function<void()> on_done);

  /// The first run goes on: ends this one.
  void Cancel();

  /// Ends the run: these workers of its path have ended. Then `on_done` is
  /// called.
  void Fail(std::set<std::string> ended_workers);

  /// True once it has written or has ended.
  bool Done() const { return this->done; }

  /// True if it has written and can be taken over.
  bool Ready() const {
    return this->done && this->begun.outcome == SendOutcome::kResponse;
  }

  /// True if a worker or another VM may have run it.
  bool MayHaveRun() const { return this->sent; }

  /// The path; empty until it is chosen, and if another VM takes the request.
  const placement::Path& RunPath() const { return this->reserved; }

  /// The start of a worker of the path.
  const ServerStart& StartOf(const std::string& worker) const {
    return this->workers.at(worker);
  }

  /// When it was last sent to a worker or to another VM.
  Instant SentAt() const { return this->sent_at; }

  /// VMs that the request has been forwarded to.
  const std::set<io::Endpoint>& TriedPeers() const {
    return this->forwarder.Tried();
  }

  /// The result; once it is done.
  const BegunStreamRun& Result() const { return this->begun; }

  /// Takes a ready run over; its reservations end.
  BegunStreamRun Take();

 private:
  StandbyRun(const RouterDependencies* dependencies,
             StandbyRunRequest request,
             std::function<void()> on_done);

  void Run();
  BegunStreamRun Begin();
  // A path whose workers answer, as far as one is found; none without a path.
  std::optional<placement::Path> FindPath();
  BegunStreamRun BeginOnPath();
  BegunStreamRun BeginThroughPeer();
  void AwaitFirstEvent(BegunStreamRun* run);
  bool MayBeSent() const;
  bool SetCall(io::HttpCall* new_call);
  bool MayGoOn() const {
    return !this->cancelled && this->ended_workers.empty();
  }
  Duration TimeLeft() const;
  void Reserve(const placement::Path& path);
  void Release();
  void RecordLoss();
  bool FirstWorkerEnded() const;

  const RouterDependencies* dependencies;
  StandbyRunRequest request;
  std::function<void()> on_done;
  PeerForwarder forwarder;
  BegunStreamRun begun;
  io::HttpCall* call = nullptr;  ///< in progress
  placement::Path reserved;
  std::map<std::string, ServerStart> workers;  ///< of `reserved`
  /// Workers that have ended; then the run fails.
  std::set<std::string> ended_workers;
  Instant sent_at{};
  bool cancelled = false;
  bool sent = false;
  bool through_peer = false;
  bool done = false;
};

}  // namespace chervilpass::serving
