#include "chervilpass/control/view_subscriber.h"

#include <vector>

#include "chervilpass/config/config_json.h"
#include "chervilpass/rpc/control_rpc.h"

namespace chervilpass::control {
namespace {

constexpr Duration kWatchTimeout = seconds(3);
constexpr Duration kRetryDelay = milliseconds(100);

}  // namespace

struct ViewSubscriber::State
    : std::enable_shared_from_this<ViewSubscriber::State> {
  State(std::shared_ptr<rpc::RpcLoop> loop,
        std::shared_ptr<rpc::ControlClient> client,
        std::string role,
        Logger log)
      : loop(std::move(loop)),
        client(std::move(client)),
        role(std::move(role)),
        log(std::move(log)) {}

  void Follow() {
    while (!this->stopped) {
      const std::uint64_t known_config_version =
          this->view->config ? this->view->config->version : 0;
      const auto answer = this->client->WatchView(
          {this->role, this->view->generation, known_config_version},
          kWatchTimeout);
      if (this->stopped) {
        return;
      }
      if (answer.has_error()) {
        if (this->connected) {
          this->log.Warning("view.lost", {{"detail", answer.error().detail}});
        }
        this->connected = false;
        this->loop->FiberRuntime().SleepFor(kRetryDelay);
        continue;
      }
      this->connected = true;
      if (answer.value().generation != this->view->generation) {
        this->Apply(answer.value());
      }
    }
  }

  void Apply(const rpc::View& received) {
    auto next = std::make_shared<membership::FleetView>();
    next->generation = received.generation;
    next->members = received.members;
    next->strikes = received.strikes;
    next->leaving_backends.insert(received.leaving_backends.begin(),
                                  received.leaving_backends.end());
    next->config = this->view->config;
    this->ApplyConfig(received, next.get());
    this->view = next;
    this->log.Debug("view.taken", {{"generation", next->generation},
                                   {"members", next->members.size()},
                                   {"config", received.config_version}});
    for (const auto& listener : this->listeners) {
      listener(*next);
    }
  }

  // Applies the received configuration only if its version is newer.
  void ApplyConfig(const rpc::View& received, membership::FleetView* next) {
    const std::uint64_t known = next->config ? next->config->version : 0;
    if (received.config.empty() || received.config_version <= known) {
      return;
    }
    auto config = config::ConfigFromJson(received.config);
    if (config.has_error()) {
      this->log.Error("view.config-unreadable",
                      {{"detail", config::ToText(config.error())}});
      return;
    }
    next->config =
        std::make_shared<config::FleetConfig>(std::move(config).value());
    this->log.Info("config.in-force", {{"version", received.config_version}});
  }

  std::shared_ptr<rpc::RpcLoop> loop;
  std::shared_ptr<rpc::ControlClient> client;
  std::string role;
  Logger log;
  std::shared_ptr<const membership::FleetView> view =
      std::make_shared<membership::FleetView>();
  std::vector<std::function<void(const membership::FleetView&)>> listeners;
  bool connected = true;
  bool stopped = false;
};

ViewSubscriber::ViewSubscriber(std::shared_ptr<State> state)
    : state(std::move(state)) {}

ViewSubscriber::~ViewSubscriber() {
  this->Stop();
}

std::shared_ptr<ViewSubscriber> ViewSubscriber::Create(
    std::shared_ptr<rpc::RpcLoop> loop,
    io::Endpoint control,
    std::string role,
    Logger log) {
  auto client = rpc::ControlClient::Create(loop, std::move(control));
  auto state = std::make_shared<State>(loop, std::move(client), std::move(role),
                                       std::move(log));
  loop->FiberRuntime().Spawn([state] { state->Follow(); });
  return std::shared_ptr<ViewSubscriber>(new ViewSubscriber(std::move(state)));
}

std::shared_ptr<const membership::FleetView> ViewSubscriber::Current() const {
  return this->state->view;
}

void ViewSubscriber::OnChange(
    std::function<void(const membership::FleetView&)> listener) {
  this->state->listeners.push_back(std::move(listener));
}

void ViewSubscriber::ReportStrike(const quarantine::Strike& strike) {
  auto state = this->state;
  state->loop->FiberRuntime().Spawn([state, strike] {
    const auto reported = state->client->ReportStrike(strike, seconds(1));
    if (reported.has_error()) {
      state->log.Warning("strike.not-reported",
                         {{"detail", reported.error().detail}});
    }
  });
}

void ViewSubscriber::Stop() {
  this->state->stopped = true;
}

}  // namespace chervilpass::control
