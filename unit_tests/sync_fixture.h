// A store with two backend servers, and VMs that keep in sync with it, on
// loopback.
#pragma once

#include <fmt/format.h>

#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "chervilpass/fleet/store_sync.h"
#include "chervilpass/io/http_server.h"
#include "platform/store_client.h"

namespace chervilpass {

constexpr const char* kSyncIp = "127.0.204.1";
// A server that has left gets no requests later than this.
constexpr Duration kDrainTime = milliseconds(2000);

inline void OnRuntime(const std::function<void(io::Runtime&)>& body) {
  io::Runtime::Run([&body](io::Runtime& runtime) { body(runtime); });
}

inline std::unique_ptr<io::HttpServer> Serve(io::Runtime& runtime,
                                             std::uint16_t port,
                                             io::HttpHandler handler) {
  io::HttpServerSettings settings;
  settings.listen = {kSyncIp, port};
  auto server =
      io::HttpServer::Create(&runtime, settings, std::move(handler),
                             [](unsigned status, std::string_view) {
                               return io::HttpResponse{status, {}, ""};
                             });
  if (server.has_error()) {
    throw std::runtime_error(server.error().detail);
  }
  return std::move(server).value();
}

// A store with the backend servers "a" and "b" and a configuration. It can
// freeze or be slow.
class SyncStore {
 public:
  SyncStore(io::Runtime& runtime, std::uint16_t port)
      : runtime(runtime),
        server(Serve(runtime, port, [this](io::HttpExchange& exchange) {
          this->Handle(exchange);
        })) {
    this->Register("a");
    this->Register("b");
    this->Configure(3);
  }

  /// Adds or renews the registration of a server.
  void Register(const std::string& name) {
    this->Write("servers", name, false,
                fmt::format(R"({{"service":"app","address":"10.0.0.{}:8080",)"
                            R"("zone":"a","version":"v1","slots":4,)"
                            R"("state":"ready","seq":1}})",
                            name == "a" ? 1 : 2));
  }

  void Remove(const std::string& name) {
    this->Write("servers", name, true, "null");
  }

  void Configure(int version) {
    this->Write("config", "main", false,
                fmt::format(R"({{"version":{}}})", version));
  }

  bool frozen = false;  ///< accepts connections and does not respond
  Duration delay = milliseconds(4);
  int watches = 0;
  int calls = 0;  ///< watches and listings

 private:
  struct Change {
    std::string kind;
    std::string name;
    int revision = 0;
    bool deleted = false;
    std::string spec;
  };

  void Write(const std::string& kind,
             const std::string& name,
             bool deleted,
             const std::string& spec) {
    this->changes.push_back({kind, name, ++this->revision, deleted, spec});
  }

  static std::string Object(const Change& change) {
    return fmt::format(R"({{"metadata":{{"name":"{}","rev":{}}},"spec":{}}})",
                       change.name, change.revision, change.spec);
  }

  std::string EventsSince(const std::string& kind, int since) const {
    std::string events;
    for (const Change& change : this->changes) {
      if (change.kind == kind && change.revision > since) {
        events += fmt::format(R"({}{{"object":{},"deleted":{}}})",
                              events.empty() ? "" : ",", Object(change),
                              change.deleted);
      }
    }
    return events;
  }

  std::string Items(const std::string& kind) const {
    std::map<std::string, std::string> objects;
    for (const Change& change : this->changes) {
      if (change.kind == kind && change.deleted) {
        objects.erase(change.name);
      } else if (change.kind == kind) {
        objects[change.name] = Object(change);
      }
    }
    std::string items;
    for (const auto& [name, object] : objects) {
      items += (items.empty() ? "" : ",") + object;
    }
    return items;
  }

  void Handle(io::HttpExchange& exchange) {
    this->AwaitThaw();
    this->runtime.SleepFor(this->delay);
    ++this->calls;
    const io::HttpRequest& request = exchange.Request();
    const std::string kind = request.path.substr(request.path.rfind('/') + 1);
    const auto since = request.QueryParameter("watch");
    if (!since) {
      return exchange.Respond(
          {200,
           {},
           fmt::format(R"({{"items":[{}],"storeRevision":{}}})",
                       this->Items(kind), this->revision)});
    }
    ++this->watches;
    const int from = std::stoi(*since);
    const Instant until =
        this->runtime.Now() +
        milliseconds(std::stoi(request.QueryParameter("waitMs").value()));
    while (this->runtime.Now() < until &&
           this->EventsSince(kind, from).empty()) {
      this->runtime.SleepFor(milliseconds(5));
    }
    this->AwaitThaw();
    exchange.Respond(
        {200,
         {},
         fmt::format(R"({{"events":[{}],"storeRevision":{}}})",
                     this->EventsSince(kind, from), this->revision)});
  }

  void AwaitThaw() {
    while (this->frozen) {
      this->runtime.SleepFor(milliseconds(5));
    }
  }

  io::Runtime& runtime;
  int revision = 6;
  std::vector<Change> changes;
  std::unique_ptr<io::HttpServer> server;
};

// A relay, unless it is given relays.
class SyncVm {
 public:
  SyncVm(io::Runtime& runtime,
         std::uint16_t store_port,
         std::vector<io::Endpoint> relays = {},
         fleet::StoreSyncSettings settings = {},
         bool is_relay = false)
      : log({"test", "vm", LogLevel::kError, LogFormat::kKeyValue}),
        routing_state({}, 1),
        store(platform::StoreClient::Create(&runtime,
                                            &this->metrics,
                                            {{kSyncIp, store_port}})) {
    fleet::StoreSyncEvents events;
    events.config_changed = [] {};
    events.store_changed = [this](bool up) { this->losses += up ? 0 : 1; };
    events.is_relay = [is_relay = is_relay || relays.empty()] {
      return is_relay;
    };
    events.relays = [relays] { return relays; };
    this->sync = fleet::StoreSync::Create(
        &runtime, this->store.get(), &this->routing_state, &this->metrics,
        &this->log, settings, std::move(events));
  }

  std::size_t Usable() const {
    return this->routing_state.Servers().Usable("app").size();
  }

  Duration GraceLeft(const io::Runtime& runtime) const {
    return this->routing_state.Servers().GraceLeft(runtime.Now());
  }

  int losses = 0;  ///< of the store
  Logger log;
  MetricsRegistry metrics;
  serving::RoutingState routing_state;
  std::unique_ptr<platform::StoreClient> store;
  std::unique_ptr<fleet::StoreSync> sync;
};

// Expires registrations as the program does.
inline void RunFor(io::Runtime& runtime, SyncVm& vm, Duration time) {
  const Instant until = runtime.Now() + time;
  while (runtime.Now() < until) {
    runtime.SleepFor(milliseconds(20));
    vm.routing_state.Expire(runtime.Now(), runtime.WallNow());
  }
}

}  // namespace chervilpass
