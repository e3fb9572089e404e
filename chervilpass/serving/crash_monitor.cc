#include "chervilpass/serving/crash_monitor.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

#include "chervilpass/quarantine/concurrent_ends.h"
#include "chervilpass/serving/link_monitor.h"
#include "platform/worker_decoder.h"

namespace chervilpass::serving {
namespace {

// Share of the probe timeout from which a failed connection counts as
// unanswered, not as refused.
constexpr double kRefusedWithin = 0.8;
// A probe that took this many times its timeout says nothing: this VM was
// stalled.
constexpr int kLocalStallFactor = 2;

// Strikes from which a request takes the blame for a crash alone. One strike is
// too few: the loss of a rack gives one to many requests.
constexpr std::uint32_t kStrongSuspicion = 2;
constexpr std::size_t kMaxVerifiedEnds = 4096;  // bounds memory

// How it is known that a server ended.
enum class EndEvidence {
  kProbe,       // it does not answer any more
  kLaterStart,  // it has started again
};

std::string_view ResultName(ProbeResult result) {
  constexpr std::string_view kNames[] = {
      "answers", "restarted", "refused", "not accepting",
      "silent",  "broken",    "unknown"};
  return kNames[static_cast<std::size_t>(result)];
}

std::vector<std::uint64_t> FingerprintsOf(
    const std::vector<TrackedPart>& parts) {
  std::vector<std::uint64_t> fingerprints;
  for (const TrackedPart& part : parts) {
    fingerprints.push_back(part.fingerprint);
  }
  return fingerprints;
}

// After a known end, a later start than the registered one proves no other end.
bool IsLaterStart(WallTime started, const ServerStart& server) {
  return server.started.milliseconds != 0 && server.known_ends == 0 &&
         started > server.started;
}

// The registered start, without the ends that are known since.
ServerStart FirstStart(ServerStart server) {
  server.known_ends = 0;
  return server;
}

}  // namespace

std::string ServerStart::Key() const {
  const std::string key =
      this->started.milliseconds == 0
          ? this->id
          : fmt::format("{}@{}", this->id, this->started.milliseconds);
  return this->known_ends == 0 ? key
                               : fmt::format("{}#{}", key, this->known_ends);
}

struct CrashMonitor::State : std::enable_shared_from_this<CrashMonitor::State> {
  struct WatchedRun {
    TrackedRun run;
    Instant lost{};
    WallTime lost_at;
  };

  // A start of a server under which runs were lost, until it is known whether
  // the server ended.
  struct Watched {
    ServerStart server;
    std::vector<WatchedRun> runs;
    Instant last_loss{};
    bool connection_broke = false;
    bool silent = false;                  // the latest probe had no answer
    std::optional<Instant> absent_since;  // its registration
    bool probing = false;
    bool probe_again = false;
  };

  struct RunningServer {
    std::string id;
    std::map<std::string, TrackedRun> runs;  // by request id
  };

  State(const RouterDependencies* dependencies, CrashMonitorSettings settings)
      : dependencies(dependencies), settings(settings) {}

  const RoutingState& Routing() const {
    return *this->dependencies->routing_state;
  }

  void OnRunLost(const TrackedRun& run,
                 const ServerStart& server,
                 LossEvidence evidence) {
    if (this->watched_runs >= this->settings.max_watched_runs) {
      this->dependencies->metrics->Increment("chervil_lost_runs_dropped_total");
      if (!std::exchange(this->dropping, true)) {
        this->dependencies->log->Warning(
            "lost_runs.dropped", {{"request", run.request_id},
                                  {"worker", server.id},
                                  {"limit", this->settings.max_watched_runs}});
      }
      return;
    }
    Watched& watched = this->watched[server.Key()];
    watched.server = server;
    watched.last_loss = this->dependencies->runtime->Now();
    this->concurrent_ends.OnRunLost(run.serial, FingerprintsOf(run.parts),
                                    watched.last_loss);
    this->AddRun(&watched, run);
    switch (evidence) {
      case LossEvidence::kConnectionBroke:
        watched.connection_broke = true;
        if (server.model_worker) {
          this->dependencies->routing_state->StartCooldown(
              server.id, routing::CooldownReason::kFull, watched.last_loss);
        }
        this->StartProbe(server);
        return;
      case LossEvidence::kSuspected:
        this->StartProbe(server);
        return;
      case LossEvidence::kNoAnswer:
        watched.silent = true;
        return;
      case LossEvidence::kEnded:
        this->OnServerEnded(server.Key(), EndEvidence::kProbe, "probe");
        return;
      case LossEvidence::kAbandoned:
        return;
    }
  }

  // A run that waits for a silent server is reported again and again.
  void AddRun(Watched* watched, const TrackedRun& run) {
    const WallTime now = this->dependencies->runtime->WallNow();
    const auto known =
        std::find_if(watched->runs.begin(), watched->runs.end(),
                     [&run](const WatchedRun& other) {
                       return other.run.request_id == run.request_id;
                     });
    if (known != watched->runs.end()) {
      *known = {run, watched->last_loss, now};
      return;
    }
    watched->runs.push_back({run, watched->last_loss, now});
    ++this->watched_runs;
  }

  // One probe serves all runs that are lost while it is in flight; a second one
  // follows for those that were lost after its start.
  void StartProbe(const ServerStart& server) {
    Watched& watched = this->watched[server.Key()];
    watched.probe_again = watched.probing;
    if (watched.probing) {
      return;
    }
    watched.probing = true;
    this->dependencies->runtime->Spawn(
        [self = this->shared_from_this(), server] { self->RunProbes(server); });
  }

  void RunProbes(const ServerStart& server) {
    const std::string key = server.Key();
    while (!this->stopped) {
      const ProbeResult result =
          this->Probe(server, this->settings.probe_timeout);
      const auto found = this->watched.find(key);
      if (found == this->watched.end() || this->stopped) {
        return;
      }
      Watched& watched = found->second;
      this->MarkServer(watched, result);
      if (ProvesEnd(watched, result)) {
        this->RecordVerifiedEnd(watched.server, result);
        this->OnServerEnded(key,
                            result == ProbeResult::kRestarted
                                ? EndEvidence::kLaterStart
                                : EndEvidence::kProbe,
                            ResultName(result));
        return;
      }
      if (result == ProbeResult::kAnswers ||
          result == ProbeResult::kNotAccepting) {
        watched.silent = false;
      }
      watched.silent |=
          result == ProbeResult::kSilent || result == ProbeResult::kBroken;
      if (!std::exchange(watched.probe_again, false)) {
        watched.probing = false;
        return;
      }
    }
  }

  // A server that only stopped answering may be cut off instead, and one that
  // only stopped accepting connections may be leaving; one that also broke a
  // connection has ended.
  static bool ProvesEnd(const Watched& watched, ProbeResult result) {
    switch (result) {
      case ProbeResult::kRestarted:
      case ProbeResult::kRefused:
        return true;
      case ProbeResult::kNotAccepting:
      case ProbeResult::kSilent:
      case ProbeResult::kBroken:
        return watched.connection_broke;
      case ProbeResult::kAnswers:
      case ProbeResult::kUnknown:
        return false;
    }
    return false;
  }

  void MarkServer(const Watched& watched, ProbeResult result) const {
    const bool gone =
        result == ProbeResult::kRefused || result == ProbeResult::kSilent ||
        result == ProbeResult::kBroken ||
        (result == ProbeResult::kNotAccepting &&
         (watched.connection_broke || !this->IsDeparting(watched.server)));
    if (!gone) {
      return;
    }
    if (watched.server.model_worker) {
      MarkUnreachable(*this->dependencies, watched.server.id,
                      ResultName(result));
    } else {
      this->dependencies->routing_state->ServerHealth().OnRefusedConnection(
          watched.server.id, this->dependencies->runtime->Now());
    }
  }

  ProbeResult Probe(const ServerStart& server, Duration timeout) {
    ProbeResult result = this->Examine(server, timeout);
    if (result == ProbeResult::kRefused && !this->RefusalProvesEnd(server)) {
      result = ProbeResult::kNotAccepting;
      this->dependencies->metrics->Increment(
          "chervil_probes_not_accepted_total");
      this->dependencies->log->Info(
          "probe.not_accepted",
          {{"worker", server.Key()},
           {"registered", this->Routing().Servers().Find(server.id) != nullptr},
           {"leaving", this->Routing().Servers().IsLeaving(server.id)}});
    }
    if (result == ProbeResult::kRefused || result == ProbeResult::kRestarted) {
      this->RecordVerifiedEnd(server, result);
    }
    return result;
  }

  bool IsDeparting(const ServerStart& server) const {
    const routing::ServerRegistry& servers = this->Routing().Servers();
    return servers.Find(server.id) == nullptr || servers.IsLeaving(server.id);
  }

  // A departing server stops accepting connections before it ends: its end
  // shows in its open connections, and in the reports of workers that wait for
  // it. One that went on after an earlier refusal departs without notice,
  // unless a later start of it has answered since.
  bool RefusalProvesEnd(const ServerStart& server) const {
    return !this->IsDeparting(server) &&
           (server.known_ends == 0 ||
            this->restarted.contains(FirstStart(server).Key()));
  }

  // An end of a start is one of each earlier start as well.
  void RecordVerifiedEnd(const ServerStart& server, ProbeResult result) {
    if (this->verified_ends.size() >= kMaxVerifiedEnds) {
      this->verified_ends.clear();
      this->restarted.clear();
    }
    const std::string key = FirstStart(server).Key();
    std::uint32_t& verified = this->verified_ends[key];
    verified = std::max(verified, server.known_ends + 1);
    if (result == ProbeResult::kRestarted) {
      this->restarted.insert(key);
    }
  }

  // A plain server is only connected to: a request would take one of its slots.
  ProbeResult Examine(const ServerStart& server, Duration timeout) const {
    io::Runtime& runtime = *this->dependencies->runtime;
    const Instant start = runtime.Now();
    std::optional<io::HttpError> error;
    ProbeResult answer = ProbeResult::kAnswers;
    if (server.model_worker) {
      const auto response = this->dependencies->http->Call(
          server.address, platform::ReportRequest(), timeout,
          io::ConnectionUse::kFresh);
      if (response.has_error()) {
        error = response.error();
      } else {
        answer = this->ReadAnswer(server, response.value());
      }
    } else {
      const auto opened = this->dependencies->http->Open(
          server.address, timeout, io::ConnectionUse::kFresh);
      if (opened.has_error()) {
        error = opened.error();
      }
    }
    if (!error) {
      this->dependencies->links->OnReached(server.id);
      return answer;
    }
    const Duration elapsed = runtime.Now() - start;
    const bool early =
        elapsed < duration_cast<Duration>(kRefusedWithin * timeout);
    if (elapsed > kLocalStallFactor * timeout ||
        (!early && VoidsTimeout(*this->dependencies, start, timeout))) {
      return ProbeResult::kUnknown;
    }
    if (!this->dependencies->links->ConfirmFailure(server.id, start)) {
      return ProbeResult::kUnknown;
    }
    if (error->code == io::HttpErrorCode::kConnect) {
      return early ? ProbeResult::kRefused : ProbeResult::kSilent;
    }
    return early ? ProbeResult::kBroken : ProbeResult::kSilent;
  }

  ProbeResult ReadAnswer(const ServerStart& server,
                         const io::HttpResponse& response) const {
    if (response.status != 200) {
      return ProbeResult::kBroken;
    }
    const auto report = platform::DecodeReport(response.body);
    const bool restarted = report.has_value() && report.value().started &&
                           IsLaterStart(*report.value().started, server);
    return restarted ? ProbeResult::kRestarted : ProbeResult::kAnswers;
  }

  // ---- registrations ----

  void Watch() {
    while (!this->stopped) {
      this->dependencies->runtime->SleepFor(this->settings.check_interval);
      // The dependencies may have ended during the wait.
      if (!this->stopped) {
        this->CheckRegistrations();
      }
    }
  }

  void CheckRegistrations() {
    const Instant now = this->dependencies->runtime->Now();
    this->dropping &= this->watched_runs >= this->settings.max_watched_runs;
    std::vector<std::string> ended;
    for (auto it = this->watched.begin(); it != this->watched.end();) {
      Watched& watched = it->second;
      if (this->Routing().Servers().Find(watched.server.id) != nullptr) {
        watched.absent_since.reset();
      } else if (!watched.absent_since) {
        watched.absent_since = now;
      }
      if (this->RegistrationShowsEnd(watched)) {
        ended.push_back(it->first);
      } else if (!watched.probing &&
                 now - watched.last_loss > this->settings.watch_time) {
        this->watched_runs -= watched.runs.size();
        it = this->watched.erase(it);
        continue;
      }
      ++it;
    }
    for (const std::string& key : ended) {
      this->RecordVerifiedEnd(this->watched.at(key).server,
                              ProbeResult::kUnknown);
      this->OnServerEnded(key, EndEvidence::kLaterStart, "registration");
    }
  }

  bool RegistrationShowsEnd(const Watched& watched) const {
    const ServerStart& server = watched.server;
    const routing::BackendServer* current =
        this->Routing().Servers().Find(server.id);
    if (current != nullptr) {
      return IsLaterStart(current->started, server);
    }
    // A server that left in an orderly way is removed, too.
    if (!watched.silent && !watched.connection_broke) {
      return false;
    }
    const bool absent_for_long =
        watched.absent_since &&
        this->dependencies->runtime->Now() - *watched.absent_since >
            this->settings.max_absence;
    return (watched.silent && absent_for_long) ||
           this->Routing().Servers().FindByAddress(server.address) != nullptr;
  }

  // ---- strikes ----

  void OnServerEnded(const std::string& key,
                     EndEvidence evidence,
                     std::string_view detail) {
    const auto found = this->watched.find(key);
    const std::string id = found->second.server.id;
    const bool model_worker = found->second.server.model_worker;
    std::vector<WatchedRun> runs = std::move(found->second.runs);
    this->watched_runs -= runs.size();
    this->watched.erase(found);
    if (evidence == EndEvidence::kProbe) {
      const Instant oldest = this->dependencies->runtime->Now() -
                             this->settings.max_detection_time;
      std::erase_if(runs, [oldest](const WatchedRun& lost) {
        return lost.lost < oldest;
      });
    }
    this->dependencies->routing_state->OnServerEnded(key);
    if (model_worker) {
      this->dependencies->routing_state->RecordLoss(
          id, this->dependencies->runtime->Now());
    }
    this->concurrent_ends.OnServerEnded(id, this->dependencies->runtime->Now());
    quarantine::StrikeTracker& tracker =
        this->dependencies->routing_state->Strikes();
    const WallTime now = this->dependencies->runtime->WallNow();
    std::vector<quarantine::Strike> added;
    const auto add = [&](const WatchedRun& lost, std::uint64_t fingerprint,
                         std::uint32_t prior, std::string_view subject) {
      const quarantine::Strike strike{fingerprint, key, lost.lost_at, prior};
      if (!tracker.Add(strike, now)) {
        return;
      }
      added.push_back(strike);
      this->dependencies->metrics->Increment("chervil_strikes_total");
      this->dependencies->log->Info(
          "strike.added",
          {{"request", lost.run.request_id},
           {"subject", subject},
           {"fingerprint", fmt::format("{:016x}", fingerprint)},
           {"worker", key},
           {"evidence", detail},
           {"events", lost.run.events},
           {"written_ms",
            lost.run.events == 0
                ? 0
                : ToMilliseconds(lost.lost - lost.run.first_event)},
           {"proven", lost.run.proven},
           {"prior", prior},
           {"strikes", tracker.Count(fingerprint, now)}});
    };
    for (const WatchedRun& lost : this->BlamedRuns(runs, key, now)) {
      add(lost, lost.run.fingerprint, this->PriorStrikes(lost.run, now),
          "request");
      for (const TrackedPart& part : this->BlamedParts(lost.run, now)) {
        add(lost, part.fingerprint, this->PriorStrikes(part, now),
            "part of the prompt");
      }
    }
    if (!added.empty()) {
      this->dependencies->report_strikes(added);
    }
  }

  std::vector<TrackedPart> BlamedParts(const TrackedRun& run,
                                       WallTime now) const {
    if (run.proven || run.parts.empty()) {
      return {};
    }
    RoutingState& routing_state = *this->dependencies->routing_state;
    const auto blamed = routing_state.PromptParts().Blamed(
        FingerprintsOf(run.parts), routing_state.Strikes(), now);
    std::vector<TrackedPart> tracked;
    std::copy_if(run.parts.begin(), run.parts.end(),
                 std::back_inserter(tracked), [&](const TrackedPart& part) {
                   return std::find(blamed.begin(), blamed.end(),
                                    part.fingerprint) != blamed.end();
                 });
    return tracked;
  }

  // Strikes that were cleared during the run do not count any more.
  template <class Tracked>
  std::uint32_t PriorStrikes(const Tracked& tracked, WallTime now) const {
    return std::min(tracked.prior_strikes,
                    this->dependencies->routing_state->Strikes().Count(
                        tracked.fingerprint, now));
  }

  // The parts that the run has not proven and that have at least `count`
  // strikes.
  std::vector<std::uint64_t> PartsWithStrikes(const TrackedRun& run,
                                              std::uint32_t count) const {
    std::vector<std::uint64_t> parts;
    if (run.proven) {
      return parts;
    }
    const quarantine::StrikeTracker& tracker =
        this->dependencies->routing_state->Strikes();
    const WallTime now = this->dependencies->runtime->WallNow();
    for (const TrackedPart& part : run.parts) {
      if (tracker.Count(part.fingerprint, now) >= count) {
        parts.push_back(part.fingerprint);
      }
    }
    return parts;
  }

  // If requests with several strikes ran on the server, they take the blame
  // alone. Some of them may still be running: their loss is noticed later.
  std::vector<WatchedRun> BlamedRuns(std::vector<WatchedRun> runs,
                                     const std::string& key,
                                     WallTime now) const {
    const auto is_strong_suspect = [&](const TrackedRun& run) {
      return this->PriorStrikes(run, now) >= kStrongSuspicion ||
             (!run.proven && std::any_of(run.parts.begin(), run.parts.end(),
                                         [&](const TrackedPart& part) {
                                           return this->PriorStrikes(part,
                                                                     now) >=
                                                  kStrongSuspicion;
                                         }));
    };
    bool has_strong_suspect = std::any_of(
        runs.begin(), runs.end(),
        [&](const WatchedRun& lost) { return is_strong_suspect(lost.run); });
    if (const auto found = this->running.find(key);
        found != this->running.end()) {
      for (const auto& [request, run] : found->second.runs) {
        has_strong_suspect |= is_strong_suspect(run);
      }
    }
    if (has_strong_suspect) {
      std::erase_if(runs, [&](const WatchedRun& lost) {
        return !is_strong_suspect(lost.run);
      });
    }
    return runs;
  }

  const RouterDependencies* dependencies;
  CrashMonitorSettings settings;
  std::map<std::string, Watched> watched;  // by ServerStart::Key
  // Servers with runs in progress, by ServerStart::Key.
  std::map<std::string, RunningServer> running;
  quarantine::ConcurrentEnds concurrent_ends{
      quarantine::ConcurrentEndsSettings{}};
  // Ends that this VM has seen, by ServerStart::Key without known ends.
  std::map<std::string, std::uint32_t> verified_ends;
  // Of these, the servers at which a later start has answered.
  std::set<std::string> restarted;
  std::uint64_t last_serial = 0;  // of a run
  std::size_t watched_runs = 0;   // sum over `watched`
  bool dropping = false;          // `watched` is full, which has been logged
  bool stopped = false;
};

CrashMonitor::CrashMonitor(std::shared_ptr<State> state)
    : state(std::move(state)) {}

CrashMonitor::~CrashMonitor() {
  this->state->stopped = true;
}

std::unique_ptr<CrashMonitor> CrashMonitor::Create(
    const RouterDependencies* dependencies,
    CrashMonitorSettings settings) {
  auto state = std::make_shared<State>(dependencies, settings);
  dependencies->runtime->Spawn([state] { state->Watch(); });
  return std::unique_ptr<CrashMonitor>(new CrashMonitor(std::move(state)));
}

ServerStart CrashMonitor::StartOf(const std::string& id,
                                  const io::Endpoint& address,
                                  bool model_worker) const {
  ServerStart start{id, this->state->Routing().Servers().StartOf(id), address,
                    model_worker};
  start.known_ends = this->state->Routing().EndsOf(start.Key());
  return start;
}

bool CrashMonitor::HasEnded(const ServerStart& start) const {
  if (this->state->Routing().EndsOf(FirstStart(start).Key()) >
      start.known_ends) {
    return true;
  }
  const routing::BackendServer* registered =
      this->state->Routing().Servers().Find(start.id);
  return registered != nullptr && IsLaterStart(registered->started, start);
}

bool CrashMonitor::HasVerifiedEnd(const ServerStart& start) const {
  const auto verified =
      this->state->verified_ends.find(FirstStart(start).Key());
  if (verified != this->state->verified_ends.end() &&
      verified->second > start.known_ends) {
    return true;
  }
  const routing::BackendServer* registered =
      this->state->Routing().Servers().Find(start.id);
  return registered != nullptr && IsLaterStart(registered->started, start);
}

std::uint32_t CrashMonitor::StrikesOf(std::uint64_t fingerprint) const {
  return this->state->dependencies->routing_state->Strikes().Count(
      fingerprint, this->state->dependencies->runtime->WallNow());
}

bool CrashMonitor::IsQuarantined(std::uint64_t fingerprint) const {
  return this->state->dependencies->routing_state->Strikes().StateOf(
             fingerprint, this->state->dependencies->runtime->WallNow()) ==
         quarantine::QuarantineState::kQuarantined;
}

bool CrashMonitor::IsQuarantined(const TrackedRun& run) const {
  if (this->IsQuarantined(run.fingerprint)) {
    return true;
  }
  std::vector<std::uint64_t> unproven;
  if (!run.proven) {
    unproven = FingerprintsOf(run.parts);
  }
  return this->QuarantinedPart(unproven).has_value();
}

std::optional<std::uint64_t> CrashMonitor::QuarantinedPart(
    const std::vector<std::uint64_t>& parts) const {
  RoutingState& routing_state = *this->state->dependencies->routing_state;
  const WallTime now = this->state->dependencies->runtime->WallNow();
  const auto found =
      std::find_if(parts.begin(), parts.end(), [&](std::uint64_t part) {
        return routing_state.PromptParts().IsQuarantined(
            part, routing_state.Strikes(), now);
      });
  return found == parts.end() ? std::nullopt
                              : std::optional<std::uint64_t>(*found);
}

bool CrashMonitor::HasStrikes(const TrackedRun& run) const {
  return this->StrikesOf(run.fingerprint) > 0 ||
         !this->state->PartsWithStrikes(run, 1).empty();
}

bool CrashMonitor::MustNotRepeat(const TrackedRun& run) const {
  const auto parts = this->state->PartsWithStrikes(run, kStrongSuspicion);
  return !parts.empty() &&
         !this->state->concurrent_ends.ExceedRunsWith(
             parts, this->state->dependencies->runtime->Now());
}

std::set<std::string> CrashMonitor::WorkersOfOtherSuspects(
    const TrackedRun& run) const {
  std::set<std::string> workers;
  if (this->StrikesOf(run.fingerprint) < kStrongSuspicion) {
    return workers;
  }
  for (const auto& [key, server] : this->state->running) {
    for (const auto& [request, other] : server.runs) {
      if (other.fingerprint != run.fingerprint &&
          this->StrikesOf(other.fingerprint) >= kStrongSuspicion) {
        workers.insert(server.id);
      }
    }
  }
  return workers;
}

void CrashMonitor::RecordPriorStrikes(TrackedRun* run) {
  run->serial = ++this->state->last_serial;
  run->prior_strikes = this->StrikesOf(run->fingerprint);
  for (TrackedPart& part : run->parts) {
    part.prior_strikes = this->StrikesOf(part.fingerprint);
  }
}

bool CrashMonitor::IsDeparting(const ServerStart& server) const {
  return this->state->IsDeparting(server);
}

ProbeResult CrashMonitor::Probe(const ServerStart& server,
                                Duration timeout) const {
  return this->state->Probe(server, timeout);
}

void CrashMonitor::OnRunStarted(const TrackedRun& run,
                                const ServerStart& server) {
  State::RunningServer& running = this->state->running[server.Key()];
  running.id = server.id;
  running.runs.insert_or_assign(run.request_id, run);
}

void CrashMonitor::OnRunEnded(const TrackedRun& run,
                              const ServerStart& server) {
  const auto found = this->state->running.find(server.Key());
  if (found == this->state->running.end()) {
    return;
  }
  found->second.runs.erase(run.request_id);
  if (found->second.runs.empty()) {
    this->state->running.erase(found);
  }
}

void CrashMonitor::OnRunLost(const TrackedRun& run,
                             const ServerStart& server,
                             LossEvidence evidence) {
  this->state->OnRunLost(run, server, evidence);
}

void CrashMonitor::AwaitVerdict(const ServerStart& server) const {
  io::Runtime& runtime = *this->state->dependencies->runtime;
  const std::string key = server.Key();
  const Instant until = runtime.Now() + this->state->settings.max_verdict_wait;
  while (runtime.Now() < until) {
    const auto found = this->state->watched.find(key);
    if (found == this->state->watched.end() || !found->second.probing) {
      return;
    }
    runtime.SleepFor(milliseconds(1));
  }
}

void CrashMonitor::VerifyWorker(const ServerStart& server,
                                std::string evidence) {
  this->state->dependencies->routing_state->StartCooldown(
      server.id, routing::CooldownReason::kFull,
      this->state->dependencies->runtime->Now());
  this->state->dependencies->runtime->Spawn([state = this->state, server,
                                             evidence = std::move(evidence)] {
    const ProbeResult result =
        state->Probe(server, state->settings.probe_timeout);
    const bool departs =
        result == ProbeResult::kNotAccepting && state->IsDeparting(server);
    if (result != ProbeResult::kAnswers && result != ProbeResult::kRestarted &&
        result != ProbeResult::kUnknown && !departs && !state->stopped) {
      MarkUnreachable(*state->dependencies, server.id, evidence);
    }
  });
}

void CrashMonitor::OnPartsProven(const TrackedRun& run) {
  const RouterDependencies& dependencies = *this->state->dependencies;
  RoutingState& routing_state = *dependencies.routing_state;
  const WallTime now = dependencies.runtime->WallNow();
  for (const TrackedPart& part : run.parts) {
    const std::uint32_t strikes =
        routing_state.Strikes().Count(part.fingerprint, now);
    routing_state.PromptParts().OnProven(part.fingerprint, now);
    if (strikes == 0) {
      continue;
    }
    routing_state.Strikes().Clear(part.fingerprint);
    dependencies.log->Info(
        "strike.cleared",
        {{"request", run.request_id},
         {"fingerprint", fmt::format("{:016x}", part.fingerprint)},
         {"strikes", strikes},
         {"events", run.events},
         {"reason", "a run with this part of the prompt got on"}});
    // VMs that seldom see the part would add up strikes which others clear.
    dependencies.report_clearance({part.fingerprint, now});
  }
}

void CrashMonitor::OnRunCompleted(std::uint64_t fingerprint) {
  const RouterDependencies& dependencies = *this->state->dependencies;
  const WallTime now = dependencies.runtime->WallNow();
  if (dependencies.routing_state->Strikes().OnCompleted(fingerprint, now)) {
    dependencies.log->Info(
        "strike.cleared", {{"fingerprint", fmt::format("{:016x}", fingerprint)},
                           {"reason", "completed"}});
    dependencies.report_clearance({fingerprint, now});
  }
}

}  // namespace chervilpass::serving
