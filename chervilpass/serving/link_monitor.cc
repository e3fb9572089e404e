#include "chervilpass/serving/link_monitor.h"

#include <algorithm>
#include <map>
#include <vector>

namespace chervilpass::serving {
namespace {

constexpr Duration kPollInterval = milliseconds(2);
// How long it is remembered when a server answered.
constexpr Duration kReachedLifetime = seconds(10);
constexpr std::size_t kMaxReachedRecords = 4096;

}  // namespace

struct LinkMonitor::State : std::enable_shared_from_this<LinkMonitor::State> {
  State(io::Runtime* runtime,
        RoutingState* routing_state,
        io::HttpClient* http,
        MetricsRegistry* metrics,
        const Logger* log,
        LinkMonitorSettings settings,
        std::function<void(bool)> on_change)
      : runtime(runtime),
        routing_state(routing_state),
        http(http),
        metrics(metrics),
        log(log),
        settings(settings),
        on_change(std::move(on_change)) {}

  void OnReached(const std::string& server) {
    const Instant now = this->runtime->Now();
    if (this->reached.size() >= kMaxReachedRecords) {
      std::erase_if(this->reached, [now](const auto& entry) {
        return now - entry.second > kReachedLifetime;
      });
    }
    this->reached[server] = now;
    this->latest_server = server;
    this->latest = now;
    if (this->cut_off) {
      this->SetCutOff(false);
    }
  }

  bool OtherReachedSince(const std::string& server, Instant since) const {
    if (this->latest >= since && this->latest_server != server) {
      return true;
    }
    return std::any_of(this->reached.begin(), this->reached.end(),
                       [&](const auto& entry) {
                         return entry.second >= since && entry.first != server;
                       });
  }

  bool ConfirmFailure(const std::string& server, Instant since) {
    if (this->cut_off) {
      return false;
    }
    if (this->OtherReachedSince(server, since)) {
      return true;
    }
    if (!this->checking) {
      this->StartCheck(server);
    }
    while (this->checking && !this->OtherReachedSince(server, since)) {
      this->runtime->SleepFor(kPollInterval);
    }
    return !this->cut_off &&
           (!this->check_void || this->OtherReachedSince(server, since));
  }

  // Random servers of all configured services, without `except`.
  std::vector<routing::BackendServer> Sample(const std::string& except,
                                             std::size_t size) {
    std::vector<routing::BackendServer> servers;
    for (const routing::BackendServer* server :
         this->routing_state->Servers().Configured()) {
      if (server->id != except) {
        servers.push_back(*server);
      }
    }
    Random& random = this->routing_state->Rng();
    for (std::size_t i = 0; i < std::min(size, servers.size()); ++i) {
      std::swap(servers[i], servers[i + random.Below(servers.size() - i)]);
    }
    servers.resize(std::min(size, servers.size()));
    return servers;
  }

  // Connects to a sample of servers at once; this VM is cut off if none can be
  // reached. Without other servers nothing can be said.
  void StartCheck(const std::string& except) {
    this->check_void = false;
    const auto servers = this->Sample(except, this->settings.sample_size);
    if (servers.empty()) {
      return;
    }
    this->checking = true;
    const Instant start = this->runtime->Now();
    const auto pending = std::make_shared<std::size_t>(servers.size());
    for (const routing::BackendServer& server : servers) {
      this->runtime->Spawn([self = this->shared_from_this(), server, start,
                            pending] {
        self->Connect(server);
        if (--*pending > 0) {
          return;
        }
        self->checking = false;
        if (self->latest >= start || self->stopped) {
          return;
        }
        if (self->routing_state->Stalls().VoidsTimeout(
                start, self->runtime->Now(), self->settings.connect_timeout)) {
          self->check_void = true;  // this VM was late itself
          self->metrics->Increment("chervil_timeouts_void_total");
          return;
        }
        self->SetCutOff(true);
      });
    }
  }

  void Connect(const routing::BackendServer& server) {
    const auto opened =
        this->http->Open(server.address, this->settings.connect_timeout,
                         io::ConnectionUse::kFresh);
    if (opened.has_value() && !this->stopped) {
      this->OnReached(server.id);
    }
  }

  void SetCutOff(bool now_cut_off) {
    if (this->cut_off == now_cut_off) {
      return;
    }
    this->cut_off = now_cut_off;
    this->log->Warning("links.changed", {{"cut_off", now_cut_off}});
    this->metrics->Set("chervil_cut_off", "", now_cut_off ? 1 : 0);
    if (now_cut_off) {
      this->runtime->Spawn(
          [self = this->shared_from_this()] { self->Recheck(); });
    } else {
      // Failures that this VM saw while its links were lost say nothing about
      // the servers.
      this->routing_state->ClearUnreachable(this->runtime->Now());
    }
    this->on_change(now_cut_off);
  }

  void Recheck() {
    while (this->cut_off && !this->stopped) {
      for (const routing::BackendServer& server :
           this->Sample("", this->settings.recheck_sample_size)) {
        this->runtime->Spawn([self = this->shared_from_this(), server] {
          self->Connect(server);
        });
      }
      this->runtime->SleepFor(this->settings.recheck_interval);
    }
  }

  io::Runtime* runtime;
  RoutingState* routing_state;
  io::HttpClient* http;
  MetricsRegistry* metrics;
  const Logger* log;
  LinkMonitorSettings settings;
  std::function<void(bool)> on_change;
  std::map<std::string, Instant> reached;  ///< last answer, by server
  std::string latest_server;
  Instant latest{};
  bool checking = false;
  bool check_void = false;  ///< the last check proved nothing
  bool cut_off = false;
  bool stopped = false;
};

LinkMonitor::LinkMonitor(std::shared_ptr<State> state)
    : state(std::move(state)) {}

LinkMonitor::~LinkMonitor() {
  this->state->stopped = true;
}

std::unique_ptr<LinkMonitor> LinkMonitor::Create(
    io::Runtime* runtime,
    RoutingState* routing_state,
    io::HttpClient* http,
    MetricsRegistry* metrics,
    const Logger* log,
    LinkMonitorSettings settings,
    std::function<void(bool)> on_change) {
  return std::unique_ptr<LinkMonitor>(new LinkMonitor(
      std::make_shared<State>(runtime, routing_state, http, metrics, log,
                              settings, std::move(on_change))));
}

bool LinkMonitor::CutOff() const {
  return this->state->cut_off;
}

void LinkMonitor::OnReached(const std::string& server) {
  this->state->OnReached(server);
}

bool LinkMonitor::ReachedWithin(const std::string& server, Duration age) const {
  const auto found = this->state->reached.find(server);
  return found != this->state->reached.end() &&
         this->state->runtime->Now() - found->second <= age;
}

bool LinkMonitor::ConfirmFailure(const std::string& server, Instant since) {
  return this->state->ConfirmFailure(server, since);
}

}  // namespace chervilpass::serving
