// Tests of the loop that orders layers, with a scripted store and a scripted
// worker on loopback.
#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <functional>

#include "chervilpass/fleet/placement_controller.h"
#include "chervilpass/io/http_server.h"

// Last: its macros clash with headers of Boost.
#include <criterion/criterion.h>

using namespace chervilpass;
using namespace chervilpass::fleet;

namespace {

constexpr const char* kIp = "127.0.206.1";
constexpr std::int64_t kStart = 1000;       // of the registered worker
constexpr std::int64_t kLaterStart = 9000;  // of whoever has its address then

void OnRuntime(const std::function<void(io::Runtime&)>& body) {
  io::Runtime::Run([&body](io::Runtime& runtime) { body(runtime); });
}

std::unique_ptr<io::HttpServer> Serve(io::Runtime& runtime,
                                      std::uint16_t port,
                                      io::HttpHandler handler) {
  io::HttpServerSettings settings;
  settings.listen = {kIp, port};
  auto server =
      io::HttpServer::Create(&runtime, settings, std::move(handler),
                             [](unsigned status, std::string_view) {
                               return io::HttpResponse{status, {}, ""};
                             });
  cr_assert(server.has_value());
  return std::move(server).value();
}

// A VM that decides on placement, and one registered worker without layers.
class Fixture {
 public:
  // `start` is the start that the worker's reports name.
  Fixture(io::Runtime& runtime, std::uint16_t port, std::int64_t start)
      : runtime(runtime),
        port(port),
        log({"test", "vm", LogLevel::kError, LogFormat::kKeyValue}),
        routing_state({}, 1),
        http(io::HttpClient::Create(&runtime, {})),
        store_server(Serve(runtime,
                           port,
                           [this](auto& exchange) { this->Store(exchange); })),
        worker_server(Serve(
            runtime,
            static_cast<std::uint16_t>(port + 1),
            [this, start](auto& exchange) { this->Worker(exchange, start); })),
        store(platform::StoreClient::Create(&runtime,
                                            &this->metrics,
                                            {{kIp, port}})) {
    membership::Member self;
    self.vm = kIp;
    self.store_up = true;
    this->members = {self};
    this->ApplyConfig();
    this->Register("w1");
    this->controller = PlacementController::Create(
        &runtime, this->store.get(), this->http.get(), &this->routing_state,
        &this->metrics, &this->log, {}, self,
        [this]() -> const std::vector<membership::Member>& {
          return this->members;
        },
        [] { return false; });
  }

  // Registers a worker without layers, at the address of the scripted one.
  void Register(const std::string& id) {
    routing::BackendServer worker;
    worker.id = id;
    worker.service = "llm";
    worker.address = {kIp, static_cast<std::uint16_t>(this->port + 1)};
    worker.accelerator_kind = "k";
    worker.slots = 4;
    worker.started = {kStart};
    this->routing_state.Servers().ApplyChange({id, ++this->revision, worker},
                                              false, this->runtime.Now());
  }

  bool store_up = true;
  std::vector<membership::Member> members;  ///< this VM first
  int reports = 0;
  std::vector<std::string> orders;  ///< the workers that they are for

 private:
  void ApplyConfig() {
    routing::RouteTableData data;
    data.version = 1;
    routing::ServiceProfile llm;
    llm.name = "llm";
    llm.model.emplace();
    llm.model->layers = 4;
    llm.model->layer_mb = 100;
    llm.model->kv_bytes_per_token = 4000;
    llm.model->step_time = milliseconds(1);
    llm.model->prefill_tokens_per_second = 100000;
    llm.model->concurrent_loads = 4;
    llm.model->accelerator_kinds["k"] = {10000, 1, 1};
    data.services = {llm};
    cr_assert(
        this->routing_state.ApplyConfig(routing::RouteTable::Create(data)));
  }

  // Has no claim yet and takes the first one.
  void Store(io::HttpExchange& exchange) {
    if (!this->store_up) {
      return exchange.Respond({500, {}, "{}"});
    }
    if (exchange.Request().method == "GET" && this->claim.empty()) {
      return exchange.Respond({404, {}, "{}"});
    }
    if (exchange.Request().method == "POST") {
      const auto body = boost::json::parse(exchange.Request().body);
      this->claim = fmt::format(
          R"({{"metadata":{{"name":"placement","rev":5}},"spec":{}}})",
          boost::json::serialize(body.at("spec")));
    }
    exchange.Respond({200, {}, this->claim});
  }

  void Worker(io::HttpExchange& exchange, std::int64_t start) {
    const io::HttpRequest& request = exchange.Request();
    if (request.method == "POST") {
      this->orders.push_back(
          request.headers.Find("Chervilpass-Expect-Instance").value_or(""));
      return exchange.Respond({202, {}, "{}"});
    }
    ++this->reports;
    exchange.Respond(
        {200, {}, fmt::format(R"({{"busy":false,"seq":0,"born":{}}})", start)});
  }

  io::Runtime& runtime;
  std::uint16_t port;
  std::uint64_t revision = 0;
  Logger log;
  MetricsRegistry metrics;
  serving::RoutingState routing_state;
  std::unique_ptr<io::HttpClient> http;
  std::unique_ptr<io::HttpServer> store_server;
  std::unique_ptr<io::HttpServer> worker_server;
  std::unique_ptr<platform::StoreClient> store;
  std::string claim;
  std::unique_ptr<PlacementController> controller;
};

}  // namespace

Test(placement_controller, an_order_names_its_worker) {
  OnRuntime([](io::Runtime& runtime) {
    Fixture fixture(runtime, 25000, kStart);
    runtime.SleepFor(seconds(3));
    cr_assert_gt(fixture.orders.size(), 0);
    cr_assert_eq(fixture.orders.front(), "w1");
  });
}

// Guards against orders to whoever has the address of a lost worker: it may
// hold less than the lost one.
Test(placement_controller, no_order_goes_to_another_start_at_the_address) {
  OnRuntime([](io::Runtime& runtime) {
    Fixture fixture(runtime, 25010, kLaterStart);
    runtime.SleepFor(seconds(3));
    cr_assert_gt(fixture.reports, 0);
    cr_assert_eq(fixture.orders.size(), 0);
  });
}

// An outage of the store for all VMs: guards against requests that wait for a
// repair until the store is back.
Test(placement_controller, repairs_continue_in_an_outage_of_the_store) {
  OnRuntime([](io::Runtime& runtime) {
    Fixture fixture(runtime, 25020, kStart);
    runtime.SleepFor(seconds(3));
    cr_assert_gt(fixture.orders.size(), 0);
    fixture.store_up = false;
    fixture.members[0].store_up = false;
    runtime.SleepFor(seconds(1));
    const std::size_t before = fixture.orders.size();
    fixture.Register("w2");  // in place of the lost one
    runtime.SleepFor(seconds(2));
    cr_assert(
        std::find(fixture.orders.begin() + static_cast<std::ptrdiff_t>(before),
                  fixture.orders.end(), "w2") != fixture.orders.end());
  });
}

// Another VM reaches the store while the holder of the claim does not, so it
// may have taken over: guards against orders of two deciders.
Test(placement_controller, holder_stops_once_another_vm_may_have_taken_over) {
  OnRuntime([](io::Runtime& runtime) {
    Fixture fixture(runtime, 25030, kStart);
    membership::Member other = fixture.members[0];
    other.vm = "127.0.206.9";
    other.store_up = false;
    fixture.members.push_back(other);
    runtime.SleepFor(seconds(3));
    cr_assert_gt(fixture.orders.size(), 0);
    fixture.store_up = false;
    fixture.members[0].store_up = false;
    fixture.members[1].store_up = true;
    runtime.SleepFor(seconds(1));
    const std::size_t before = fixture.orders.size();
    fixture.Register("w2");
    runtime.SleepFor(seconds(2));
    cr_assert_eq(fixture.orders.size(), before);
  });
}
