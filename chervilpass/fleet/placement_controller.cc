#include "chervilpass/fleet/placement_controller.h"

#include <algorithm>
#include <boost/json.hpp>
#include <map>
#include <set>

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
// A registration lags behind the worker's own report by up to its heartbeat.
constexpr Duration kReportTrust = seconds(4);

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

// An order on its way, and what the worker has confirmed last.
struct OpenOrder {
  LayerRange layers;
  Instant since;
};

struct ConfirmedLayers {
  LayerRange layers;
  Instant at;
  WallTime started;
};

}  // namespace

struct PlacementController::State
    : std::enable_shared_from_this<PlacementController::State> {
  State(io::Runtime* runtime,
        platform::StoreClient* store,
        io::HttpClient* http,
        serving::RoutingState* world,
        MetricsRegistry* metrics,
        const Logger* log,
        PlacementControllerSettings settings,
        std::function<std::vector<membership::Member>()> members,
        DeciderClaim claim)
      : runtime(runtime),
        store(store),
        http(http),
        world(world),
        metrics(metrics),
        log(log),
        settings(settings),
        members(std::move(members)),
        claim(std::move(claim)) {}

  io::Runtime* runtime;
  platform::StoreClient* store;
  io::HttpClient* http;
  serving::RoutingState* world;
  MetricsRegistry* metrics;
  const Logger* log;
  PlacementControllerSettings settings;
  std::function<std::vector<membership::Member>()> members;
  DeciderClaim claim;

  std::uint64_t claim_revision = 0;
  std::map<std::string, OpenOrder> open;             ///< by worker
  std::map<std::string, ConfirmedLayers> confirmed;  ///< by worker
  std::set<std::string> suspects;  ///< are asked until they answer
  std::size_t workers_seen = 0;
  Instant last_new_worker{};
  std::optional<Instant> first_worker;
  bool held = false;
  bool stopped = false;

  void Loop() {
    while (!this->stopped) {
      this->runtime->SleepFor(this->settings.check_interval);
      this->UpdateClaim();
      if (this->claim.Holds() != this->held) {
        this->held = this->claim.Holds();
        this->log->Info(
            "placement.decider",
            {{"decides", this->held},
             {"term", this->claim.Record() ? this->claim.Record()->term : 0}});
      }
      if (this->held) {
        this->PlanAll();
      }
    }
  }

  // ---- the claim ----

  void UpdateClaim() {
    const Instant now = this->runtime->Now();
    const ClaimAction action = this->claim.Next(this->members(), now);
    switch (action) {
      case ClaimAction::kNone:
        return;
      case ClaimAction::kRead:
        if (now - this->claim.ConfirmedSince() >=
            this->settings.idle_read_interval) {
          this->ReadClaim();
        }
        return;
      case ClaimAction::kCreate:
        this->TakeWritten(
            this->store->Create(StoreKind::kControl, std::string(kClaimName),
                                EncodeRecord(this->claim.Proposal())));
        return;
      case ClaimAction::kTakeOver:
        this->TakeWritten(this->store->Replace(
            StoreKind::kControl, std::string(kClaimName), this->claim_revision,
            EncodeRecord(this->claim.Proposal())));
        return;
    }
  }

  // After a write without a clear answer the store is read: it may have been
  // made after all.
  void TakeWritten(
      const Result<platform::StoredObject, platform::StoreError>& written) {
    if (written.has_value()) {
      this->TakeClaim(written.value());
    } else if (written.error().code != StoreErrorCode::kRefused) {
      this->ReadClaim();
    }
  }

  bool ReadClaim() {
    const auto read =
        this->store->Get(StoreKind::kControl, std::string(kClaimName));
    if (read.has_value()) {
      this->TakeClaim(read.value());
      return true;
    }
    if (read.error().code == StoreErrorCode::kNotFound) {
      this->claim.OnRead(std::nullopt, this->runtime->Now());
      return true;
    }
    return false;
  }

  void TakeClaim(const platform::StoredObject& object) {
    const auto record = DecodeRecord(object.spec);
    if (!record) {
      this->log->Warning("placement.claim_unreadable",
                         {{"revision", object.revision}});
    }
    this->claim_revision = object.revision;
    // An unreadable record is replaced like that of a VM that is gone.
    this->claim.OnRead(record.value_or(DeciderRecord{}), this->runtime->Now());
  }

  bool ConfirmClaim() {
    const Instant now = this->runtime->Now();
    if (now - this->claim.ConfirmedSince() <
        this->settings.claim_confirm_interval) {
      return this->claim.Holds();
    }
    if (this->ReadClaim()) {
      return this->claim.Holds();
    }
    // While nobody reaches the store nobody can take the claim over.
    return this->claim.Holds() && !this->AnyoneReachesStore();
  }

  bool AnyoneReachesStore() const {
    const auto known = this->members();
    return std::any_of(
        known.begin(), known.end(), [](const membership::Member& member) {
          return member.store_up && member.status != membership::Status::kDead;
        });
  }

  // ---- planning ----

  void PlanAll() {
    const auto table = this->world->Table();
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
    this->ForgetOld();
    const auto workers = this->Planned(service, model);
    // While most workers are empty nothing is served, and all load at once.
    const auto holding = std::count_if(
        workers.begin(), workers.end(),
        [](const PlannedWorker& worker) { return !worker.layers.Empty(); });
    const bool filling = 2 * static_cast<std::size_t>(holding) < workers.size();
    if (filling && !this->Settled(workers.size())) {
      return;
    }
    const auto orders =
        placement::PlanPlacement(model, workers, this->settings.planner);
    if (orders.empty() || !this->ConfirmClaim()) {
      return;
    }
    for (const PlacementOrder& order : orders) {
      if (!filling && !order.urgent &&
          this->open.size() >= model.concurrent_loads) {
        break;
      }
      this->Begin(order);
    }
  }

  // True once no worker has shown up for a while.
  bool Settled(std::size_t workers) {
    const Instant now = this->runtime->Now();
    if (workers == 0) {
      return false;
    }
    if (!this->first_worker) {
      this->first_worker = now;
    }
    if (workers != this->workers_seen) {
      this->workers_seen = workers;
      this->last_new_worker = now;
    }
    return now - this->last_new_worker >= this->settings.settle_time ||
           now - *this->first_worker >= this->settings.max_settle_time;
  }

  void ForgetOld() {
    const Instant now = this->runtime->Now();
    std::erase_if(this->confirmed, [now](const auto& entry) {
      return now - entry.second.at > kReportTrust;
    });
  }

  std::vector<PlannedWorker> Planned(const std::string& service,
                                     const placement::ModelProfile& model) {
    const Instant now = this->runtime->Now();
    std::vector<PlannedWorker> workers;
    for (const routing::BackendServer* server :
         this->world->Servers().Usable(service)) {
      const auto kind = model.kinds.find(server->accelerator_kind);
      if (kind == model.kinds.end()) {
        continue;
      }
      PlannedWorker worker;
      worker.worker = server->id;
      worker.data_centre = server->data_centre;
      worker.kind = kind->second;
      worker.layers = server->layers;
      const auto known = this->confirmed.find(server->id);
      if (known != this->confirmed.end() &&
          known->second.started == server->started) {
        worker.layers = known->second.layers;
      }
      const auto order = this->open.find(server->id);
      if (order != this->open.end()) {
        worker.layers = order->second.layers;
        worker.order_open = true;
      }
      // A worker that gives layers up refuses as well, until the order is done.
      worker.usable =
          !this->world->IsUnreachable(server->id, now) &&
          (worker.order_open || !this->world->IsRefusing(server->id, now));
      workers.push_back(std::move(worker));
    }
    return workers;
  }

  // ---- orders ----

  void Begin(const PlacementOrder& order) {
    this->open[order.worker] = {order.layers, this->runtime->Now()};
    this->log->Info("placement.order", {{"worker", order.worker},
                                        {"from", order.layers.from},
                                        {"to", order.layers.to},
                                        {"urgent", order.urgent},
                                        {"term", this->claim.Record()->term}});
    this->runtime->Spawn([self = this->shared_from_this(), order] {
      self->SeeThrough(order);
      self->open.erase(order.worker);
    });
  }

  // Repeats an order until the worker holds the layers. Each order states how
  // many the worker has accepted so far, so that one which arrives late cannot
  // undo a newer one.
  void SeeThrough(const PlacementOrder& order) {
    const Instant end = this->runtime->Now() + this->settings.order_timeout;
    while (!this->stopped && this->runtime->Now() < end) {
      const auto* server = this->world->Servers().Find(order.worker);
      if (server == nullptr || server->leaving) {
        return;
      }
      const routing::BackendServer worker = *server;
      const auto report = this->AskReport(worker);
      if (!report) {
        this->runtime->SleepFor(this->settings.load_poll_interval);
        if (this->world->IsUnreachable(worker.id, this->runtime->Now())) {
          return;
        }
        continue;
      }
      this->confirmed[worker.id] = {report->layers, this->runtime->Now(),
                                    worker.started};
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
        if (!this->ConfirmClaim()) {
          return;
        }
        this->SendOrder(worker, order, report->orders_accepted);
      }
      this->runtime->SleepFor(this->settings.load_poll_interval);
    }
  }

  std::optional<platform::WorkerReport> AskReport(
      const routing::BackendServer& worker) {
    io::HttpRequest request;
    request.path = platform::ReportPath();
    this->metrics->Count("chervil_reports_asked_total");
    const auto answer = this->http->Call(worker.address, request,
                                         this->settings.report_timeout);
    if (answer.has_error() || answer.value().status != 200) {
      return std::nullopt;
    }
    auto report = platform::DecodeReport(answer.value().body);
    if (report.has_error()) {
      this->log->Warning(
          "worker.report_unreadable",
          {{"worker", worker.id}, {"reason", report.error().detail}});
      return std::nullopt;
    }
    return std::move(report).value();
  }

  void SendOrder(const routing::BackendServer& worker,
                 const PlacementOrder& order,
                 std::uint64_t accepted) {
    io::HttpRequest request;
    request.method = "POST";
    request.path = platform::OrderPath();
    request.headers.Add("Content-Type", "application/json");
    request.body = platform::EncodePlacementOrder(order.layers, accepted);
    this->metrics->Count("chervil_orders_total");
    const auto answer = this->http->Call(worker.address, request,
                                         this->settings.report_timeout);
    this->log->Info(
        "placement.order_sent",
        {{"worker", worker.id},
         {"expected", accepted},
         {"answer", answer.has_error()
                        ? answer.error().detail
                        : "status " + std::to_string(answer.value().status)}});
  }

  // ---- suspects ----

  void Check(const std::string& worker) {
    while (!this->stopped) {
      const auto* server = this->world->Servers().Find(worker);
      if (server == nullptr) {
        break;
      }
      const routing::BackendServer asked = *server;
      const auto report = this->AskReport(asked);
      if (report) {
        break;
      }
      this->world->StartCooldown(worker, routing::CooldownReason::kUnreachable,
                                 this->runtime->Now());
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
    serving::RoutingState* world,
    MetricsRegistry* metrics,
    const Logger* log,
    PlacementControllerSettings settings,
    membership::Member self,
    std::function<std::vector<membership::Member>()> members) {
  auto state = std::make_shared<State>(
      runtime, store, http, world, metrics, log, settings, std::move(members),
      DeciderClaim(DeciderClaimSettings{}, self.vm, self.boot_id,
                   runtime->Now()));
  runtime->Spawn([state] { state->Loop(); });
  return std::unique_ptr<PlacementController>(
      new PlacementController(std::move(state)));
}

void PlacementController::OnSuspect(const std::string& worker) {
  if (!this->state->held || !this->state->suspects.insert(worker).second) {
    return;
  }
  this->state->runtime->Spawn(
      [state = this->state, worker] { state->Check(worker); });
}

bool PlacementController::IsDecider() const {
  return this->state->held;
}

}  // namespace chervilpass::fleet
