// fake-store: a stand-in for the users' store. Keeps objects by kind and name
// with revisions; supports conditional writes, watches over a bounded history
// and faults injected through /admin/faults.
#include <fmt/format.h>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/json.hpp>
#include <deque>
#include <map>
#include <mutex>

#include "chervilpass/app/program.h"
#include "chervilpass/core/text.h"
#include "chervilpass/io/http_server.h"
#include "stand_ins/common/serve.h"

namespace chervilpass::stand_ins {
namespace {

namespace json = boost::json;

constexpr std::string_view kObjectsPath = "/v1/objects/";
constexpr std::size_t kPageSize = 500;      // items per listing
constexpr std::size_t kMaxHistory = 10000;  // changes
constexpr std::uint64_t kMaxWaitMs = 30000;
constexpr Duration kSilentDelay =
    seconds(60);  // longer than any client timeout

struct StoreSettings {
  io::Endpoint listen;
  LogSettings log;
};

struct Change {
  std::uint64_t revision = 0;
  std::string kind;
  json::object object;
  bool deleted = false;
};

// The faults set through /admin/faults.
struct Faults {
  std::string outage;  // "", "busy", "silent" or "reset"
  Duration delay{0};
  int responses_to_drop = 0;  // next writes to apply without a response
};

class Store {
 public:
  explicit Store(io::Runtime* runtime) : runtime(runtime) {}

  void Handle(io::HttpExchange& exchange) {
    const io::HttpRequest& request = exchange.Request();
    if (request.path == "/admin/faults") {
      return this->SetFaults(exchange);
    }
    ++this->calls;
    if (request.path == "/admin/counts") {
      return exchange.Respond(
          {200, {}, json::serialize(json::object{{"calls", this->calls}})});
    }
    if (this->InjectOutage(exchange)) {
      return;
    }
    this->runtime->SleepFor(this->faults.delay);
    if (!request.path.starts_with(kObjectsPath)) {
      return exchange.Respond({404, {}, "{}"});
    }
    const auto parts = SplitText(request.path.substr(kObjectsPath.size()), '/');
    const std::string name = parts.size() > 1 ? parts[1] : "";
    if (request.method == "GET" && request.QueryParameter("watch")) {
      return this->Watch(exchange, parts[0]);
    }
    if (request.method == "GET") {
      return name.empty() ? this->List(exchange, parts[0])
                          : this->Get(exchange, parts[0], name);
    }
    this->Write(exchange, parts[0], name);
  }

 private:
  using Objects = std::map<std::string, json::object>;

  static io::HttpResponse JsonResponse(unsigned status,
                                       const json::value& body) {
    io::HttpResponse response;
    response.status = status;
    response.headers.Add("Content-Type", "application/json");
    response.body = json::serialize(body);
    return response;
  }

  // Handles the exchange as the current outage demands; false if there is none.
  bool InjectOutage(io::HttpExchange& exchange) {
    if (this->faults.outage == "busy") {
      exchange.Respond({503, {}, "{}"});
    } else if (this->faults.outage == "reset") {
      exchange.Abort();
    } else if (this->faults.outage == "silent") {
      this->runtime->SleepFor(kSilentDelay);
      exchange.Abort();
    }
    return !this->faults.outage.empty();
  }

  void SetFaults(io::HttpExchange& exchange) {
    boost::system::error_code error;
    const json::value body = json::parse(exchange.Request().body, error);
    if (error || !body.is_object()) {
      return exchange.Respond({400, {}, "a JSON object is expected"});
    }
    const json::object& fields = body.get_object();
    if (const auto* outage = fields.if_contains("outage")) {
      this->faults.outage = std::string(outage->as_string());
    }
    if (const auto* slow = fields.if_contains("slow_ms")) {
      this->faults.delay = milliseconds(slow->to_number<int>());
    }
    if (const auto* drop = fields.if_contains("lose_answers")) {
      this->faults.responses_to_drop = drop->to_number<int>();
    }
    if (fields.contains("forget_history")) {
      this->history.clear();
      this->oldest_watchable_revision = this->revision;
      this->changed.notify_all();
    }
    exchange.Respond({200, {}, "{}"});
  }

  static std::uint64_t RevisionOf(const json::object& object) {
    return object.at("metadata").at("rev").to_number<std::uint64_t>();
  }

  void List(io::HttpExchange& exchange, const std::string& kind) {
    const std::string after =
        exchange.Request().QueryParameter("after").value_or("");
    json::array items;
    bool has_more = false;
    const Objects& objects = this->kinds[kind];
    for (auto it = objects.upper_bound(after); it != objects.end(); ++it) {
      if (items.size() == kPageSize) {
        has_more = true;
        break;
      }
      items.push_back(it->second);
    }
    exchange.Respond(
        JsonResponse(200, json::object{{"items", std::move(items)},
                                       {"hasMore", has_more},
                                       {"storeRevision", this->revision}}));
  }

  void Get(io::HttpExchange& exchange,
           const std::string& kind,
           const std::string& name) {
    const auto found = this->kinds[kind].find(name);
    exchange.Respond(found == this->kinds[kind].end()
                         ? JsonResponse(404, json::object{})
                         : JsonResponse(200, found->second));
  }

  json::array ChangesAfter(const std::string& kind, std::uint64_t since) const {
    json::array events;
    for (const Change& change : this->history) {
      if (change.revision > since && change.kind == kind) {
        events.push_back(json::object{{"object", change.object},
                                      {"deleted", change.deleted}});
      }
    }
    return events;
  }

  void Watch(io::HttpExchange& exchange, const std::string& kind) {
    const io::HttpRequest& request = exchange.Request();
    const std::uint64_t since = std::stoull(*request.QueryParameter("watch"));
    const std::uint64_t wait_ms = std::min<std::uint64_t>(
        std::stoull(request.QueryParameter("waitMs").value_or("0")),
        kMaxWaitMs);
    if (since < this->oldest_watchable_revision) {
      return exchange.Respond(JsonResponse(410, json::object{}));
    }
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, milliseconds(wait_ms), [&] {
      return !this->ChangesAfter(kind, since).empty() ||
             since < this->oldest_watchable_revision ||
             !this->faults.outage.empty();
    });
    lock.unlock();
    if (this->InjectOutage(exchange)) {
      return;
    }
    if (since < this->oldest_watchable_revision) {
      return exchange.Respond(JsonResponse(410, json::object{}));
    }
    exchange.Respond(JsonResponse(
        200, json::object{{"events", this->ChangesAfter(kind, since)},
                          {"storeRevision", this->revision}}));
  }

  void Write(io::HttpExchange& exchange,
             const std::string& kind,
             std::string name) {
    const io::HttpRequest& request = exchange.Request();
    boost::system::error_code error;
    json::value body = json::parse(request.body, error);
    const bool is_delete = request.method == "DELETE";
    json::object input = body.is_object() ? body.get_object() : json::object{};
    json::object metadata = input.contains("metadata")
                                ? input["metadata"].as_object()
                                : json::object{};
    if (name.empty() && metadata.contains("name")) {
      name = std::string(metadata["name"].as_string());
    }
    if (name.empty()) {
      return exchange.Respond(JsonResponse(400, json::object{}));
    }
    Objects& objects = this->kinds[kind];
    const auto found = objects.find(name);
    const bool exists = found != objects.end();
    std::optional<std::uint64_t> expected;
    if (metadata.contains("rev")) {
      expected = metadata["rev"].to_number<std::uint64_t>();
    } else if (const auto query = request.QueryParameter("rev")) {
      expected = std::stoull(*query);
    }
    if (exists && (request.method == "POST" ||
                   (expected && *expected != RevisionOf(found->second)))) {
      return exchange.Respond(JsonResponse(409, found->second));
    }
    if (!exists && request.method != "POST") {
      return exchange.Respond(JsonResponse(404, json::object{}));
    }
    json::object object;
    object["metadata"] = json::object{
        {"name", name}, {"rev", ++this->revision}, {"deleting", false}};
    object["spec"] = input.contains("spec") ? input["spec"] : json::value();
    if (is_delete) {
      object["spec"] = found->second["spec"];
      objects.erase(found);
    } else {
      objects[name] = object;
    }
    this->history.push_back({this->revision, kind, object, is_delete});
    if (this->history.size() > kMaxHistory) {
      this->oldest_watchable_revision = this->history.front().revision;
      this->history.pop_front();
    }
    this->changed.notify_all();
    if (this->faults.responses_to_drop > 0) {
      --this->faults.responses_to_drop;
      return exchange.Abort();
    }
    exchange.Respond(
        JsonResponse(request.method == "POST" ? 201 : 200, object));
  }

  io::Runtime* runtime;
  std::map<std::string, Objects> kinds;
  std::uint64_t revision = 1;
  std::uint64_t oldest_watchable_revision = 0;  // older watches get 410
  std::deque<Change> history;
  Faults faults;
  std::uint64_t calls = 0;
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable changed;
};

int Main(int argc, char** argv) {
  const app::CommandLine command_line =
      app::ParseCommandLine(argc, argv, "Stand-in for the users' store");
  const auto settings = app::LoadSettings<StoreSettings>(
      command_line, [&](config::SettingsReader& reader) {
        StoreSettings read;
        read.listen = reader.Address("listen");
        read.log = app::ReadLogSettings(reader, "fake-store", "platform",
                                        command_line);
        return read;
      });
  io::Runtime::Run([&](io::Runtime& runtime) {
    Store store(&runtime);
    io::HttpServerSettings server;
    server.listen = settings.listen;
    server.limits.body_bytes = 2 * 1024 * 1024;
    ServeUntilStopped(
        &runtime, settings.log, server, "store.ready",
        [&store](io::HttpExchange& exchange) { store.Handle(exchange); });
  });
  return app::kExitOk;
}

}  // namespace
}  // namespace chervilpass::stand_ins

int main(int argc, char** argv) {
  chervilpass::io::Runtime::PrepareSignals();
  return chervilpass::stand_ins::Main(argc, argv);
}
