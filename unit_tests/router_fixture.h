// A router with one route of each kind, in the process of a test, and scripted
// backend servers on loopback.
#pragma once

#include <fmt/format.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "chervilpass/io/http_client.h"
#include "chervilpass/io/http_server.h"
#include "chervilpass/serving/link_monitor.h"
#include "chervilpass/serving/router.h"

// Last: its macros clash with headers of Boost.
#include <criterion/criterion.h>

namespace chervilpass::serving {

inline constexpr const char* kIp = "127.0.201.1";

// A router with one route of each kind, and scripted servers.
class RouterFixture {
 public:
  explicit RouterFixture(io::Runtime& runtime,
                         std::uint16_t base_port,
                         bool has_configuration = true,
                         const io::HttpClientSettings& to_servers = {})
      : runtime(runtime),
        base_port(base_port),
        log({"test", "vm", LogLevel::kError, LogFormat::kKeyValue}),
        routing_state(Settings(), 1),
        http(io::HttpClient::Create(&runtime, to_servers)),
        caller(io::HttpClient::Create(&runtime, {})) {
    RouterDependencies dependencies;
    dependencies.runtime = &runtime;
    dependencies.routing_state = &this->routing_state;
    dependencies.http = this->http.get();
    dependencies.metrics = &this->metrics;
    dependencies.log = &this->log;
    dependencies.report_unreachable = [](const std::string&) {};
    dependencies.report_refusing = [](const std::string&) {};
    dependencies.report_departure = [this](const std::string&, WallTime) {
      ++this->departures;
    };
    dependencies.report_strikes =
        [this](const std::vector<quarantine::Strike>& added) {
          this->strikes += static_cast<int>(added.size());
        };
    dependencies.acquire_permit = [this](const std::string&, Duration) {
      return routing::Reservation{true, this->permit_wait};
    };
    this->links =
        LinkMonitor::Create(&runtime, &this->routing_state, this->http.get(),
                            &this->metrics, &this->log, {}, [](bool) {});
    dependencies.links = this->links.get();
    dependencies.forward_targets = [this] { return this->forward_targets; };
    dependencies.ready_share = [this] { return this->ready_share; };
    dependencies.hold_left = [this] { return this->hold_left; };
    dependencies.report_clearance = [](const quarantine::Clearance&) {};
    this->router = Router::Create(std::move(dependencies), {});
    if (has_configuration) {
      this->ApplyConfig();
    }
    this->router_server = this->Serve(
        this->base_port,
        [this](io::HttpExchange& exchange) { this->router->Handle(exchange); });
  }

  // Starts a server of a service; a worker of the model has `layers`.
  void AddServer(int number,
                 const std::string& service,
                 placement::LayerRange layers,
                 io::HttpHandler handler,
                 const std::string& kind = "k") {
    this->RegisterServer(number, service, layers, kind);
    this->servers.push_back(
        this->Serve(static_cast<std::uint16_t>(this->base_port + number),
                    std::move(handler)));
  }

  // Lists a server, as if it had registered itself.
  void RegisterServer(int number,
                      const std::string& service,
                      placement::LayerRange layers,
                      const std::string& kind = "k") {
    routing::BackendServer server;
    server.id = fmt::format("s{}", number);
    server.service = service;
    server.address = {kIp,
                      static_cast<std::uint16_t>(this->base_port + number)};
    server.data_centre = "a";
    server.slots = 4;
    server.layers = layers;
    server.accelerator_kind = layers.Empty() ? "" : kind;
    this->routing_state.Servers().ApplyChange(
        {server.id, static_cast<std::uint64_t>(number), server}, false,
        this->runtime.Now());
  }

  void ApplyConfig() {
    routing::RouteTableData data;
    data.version = 1;
    data.keys_required = true;
    data.organisations = {{"org", {"key"}, {}}};
    data.routes = {
        RouteOf("/lookup/", routing::RouteKind::kIdempotent, 2, "app"),
        RouteOf("/file/", routing::RouteKind::kNonIdempotent, 1, "app"),
        RouteOf("/draft/", routing::RouteKind::kStream, 2, "llm"),
        // May not run again: only a move can complete it.
        RouteOf("/once/", routing::RouteKind::kStream, 1, "llm")};
    routing::ServiceProfile llm;
    llm.name = "llm";
    llm.model.emplace();
    llm.model->layers = 4;
    llm.model->layer_mb = 100;
    llm.model->kv_bytes_per_token = 4000;
    llm.model->step_time = milliseconds(1);
    llm.model->prefill_tokens_per_second = 100000;
    llm.model->typical_answer_tokens = 20;
    llm.model->accelerator_kinds["k"] = {10000, 1, 1};
    // Capacity for two layers and the KV cache of one request of 100 and 20
    // tokens.
    llm.model->accelerator_kinds["tiny"] = {200.3, 1, 1};
    routing::ServiceProfile app;
    app.name = "app";
    data.services = {llm, app};
    cr_assert(
        this->routing_state.ApplyConfig(routing::RouteTable::Create(data)));
  }

  io::HttpRequest Request(const std::string& path,
                          const std::string& id,
                          const std::string& deadline_ms = "3000") {
    io::HttpRequest request;
    request.method = path == "/lookup/x" ? "GET" : "POST";
    request.target = path;
    request.headers.Add("Host", "h.example");
    request.headers.Add("Chervilpass-Request-Id", id);
    request.headers.Add("Chervilpass-Deadline-Ms", deadline_ms);
    request.headers.Add("Chervilpass-Token-Counts", "100,20");
    request.headers.Add("Authorization", "Token key");
    return request;
  }

  Result<io::HttpResponse, io::HttpError> Call(const io::HttpRequest& request) {
    return this->caller->Call({kIp, this->base_port}, request, seconds(5),
                              io::ConnectionUse::kFresh);
  }

  // Reads a stream; fails if it does not end properly.
  Result<std::string, io::HttpError> Stream(const io::HttpRequest& request) {
    std::string body;
    BOOST_OUTCOME_TRY(this->caller->Stream({kIp, this->base_port}, request,
                                           seconds(5),
                                           [&body](std::string_view data) {
                                             body += data;
                                             return true;
                                           }));
    return body;
  }

  std::unique_ptr<io::HttpServer> Serve(std::uint16_t port,
                                        io::HttpHandler handler) {
    io::HttpServerSettings settings;
    settings.listen = {kIp, port};
    auto server =
        io::HttpServer::Create(&this->runtime, settings, std::move(handler),
                               Router::UnreadableResponse);
    cr_assert(server.has_value());
    return std::move(server).value();
  }

  io::Runtime& runtime;
  std::uint16_t base_port;
  Logger log;
  MetricsRegistry metrics;
  RoutingState routing_state;
  std::unique_ptr<io::HttpClient> http;
  std::unique_ptr<io::HttpClient> caller;
  std::unique_ptr<LinkMonitor> links;
  std::vector<io::Endpoint> forward_targets;
  double ready_share = 1;  ///< of the other VMs
  std::optional<Duration> hold_left = Duration::zero();
  std::unique_ptr<Router> router;
  std::unique_ptr<io::HttpServer> router_server;
  std::vector<std::unique_ptr<io::HttpServer>> servers;
  Duration permit_wait{0};  ///< of each send
  int strikes = 0;
  int departures = 0;  ///< reported to peers

 private:
  static RoutingStateSettings Settings() {
    RoutingStateSettings settings;
    settings.data_centre = "a";
    return settings;
  }

  static routing::Route RouteOf(const std::string& prefix,
                                routing::RouteKind kind,
                                std::uint32_t attempts,
                                const std::string& service) {
    routing::Route route;
    route.name = prefix;
    route.host = "h.example";
    route.path_prefix = prefix;
    route.kind = kind;
    route.timeout = seconds(2);
    route.attempts = attempts;
    route.shares = {{service, 1}};
    route.resumable = kind == routing::RouteKind::kStream;
    return route;
  }
};

inline io::HttpResponse MakeResponse(const io::HttpExchange& exchange,
                                     unsigned status,
                                     const std::string& body) {
  io::HttpResponse response;
  response.status = status;
  response.headers.Add(
      "Chervilpass-Request-Id",
      exchange.Request().headers.Find("Chervilpass-Request-Id").value_or(""));
  response.headers.Add("Chervilpass-Server-Seal", "seal");
  response.body = body;
  return response;
}

inline std::string Event(int id) {
  return fmt::format("id: {}\ndata: piece {}\n\n", id, id);
}

// A router that reaches no server, and two other VMs. Returns the status of one
// request; the handlers are those of the other VMs.
inline unsigned StatusThroughPeers(io::Runtime& runtime,
                                   std::uint16_t port,
                                   const std::string& path,
                                   io::HttpHandler first,
                                   io::HttpHandler second,
                                   bool forwarded = false) {
  RouterFixture fixture(runtime, port);
  // Registered servers at ports without a listener.
  for (int number = 1; number <= 3; ++number) {
    fixture.AddServer(number, "app", {}, [](io::HttpExchange&) {});
    fixture.AddServer(number + 3, "llm", {0, 4}, [](io::HttpExchange&) {});
  }
  fixture.servers.clear();
  runtime.SleepFor(milliseconds(5));
  for (const std::uint16_t offset : {10, 11}) {
    fixture.forward_targets.push_back(
        {kIp, static_cast<std::uint16_t>(port + offset)});
  }
  const auto one =
      fixture.Serve(static_cast<std::uint16_t>(port + 10), std::move(first));
  const auto two =
      fixture.Serve(static_cast<std::uint16_t>(port + 11), std::move(second));
  const auto entry = fixture.Serve(
      static_cast<std::uint16_t>(port + 12), [&](io::HttpExchange& exchange) {
        if (forwarded) {
          fixture.router->HandleForwarded(exchange);
        } else {
          fixture.router->Handle(exchange);
        }
      });
  const auto response = fixture.caller->Call(
      {kIp, static_cast<std::uint16_t>(port + 12)}, fixture.Request(path, "r1"),
      seconds(5), io::ConnectionUse::kFresh);
  cr_assert(fixture.links->CutOff());
  return response.has_value() ? response.value().status : 0;
}

inline void OnRuntime(const std::function<void(io::Runtime&)>& body) {
  io::Runtime::Run([&body](io::Runtime& runtime) { body(runtime); });
}

}  // namespace chervilpass::serving
