#include "chervilpass/entry/service_call_runner.h"

#include <algorithm>
#include <set>

#include "chervilpass/core/hash.h"
#include "chervilpass/dispatch/ledger_service.h"
#include "chervilpass/entry/problem.h"
#include "chervilpass/membership/rendezvous.h"

namespace chervilpass::entry {
namespace {

using admission::Executed;
using admission::Refusal;
using admission::RefusalCode;

constexpr std::uint32_t kMaxDispatchers = 3;  // tried for one call
constexpr Duration kRetryAfter = seconds(1);
constexpr Duration kReplySlack = milliseconds(500);  // beyond the deadline
constexpr Duration kQueryTimeout = seconds(3);

// Dispatchers in order of preference. Calls with a key go to the owner of the
// key's ledger shard; others prefer the entry's data centre.
std::vector<std::string> DispatchersFor(EntryContext* context,
                                        const membership::FleetView& view,
                                        const std::string& organisation,
                                        const std::string& key,
                                        const std::string& request_id,
                                        std::uint32_t shards) {
  if (key.empty()) {
    const std::uint64_t hash = HashText(request_id);
    std::vector<std::string> order = membership::RendezvousOrder(
        view.Dispatchers(context->data_centre, context->region), hash);
    // All other dispatchers follow, in case these fail.
    for (const std::string& vm :
         membership::RendezvousOrder(view.AllDispatchers(), hash)) {
      if (std::find(order.begin(), order.end(), vm) == order.end()) {
        order.push_back(vm);
      }
    }
    return order;
  }
  const std::uint32_t shard = dispatch::ShardOfKey({organisation, key}, shards);
  return membership::RendezvousOrder(view.AllDispatchers(),
                                     dispatch::ShardOwnerKey(shard));
}

io::HttpResponse RefusalResponse(EntryContext* context,
                                 const std::string& request_id,
                                 const Refusal& refusal) {
  context->metrics->Increment(
      "chervil_refusals_total",
      fmt::format("code=\"{}\"", admission::RefusalName(refusal.code)));
  context->log.Info("answer.refused",
                    {{"request", request_id},
                     {"code", admission::RefusalName(refusal.code)},
                     {"executed", admission::ExecutedName(refusal.executed)},
                     {"detail", refusal.detail}});
  io::HttpResponse response = ProblemResponse(refusal);
  response.headers.Add("X-Request-Id", request_id);
  return response;
}

// True for header fields of the connection, which are not forwarded (RFC 9110,
// 7.6.1).
bool IsHopByHop(const std::string& name) {
  io::HttpHeaders hop_by_hop;
  for (const char* field : {"Connection", "Keep-Alive", "Transfer-Encoding",
                            "Content-Length", "Upgrade", "Trailer"}) {
    hop_by_hop.Add(field, "");
  }
  return hop_by_hop.Find(name).has_value();
}

io::HttpResponse CallerResponse(const std::string& request_id,
                                const io::HttpResponse& source,
                                bool replayed) {
  io::HttpResponse response;
  response.status = source.status;
  for (const io::HttpHeader& field : source.headers.All()) {
    if (!IsHopByHop(field.name)) {
      response.headers.Add(field.name, field.value);
    }
  }
  response.headers.Add("X-Request-Id", request_id);
  if (replayed) {
    response.headers.Add("Idempotent-Replayed", "true");
  }
  response.body = source.body;
  return response;
}

}  // namespace

io::HttpResponse RunServiceCall(EntryContext* context,
                                const std::string& organisation,
                                const ServiceCall& call,
                                std::uint32_t ledger_shards) {
  const auto view = context->view_subscriber->Current();
  const config::TableRow row =
      view->config->RowOrDefault(organisation, call.service);
  Duration timeout = row.deadline_ms > 0 ? milliseconds(row.deadline_ms)
                                         : context->default_deadline;
  if (call.deadline) {
    timeout = std::min(timeout, *call.deadline);
  }
  const Instant deadline = context->runtime->Now() + timeout;
  const auto order =
      DispatchersFor(context, *view, organisation, call.idempotency_key,
                     call.request_id, ledger_shards);
  std::set<std::string> failed;
  bool may_have_run = false;
  for (std::uint32_t i = 0; i < kMaxDispatchers; ++i) {
    const Instant now = context->runtime->Now();
    const std::string vm = context->pool.Pick(order, failed, now);
    const auto client = context->pool.ClientOf(*view, vm);
    if (client == nullptr || now >= deadline) {
      break;
    }
    context->log.Info("route.service",
                      {{"request", call.request_id},
                       {"organisation", organisation},
                       {"service", call.service},
                       {"dispatcher", vm},
                       {"reason", call.idempotency_key.empty()
                                      ? "same data centre"
                                      : "owner of the ledger shard"}});
    const rpc::ServiceRequest request{
        call.request_id,      organisation,         call.service,
        call.idempotency_key, call.backend_request, deadline - now};
    const auto outcome =
        client->CallService(request, deadline - now + kReplySlack);
    if (outcome.has_value()) {
      const auto& result = outcome.value().result;
      if (const auto* answer = std::get_if<io::HttpResponse>(&result)) {
        context->metrics->Increment("chervil_service_answers_total");
        return CallerResponse(call.request_id, *answer,
                              outcome.value().replayed);
      }
      Refusal refusal = std::get<Refusal>(result);
      if (may_have_run && refusal.executed == Executed::kNo) {
        // Not executed by this dispatcher, but possibly by the one that was
        // lost.
        refusal.executed = Executed::kUnknown;
      }
      return RefusalResponse(context, call.request_id, refusal);
    }
    // The dispatcher is lost and may have run the call. The next one can be
    // tried: the ledger claim prevents a second run of a non-repeatable call.
    may_have_run = true;
    failed.insert(vm);
    context->pool.StartCooldown(vm, context->runtime->Now());
    context->log.Warning("attempt.lost", {{"request", call.request_id},
                                          {"dispatcher", vm},
                                          {"detail", outcome.error().detail}});
  }
  const bool deadline_passed = context->runtime->Now() >= deadline;
  return RefusalResponse(
      context, call.request_id,
      {deadline_passed ? RefusalCode::kTimedOut : RefusalCode::kNoBackend,
       may_have_run ? Executed::kUnknown : Executed::kNo, kRetryAfter,
       may_have_run ? "the dispatchers that had the call were lost"
                    : "no dispatcher can be reached"});
}

io::HttpResponse QueryRequest(EntryContext* context,
                              const std::string& organisation,
                              const std::string& key,
                              std::uint32_t ledger_shards) {
  if (!IsIdempotencyKey(key)) {
    return ProblemResponse({RefusalCode::kMalformed, Executed::kNo, Duration(0),
                            "a key has 1 to 128 visible ASCII characters"});
  }
  const auto view = context->view_subscriber->Current();
  const auto order =
      DispatchersFor(context, *view, organisation, key, key, ledger_shards);
  std::set<std::string> failed;
  for (std::uint32_t i = 0; i < kMaxDispatchers; ++i) {
    const std::string vm =
        context->pool.Pick(order, failed, context->runtime->Now());
    const auto client = context->pool.ClientOf(*view, vm);
    if (client == nullptr) {
      break;
    }
    const auto state = client->QueryClaim(organisation, key, kQueryTimeout);
    if (state.has_error()) {
      failed.insert(vm);
      context->pool.StartCooldown(vm, context->runtime->Now());
      continue;
    }
    if (const auto* done = std::get_if<io::HttpResponse>(&state.value())) {
      return CallerResponse(key, *done, true);
    }
    if (std::holds_alternative<rpc::ClaimAbsent>(state.value())) {
      return ProblemResponse({RefusalCode::kNotFound, Executed::kNo,
                              Duration(0), "nothing has run under this key"});
    }
    if (std::holds_alternative<rpc::ClaimRunning>(state.value())) {
      return ProblemResponse({RefusalCode::kInProgress, Executed::kUnknown,
                              kRetryAfter, "the call is running"});
    }
    if (std::holds_alternative<rpc::ClaimUnknown>(state.value())) {
      return ProblemResponse(
          {RefusalCode::kOutcomeUnknown, Executed::kUnknown, kRetryAfter,
           "the call may have run; no outcome was recorded"});
    }
    break;
  }
  return ProblemResponse({RefusalCode::kStoreUnavailable, Executed::kUnknown,
                          kRetryAfter, "the ledger cannot be asked now"});
}

}  // namespace chervilpass::entry
