#include "chervilpass/dispatch/service_runner.h"

#include <set>

#include "chervilpass/core/hash.h"
#include "chervilpass/io/http_client.h"
#include "chervilpass/ledger/service_flow.h"

namespace chervilpass::dispatch {
namespace {

using admission::Executed;
using admission::Refusal;
using admission::RefusalCode;

// Digest that detects the use of one idempotency key for different requests.
std::uint64_t DigestOf(const rpc::ServiceRequest& request) {
  std::uint64_t digest = HashText(request.service);
  digest = HashText(request.call.method, digest);
  digest = HashText(request.call.path, digest);
  digest = HashText(request.call.query, digest);
  return HashText(request.call.body, digest);
}

// Identifies calls that are the same apart from their key.
std::uint64_t FingerprintOf(const rpc::ServiceRequest& request) {
  return HashCombine(HashText(request.organisation), DigestOf(request));
}

// For the connection attempt that tells a crash from a lost connection.
constexpr Duration kProbeTimeout = milliseconds(300);

}  // namespace

struct ServiceRunner::State {
  State(io::Runtime* runtime,
        MetricsRegistry* metrics,
        Logger log,
        std::shared_ptr<control::ViewSubscriber> view_subscriber,
        std::shared_ptr<LedgerService> ledger,
        ServiceRunnerSettings settings)
      : runtime(runtime),
        metrics(metrics),
        log(std::move(log)),
        view_subscriber(std::move(view_subscriber)),
        ledger(std::move(ledger)),
        settings(settings),
        http(io::HttpClient::Create(runtime, io::HttpClientSettings{})),
        health(settings.health),
        strikes(settings.strikes),
        budget(routing::RetryBudgetSettings{}) {}

  void ApplyStrikes(const membership::FleetView& view) {
    const WallTime now = this->runtime->WallNow();
    for (const quarantine::Strike& strike : view.strikes) {
      this->strikes.Add(strike, now);
    }
    this->strikes.Expire(now);
  }

  // A call was lost. If nothing listens at its backend server, the call gets a
  // strike for the crash; calls that are lost together share one crash.
  void OnCallLost(std::uint64_t fingerprint,
                  const config::Backend& backend,
                  WallTime lost_at,
                  std::uint32_t prior) {
    const auto opened = this->http->Open(backend.address, kProbeTimeout,
                                         io::ConnectionUse::kFresh);
    if (opened.has_value()) {
      return;
    }
    WallTime& crashed_at = this->last_crashes[backend.id];
    if (lost_at.milliseconds - crashed_at.milliseconds >=
        ToMilliseconds(this->settings.strikes.incident_window)) {
      crashed_at = lost_at;
    }
    const quarantine::Strike strike{
        fingerprint, backend.id + "@" + std::to_string(crashed_at.milliseconds),
        lost_at, prior};
    if (!this->strikes.Add(strike, this->runtime->WallNow())) {
      return;
    }
    this->metrics->Increment("chervil_service_crashes_total");
    this->log.Warning("service.crashed", {{"backend", backend.id},
                                          {"fingerprint", fingerprint},
                                          {"prior", prior}});
    this->view_subscriber->ReportStrike(strike);
  }

  // Chooses the backend server with the fewest calls in flight among the usable
  // ones of the service that are not in `failed`; empty if there is none.
  std::optional<config::Backend> ChooseBackend(
      const std::string& service,
      const std::set<std::string>& failed) {
    const auto view = this->view_subscriber->Current();
    std::vector<std::string> ids;
    for (const auto& [id, backend] : view->config->backends) {
      const auto* role = std::get_if<config::ServiceRole>(&backend.role);
      if (role != nullptr && role->service == service &&
          view->AcceptsNewWork(backend) && !failed.contains(id)) {
        ids.push_back(id);
      }
    }
    const auto usable = this->health.Usable(ids, this->runtime->Now());
    const std::string* least_loaded = nullptr;
    for (const std::string& id : usable) {
      if (least_loaded == nullptr ||
          this->calls_in_flight[id] < this->calls_in_flight[*least_loaded]) {
        least_loaded = &id;
      }
    }
    if (least_loaded == nullptr) {
      return std::nullopt;
    }
    return view->config->backends.at(*least_loaded);
  }

  io::Runtime* runtime;
  MetricsRegistry* metrics;
  Logger log;
  std::shared_ptr<control::ViewSubscriber> view_subscriber;
  std::shared_ptr<LedgerService> ledger;
  ServiceRunnerSettings settings;
  std::unique_ptr<io::HttpClient> http;
  routing::WorkerHealth health;
  quarantine::StrikeTracker strikes;
  std::map<std::string, WallTime> last_crashes;  // by backend server
  routing::RetryBudget budget;
  std::map<std::string, std::uint32_t> calls_in_flight;  // by backend server
  std::size_t in_flight = 0;  // running calls, also those not yet sent

  class Call;
};

// A running call: executes the actions of its state machine.
class ServiceRunner::State::Call {
 public:
  Call(State* state, const rpc::ServiceRequest& request)
      : state(state),
        request(request),
        key{request.organisation, request.idempotency_key},
        attempt(RandomId()),
        deadline(state->runtime->Now() + request.deadline),
        flow({request.idempotency_key.empty(), this->deadline,
              state->settings.max_sends},
             &state->budget) {}

  rpc::ServiceOutcome Run() {
    ledger::ServiceActions actions = this->flow.Start(this->Now());
    while (true) {
      // The state machine returns exactly one action.
      ledger::ServiceAction action = std::move(actions.front());
      if (auto* answer = std::get_if<ledger::AnswerCall>(&action)) {
        return {std::move(answer->response), answer->replayed};
      }
      if (auto* refuse = std::get_if<ledger::RefuseCall>(&action)) {
        return {std::move(refuse->refusal), false};
      }
      actions = std::visit([this](const auto& item) { return this->Do(item); },
                           action);
    }
  }

 private:
  Instant Now() const { return this->state->runtime->Now(); }

  ledger::ServiceActions Do(const ledger::RequestClaim&) {
    const auto reply = this->state->ledger->Claim(this->key, this->attempt,
                                                  DigestOf(this->request));
    return this->flow.OnClaim(reply, this->Now());
  }

  ledger::ServiceActions Do(const ledger::SendCall&) {
    const WallTime wall = this->state->runtime->WallNow();
    const std::uint64_t fingerprint = FingerprintOf(this->request);
    if (this->state->strikes.StateOf(fingerprint, wall) ==
        quarantine::QuarantineState::kQuarantined) {
      return this->flow.OnQuarantined(
          this->state->strikes.RetryAfter(fingerprint, wall));
    }
    const std::uint32_t prior = this->state->strikes.Count(fingerprint, wall);
    const auto backend =
        this->state->ChooseBackend(this->request.service, this->failed);
    if (!backend) {
      return this->flow.OnNoBackend(this->Now());
    }
    this->state->log.Info("place.service",
                          {{"request", this->request.request_id},
                           {"service", this->request.service},
                           {"chosen", backend->id},
                           {"reason", "fewest in flight"}});
    io::HttpRequest call = this->request.call;
    if (!this->request.idempotency_key.empty()) {
      call.headers.Add("Idempotency-Key", this->request.idempotency_key);
    }
    call.headers.Add("X-Request-Id", this->request.request_id);
    ++this->state->calls_in_flight[backend->id];
    const auto response = this->state->http->Call(backend->address, call,
                                                  this->deadline - this->Now(),
                                                  io::ConnectionUse::kFresh);
    --this->state->calls_in_flight[backend->id];
    if (response.has_value()) {
      // The same time for all servers, so that none is left out as slow.
      this->state->health.OnSuccess(backend->id, Duration(1), this->Now());
      this->state->strikes.OnCompleted(fingerprint,
                                       this->state->runtime->WallNow());
      return this->flow.OnResponse(response.value(), this->Now());
    }
    this->failed.insert(backend->id);
    const bool not_sent = response.error().code == io::HttpErrorCode::kConnect;
    if (not_sent) {
      this->state->health.OnRefusedConnection(backend->id, this->Now());
    } else {
      this->state->health.OnFailure(backend->id, this->Now());
      this->state->OnCallLost(fingerprint, *backend,
                              this->state->runtime->WallNow(), prior);
    }
    this->state->log.Warning("service.failed",
                             {{"request", this->request.request_id},
                              {"backend", backend->id},
                              {"sent", !not_sent},
                              {"detail", response.error().detail}});
    return this->flow.OnSendFailed(not_sent ? ledger::SendFailure::kNotSent
                                            : ledger::SendFailure::kAmbiguous,
                                   this->Now());
  }

  ledger::ServiceActions Do(const ledger::RecordOutcome& record) {
    return this->flow.OnRecorded(
        this->state->ledger->Finish(this->key, this->attempt, record.outcome));
  }

  ledger::ServiceActions Do(const ledger::RecordRelease&) {
    return this->flow.OnRecorded(
        this->state->ledger->Release(this->key, this->attempt));
  }

  // Handled in Run().
  ledger::ServiceActions Do(const ledger::AnswerCall&) { return {}; }
  ledger::ServiceActions Do(const ledger::RefuseCall&) { return {}; }

  State* state;
  const rpc::ServiceRequest& request;
  ledger::ClaimKey key;
  std::string attempt;
  Instant deadline;
  ledger::ServiceFlow flow;
  std::set<std::string> failed;  // backend servers that failed this call
};

ServiceRunner::ServiceRunner(std::shared_ptr<State> state)
    : state(std::move(state)) {}

std::shared_ptr<ServiceRunner> ServiceRunner::Create(
    io::Runtime* runtime,
    MetricsRegistry* metrics,
    Logger log,
    std::shared_ptr<control::ViewSubscriber> view_subscriber,
    std::shared_ptr<LedgerService> ledger,
    ServiceRunnerSettings settings) {
  auto state =
      std::make_shared<State>(runtime, metrics, std::move(log), view_subscriber,
                              std::move(ledger), settings);
  view_subscriber->OnChange(
      [raw = state.get()](const membership::FleetView& view) {
        raw->ApplyStrikes(view);
      });
  return std::shared_ptr<ServiceRunner>(new ServiceRunner(std::move(state)));
}

rpc::ServiceOutcome ServiceRunner::Run(const rpc::ServiceRequest& request) {
  const auto view = this->state->view_subscriber->Current();
  if (view->config == nullptr) {
    return {Refusal{RefusalCode::kNotReady, Executed::kNo, seconds(1),
                    "no configuration is known yet"},
            false};
  }
  ++this->state->in_flight;
  rpc::ServiceOutcome outcome = State::Call(this->state.get(), request).Run();
  --this->state->in_flight;
  return outcome;
}

rpc::ClaimState ServiceRunner::Query(const std::string& organisation,
                                     const std::string& key) {
  const auto reply = this->state->ledger->Query({organisation, key});
  if (const auto* done = std::get_if<ledger::Completed>(&reply)) {
    return done->outcome;
  }
  if (std::holds_alternative<ledger::Absent>(reply)) {
    return rpc::ClaimAbsent{};
  }
  if (std::holds_alternative<ledger::Running>(reply)) {
    return rpc::ClaimRunning{};
  }
  if (std::holds_alternative<ledger::Unavailable>(reply)) {
    return rpc::ClaimUnavailable{"the store does not answer"};
  }
  return rpc::ClaimUnknown{};
}

std::size_t ServiceRunner::InFlight() const {
  return this->state->in_flight;
}

}  // namespace chervilpass::dispatch
