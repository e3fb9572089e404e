#include "chervilpass/serving/stream_run.h"

#include <fmt/format.h>

#include <utility>

#include "chervilpass/serving/call_proxy.h"
#include "chervilpass/serving/crash_monitor.h"
#include "chervilpass/serving/link_monitor.h"
#include "platform/request_codec.h"

namespace chervilpass::serving {
namespace {

using placement::Path;
using placement::PathStage;

constexpr std::size_t kMaxFailureBytes = 256 * 1024;  // of a non-stream body

// The worker of the path that refuses the request.
std::string RefusingWorker(const Path& path, const ResponseMetadata& metadata) {
  for (const PathStage& stage : path) {
    if (metadata.faulty_worker && stage.address == *metadata.faulty_worker) {
      return stage.worker;
    }
  }
  return path.front().worker;
}

void RecordRefusal(const RouterDependencies& dependencies,
                   const placement::ModelProfile& model,
                   const std::string& worker,
                   unsigned status) {
  const Instant now = dependencies.runtime->Now();
  if (status == 421) {
    dependencies.routing_state->StartCooldown(
        worker, routing::CooldownReason::kNotHolding, now);
    return;
  }
  if (dependencies.routing_state->RecordRefusal(worker, model, now)) {
    dependencies.log->Info("worker.refusing",
                           {{"worker", worker}, {"status", status}});
    dependencies.report_refusing(worker);
  }
  // Other statuses, and workers that leave, say nothing about capacity.
  const auto* server = dependencies.routing_state->Servers().Find(worker);
  if (dependencies.report_full && status == 503 && server != nullptr &&
      !server->leaving) {
    dependencies.report_full(worker);
  }
}

void RecordLoad(const RouterDependencies& dependencies,
                const std::string& worker,
                const std::optional<ReportedLoad>& load) {
  if (load) {
    dependencies.routing_state->RecordStatedLoad(
        worker, load->running, load->waiting, dependencies.runtime->Now());
  }
}

// Reads the rest of a response that reports a failure.
void ReadFailure(const RouterDependencies& dependencies,
                 const RequestContext& context,
                 io::HttpCall* call,
                 const io::HttpResponse& head,
                 BegunStreamRun* run) {
  run->detail = fmt::format("status {}", head.status);
  auto body = call->ReadBody(kMaxFailureBytes);
  const bool implies_not_executed =
      head.status == 503 || head.status == 429 || head.status == 408;
  if (body.has_error() || implies_not_executed) {
    return;
  }
  call->ReturnToPool();
  run->outcome = SendOutcome::kFailed;
  run->response =
      ResponseForCaller(dependencies, context, run->path.front().worker, head);
  run->response.body = std::move(body).value();
}

// A response that cannot be read is no sign of a lost run: the worker lives,
// but is not asked again at once.
BegunStreamRun WithoutHead(const RouterDependencies& dependencies,
                           BegunStreamRun run,
                           const io::HttpError& error) {
  run.lost = error.code == io::HttpErrorCode::kReset ||
             error.code == io::HttpErrorCode::kTimeout;
  run.detail = error.detail;
  if (!run.lost) {
    dependencies.routing_state->StartCooldown(run.path.front().worker,
                                              routing::CooldownReason::kFull,
                                              dependencies.runtime->Now());
  }
  return run;
}

// Sends the request on an open connection and reads the head of the response.
BegunStreamRun Exchange(const RouterDependencies& dependencies,
                        const StreamRunRequest& request,
                        std::unique_ptr<io::HttpCall> call) {
  const std::string& first = request.path.front().worker;
  BegunStreamRun run;
  run.path = request.path;
  ForwardMetadata metadata;
  metadata.instance = first;
  metadata.organisation = request.context->organisation;
  metadata.time_left = request.time_left;
  metadata.last_event_id = request.last_event_id;
  metadata.path = request.path;
  metadata.urgency = UrgencyOf(*request.context);
  const WallTime started = dependencies.routing_state->StartedOf(first);
  if (auto sent =
          call->Send(platform::ForwardedRequest(*request.request, metadata),
                     request.time_left);
      sent.has_error()) {
    return WithoutHead(dependencies, std::move(run), sent.error());
  }
  auto head =
      ReadMatchingHead(call.get(), request.context->metadata.request_id);
  if (head.has_error()) {
    return WithoutHead(dependencies, std::move(run), head.error());
  }
  dependencies.links->OnReached(first);
  const ResponseMetadata response = platform::ReadResponse(head.value());
  RecordServerStatements(dependencies, *request.context, first, started,
                         response);
  RecordLoad(dependencies, first, response.load);
  if (response.not_executed) {
    if (call->ReadBody(kMaxFailureBytes).has_value()) {
      call->ReturnToPool();
    }
    run.outcome = SendOutcome::kNotExecuted;
    run.refusing_worker = RefusingWorker(request.path, response);
    run.detail =
        fmt::format("status {} from {}", response.status, *run.refusing_worker);
    RecordRefusal(dependencies, *request.model, *run.refusing_worker,
                  response.status);
  } else if (!response.Successful()) {
    ReadFailure(dependencies, *request.context, call.get(), head.value(), &run);
  } else if (!response.sealed || response.encoded) {
    run.detail = "success without a valid signature";
  } else {
    run.outcome = SendOutcome::kResponse;
    run.response = std::move(head).value();
    run.call = std::move(call);
  }
  return run;
}

}  // namespace

BegunStreamRun BeginStreamRun(const RouterDependencies& dependencies,
                              const StreamRunRequest& request) {
  const PathStage& first = request.path.front();
  const Instant begun = dependencies.runtime->Now();
  BegunStreamRun failed;
  failed.outcome = SendOutcome::kNotSent;
  failed.path = request.path;
  auto opened = dependencies.http->Open(
      first.address, std::min(dependencies.connect_timeout, request.time_left),
      ConnectionFor(request.earlier_sends));
  if (opened.has_error()) {
    failed.detail = opened.error().detail;
    if (dependencies.links->ConfirmFailure(first.worker, begun)) {
      failed.refusing_worker = first.worker;
      dependencies.crashes->VerifyWorker(
          dependencies.crashes->StartOf(first.worker, first.address, true),
          failed.detail);
    }
    return failed;
  }
  if (!request.set_call(opened.value().get())) {
    failed.detail = "stopped before it was sent";
    return failed;
  }
  return Exchange(dependencies, request, std::move(opened).value());
}

}  // namespace chervilpass::serving
