#include "fault_tests/drain_model.h"

#include <fmt/format.h>

#include <algorithm>

#include "chervilpass/core/hash.h"

namespace chervilpass::fault_tests {
namespace {

using drain::DrainController;
using drain::DrainObservation;
using drain::DrainPhase;
using drain::DrainSettings;
using drain::DrainStep;

const Instant kStart{seconds(1000)};
constexpr Duration kAddressTtl = seconds(2);
constexpr Duration kLongestPlay = seconds(20);
constexpr Duration kSettingsPollInterval = milliseconds(200);
// Of a changed grace period, by late waits, and to act on it.
constexpr Duration kMaxNoticeTime = seconds(1);
// Sent later after the order to stop, a stream must not be cut.
constexpr Duration kLatestCutStream = seconds(3);
constexpr int kLastPartDivisor = 6;  // work in the last sixth may be cut
// A caller that sends on can read a response that comes so long before the end.
constexpr Duration kRefusalTime = milliseconds(60);
// Closer to the end of the grace period the process has to go.
constexpr Duration kSpareTime = milliseconds(100);
constexpr std::size_t kResponseBytes = 1000;
constexpr Duration kMaxReceiveSilence = seconds(1);
// The process may end by its own doing so much before the end that was decided.
constexpr Duration kEndTolerance = milliseconds(1);
// Known lengths and pace: a stream of this size takes 1.6 to 1.8 s.
constexpr serving::GenerationSize kStreamSize{100, 50, std::nullopt};
constexpr Duration kFirstEvent = milliseconds(100);
constexpr Duration kStreamTime = milliseconds(1600);
constexpr Duration kCallTime = milliseconds(60);
constexpr std::uint64_t kStreamEvents = 50;
constexpr int kTrainingRuns = 64;

enum class State {
  kNotSent,
  kNotRead,    // no connection, or it was closed before
  kArriving,   // a part has arrived
  kSent,       // to a server; no response has begun
  kBegun,      // a response has begun
  kResponded,  // whole, but not acknowledged
  kDone,
};

struct Request {
  RequestPlan plan;
  State state = State::kNotSent;
  Duration sent{0};                  // when it was read whole
  std::optional<Duration> deadline;  // at which a stream is ended
  Duration responded{0};             // when its response was whole
  bool refused_unread = false;       // before it was read whole
};

bool IsStream(RequestKind kind) {
  return kind == RequestKind::kStream || kind == RequestKind::kForwarded;
}

serving::RunTimeEstimator Trained(serving::RunTimeEstimator run_times) {
  for (int i = 0; i < kTrainingRuns; ++i) {
    run_times.OnCallEnded("call", kCallTime);
    run_times.OnStreamEnded(
        "llm", {kFirstEvent, kStreamTime, kStreamEvents, kStreamSize});
  }
  return run_times;
}

class World {
 public:
  World(const ProcessPlan& process,
        const std::vector<RequestPlan>& plans,
        DrainFlaw flaw)
      : process(process), flaw(flaw), gate(GateSettings(flaw)) {
    static const serving::RunTimeEstimator kRunTimes =
        Trained(serving::RunTimeEstimator({}));
    this->gate.RunTimes() = kRunTimes;
    for (const RequestPlan& plan : plans) {
      this->requests.emplace_back().plan = plan;
    }
  }

  DrainResult Play() {
    for (Request& request : this->requests) {
      this->PlayEvents(&request, -seconds(100), Duration::zero());
    }
    std::optional<Duration> wake_delay;
    while (this->controller.Phase() != DrainPhase::kEnded &&
           this->now < kLongestPlay) {
      this->RespondBeforeEnd();
      DrainObservation observation = this->Observe(wake_delay);
      const DrainStep step =
          this->controller.Next(this->Settings(), observation);
      ++this->result.steps;
      this->result.states.push_back(this->StateHash());
      this->CarryOut(step);
      if (step.wait > Duration::zero()) {
        wake_delay = this->DelayOf(step.wait);
        const Duration before = this->now;
        this->now += step.wait + *wake_delay;
        if (this->now - this->settings_read_at >= kSettingsPollInterval) {
          this->settings_read_at = this->now;
          this->known_grace = this->Grace();
        }
        for (Request& request : this->requests) {
          this->PlayEvents(&request, before, this->now);
        }
      }
    }
    this->End();
    return std::move(this->result);
  }

 private:
  static serving::ShutdownGateSettings GateSettings(DrainFlaw flaw) {
    serving::ShutdownGateSettings settings;
    if (flaw == DrainFlaw::kNoReserve) {
      settings.max_end_advance = Duration::zero();
    }
    if (flaw == DrainFlaw::kTrustEstimates) {
      settings.max_notice = kLongestPlay;
    }
    if (flaw == DrainFlaw::kKeepUnanswered) {
      settings.final_response_time = -seconds(100);
    }
    return settings;
  }

  Duration Grace() const {
    const bool changed = this->process.new_grace != this->process.grace &&
                         this->now >= this->process.grace_changes;
    return changed ? this->process.new_grace : this->process.grace;
  }

  DrainSettings Settings() const {
    Duration grace = this->flaw == DrainFlaw::kReadSettingsOnce
                         ? this->process.grace
                         : this->known_grace;
    if (this->flaw == DrainFlaw::kLateExit) {
      grace += milliseconds(350);
    }
    return {grace, kAddressTtl, this->process.whole_grace};
  }

  Duration DelayOf(Duration wait) {
    const Duration begin = this->now;
    const bool single = !this->delayed &&
                        this->process.single_delay > Duration::zero() &&
                        begin + wait >= this->process.delayed;
    this->delayed = this->delayed || single;
    const bool lasting =
        begin >= this->process.delays_begin && begin < this->process.delays_end;
    return (lasting ? this->process.lasting_delay : Duration::zero()) +
           (single ? this->process.single_delay : Duration::zero());
  }

  // ---- events ----

  // Those after `from` and up to `to`, in their order.
  void PlayEvents(Request* request, Duration from, Duration to) {
    const RequestPlan& plan = request->plan;
    const auto due = [from, to](const std::optional<Duration>& at) {
      return at && *at > from && *at <= to;
    };
    if (due(plan.head) && request->state == State::kNotSent) {
      this->OnHead(request, plan.head);
    }
    if (due(plan.body) && request->state == State::kArriving) {
      this->OnRead(request, *plan.body);
    }
    if (due(plan.begun) && request->state == State::kSent) {
      request->state = State::kBegun;
    }
    const bool begun = request->state == State::kBegun ||
                       (request->state == State::kSent && !IsStream(plan.kind));
    if (begun && this->ServerEnds(*request, from, to)) {
      this->Respond(request, to);
    }
    if (request->state == State::kResponded && plan.receive_time &&
        request->responded + *plan.receive_time <= to) {
      request->state = State::kDone;
    }
  }

  void Respond(Request* request, Duration at) {
    request->state = State::kResponded;
    request->responded = at;
  }

  // By the server's response, or by the deadline of a stream.
  bool ServerEnds(const Request& request, Duration from, Duration to) const {
    const std::optional<Duration> planned = request.plan.ended;
    return (planned && *planned > from && *planned <= to) ||
           (request.deadline && *request.deadline <= to);
  }

  void OnHead(Request* request, Duration at) {
    const bool open = request->plan.kind == RequestKind::kKept
                          ? !this->idle_closed
                          : this->accepting;
    if (!open) {
      request->state = State::kNotRead;
    } else if (request->plan.kind == RequestKind::kBodyInParts) {
      request->state = State::kArriving;
      if (this->MustRespond(at)) {
        this->Respond(request, at);
      }
    } else {
      this->OnRead(request, at);
    }
  }

  bool MustRespond(Duration at) const {
    return this->gate.MustRespond(kStart + at);
  }

  void OnRead(Request* request, Duration at) {
    request->sent = at;
    const bool stream = IsStream(request->plan.kind);
    const Instant now = kStart + at;
    const bool leaving = this->gate.Leaving();
    const Duration deadline = request->plan.head + request->plan.deadline;
    std::optional<std::string> objection;
    if (leaving && this->flaw != DrainFlaw::kAcceptAll) {
      objection = stream ? this->gate.ObjectionToStream("llm", kStreamSize,
                                                        deadline - at, now)
                         : this->gate.ObjectionToCall("call", milliseconds(300),
                                                      seconds(20), now);
    }
    if (objection) {
      this->Respond(request, at);
      return;
    }
    request->state = State::kSent;
    if (!stream) {
      return;
    }
    request->deadline = deadline;
    const bool shortened = this->process.new_grace < this->process.grace;
    if (leaving && at > kLatestCutStream && !shortened &&
        kStart + deadline > this->controller.End(this->Settings())) {
      this->Violate(DrainViolation::kOvertaken);
    }
  }

  // ---- decisions ----

  void RespondBeforeEnd() {
    this->gate.SetEnd(
        kStart, this->controller.End(this->Settings()),
        this->flaw == DrainFlaw::kTrustEstimates ? kLongestPlay : kAddressTtl);
    if (!this->MustRespond(this->now)) {
      return;
    }
    for (Request& request : this->requests) {
      if (request.state == State::kSent) {
        this->Respond(&request, this->now);
      }
    }
    this->RefuseUnread();
  }

  void RefuseUnread() {
    if (this->flaw == DrainFlaw::kKeepUnread) {
      return;
    }
    for (Request& request : this->requests) {
      if (request.state == State::kArriving) {
        request.refused_unread = true;
        this->Respond(&request, this->now);
      }
    }
  }

  std::uint64_t StateHash() const {
    std::uint64_t hash =
        HashCombine(static_cast<std::uint64_t>(ToMilliseconds(this->now)),
                    static_cast<std::uint64_t>(this->controller.Phase()));
    for (const Request& request : this->requests) {
      hash =
          HashCombine(hash, static_cast<std::uint64_t>(request.state) * 8 +
                                static_cast<std::uint64_t>(request.plan.kind));
    }
    return hash;
  }

  DrainObservation Observe(std::optional<Duration> wake_delay) const {
    DrainObservation observation;
    observation.now = kStart + this->now;
    for (const Request& request : this->requests) {
      const bool counted = request.plan.kind != RequestKind::kForwarded ||
                           this->flaw != DrainFlaw::kForgetForwarded;
      const bool in_flight =
          request.state == State::kSent || request.state == State::kBegun;
      observation.in_flight += in_flight && counted ? 1 : 0;
      const bool open = in_flight || request.state == State::kArriving ||
                        request.state == State::kResponded;
      observation.connections += open && counted ? 1 : 0;
      observation.unsent_bytes +=
          request.state == State::kResponded ? kResponseBytes : 0;
      observation.connections += request.plan.kind == RequestKind::kKept &&
                                         !this->idle_closed &&
                                         request.state == State::kNotSent
                                     ? 1
                                     : 0;
    }
    if (this->controller.Phase() != DrainPhase::kEstablished ||
        this->flaw == DrainFlaw::kIgnoreUnsent) {
      observation.unsent_bytes = 0;
    }
    if (this->flaw != DrainFlaw::kIgnoreDelays) {
      observation.wake_delay = wake_delay;
    }
    return observation;
  }

  void CarryOut(const DrainStep& step) {
    if (step.refuse_unread) {
      this->RefuseUnread();
    }
    if (step.stop_accepting) {
      this->accepting = false;
      this->accepting_stopped = this->now;
    }
    this->idle_closed |= step.close_idle_callers;
  }

  // ---- checks ----

  void Violate(DrainViolation violation) {
    this->result.violations.push_back(violation);
  }

  void End() {
    this->result.ended = this->now;
    // A change is noticed too late if it comes right before the end.
    const bool noticed = this->process.grace_changes + kMaxNoticeTime <=
                         std::min(this->now, this->process.new_grace);
    const Duration grace = noticed ? this->Grace() : this->process.grace;
    if (this->now > (noticed ? grace : std::max(grace, this->Grace()))) {
      this->Violate(DrainViolation::kKilled);
    }
    const bool shortened = this->process.new_grace < this->process.grace;
    bool owed = false;
    for (const Request& request : this->requests) {
      owed |= this->CheckRequest(request, grace, shortened);
    }
    const Duration end =
        this->controller.End(this->Settings()) - kStart - kEndTolerance;
    if (this->now < end && noticed && (this->process.whole_grace || owed)) {
      this->Violate(DrainViolation::kEndedEarly);
    }
  }

  // Returns whether more time would have served the request.
  bool CheckRequest(const Request& request, Duration grace, bool shortened) {
    switch (request.state) {
      case State::kArriving:
        if (this->now - request.plan.head > kRefusalTime) {
          this->Violate(DrainViolation::kUnreadRequest);
        }
        return false;
      case State::kSent:
        // Read within the last writes, or left without a response.
        this->Violate(DrainViolation::kUnansweredCall);
        return true;
      case State::kBegun: {
        const bool allowed = request.sent <= kLatestCutStream &&
                             this->now >= grace - grace / kLastPartDivisor;
        if (!allowed && !shortened) {
          this->Violate(DrainViolation::kCutRequest);
        }
        return true;
      }
      case State::kResponded: {
        if (request.refused_unread &&
            this->now - request.responded < kRefusalTime &&
            this->now + kRefusalTime < grace - kSpareTime) {
          this->Violate(DrainViolation::kUnreadRequest);
        }
        const Duration received =
            request.responded + request.plan.receive_time.value_or(seconds(99));
        return received > this->now &&
               received <= this->accepting_stopped + kMaxReceiveSilence;
      }
      case State::kNotSent:
      case State::kNotRead:
      case State::kDone:
        return false;
    }
    return false;
  }

  ProcessPlan process;
  DrainFlaw flaw;
  DrainController controller{kStart};
  serving::ShutdownGate gate;
  std::vector<Request> requests;
  Duration now{0};  // after the order to stop
  Duration known_grace = this->process.grace;
  Duration settings_read_at{0};
  bool delayed = false;
  bool accepting = true;
  Duration accepting_stopped{0};
  bool idle_closed = false;
  DrainResult result;
};

std::string Text(const std::optional<Duration>& at) {
  return at ? fmt::format("{}", ToMilliseconds(*at)) : "never";
}

}  // namespace

std::string DrainFlawName(DrainFlaw flaw) {
  constexpr std::array<const char*, kDrainFlaws> kNames = {
      "none",          "ignore-delays",  "read-settings-once",
      "ignore-unsent", "keep-unread",    "keep-unanswered",
      "accept-all",    "no-reserve",     "forget-forwarded",
      "late-exit",     "trust-estimates"};
  return kNames[static_cast<std::size_t>(flaw)];
}

std::string DrainViolationName(DrainViolation violation) {
  constexpr std::array<const char*, kDrainViolations> kNames = {
      "cut request", "unanswered call", "unread request",
      "killed",      "ended early",     "could not end in time"};
  return kNames[static_cast<std::size_t>(violation)];
}

DrainResult PlayDrain(const ProcessPlan& process,
                      const std::vector<RequestPlan>& requests,
                      DrainFlaw flaw) {
  return World(process, requests, flaw).Play();
}

std::string Describe(const ProcessPlan& process,
                     const std::vector<RequestPlan>& requests) {
  constexpr std::array<const char*, kRequestKinds> kKinds = {
      "call", "stream", "body in parts", "forwarded stream", "kept"};
  std::string text = fmt::format(
      "grace {} to {} at {}, whole {}, late {} each from {} until "
      "{}, {} once at {}",
      ToMilliseconds(process.grace), ToMilliseconds(process.new_grace),
      ToMilliseconds(process.grace_changes), process.whole_grace,
      ToMilliseconds(process.lasting_delay),
      ToMilliseconds(process.delays_begin), ToMilliseconds(process.delays_end),
      ToMilliseconds(process.single_delay), ToMilliseconds(process.delayed));
  for (const RequestPlan& plan : requests) {
    text += fmt::format(
        "; {}: head {}, body {}, begun {}, ended {}, deadline {}, "
        "received after {}",
        kKinds[static_cast<std::size_t>(plan.kind)], ToMilliseconds(plan.head),
        Text(plan.body), Text(plan.begun), Text(plan.ended),
        ToMilliseconds(plan.head + plan.deadline), Text(plan.receive_time));
  }
  return text;
}

}  // namespace chervilpass::fault_tests
