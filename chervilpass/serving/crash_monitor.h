// Finds out which backend servers crashed under which requests, whatever the
// kind of route. A run without a complete response is evidence only if its
// server ended: it is probed, and its registration is watched for a later start
// of the server.
#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chervilpass/io/http.h"
#include "chervilpass/placement/path.h"
#include "chervilpass/serving/request_context.h"

namespace chervilpass::serving {

/// Settings of a CrashMonitor.
struct CrashMonitorSettings {
  Duration probe_timeout = milliseconds(250);
  /// Longest wait of a request for the result of a probe before its next run:
  /// a crashed server on a live VM refuses the connection within a round trip.
  Duration max_verdict_wait = milliseconds(50);
  Duration check_interval = milliseconds(100);  ///< of registrations
  /// How long the registration of a server is watched after a lost run: a
  /// server that crashed is registered again, or removed, within seconds.
  Duration watch_time = seconds(8);
  /// A server that does not answer and whose registration is missing for so
  /// long has ended. One that was only silent registers again at its next
  /// heartbeat.
  Duration max_absence = seconds(3);
  /// A server that turns out to have ended just now has ended under the runs
  /// that were lost within this time.
  Duration max_detection_time = seconds(1);
  std::size_t max_watched_runs = 4096;  ///< over all servers

  bool operator==(const CrashMonitorSettings&) const = default;
};

/// One start of a backend server that a request was sent to.
struct ServerStart {
  std::string id;
  WallTime started;  ///< zero if unknown
  io::Endpoint address;
  bool model_worker = false;
  /// Times that it has ended since, as far as is known: without the store a
  /// server that starts again is still registered with its earlier start.
  std::uint32_t known_ends = 0;

  /// Identifies the start among all starts of all servers.
  std::string Key() const;

  auto operator<=>(const ServerStart&) const = default;
};

/// A part of the prompt of a run.
struct TrackedPart {
  std::uint64_t fingerprint = 0;
  std::uint32_t prior_strikes = 0;  ///< when the run began

  auto operator<=>(const TrackedPart&) const = default;
};

/// A run of a request on one or several servers, as far as crashes matter.
struct TrackedRun {
  std::uint64_t fingerprint = 0;
  std::string request_id;
  std::uint32_t prior_strikes = 0;  ///< when the run began
  std::vector<TrackedPart> parts = {};
  std::uint32_t events = 0;  ///< that it has written
  Instant first_event{};
  /// This run or an earlier one of the request has proven the parts sound.
  bool proven = false;
  /// Number of the run at this VM; a run that moved to other workers counts as
  /// a new one.
  std::uint64_t serial = 0;

  auto operator<=>(const TrackedRun&) const = default;
};

/// What is known about the server of a lost run.
enum class LossEvidence {
  kConnectionBroke,  ///< Its connection broke: it is probed.
  kSuspected,        ///< Another VM found it unreachable: it is probed.
  kNoAnswer,         ///< It did not answer a probe: it ended or is cut off.
  kEnded,            ///< A probe showed that it has ended.
  kAbandoned,  ///< Nothing: this VM gave the run up, or the caller has gone.
};

/// Result of a probe of a server.
enum class ProbeResult {
  kAnswers,    ///< The same start of the server, as far as is known.
  kRestarted,  ///< A later start answers.
  kRefused,    ///< Nothing listens there: the server has ended.
  /// Nothing listens there, but the server may go on with its requests: it
  /// departs, or it went on after an earlier refusal.
  kNotAccepting,
  kSilent,   ///< No answer in time.
  kBroken,   ///< Accepts connections, but does not answer.
  kUnknown,  ///< This VM was stalled or cut off.
};

/// Gives strikes to the requests whose runs were lost when a server ended, and
/// tells which requests may still be sent. Fiber thread only.
class CrashMonitor {
 public:
  static std::unique_ptr<CrashMonitor> Create(
      const RouterDependencies* dependencies,
      CrashMonitorSettings settings);
  ~CrashMonitor();

  /// The current start of a server or, if its registration is gone, the latest
  /// one; `started` is zero if it was never registered.
  ServerStart StartOf(const std::string& id,
                      const io::Endpoint& address,
                      bool model_worker) const;

  /// True if the server is known to have ended since this start, or has to be
  /// taken for ended: another VM says so, or it is silent and broke a
  /// connection.
  bool HasEnded(const ServerStart& start) const;

  /// True if this VM has seen that the server has ended since this start: its
  /// address refused a connection (which says nothing of a server that leaves,
  /// unless it broke a connection as well), a later start of it answered or is
  /// registered, or its registration is gone. A sound server that is silent for
  /// a while never counts.
  bool HasVerifiedEnd(const ServerStart& start) const;

  /// Independent strikes of a request now.
  std::uint32_t StrikesOf(std::uint64_t fingerprint) const;

  /// True if the request has crashed too many servers to be sent on.
  bool IsQuarantined(std::uint64_t fingerprint) const;

  /// True if the run may not go on elsewhere: the request has crashed too many
  /// servers, or requests with one of its parts have, which it has not proven.
  bool IsQuarantined(const TrackedRun& run) const;

  /// The first of these parts of a prompt that is quarantined.
  std::optional<std::uint64_t> QuarantinedPart(
      const std::vector<std::uint64_t>& parts) const;

  /// True if the run, or a part that it has not proven, has any strikes.
  bool HasStrikes(const TrackedRun& run) const;

  /// True if a run that was lost may not be repeated by the router: a part that
  /// it has not proven has several strikes, and no other cause is evident, such
  /// as the loss of several servers together.
  bool MustNotRepeat(const TrackedRun& run) const;

  /// Workers on which another request with several strikes runs; none unless
  /// this one has several as well. Kept apart, the requests that crash servers
  /// differ from their neighbours.
  std::set<std::string> WorkersOfOtherSuspects(const TrackedRun& run) const;

  /// Sets the prior strikes and the serial number of a run that begins now.
  void RecordPriorStrikes(TrackedRun* run);

  /// True if the server leaves or its registration is gone: it gets no new
  /// requests, and may refuse connections before it ends.
  bool IsDeparting(const ServerStart& server) const;

  /// Asks a model worker for its report, or connects to a plain server.
  ProbeResult Probe(const ServerStart& server, Duration timeout) const;

  /// Bracket a run on a server; the request id identifies the run. A request
  /// with several strikes takes the blame for the end of a server it runs on.
  void OnRunStarted(const TrackedRun& run, const ServerStart& server);
  void OnRunEnded(const TrackedRun& run, const ServerStart& server);

  /// A run on this server was lost.
  void OnRunLost(const TrackedRun& run,
                 const ServerStart& server,
                 LossEvidence evidence);

  /// Waits until the probe of a server has a result, for `max_verdict_wait` at
  /// most.
  void AwaitVerdict(const ServerStart& server) const;

  /// Probes a model worker to which no connection could be established, since a
  /// busy worker resets connections too. Without an answer it becomes
  /// unreachable.
  void VerifyWorker(const ServerStart& server, std::string evidence);

  /// A run got beyond its begin: clears the strikes of its parts on all VMs.
  void OnPartsProven(const TrackedRun& run);

  /// A server has completed the request: clears its strikes on all VMs.
  void OnRunCompleted(std::uint64_t fingerprint);

 private:
  struct State;
  explicit CrashMonitor(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

}  // namespace chervilpass::serving
