// Server side of the Dispatch interface.
#include "chervilpass/rpc/codec.h"
#include "chervilpass/rpc/dispatch_rpc.h"
#include "chervilpass/rpc/server_core.h"

namespace chervilpass::rpc {
namespace {

// The sinks of running completions. RPC thread only.
struct OpenSinks {
  std::map<std::uint64_t, schema::TokenSink::Client> sinks;
  std::uint64_t last_sink = 0;

  void SendToken(LoopContext& context,
                 std::uint64_t sink,
                 std::uint32_t index,
                 std::uint32_t token) {
    const auto found = this->sinks.find(sink);
    if (found == this->sinks.end()) {
      return;
    }
    auto message = found->second.tokenRequest();
    message.setIndex(index);
    message.setToken(token);
    context.tasks->add(message.send());
  }

  void SendHeartbeat(LoopContext& context, std::uint64_t sink) {
    const auto found = this->sinks.find(sink);
    if (found != this->sinks.end()) {
      context.tasks->add(found->second.heartbeatRequest().send());
    }
  }
};

class DispatchServer final : public schema::Dispatch::Server {
 public:
  DispatchServer(RpcLoop* loop, std::shared_ptr<DispatchHandlers> handlers)
      : loop(loop), handlers(std::move(handlers)) {}

  kj::Promise<void> complete(CompleteContext context) override {
    const auto params = context.getParams();
    const std::uint64_t sink = ++this->sinks->last_sink;
    this->sinks->sinks.emplace(sink, params.getSink());
    const auto flag = std::make_shared<CancelFlag>();
    const AttemptSink sender = this->MakeSender(sink);
    auto outcome = RunOnFiber<CompletionOutcome>(
        this->loop, this->completions,
        [handlers = this->handlers, request = Read(params.getRequest()), sender,
         flag] { return handlers->complete(request, sender, flag); });
    // Runs when the call has ended and also when its caller has disconnected.
    auto on_end =
        kj::defer([loop = this->loop, sinks = this->sinks, sink, flag] {
          sinks->sinks.erase(sink);
          loop->FiberRuntime().Post([flag] { flag->cancelled = true; });
        });
    context.allowCancellation();
    return outcome
        .then([context](CompletionOutcome&& value) mutable {
          Write(value, context.getResults().initOutcome());
        })
        .attach(kj::mv(on_end));
  }

  kj::Promise<void> callService(CallServiceContext context) override {
    return RunOnFiber<ServiceOutcome>(
               this->loop, this->services,
               [handlers = this->handlers,
                request = Read(context.getParams().getRequest())] {
                 return handlers->call_service(request);
               })
        .then([context](ServiceOutcome&& value) mutable {
          Write(value, context.getResults().initOutcome());
        });
  }

  kj::Promise<void> claimState(ClaimStateContext context) override {
    const auto params = context.getParams();
    const std::string organisation(params.getOrganisation().cStr());
    const std::string key(params.getKey().cStr());
    return RunOnFiber<ClaimState>(
               this->loop, this->claims,
               [handlers = this->handlers, organisation, key] {
                 return handlers->query_claim(organisation, key);
               })
        .then([context](ClaimState&& value) mutable {
          Write(value, context.getResults().initState());
        });
  }

 private:
  AttemptSink MakeSender(std::uint64_t sink) const {
    AttemptSink sender;
    sender.token = [loop = this->loop, sinks = this->sinks, sink](
                       std::uint32_t index, std::uint32_t token) {
      loop->Post([sinks, sink, index, token](LoopContext& context) {
        sinks->SendToken(context, sink, index, token);
      });
    };
    sender.heartbeat = [loop = this->loop, sinks = this->sinks, sink] {
      loop->Post([sinks, sink](LoopContext& context) {
        sinks->SendHeartbeat(context, sink);
      });
    };
    return sender;
  }

  RpcLoop* loop;
  std::shared_ptr<DispatchHandlers> handlers;
  std::shared_ptr<OpenSinks> sinks = std::make_shared<OpenSinks>();
  std::shared_ptr<OpenCalls<CompletionOutcome>> completions =
      std::make_shared<OpenCalls<CompletionOutcome>>();
  std::shared_ptr<OpenCalls<ServiceOutcome>> services =
      std::make_shared<OpenCalls<ServiceOutcome>>();
  std::shared_ptr<OpenCalls<ClaimState>> claims =
      std::make_shared<OpenCalls<ClaimState>>();
};

}  // namespace

Result<void, RpcError> ServeDispatch(std::shared_ptr<RpcLoop> loop,
                                     const io::Endpoint& listen,
                                     DispatchHandlers handlers) {
  auto shared = std::make_shared<DispatchHandlers>(std::move(handlers));
  return Serve(loop, listen, [raw = loop.get(), shared] {
    return capnp::Capability::Client(kj::heap<DispatchServer>(raw, shared));
  });
}

}  // namespace chervilpass::rpc
