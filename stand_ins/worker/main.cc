// fake-worker: a stand-in for a backend server on the users' platform. A plain
// one counts executions; a model worker holds a range of layers, runs paths
// with real hops to other workers, and stalls while one of them is gone. It
// registers itself in the store.
#include <fmt/format.h>

#include <boost/json.hpp>
#include <charconv>
#include <map>
#include <set>

#include "chervilpass/app/program.h"
#include "chervilpass/core/hash.h"
#include "chervilpass/core/text.h"
#include "chervilpass/io/http_client.h"
#include "chervilpass/io/http_server.h"
#include "stand_ins/common/serve.h"

namespace chervilpass::stand_ins {
namespace {

namespace json = boost::json;

constexpr Duration kHopTimeout = milliseconds(200);
constexpr Duration kStallStep = milliseconds(50);
constexpr Duration kStoreTimeout = milliseconds(500);

struct WorkerSettings {
  std::string id;
  std::string service;
  std::string data_centre;
  std::string kind;  // empty: a plain service
  io::Endpoint listen;
  io::Endpoint store;
  std::uint32_t slots = 0;
  std::uint32_t largest_range = 0;
  Duration work{0};   // of a plain request, or between two events
  Duration stall{0};  // until a stalled request is cut off
  Duration heartbeat{0};
  Duration load{0};  // of one layer
  LogSettings log;
};

struct Part {
  io::Endpoint address;
  std::uint32_t from = 0;
  std::uint32_t to = 0;
};

// "IP:PORT=FROM-TO,..."; empty if it cannot be read.
std::vector<Part> ReadPath(const std::string& text) {
  std::vector<Part> parts;
  for (const std::string& item : SplitText(text, ',')) {
    const auto sides = SplitText(item, '=');
    const auto range = sides.size() == 2 ? SplitText(sides[1], '-') : sides;
    const auto address = io::Endpoint::Parse(sides[0]);
    if (!address || range.size() != 2) {
      return {};
    }
    parts.push_back({*address, static_cast<std::uint32_t>(std::stoul(range[0])),
                     static_cast<std::uint32_t>(std::stoul(range[1]))});
  }
  return parts;
}

class Worker {
 public:
  Worker(io::Runtime* runtime, WorkerSettings settings)
      : runtime(runtime),
        settings(std::move(settings)),
        born(runtime->WallNow().milliseconds),
        client(io::HttpClient::Create(runtime, {})) {}

  void Handle(io::HttpExchange& exchange) {
    const io::HttpRequest& request = exchange.Request();
    if (request.path == "/admin/runs") {
      return exchange.Respond({200, {}, json::serialize(this->RunCounts())});
    }
    if (request.path == "/admin/faults") {
      return this->SetFaults(exchange);
    }
    if (request.path == "/v1/report") {
      return exchange.Respond({200, {}, json::serialize(this->Report())});
    }
    if (request.path == "/v1/order") {
      return this->Order(exchange);
    }
    if (request.path == "/part") {
      return this->AnswerPart(exchange);
    }
    if (request.path == "/health") {
      return exchange.Respond({this->draining ? 503U : 200U, {}, ""});
    }
    this->Serve(exchange);
  }

  // Writes the registration again and again, as long as it lives.
  void Register() {
    while (true) {
      io::HttpRequest request;
      request.method = this->registered ? "PUT" : "POST";
      request.path = this->registered
                         ? "/v1/objects/servers/" + this->settings.id
                         : "/v1/objects/servers";
      json::object body;
      body["metadata"] = json::object{{"name", this->settings.id}};
      body["spec"] = this->Registration();
      request.body = json::serialize(body);
      const auto answer =
          this->client->Call(this->settings.store, request, kStoreTimeout);
      if (answer.has_value() && answer.value().status < 300) {
        this->registered = true;
      } else if (answer.has_value() && answer.value().status == 409) {
        this->registered = true;
        continue;
      } else if (answer.has_value() && answer.value().status == 404) {
        this->registered = false;
        continue;
      }
      // A change is written at once, a sign of life now and then.
      const Instant next = this->runtime->Now() + this->settings.heartbeat;
      const std::uint64_t written = this->changes;
      while (this->runtime->Now() < next && written == this->changes) {
        this->runtime->SleepFor(milliseconds(20));
      }
    }
  }

 private:
  bool IsModelWorker() const { return !this->settings.kind.empty(); }

  json::object Layers() const {
    return {{"from", this->from}, {"target", this->to}, {"version", 1}};
  }

  json::object Registration() {
    json::object body;
    body["service"] = this->settings.service;
    body["address"] = this->settings.listen.ToText();
    body["zone"] = this->settings.data_centre;
    body["version"] = "v1";
    body["slots"] = this->settings.slots;
    body["state"] = this->draining ? "draining" : "ready";
    body["warmupLeftMs"] = 0;
    body["seq"] = ++this->beats;
    body["born"] = this->born;
    if (this->IsModelWorker()) {
      body["kind"] = this->settings.kind;
      body["layers"] = this->Layers();
    }
    return body;
  }

  json::object Report() const {
    json::array stalled;
    for (const auto& [id, address] : this->stalled) {
      stalled.push_back(json::object{{"id", id}, {"address", address}});
    }
    return {{"busy", this->loading},
            {"seq", this->orders},
            {"running", this->running},
            {"waiting", 0},
            {"kvUsed", 0},
            {"kvTotal", 1000000},
            {"layers", this->Layers()},
            {"stalled", std::move(stalled)}};
  }

  json::object RunCounts() const {
    json::object counts;
    for (const auto& [id, count] : this->runs) {
      counts[id] = count;
    }
    return counts;
  }

  void SetFaults(io::HttpExchange& exchange) {
    boost::system::error_code error;
    const json::value body = json::parse(exchange.Request().body, error);
    if (error || !body.is_object()) {
      return exchange.Respond({400, {}, "a JSON object is expected"});
    }
    const json::object& order = body.get_object();
    if (order.contains("drain")) {
      this->draining = true;
      ++this->changes;
    }
    if (const auto* lose = order.if_contains("lose_answers")) {
      this->answers_to_lose = lose->to_number<int>();
    }
    if (const auto* cut = order.if_contains("break_streams_after")) {
      this->break_after = cut->to_number<int>();
    }
    exchange.Respond({200, {}, "{}"});
  }

  // ---- orders ----

  void Order(io::HttpExchange& exchange) {
    boost::system::error_code error;
    const json::value body = json::parse(exchange.Request().body, error);
    const json::object* order = error ? nullptr : body.if_object();
    const auto* operation =
        order == nullptr ? nullptr : order->if_contains("operation");
    if (operation == nullptr || !operation->is_string()) {
      return exchange.Respond({400, {}, "{}"});
    }
    if (operation->get_string() == "repath") {
      return this->Repath(exchange, *order);
    }
    const auto* expected = order->if_contains("expected");
    if (operation->get_string() != "place" || this->loading ||
        (expected != nullptr &&
         expected->to_number<std::uint64_t>() != this->orders)) {
      return exchange.Respond({409, {}, "{}"});
    }
    const auto from = order->at("from").to_number<std::uint32_t>();
    const auto target = order->at("target").to_number<std::uint32_t>();
    if (target - from > this->settings.largest_range) {
      app::ExitNow(app::kExitFailure);  // out of memory
    }
    if (from == this->from && target == this->to) {
      return exchange.Respond({200, {}, "{}"});
    }
    ++this->orders;
    this->loading = true;
    this->runtime->Spawn([this, from, target] {
      this->runtime->SleepFor(this->settings.load * (target - from));
      this->from = from;
      this->to = target;
      this->loading = false;
      ++this->changes;
    });
    exchange.Respond({202, {}, "{}"});
  }

  void Repath(io::HttpExchange& exchange, const json::object& order) {
    const std::string id(order.at("id").as_string());
    const auto found = this->paths.find(id);
    if (found == this->paths.end()) {
      return exchange.Respond({404, {}, "{}"});
    }
    found->second = ReadPath(std::string(order.at("path").as_string()));
    exchange.Respond({200, {}, "{}"});
  }

  // ---- requests ----

  io::HttpResponse Head(unsigned status, const std::string& request_id) const {
    io::HttpResponse head;
    head.status = status;
    head.headers.Add("Chervilpass-Request-Id", request_id);
    head.headers.Add("Chervilpass-Instance-Id", this->settings.id);
    head.headers.Add(
        "Chervilpass-Server-Load",
        fmt::format("{},0,{}", this->running, this->settings.slots));
    if (status != 503 && status != 421) {
      head.headers.Add("Chervilpass-Server-Seal", "seal-" + this->settings.id);
    }
    return head;
  }

  void Reject(io::HttpExchange& exchange,
              unsigned status,
              const std::string& id,
              const std::string& culprit) {
    io::HttpResponse answer = this->Head(status, id);
    answer.headers.Add("Chervilpass-Not-Executed", "1");
    answer.headers.Add("At-Server", culprit);
    exchange.Respond(answer);
  }

  void Serve(io::HttpExchange& exchange) {
    const io::HttpRequest& request = exchange.Request();
    const std::string id =
        request.headers.Find("Chervilpass-Request-Id").value_or("");
    const std::string meant =
        request.headers.Find("Chervilpass-Expect-Instance").value_or("");
    if (meant != this->settings.id) {
      return this->Reject(exchange, 421, id, this->settings.listen.ToText());
    }
    if (this->running >= this->settings.slots) {
      return this->Reject(exchange, 503, id, this->settings.listen.ToText());
    }
    ++this->running;
    if (this->IsModelWorker()) {
      this->Generate(exchange, id);
    } else {
      this->Execute(exchange, id);
    }
    --this->running;
  }

  // Counted at the start: a call that is cut off has run all the same.
  void Execute(io::HttpExchange& exchange, const std::string& id) {
    ++this->runs[id];
    this->runtime->SleepFor(this->settings.work);
    if (this->answers_to_lose > 0) {
      --this->answers_to_lose;
      return exchange.Abort();
    }
    io::HttpResponse answer = this->Head(200, id);
    answer.body = fmt::format(
        "{} {} {}", exchange.Request().target,
        exchange.Request().headers.Find("Chervilpass-Tenant").value_or("-"),
        exchange.Request().body);
    exchange.Respond(answer);
  }

  // Asks a part whether it holds its layers; its signature if so.
  std::optional<std::string> RunPart(const Part& part) {
    if (part.address == this->settings.listen) {
      return this->Signature(part.from, part.to);
    }
    io::HttpRequest request;
    request.path = "/part";
    request.query = fmt::format("from={}&to={}", part.from, part.to);
    const auto answer = this->client->Call(part.address, request, kHopTimeout);
    if (answer.has_error() || answer.value().status != 200) {
      return std::nullopt;
    }
    return answer.value().body;
  }

  std::string Signature(std::uint32_t first, std::uint32_t last) const {
    const bool holds = this->from <= first && last <= this->to;
    return holds ? fmt::format("{}-{}", first, last) : "";
  }

  void AnswerPart(io::HttpExchange& exchange) {
    const io::HttpRequest& request = exchange.Request();
    const std::string signature = this->Signature(
        static_cast<std::uint32_t>(
            std::stoul(request.QueryParameter("from").value_or("1"))),
        static_cast<std::uint32_t>(
            std::stoul(request.QueryParameter("to").value_or("0"))));
    exchange.Respond({signature.empty() ? 421U : 200U, {}, signature});
  }

  // The layers that ran for one token, in order; empty while a part is gone.
  std::string RunPath(const std::string& id) {
    std::string ran;
    for (const Part& part : this->paths[id]) {
      const auto signature = this->RunPart(part);
      if (!signature || signature->empty()) {
        this->stalled[id] = part.address.ToText();
        return {};
      }
      ran += (ran.empty() ? "" : ",") + *signature;
    }
    this->stalled.erase(id);
    return ran;
  }

  void Generate(io::HttpExchange& exchange, const std::string& id) {
    const io::HttpRequest& request = exchange.Request();
    this->paths[id] =
        ReadPath(request.headers.Find("Chervilpass-Hop-Count").value_or(""));
    // The path as it was begun: the body is a check of the whole answer.
    const std::vector<Part> path = this->paths[id];
    for (const Part& part : path) {
      const auto signature = this->RunPart(part);
      if (!signature || signature->empty()) {
        this->paths.erase(id);
        return this->Reject(exchange, signature ? 421 : 503, id,
                            part.address.ToText());
      }
    }
    ++this->runs[id];
    const auto counts = SplitText(
        request.headers.Find("Chervilpass-Token-Counts").value_or("1,8"), ',');
    const std::uint64_t events = std::stoull(counts.back());
    std::uint64_t event =
        std::stoull(request.headers.Find("Last-Event-Id").value_or("0"));
    bool whole = exchange.BeginStream(this->Head(200, id));
    int sent = 0;
    while (whole && event < events) {
      whole = this->SendEvent(exchange, id, ++event);
      if (this->break_after > 0 && ++sent >= this->break_after) {
        this->break_after = 0;
        exchange.WriteChunk("id: 9999\ndata: ha");
        whole = false;
      }
    }
    this->paths.erase(id);
    this->stalled.erase(id);
    if (whole) {
      exchange.EndStream();
    } else {
      exchange.Abort();
    }
  }

  bool SendEvent(io::HttpExchange& exchange,
                 const std::string& id,
                 std::uint64_t event) {
    this->runtime->SleepFor(this->settings.work);
    std::string ran = this->RunPath(id);
    for (Duration waited{0}; ran.empty(); waited += kStallStep) {
      if (waited > this->settings.stall || exchange.PeerGone()) {
        return false;
      }
      this->runtime->SleepFor(kStallStep);
      ran = this->RunPath(id);
    }
    return exchange.WriteChunk(fmt::format("id: {}\ndata: {}\n\n", event, ran));
  }

  io::Runtime* runtime;
  WorkerSettings settings;
  std::int64_t born;
  std::unique_ptr<io::HttpClient> client;
  std::uint32_t from = 0;
  std::uint32_t to = 0;
  bool loading = false;
  bool draining = false;
  bool registered = false;
  std::uint64_t orders = 0;
  std::uint64_t beats = 0;
  std::uint64_t changes = 0;
  std::uint32_t running = 0;
  int answers_to_lose = 0;
  int break_after = 0;              // events
  std::map<std::string, int> runs;  // by request id
  std::map<std::string, std::vector<Part>> paths;
  std::map<std::string, std::string> stalled;  // address waited for
};

int Main(int argc, char** argv) {
  const app::CommandLine command_line = app::ParseCommandLine(
      argc, argv, "Stand-in for a backend server of the users' platform");
  const auto settings = app::LoadSettings<WorkerSettings>(
      command_line, [&](config::SettingsReader& reader) {
        WorkerSettings read;
        read.id = reader.Text("id");
        read.service = reader.Text("service");
        read.data_centre = reader.Text("data_centre");
        read.kind = reader.Text("kind", "");
        read.listen = reader.Address("listen");
        read.store = reader.Address("store");
        read.slots = static_cast<std::uint32_t>(
            reader.Integer("slots", {1, 100000}, 64));
        read.largest_range = static_cast<std::uint32_t>(
            reader.Integer("largest_range", {0, 100000}, 0));
        read.work = reader.Milliseconds("work_ms", {0, 60000}, 10);
        read.stall = reader.Milliseconds("stall_ms", {0, 60000}, 3000);
        read.heartbeat = reader.Milliseconds("heartbeat_ms", {10, 60000}, 600);
        read.load = reader.Milliseconds("load_layer_ms", {0, 60000}, 20);
        read.log =
            app::ReadLogSettings(reader, "fake-worker", read.id, command_line);
        return read;
      });
  io::Runtime::Run([&](io::Runtime& runtime) {
    Worker worker(&runtime, settings);
    runtime.Spawn([&worker] { worker.Register(); });
    io::HttpServerSettings server;
    server.listen = settings.listen;
    ServeUntilStopped(
        &runtime, settings.log, server, "worker.ready",
        [&worker](io::HttpExchange& exchange) { worker.Handle(exchange); });
  });
  return app::kExitOk;
}

}  // namespace
}  // namespace chervilpass::stand_ins

int main(int argc, char** argv) {
  return chervilpass::stand_ins::Main(argc, argv);
}
