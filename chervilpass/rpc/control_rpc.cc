#include "chervilpass/rpc/control_rpc.h"

#include "chervilpass/rpc/client_core.h"
#include "chervilpass/rpc/codec.h"
#include "chervilpass/rpc/server_core.h"

namespace chervilpass::rpc {
namespace {

void WriteChanges(const ConfigChanges& value,
                  schema::ConfigChanges::Builder to) {
  to.setVersion(value.version);
  to.setWhole(value.is_full);
  to.setBody(capnp::Data::Reader(
      reinterpret_cast<const kj::byte*>(value.body.data()), value.body.size()));
}

ConfigChanges ReadChanges(schema::ConfigChanges::Reader from) {
  const auto body = from.getBody();
  return {
      from.getVersion(), from.getWhole(),
      std::string(reinterpret_cast<const char*>(body.begin()), body.size())};
}

class ControlServer final : public schema::Control::Server {
 public:
  ControlServer(RpcLoop* loop, std::shared_ptr<ControlHandlers> handlers)
      : loop(loop), handlers(std::move(handlers)) {}

  kj::Promise<void> watchView(WatchViewContext context) override {
    const auto params = context.getParams();
    const ViewQuery query{params.getRole().cStr(), params.getKnownGeneration(),
                          params.getKnownConfig()};
    return RunOnFiber<View>(this->loop, this->views,
                            [handlers = this->handlers, query] {
                              return handlers->watch_view(query);
                            })
        .then([context](View&& value) mutable {
          Write(value, context.getResults().initView());
        });
  }

  kj::Promise<void> pullConfig(PullConfigContext context) override {
    const std::uint64_t known_version = context.getParams().getHaveVersion();
    return RunOnFiber<ConfigChanges>(
               this->loop, this->pulls,
               [handlers = this->handlers, known_version] {
                 return handlers->pull_config(known_version);
               })
        .then([context](ConfigChanges&& value) mutable {
          WriteChanges(value, context.getResults().initChanges());
        });
  }

  kj::Promise<void> getVersion(GetVersionContext context) override {
    const std::uint64_t version = context.getParams().getVersion();
    return RunOnFiber<ConfigChanges>(this->loop, this->pulls,
                                     [handlers = this->handlers, version] {
                                       return handlers->get_version(version);
                                     })
        .then([context](ConfigChanges&& value) mutable {
          WriteChanges(value, context.getResults().initChanges());
        });
  }

  kj::Promise<void> reportStrike(ReportStrikeContext context) override {
    this->loop->FiberRuntime().Post(
        [handlers = this->handlers,
         strike = Read(context.getParams().getStrike())] {
          handlers->report_strike(strike);
        });
    return kj::READY_NOW;
  }

  kj::Promise<void> change(ChangeContext context) override {
    return RunOnFiber<ChangeResult>(
               this->loop, this->changes,
               [handlers = this->handlers,
                request = Read(context.getParams().getRequest())] {
                 return handlers->change(request);
               })
        .then([context](ChangeResult&& value) mutable {
          Write(value, context.getResults().initResult());
        });
  }

 private:
  RpcLoop* loop;
  std::shared_ptr<ControlHandlers> handlers;
  std::shared_ptr<OpenCalls<View>> views = std::make_shared<OpenCalls<View>>();
  std::shared_ptr<OpenCalls<ChangeResult>> changes =
      std::make_shared<OpenCalls<ChangeResult>>();
  std::shared_ptr<OpenCalls<ConfigChanges>> pulls =
      std::make_shared<OpenCalls<ConfigChanges>>();
};

}  // namespace

struct ControlClient::State {
  std::shared_ptr<RpcLoop> loop;
  std::shared_ptr<Peer> peer;
  std::uint64_t next_call = 0;

  // Sends one call and waits for its result for at most `timeout`.
  template <class T, class Send>
  Result<T, RpcError> Call(Duration timeout, Send send) {
    const auto pending = std::make_shared<PendingCall<T>>();
    const std::uint64_t call = ++this->next_call;
    StartCall(this->loop, this->peer, call, pending, std::move(send));
    ArmTimeout(this->loop, this->peer, call, pending, timeout);
    return pending->Wait();
  }
};

ControlClient::ControlClient(std::shared_ptr<State> state)
    : state(std::move(state)) {}

ControlClient::~ControlClient() {
  // The connection must be destroyed on the RPC thread.
  this->state->loop->Post([peer = std::move(this->state->peer)](
                              LoopContext&) mutable { peer.reset(); });
}

std::shared_ptr<ControlClient> ControlClient::Create(
    std::shared_ptr<RpcLoop> loop,
    io::Endpoint address) {
  auto state = std::make_shared<State>(
      State{std::move(loop), std::make_shared<Peer>(std::move(address)), 0});
  return std::shared_ptr<ControlClient>(new ControlClient(std::move(state)));
}

Result<View, RpcError> ControlClient::WatchView(const ViewQuery& query,
                                                Duration timeout) {
  return this->state->Call<View>(
      timeout, [query](capnp::Capability::Client client) {
        auto message = client.castAs<schema::Control>().watchViewRequest();
        message.setRole(query.role);
        message.setKnownGeneration(query.known_generation);
        message.setKnownConfig(query.known_config_version);
        return message.send().then(
            [](auto&& response) { return Read(response.getView()); });
      });
}

Result<ConfigChanges, RpcError> ControlClient::PullConfig(
    std::uint64_t known_version,
    Duration timeout) {
  return this->state->Call<ConfigChanges>(
      timeout, [known_version](capnp::Capability::Client client) {
        auto message = client.castAs<schema::Control>().pullConfigRequest();
        message.setHaveVersion(known_version);
        return message.send().then(
            [](auto&& response) { return ReadChanges(response.getChanges()); });
      });
}

Result<ConfigChanges, RpcError> ControlClient::GetVersion(std::uint64_t version,
                                                          Duration timeout) {
  return this->state->Call<ConfigChanges>(
      timeout, [version](capnp::Capability::Client client) {
        auto message = client.castAs<schema::Control>().getVersionRequest();
        message.setVersion(version);
        return message.send().then(
            [](auto&& response) { return ReadChanges(response.getChanges()); });
      });
}

Result<bool, RpcError> ControlClient::ReportStrike(
    const quarantine::Strike& strike,
    Duration timeout) {
  return this->state->Call<bool>(
      timeout, [strike](capnp::Capability::Client client) {
        auto message = client.castAs<schema::Control>().reportStrikeRequest();
        Write(strike, message.initStrike());
        return message.send().then([](auto&&) { return true; });
      });
}

Result<ChangeResult, RpcError> ControlClient::Change(
    const ChangeRequest& request,
    Duration timeout) {
  return this->state->Call<ChangeResult>(
      timeout, [request](capnp::Capability::Client client) {
        auto message = client.castAs<schema::Control>().changeRequest();
        Write(request, message.initRequest());
        return message.send().then(
            [](auto&& response) { return Read(response.getResult()); });
      });
}

Result<void, RpcError> ServeControl(std::shared_ptr<RpcLoop> loop,
                                    const io::Endpoint& listen,
                                    ControlHandlers handlers) {
  auto shared = std::make_shared<ControlHandlers>(std::move(handlers));
  return Serve(loop, listen, [raw = loop.get(), shared] {
    return capnp::Capability::Client(kj::heap<ControlServer>(raw, shared));
  });
}

}  // namespace chervilpass::rpc
