#include "chervilpass/entry/completion_call_runner.h"

#include <fmt/format.h>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <deque>
#include <map>
#include <optional>
#include <set>

#include "chervilpass/core/hash.h"
#include "chervilpass/entry/answer_writer.h"
#include "chervilpass/membership/rendezvous.h"
#include "chervilpass/routing/cells.h"
#include "chervilpass/routing/completion_flow.h"

namespace chervilpass::entry {
namespace {

using admission::Refusal;

constexpr Duration kTickInterval = milliseconds(50);

// ---- events of attempts ----

struct TokenArrived {
  std::uint32_t attempt = 0;
  std::uint32_t index = 0;
  std::uint32_t token = 0;
};
struct HeartbeatArrived {
  std::uint32_t attempt = 0;
};
struct AttemptEnded {
  std::uint32_t attempt = 0;
  Result<rpc::CompletionOutcome, rpc::RpcError> result;
};
using CallEvent = std::variant<TokenArrived, HeartbeatArrived, AttemptEnded>;

// Queue of the events of all attempts. Shared ownership: attempts can outlive
// the request.
class EventQueue {
 public:
  void Push(CallEvent event) {
    this->events.push_back(std::move(event));
    this->not_empty.notify_one();
  }

  // Waits for the next event; empty after `timeout`.
  std::optional<CallEvent> Pop(Duration timeout) {
    std::unique_lock<boost::fibers::mutex> lock(this->mutex);
    const bool has_event = this->not_empty.wait_for(
        lock, timeout, [this] { return !this->events.empty(); });
    if (!has_event) {
      return std::nullopt;
    }
    CallEvent event = std::move(this->events.front());
    this->events.pop_front();
    return event;
  }

 private:
  std::deque<CallEvent> events;
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable not_empty;
};

// ---- the request ----

class CompletionCallRunner {
 public:
  CompletionCallRunner(EntryContext* context,
                       const std::string& organisation,
                       const CompletionCall& call,
                       io::HttpExchange* exchange)
      : context(context),
        organisation(organisation),
        call(call),
        writer(call, exchange),
        start(context->runtime->Now()),
        session(call.request_id + "#" + RandomId().substr(0, 8)),
        flow(FlowSettings(*context, organisation, call, this->start),
             &context->budget) {}

  void Run() {
    this->Apply(this->flow.Start(this->start));
    while (!this->flow.Ended()) {
      const auto event = this->events->Pop(kTickInterval);
      if (event) {
        this->Apply(std::visit(
            [this](const auto& item) { return this->On(item); }, *event));
      }
      this->OnTick();
    }
  }

 private:
  static routing::CompletionFlowSettings FlowSettings(
      const EntryContext& context,
      const std::string& organisation,
      const CompletionCall& call,
      Instant now) {
    const auto view = context.view_subscriber->Current();
    const config::TableRow row =
        view->config->RowOrDefault(organisation, call.pipeline);
    Duration deadline = row.deadline_ms > 0 ? milliseconds(row.deadline_ms)
                                            : context.default_deadline;
    if (call.deadline) {
      deadline = std::min(deadline, *call.deadline);
    }
    routing::CompletionFlowSettings settings;
    settings.max_tokens = call.max_tokens;
    settings.accepted = call.resume_tokens;
    settings.deadline = now + deadline;
    settings.stall_timeout = context.stall_timeout;
    return settings;
  }

  Instant Now() const { return this->context->runtime->Now(); }

  void OnTick() {
    if (this->flow.Ended()) {
      return;
    }
    const Instant now = this->Now();
    if (now - this->last_tick < kTickInterval) {
      return;
    }
    this->last_tick = now;
    if (this->writer.CallerGone()) {
      this->OnCallerGone();
      return;
    }
    this->Apply(this->flow.OnTick(now));
  }

  void OnCallerGone() {
    this->context->metrics->Increment("chervil_callers_gone_total");
    this->context->log.Info("caller.gone",
                            {{"request", this->call.request_id}});
    this->Apply(this->flow.OnCallerGone());
  }

  routing::CompletionActions On(const TokenArrived& event) {
    return this->flow.OnToken(event.attempt, event.index, event.token,
                              this->Now());
  }

  routing::CompletionActions On(const HeartbeatArrived& event) {
    return this->flow.OnHeartbeat(event.attempt, this->Now());
  }

  routing::CompletionActions On(const AttemptEnded& event) {
    const Attempt& attempt = this->attempts.at(event.attempt);
    const Instant now = this->Now();
    if (event.result.has_error()) {
      this->failed_dispatchers.insert(attempt.dispatcher);
      this->context->pool.StartCooldown(attempt.dispatcher, now);
      this->context->log.Warning("attempt.lost",
                                 {{"request", this->call.request_id},
                                  {"attempt", event.attempt},
                                  {"dispatcher", attempt.dispatcher},
                                  {"detail", event.result.error().detail}});
      return this->flow.OnAttemptLost(event.attempt, now);
    }
    const rpc::CompletionOutcome& outcome = event.result.value();
    this->context->pool.OnReport(attempt.cell,
                                 {outcome.in_flight, outcome.capacity}, now);
    if (const auto* finished = std::get_if<rpc::Finished>(&outcome.result)) {
      return this->flow.OnFinished(event.attempt, finished->tokens, now);
    }
    const Refusal& refusal = std::get<Refusal>(outcome.result);
    this->failed_cells.insert(attempt.cell);
    this->overload_seen = this->overload_seen ||
                          refusal.code == admission::RefusalCode::kOverloaded;
    this->context->log.Info("attempt.refused",
                            {{"request", this->call.request_id},
                             {"attempt", event.attempt},
                             {"code", admission::RefusalName(refusal.code)},
                             {"detail", refusal.detail}});
    return this->flow.OnRefused(event.attempt, refusal, now);
  }

  // Executes actions in order. An action may produce further actions, which are
  // executed before the next one.
  void Apply(const routing::CompletionActions& actions) {
    for (const routing::CompletionAction& action : actions) {
      std::visit([this](const auto& item) { this->Do(item); }, action);
    }
  }

  void Do(const routing::StartAttempt& action) {
    const auto view = this->context->view_subscriber->Current();
    const std::vector<routing::Cell>& cells =
        this->context->cells.CellsOf(*view->config, this->call.pipeline);
    const auto choice = this->ChooseCell(*view, cells);
    if (!choice) {
      return this->Apply(this->flow.OnNoCellLeft(action.attempt, this->Now()));
    }
    const routing::Cell cell = *routing::FindCell(cells, choice->cell);
    const std::string vm = this->ChooseDispatcher(*view, cell);
    const auto client = this->context->pool.ClientOf(*view, vm);
    if (client == nullptr) {
      return this->Apply(this->flow.OnNotSent(action.attempt, this->Now()));
    }
    this->context->log.Info("route.cell",
                            {{"request", this->call.request_id},
                             {"organisation", this->organisation},
                             {"attempt", action.attempt},
                             {"chosen", fmt::format("{:08x}", cell.id)},
                             {"dispatcher", vm},
                             {"reason", routing::ReasonName(choice->reason)},
                             {"weighed", routing::Describe(*choice)},
                             {"accepted", this->flow.Accepted().size()}});
    this->attempts[action.attempt] = Attempt{cell.id, vm, nullptr};
    this->LaunchAttempt(action, cell.id, client);
  }

  // Runs the attempt's RPC on a new fiber, which can outlive this object.
  void LaunchAttempt(const routing::StartAttempt& action,
                     std::uint32_t cell,
                     std::shared_ptr<rpc::DispatchClient> client) {
    rpc::CompletionRequest request;
    request.request_id = this->call.request_id;
    request.session = this->session;
    request.organisation = this->organisation;
    request.pipeline = this->call.pipeline;
    request.cell = cell;
    request.prompt = this->call.prompt;
    request.accepted = this->flow.Accepted();
    request.max_tokens = this->call.max_tokens;
    request.seed = this->call.seed;
    request.epoch = action.epoch;
    request.deadline = this->DeadlineLeft();
    request.fingerprint = this->call.fingerprint;
    auto handle = std::make_shared<std::optional<rpc::CallHandle>>();
    this->attempts[action.attempt].handle = handle;
    this->context->pool.OnStart(cell);
    this->context->runtime->Spawn([context = this->context,
                                   events = this->events,
                                   attempt = action.attempt, cell, client,
                                   request = std::move(request), handle] {
      rpc::AttemptSink sink;
      sink.token = [events, attempt](std::uint32_t index, std::uint32_t token) {
        events->Push(TokenArrived{attempt, index, token});
      };
      sink.heartbeat = [events, attempt] {
        events->Push(HeartbeatArrived{attempt});
      };
      auto result = client->Complete(
          request, sink,
          [handle](rpc::CallHandle started) { *handle = started; });
      context->pool.OnEnd(cell);
      events->Push(AttemptEnded{attempt, std::move(result)});
    });
  }

  Duration DeadlineLeft() const {
    const routing::CompletionFlowSettings settings = FlowSettings(
        *this->context, this->organisation, this->call, this->start);
    return std::max<Duration>(milliseconds(1), settings.deadline - this->Now());
  }

  std::optional<routing::CellChoice> ChooseCell(
      const membership::FleetView& view,
      const std::vector<routing::Cell>& cells) {
    std::vector<routing::CellCandidate> candidates =
        this->Candidates(view, cells);
    const bool all_failed =
        std::all_of(candidates.begin(), candidates.end(),
                    [](const auto& candidate) { return candidate.excluded; });
    if (all_failed && !this->overload_seen) {
      // Every cell has failed once, but the failures may have been transient,
      // so all cells are tried again. Not after an overload: retries would add
      // to it.
      this->failed_cells.clear();
      candidates = this->Candidates(view, cells);
    }
    if (this->IsSuspect()) {
      return this->ChooseForSuspect(candidates);
    }
    return routing::ChooseCell(candidates, this->call.prefix_hash,
                               routing::CellChooserSettings{},
                               &this->context->random);
  }

  std::vector<routing::CellCandidate> Candidates(
      const membership::FleetView& view,
      const std::vector<routing::Cell>& cells) const {
    std::vector<routing::CellCandidate> candidates;
    for (const routing::Cell& cell : cells) {
      if (!HasUsableWorkers(view, cell)) {
        continue;
      }
      candidates.push_back({cell.id, this->LocalityOf(cell),
                            this->context->pool.LoadOf(cell.id, this->Now()),
                            this->failed_cells.contains(cell.id)});
    }
    return candidates;
  }

  static bool HasUsableWorkers(const membership::FleetView& view,
                               const routing::Cell& cell) {
    return std::all_of(
        cell.stages.begin(), cell.stages.end(),
        [&view](const routing::Stage& stage) {
          return std::any_of(
              stage.workers.begin(), stage.workers.end(),
              [&view](const std::string& id) {
                return view.AcceptsNewWork(view.config->backends.at(id));
              });
        });
  }

  bool IsSuspect() const {
    return this->context->strikes.StateOf(this->call.fingerprint,
                                          this->context->runtime->WallNow()) ==
           quarantine::QuarantineState::kSuspect;
  }

  // Chooses the cell by rendezvous hashing of the fingerprint. Copies of a
  // suspect request reach the same cell through any entry, so that they do not
  // crash several workers at once.
  std::optional<routing::CellChoice> ChooseForSuspect(
      const std::vector<routing::CellCandidate>& candidates) const {
    const routing::CellCandidate* best = nullptr;
    for (const routing::CellCandidate& candidate : candidates) {
      const auto score = [this](const routing::CellCandidate& item) {
        return HashCombine(item.cell, this->call.fingerprint);
      };
      if (!candidate.excluded &&
          (best == nullptr || score(candidate) > score(*best))) {
        best = &candidate;
      }
    }
    if (best == nullptr) {
      return std::nullopt;
    }
    return routing::CellChoice{best->cell, routing::ChoiceReason::kAffinity,
                               candidates};
  }

  routing::Locality LocalityOf(const routing::Cell& cell) const {
    if (cell.data_centre == this->context->data_centre) {
      return routing::Locality::kSameDataCentre;
    }
    return cell.region == this->context->region
               ? routing::Locality::kSameRegion
               : routing::Locality::kOtherRegion;
  }

  std::string ChooseDispatcher(const membership::FleetView& view,
                               const routing::Cell& cell) {
    const auto order = membership::RendezvousOrder(
        view.Dispatchers(cell.data_centre, cell.region), cell.id);
    std::string vm =
        this->context->pool.Pick(order, this->failed_dispatchers, this->Now());
    if (vm.empty()) {
      // All preferred dispatchers have failed; any other one can serve the
      // cell.
      vm = this->context->pool.Pick(
          membership::RendezvousOrder(view.AllDispatchers(), cell.id),
          this->failed_dispatchers, this->Now());
    }
    if (vm.empty()) {
      this->failed_dispatchers.clear();
      vm = this->context->pool.Pick(order, {}, this->Now());
    }
    return vm;
  }

  void Do(const routing::CancelAttempt& action) {
    const auto found = this->attempts.find(action.attempt);
    if (found == this->attempts.end()) {
      return;
    }
    if (!this->flow.Ended()) {
      // The attempt is cancelled because its dispatcher stopped responding.
      this->failed_dispatchers.insert(found->second.dispatcher);
      this->context->pool.StartCooldown(found->second.dispatcher, this->Now());
      this->context->log.Warning("attempt.silent",
                                 {{"request", this->call.request_id},
                                  {"attempt", action.attempt},
                                  {"dispatcher", found->second.dispatcher}});
    }
    if (found->second.handle && found->second.handle->has_value()) {
      (*found->second.handle)->Cancel();
    }
  }

  void Do(const routing::DeliverToken& action) {
    const Instant now = this->Now();
    if (!this->first_token_seen) {
      this->first_token_seen = true;
      this->context->metrics->Observe("chervil_first_token_seconds",
                                      now - this->start);
    } else {
      this->context->metrics->Observe("chervil_token_gap_seconds",
                                      now - this->last_token);
    }
    this->last_token = now;
    if (!this->writer.WriteToken(action.index, action.token)) {
      this->OnCallerGone();
    }
  }

  void Do(const routing::CompleteAnswer&) {
    this->context->metrics->Increment("chervil_answers_total");
    this->context->log.Info("answer.complete",
                            {{"request", this->call.request_id},
                             {"tokens", this->flow.Accepted().size()},
                             {"attempts", this->attempts.size()}});
    this->writer.Complete();
  }

  void Do(const routing::RefuseAnswer& action) {
    const Refusal& refusal = action.refusal;
    this->context->metrics->Increment(
        "chervil_refusals_total",
        fmt::format("code=\"{}\"", admission::RefusalName(refusal.code)));
    this->context->log.Info(
        "answer.refused",
        {{"request", this->call.request_id},
         {"code", admission::RefusalName(refusal.code)},
         {"executed", admission::ExecutedName(refusal.executed)},
         {"detail", refusal.detail}});
    this->writer.Refuse(refusal);
  }

  struct Attempt {
    std::uint32_t cell = 0;
    std::string dispatcher;
    std::shared_ptr<std::optional<rpc::CallHandle>> handle;
  };

  EntryContext* context;
  const std::string& organisation;
  const CompletionCall& call;
  AnswerWriter writer;
  Instant start;
  std::string session;
  routing::CompletionFlow flow;
  std::shared_ptr<EventQueue> events = std::make_shared<EventQueue>();
  std::map<std::uint32_t, Attempt> attempts;
  std::set<std::uint32_t> failed_cells;
  bool overload_seen = false;  // a cell refused an attempt with kOverloaded
  std::set<std::string> failed_dispatchers;
  bool first_token_seen = false;
  Instant last_token{};
  Instant last_tick{};
};

}  // namespace

void RunCompletionCall(EntryContext* context,
                       const std::string& organisation,
                       const CompletionCall& call,
                       io::HttpExchange* exchange) {
  CompletionCallRunner(context, organisation, call, exchange).Run();
}

}  // namespace chervilpass::entry
