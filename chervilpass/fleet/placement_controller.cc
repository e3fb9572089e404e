#include "chervilpass/fleet/placement_controller.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <map>
#include <set>
#include <utility>

#include "platform/worker_decoder.h"

namespace chervilpass::fleet {
namespace {

namespace json = boost::json;
using placement::LayerRange;
using placement::PlacementOrder;
using placement::PlannedWorker;
using platform::StoreErrorCode;
using platform::StoreKind;

constexpr std::string_view kClaimName = "placement";
// Reports take precedence over registrations for this long: a registration lags
// behind the worker's report by up to one heartbeat.
constexpr Duration kReportLifetime = seconds(4);
// A lateness counts less by the time since, divided by this.
constexpr int kLatenessDecay = 4;

json::value EncodeRecord(const DeciderRecord& record) {
  json::object body;
  body["vm"] = record.vm;
  body["boot_id"] = record.boot_id;
  body["term"] = record.term;
  return body;
}

std::optional<DeciderRecord> DecodeRecord(const json::value& body) {
  platform::JsonFields fields(body, "claim");
  DeciderRecord record{fields.Text("vm"), fields.Integer("boot_id"),
                       fields.Integer("term")};
  return fields.FirstError() ? std::nullopt
                             : std::optional<DeciderRecord>(record);
}

// An order that has been sent and is not complete.
struct OpenOrder {
  LayerRange layers;
  Instant since;
};

// Layers that a worker confirmed in its last report.
struct ConfirmedLayers {
  LayerRange layers;
  Instant at;
  WallTime started;  // start of the worker
};

}  // namespace

struct PlacementController::State
    : std::enable_shared_from_this<PlacementController::State> {
  State(io::Runtime* runtime,
        platform::StoreClient* store,
        io::HttpClient* http,
        serving::RoutingState* routing_state,
        MetricsRegistry* metrics,
        const Logger* log,
        PlacementControllerSettings settings,
        std::function<const std::vector<membership::Member>&()> members,
        std::function<bool()> cut_off,
        DeciderClaim claim)
      : runtime(runtime),
        store(store),
        http(http),
        routing_state(routing_state),
        metrics(metrics),
        log(log),
        settings(settings),
        members(std::move(members)),
        cut_off(std::move(cut_off)),
        claim(std::move(claim)),
        governor(settings.governor) {}

  io::Runtime* runtime;
  platform::StoreClient* store;
  io::HttpClient* http;
  serving::RoutingState* routing_state;
  MetricsRegistry* metrics;
  const Logger* log;
  PlacementControllerSettings settings;
  std::function<const std::vector<membership::Member>&()> members;
  std::function<bool()> cut_off;
  DeciderClaim claim;

  std::uint64_t claim_revision = 0;
  bool claim_read_failed = false;  ///< the last one
  bool reading_claim = false;      ///< on a fiber of its own
  placement::OrderGovernor governor;
  /// Of the control loop, less a share of the time since.
  Duration lateness{0};
  std::map<placement::HoldReason, std::size_t> held;  ///< since the last line
  Instant held_logged_at{};
  std::map<std::string, OpenOrder> open_orders;      ///< by worker
  std::map<std::string, ConfirmedLayers> confirmed;  ///< by worker
  std::set<std::string> suspects;  ///< polled until they respond
  /// Registered workers that are not usable for planning.
  std::map<std::string, Instant> unusable_since;
  std::size_t last_worker_count = 0;
  Instant last_worker_count_change{};
  std::optional<Instant> first_worker_at;
  bool is_decider = false;
  bool stopped = false;

  void Loop() {
    while (!this->stopped) {
      const Instant slept = this->runtime->Now();
      this->runtime->SleepFor(this->settings.check_interval);
      this->RecordLateness(this->runtime->Now() - slept -
                           this->settings.check_interval);
      this->governor.OnRound(this->routing_state->Servers().All().size(),
                             this->runtime->Now());
      this->UpdateClaim();
      if (this->claim.Holds() != this->is_decider) {
        this->is_decider = this->claim.Holds();
        this->log->Info(
            "placement.decider",
            {{"decides", this->is_decider},
             {"term", this->claim.Record() ? this->claim.Record()->term : 0}});
      }
      if (this->is_decider && !this->cut_off()) {
        this->PlanAll();
      } else {
        this->unusable_since.clear();
      }
    }
  }

  // Only of the processor: waits for the store are no lateness.
  void RecordLateness(Duration late) {
    this->lateness = std::max(
        {Duration::zero(), late,
         this->lateness - this->settings.check_interval / kLatenessDecay});
  }

  // ---- the claim ----

  void UpdateClaim() {
    const Instant now = this->runtime->Now();
    const ClaimAction action = this->claim.Next(this->members(), now);
    switch (action) {
      case ClaimAction::kNone:
        return;
      case ClaimAction::kRead:
        if (now - this->claim.LastReadAt() >=
            this->settings.idle_read_interval) {
          this->RefreshClaim();
        }
        return;
      case ClaimAction::kCreate:
        this->OnClaimWritten(
            this->store->Create(StoreKind::kControl, std::string(kClaimName),
                                EncodeRecord(this->claim.Proposal())),
            now);
        return;
      case ClaimAction::kTakeOver:
        this->OnClaimWritten(
            this->store->Replace(StoreKind::kControl, std::string(kClaimName),
                                 this->claim_revision,
                                 EncodeRecord(this->claim.Proposal())),
            now);
        return;
    }
  }

  // Reads the claim after a failed write that the store did not refuse, since
  // this write or another VM's may have been applied.
  void OnClaimWritten(
      const Result<platform::StoredObject, platform::StoreError>& written,
      Instant asked) {
    if (written.has_value()) {
      this->ApplyClaim(written.value(), asked);
    } else if (written.error().code != StoreErrorCode::kRefused) {
      this->ReadClaim();
    }
  }

  // After a failure the loop does not wait for the store: repairs continue
  // while it is unavailable.
  void RefreshClaim() {
    if (!this->claim_read_failed) {
      this->ReadClaim();
    } else if (!std::exchange(this->reading_claim, true)) {
      this->runtime->Spawn([self = this->shared_from_this()] {
        self->ReadClaim();
        self->reading_claim = false;
      });
    }
  }

  void ReadClaim() {
    const Instant asked = this->runtime->Now();
    const auto read =
        this->store->Get(StoreKind::kControl, std::string(kClaimName));
    const bool found = read.has_value();
    this->claim_read_failed =
        !found && read.error().code != StoreErrorCode::kNotFound;
    if (found) {
      this->ApplyClaim(read.value(), asked);
    } else if (!this->claim_read_failed) {
      if (asked >= this->claim.LastReadAt()) {
        this->claim.OnRead(std::nullopt, asked, this->runtime->Now());
      }
    }
  }

  void ApplyClaim(const platform::StoredObject& object, Instant asked) {
    if (asked < this->claim.LastReadAt()) {
      return;  // overtaken by a later read or write
    }
    const auto record = DecodeRecord(object.spec);
    if (!record) {
      this->log->Warning("placement.claim_unreadable",
                         {{"revision", object.revision}});
    }
    this->claim_revision = object.revision;
    // An unreadable record is replaced as if its holder were gone.
    this->claim.OnRead(record.value_or(DeciderRecord{}), asked,
                       this->runtime->Now());
  }

  // How far this VM may act now; reads the claim if the last read is too old.
  ClaimStanding ConfirmClaim() {
    if (this->runtime->Now() - this->claim.LastReadAt() >=
        this->settings.claim_confirm_interval) {
      this->RefreshClaim();
    }
    return this->claim.Standing(this->members(), this->runtime->Now());
  }

  // ---- planning ----

  void PlanAll() {
    const auto table = this->routing_state->Table();
    if (!table) {
      return;
    }
    for (const routing::ServiceProfile& service : table->Data().services) {
      if (service.model) {
        this->Plan(service.name, *service.model);
      }
    }
  }

  void Plan(const std::string& service, const placement::ModelProfile& model) {
    this->DropExpiredReports();
    const auto workers = this->CollectWorkers(service, model);
    // While most workers are empty nothing is served, so they may all load
    // layers at the same time.
    const auto holding_workers = std::count_if(
        workers.begin(), workers.end(),
        [](const PlannedWorker& worker) { return !worker.layers.Empty(); });
    const bool mostly_empty =
        2 * static_cast<std::size_t>(holding_workers) < workers.size();
    if (mostly_empty && !this->HasSettled(workers.size())) {
      return;
    }
    const Instant begun = this->runtime->Now();
    const auto orders =
        placement::PlanPlacement(model, workers, this->settings.planner);
    this->RecordLateness(this->runtime->Now() - begun);
    if (orders.empty()) {
      return;
    }
    const ClaimStanding standing = this->ConfirmClaim();
    if (standing == ClaimStanding::kNone) {
      return;
    }
    const placement::PlanBasis basis =
        this->BasisOfPlan(standing == ClaimStanding::kConfirmed, mostly_empty);
    for (const PlacementOrder& order : orders) {
      if (!mostly_empty && !order.urgent &&
          this->open_orders.size() >= model.concurrent_loads) {
        break;
      }
      if (const auto reason = this->governor.Admit(order, basis)) {
        this->Hold(*reason);
      } else {
        this->StartOrder(order);
      }
    }
    this->LogHeldOrders(basis);
  }

  placement::PlanBasis BasisOfPlan(bool claim_confirmed, bool starting) const {
    const Instant now = this->runtime->Now();
    placement::PlanBasis basis;
    basis.now = now;
    basis.claim_confirmed = claim_confirmed;
    basis.registry_age =
        this->routing_state->ServersUnconfirmedFor(now).value_or(
            Duration::zero());
    for (const auto& [worker, order] : this->open_orders) {
      const auto report = this->confirmed.find(worker);
      const Instant known = report == this->confirmed.end()
                                ? order.since
                                : std::max(order.since, report->second.at);
      basis.report_age = std::max(basis.report_age, now - known);
    }
    basis.lateness = this->lateness;
    basis.starting = starting;
    return basis;
  }

  void Hold(placement::HoldReason reason) {
    ++this->held[reason];
    this->metrics->Increment(
        "chervil_placement_orders_held_total",
        fmt::format("reason=\"{}\"", placement::NameOf(reason)));
  }

  // A plan repeats its orders until they are carried out, so a held one counts
  // once in each round.
  void LogHeldOrders(const placement::PlanBasis& basis) {
    if (this->held.empty() ||
        basis.now - this->held_logged_at < this->settings.held_log_interval) {
      return;
    }
    this->held_logged_at = basis.now;
    for (const auto& [reason, count] : std::exchange(this->held, {})) {
      this->log->Warning(
          "placement.orders_held",
          {{"reason", placement::NameOf(reason)},
           {"rounds_and_orders", count},
           {"registry_age_ms", ToMilliseconds(basis.registry_age)},
           {"report_age_ms", ToMilliseconds(basis.report_age)},
           {"lateness_ms", ToMilliseconds(basis.lateness)},
           {"open", this->governor.OpenOrders()}});
    }
  }

  // True once the number of workers has not changed for `settle_time`, or
  // `max_settle_time` has passed.
  bool HasSettled(std::size_t workers) {
    const Instant now = this->runtime->Now();
    if (workers == 0) {
      return false;
    }
    if (!this->first_worker_at) {
      this->first_worker_at = now;
    }
    if (workers != this->last_worker_count) {
      this->last_worker_count = workers;
      this->last_worker_count_change = now;
    }
    return now - this->last_worker_count_change >= this->settings.settle_time ||
           now - *this->first_worker_at >= this->settings.max_settle_time;
  }

  void DropExpiredReports() {
    const Instant now = this->runtime->Now();
    std::erase_if(this->unusable_since, [this](const auto& entry) {
      return this->routing_state->Servers().Find(entry.first) == nullptr;
    });
    std::erase_if(this->confirmed, [now](const auto& entry) {
      return now - entry.second.at > kReportLifetime;
    });
  }

  std::vector<PlannedWorker> CollectWorkers(
      const std::string& service,
      const placement::ModelProfile& model) {
    const Instant now = this->runtime->Now();
    std::vector<PlannedWorker> workers;
    for (const routing::BackendServer* server :
         this->routing_state->Servers().Usable(service)) {
      const auto kind = model.accelerator_kinds.find(server->accelerator_kind);
      if (kind == model.accelerator_kinds.end()) {
        continue;
      }
      PlannedWorker worker;
      worker.worker = server->id;
      worker.data_centre = server->data_centre;
      worker.kind = kind->second;
      worker.layers = server->layers;
      const auto last_report = this->confirmed.find(server->id);
      if (last_report != this->confirmed.end() &&
          last_report->second.started == server->started) {
        worker.layers = last_report->second.layers;
      }
      const auto order = this->open_orders.find(server->id);
      if (order != this->open_orders.end()) {
        worker.layers = order->second.layers;
        worker.order_open = true;
      }
      // A worker that releases layers refuses requests too, until its order is
      // complete.
      worker.usable = !this->routing_state->IsUnreachable(server->id, now) &&
                      (worker.order_open ||
                       !this->routing_state->IsRefusing(server->id, now));
      worker.paced = this->routing_state->PaceShareOf(server->id) < 1;
      if (worker.usable) {
        this->unusable_since.erase(server->id);
      } else {
        worker.unusable_for =
            now -
            this->unusable_since.try_emplace(server->id, now).first->second;
      }
      workers.push_back(std::move(worker));
    }
    return workers;
  }

  // ---- orders ----

  void StartOrder(const PlacementOrder& order) {
    this->open_orders[order.worker] = {order.layers, this->runtime->Now()};
    this->log->Info("placement.order", {{"worker", order.worker},
                                        {"from", order.layers.from},
                                        {"to", order.layers.to},
                                        {"urgent", order.urgent},
                                        {"term", this->claim.Record()->term}});
    this->runtime->Spawn([self = this->shared_from_this(), order] {
      self->RunOrder(order);
      self->open_orders.erase(order.worker);
      self->governor.OnEnded(order.worker);
    });
  }

  // Repeats an order until the worker holds the layers. Each order carries the
  // number of orders that the worker has accepted so far, so a delayed order
  // cannot undo a newer one.
  void RunOrder(const PlacementOrder& order) {
    const Instant begun = this->runtime->Now();
    // A worker that still carries out the order gets no other one.
    bool in_progress = false;
    const auto expired = [&] {
      return this->runtime->Now() - begun >=
             (in_progress ? this->settings.max_order_time
                          : this->settings.order_timeout);
    };
    while (!this->stopped && !expired()) {
      const auto* server = this->routing_state->Servers().Find(order.worker);
      if (server == nullptr || server->leaving) {
        return;
      }
      const routing::BackendServer worker = *server;
      const auto report = this->FetchReport(worker);
      if (!report) {
        this->runtime->SleepFor(this->settings.load_poll_interval);
        if (this->routing_state->IsUnreachable(worker.id,
                                               this->runtime->Now())) {
          return;
        }
        continue;
      }
      this->confirmed[worker.id] = {report->layers, this->runtime->Now(),
                                    worker.started};
      in_progress = report->order_in_progress;
      if (!report->order_in_progress && report->layers == order.layers) {
        this->log->Info("placement.placed",
                        {{"worker", worker.id},
                         {"from", order.layers.from},
                         {"to", order.layers.to},
                         {"kv_used", report->kv_used},
                         {"kv_capacity", report->kv_capacity}});
        return;
      }
      if (!report->order_in_progress) {
        const ClaimStanding standing = this->ConfirmClaim();
        if (standing == ClaimStanding::kNone ||
            (standing == ClaimStanding::kUncontested && !order.urgent)) {
          return;
        }
        if (this->SendOrder(worker, order, report->orders_accepted) ==
            platform::OrderOutcome::kOtherWorker) {
          return;
        }
      }
      this->runtime->SleepFor(this->settings.load_poll_interval);
    }
  }

  std::optional<platform::WorkerReport> FetchReport(
      const routing::BackendServer& worker) {
    this->metrics->Increment("chervil_reports_asked_total");
    const auto response =
        this->http->Call(worker.address, platform::ReportRequest(),
                         this->settings.report_timeout);
    if (response.has_error() || response.value().status != 200) {
      return std::nullopt;
    }
    auto report = platform::DecodeReport(response.value().body);
    if (report.has_error()) {
      this->log->Warning(
          "worker.report_unreadable",
          {{"worker", worker.id}, {"reason", report.error().detail}});
      return std::nullopt;
    }
    if (!IsOf(report.value(), worker)) {
      this->metrics->Increment("chervil_foreign_reports_total");
      this->log->Warning("worker.report_of_another_start",
                         {{"worker", worker.id},
                          {"address", worker.address.ToText()},
                          {"registered_start", worker.started.milliseconds},
                          {"start", report.value().started->milliseconds}});
      return std::nullopt;
    }
    return std::move(report).value();
  }

  // An address may belong to another worker by now, and a worker may have been
  // started again: the report says nothing of the registered start then.
  static bool IsOf(const platform::WorkerReport& report,
                   const routing::BackendServer& worker) {
    return !report.started || worker.started == WallTime{} ||
           *report.started == worker.started;
  }

  // None without an answer.
  std::optional<platform::OrderOutcome> SendOrder(
      const routing::BackendServer& worker,
      const PlacementOrder& order,
      std::uint64_t accepted) {
    this->metrics->Increment("chervil_orders_total");
    const auto response = this->http->Call(
        worker.address,
        platform::OrderRequest(
            worker.id, platform::EncodePlacementOrder(order.layers, accepted)),
        this->settings.report_timeout);
    this->log->Info(
        "placement.order_sent",
        {{"worker", worker.id},
         {"expected", accepted},
         {"answer",
          response.has_error()
              ? response.error().detail
              : "status " + std::to_string(response.value().status)}});
    return response.has_error() ? std::nullopt
                                : std::optional(platform::OrderOutcomeOf(
                                      response.value().status));
  }

  // ---- suspects ----

  void CheckSuspect(const std::string& worker) {
    while (!this->stopped) {
      const auto* server = this->routing_state->Servers().Find(worker);
      if (server == nullptr) {
        break;
      }
      const routing::BackendServer backend = *server;
      const Instant asked = this->runtime->Now();
      const auto report = this->FetchReport(backend);
      if (report || this->cut_off()) {
        break;
      }
      if (this->routing_state->Stalls().VoidsTimeout(
              asked, this->runtime->Now(), this->settings.report_timeout)) {
        this->metrics->Increment("chervil_timeouts_void_total");
        this->runtime->SleepFor(this->settings.load_poll_interval);
        continue;
      }
      this->routing_state->StartCooldown(
          worker, routing::CooldownReason::kUnreachable, this->runtime->Now());
      this->runtime->SleepFor(seconds(1));
    }
    this->suspects.erase(worker);
  }
};

PlacementController::PlacementController(std::shared_ptr<State> state)
    : state(std::move(state)) {}

PlacementController::~PlacementController() {
  this->state->stopped = true;
}

std::unique_ptr<PlacementController> PlacementController::Create(
    io::Runtime* runtime,
    platform::StoreClient* store,
    io::HttpClient* http,
    serving::RoutingState* routing_state,
    MetricsRegistry* metrics,
    const Logger* log,
    PlacementControllerSettings settings,
    membership::Member self,
    std::function<const std::vector<membership::Member>&()> members,
    std::function<bool()> cut_off) {
  auto state =
      std::make_shared<State>(runtime, store, http, routing_state, metrics, log,
                              settings, std::move(members), std::move(cut_off),
                              DeciderClaim(DeciderClaimSettings{}, self.vm,
                                           self.boot_id, runtime->Now()));
  runtime->Spawn([state] { state->Loop(); });
  return std::unique_ptr<PlacementController>(
      new PlacementController(std::move(state)));
}

void PlacementController::OnSuspect(const std::string& worker) {
  if (!this->state->is_decider ||
      !this->state->suspects.insert(worker).second) {
    return;
  }
  this->state->runtime->Spawn(
      [state = this->state, worker] { state->CheckSuspect(worker); });
}

bool PlacementController::IsDecider() const {
  return this->state->is_decider;
}

}  // namespace chervilpass::fleet
