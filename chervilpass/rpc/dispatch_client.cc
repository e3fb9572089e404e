// Client side of the Dispatch interface.
#include "chervilpass/rpc/client_core.h"
#include "chervilpass/rpc/codec.h"
#include "chervilpass/rpc/dispatch_rpc.h"

namespace chervilpass::rpc {
namespace {

// Receives tokens and heartbeats on the RPC thread and passes them to the fiber
// thread.
class SinkServer final : public schema::TokenSink::Server {
 public:
  SinkServer(RpcLoop* loop, const AttemptSink& sink)
      : loop(loop), sink(std::make_shared<AttemptSink>(sink)) {}

  kj::Promise<void> token(TokenContext context) override {
    const auto params = context.getParams();
    const std::uint32_t index = params.getIndex();
    const std::uint32_t token = params.getToken();
    this->loop->FiberRuntime().Post(
        [sink = this->sink, index, token] { sink->token(index, token); });
    return kj::READY_NOW;
  }

  kj::Promise<void> heartbeat(HeartbeatContext) override {
    this->loop->FiberRuntime().Post([sink = this->sink] { sink->heartbeat(); });
    return kj::READY_NOW;
  }

 private:
  RpcLoop* loop;
  std::shared_ptr<AttemptSink> sink;
};

}  // namespace

struct CallHandle::State {
  std::shared_ptr<RpcLoop> loop;
  std::shared_ptr<Peer> peer;
  std::uint64_t call = 0;
  std::weak_ptr<PendingCall<CompletionOutcome>> pending;
};

CallHandle::CallHandle(std::shared_ptr<State> state)
    : state(std::move(state)) {}

void CallHandle::Cancel() {
  if (const auto pending = this->state->pending.lock()) {
    pending->Resolve(
        RpcError{RpcErrorCode::kTimeout, "cancelled by the caller"});
  }
  this->state->loop->Post([peer = this->state->peer, call = this->state->call](
                              LoopContext&) { peer->Cancel(call); });
}

struct DispatchClient::State {
  std::shared_ptr<RpcLoop> loop;
  std::shared_ptr<Peer> peer;
  std::uint64_t next_call = 0;
};

DispatchClient::DispatchClient(std::shared_ptr<State> state)
    : state(std::move(state)) {}

DispatchClient::~DispatchClient() {
  // The connection must be destroyed on the RPC thread.
  this->state->loop->Post([peer = std::move(this->state->peer)](
                              LoopContext&) mutable { peer.reset(); });
}

std::shared_ptr<DispatchClient> DispatchClient::Create(
    std::shared_ptr<RpcLoop> loop,
    io::Endpoint address) {
  auto state = std::make_shared<State>(
      State{std::move(loop), std::make_shared<Peer>(std::move(address)), 0});
  return std::shared_ptr<DispatchClient>(new DispatchClient(std::move(state)));
}

Result<CompletionOutcome, RpcError> DispatchClient::Complete(
    const CompletionRequest& request,
    const AttemptSink& sink,
    const std::function<void(CallHandle)>& on_start) {
  const auto pending = std::make_shared<PendingCall<CompletionOutcome>>();
  const std::uint64_t call = ++this->state->next_call;
  RpcLoop* loop = this->state->loop.get();
  StartCall(this->state->loop, this->state->peer, call, pending,
            [request, sink, loop](capnp::Capability::Client client) {
              auto message =
                  client.castAs<schema::Dispatch>().completeRequest();
              Write(request, message.initRequest());
              message.setSink(kj::heap<SinkServer>(loop, sink));
              return message.send().then(
                  [](auto&& response) { return Read(response.getOutcome()); });
            });
  on_start(CallHandle(std::make_shared<CallHandle::State>(
      CallHandle::State{this->state->loop, this->state->peer, call, pending})));
  return pending->Wait();
}

Result<ServiceOutcome, RpcError> DispatchClient::CallService(
    const ServiceRequest& request,
    Duration timeout) {
  const auto pending = std::make_shared<PendingCall<ServiceOutcome>>();
  const std::uint64_t call = ++this->state->next_call;
  StartCall(this->state->loop, this->state->peer, call, pending,
            [request](capnp::Capability::Client client) {
              auto message =
                  client.castAs<schema::Dispatch>().callServiceRequest();
              Write(request, message.initRequest());
              return message.send().then(
                  [](auto&& response) { return Read(response.getOutcome()); });
            });
  ArmTimeout(this->state->loop, this->state->peer, call, pending, timeout);
  return pending->Wait();
}

Result<ClaimState, RpcError> DispatchClient::QueryClaim(
    const std::string& organisation,
    const std::string& key,
    Duration timeout) {
  const auto pending = std::make_shared<PendingCall<ClaimState>>();
  const std::uint64_t call = ++this->state->next_call;
  StartCall(this->state->loop, this->state->peer, call, pending,
            [organisation, key](capnp::Capability::Client client) {
              auto message =
                  client.castAs<schema::Dispatch>().claimStateRequest();
              message.setOrganisation(organisation);
              message.setKey(key);
              return message.send().then(
                  [](auto&& response) { return Read(response.getState()); });
            });
  ArmTimeout(this->state->loop, this->state->peer, call, pending, timeout);
  return pending->Wait();
}

}  // namespace chervilpass::rpc
