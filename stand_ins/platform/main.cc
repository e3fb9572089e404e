// fake-platform: a stand-in for the platform's object API and VM list. Faults
// are injected through /admin/faults.
#include <fmt/format.h>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <map>

#include "chervilpass/app/program.h"
#include "chervilpass/core/token_bucket.h"
#include "chervilpass/io/http_server.h"
#include "stand_ins/common/serve.h"

namespace chervilpass::stand_ins {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxValueBytes = 1024 * 1024;
constexpr std::string_view kObjectsPath = "/objects/";

struct PlatformSettings {
  io::Endpoint listen;
  double writes_per_second = 0;
  double reads_per_second = 0;
  Duration vm_list_lag{0};  // from setting a VM list to serving it
  LogSettings log;
};

struct Object {
  std::uint64_t version = 0;
  std::string value;
};

// The faults set through /admin/faults.
struct Faults {
  bool outage = false;
  Duration delay{0};
  int responses_to_drop = 0;  // next writes to apply without a response
};

class Platform {
 public:
  Platform(io::Runtime* runtime, const PlatformSettings& settings)
      : runtime(runtime),
        settings(settings),
        write_bucket(settings.writes_per_second,
                     settings.writes_per_second,
                     runtime->Now()),
        read_bucket(settings.reads_per_second,
                    settings.reads_per_second,
                    runtime->Now()) {}

  void Handle(io::HttpExchange& exchange) {
    const io::HttpRequest& request = exchange.Request();
    if (request.path == "/admin/faults") {
      return this->SetFaults(exchange);
    }
    if (request.path == "/admin/vms") {
      return this->SetVms(exchange);
    }
    if (request.path == "/admin/counts") {
      return exchange.Respond({200, {}, this->CountsReport()});
    }
    if (this->faults.outage) {
      return exchange.Respond({503, {}, "outage"});
    }
    if (this->faults.delay.count() > 0) {
      this->runtime->SleepFor(this->faults.delay);
    }
    if (request.path == "/vms") {
      ++this->read_count;
      return exchange.Respond({200, {}, this->visible_vms});
    }
    if (!request.path.starts_with(kObjectsPath)) {
      return exchange.Respond({404, {}, "unknown path"});
    }
    const std::string name = request.path.substr(kObjectsPath.size());
    if (request.method == "PUT") {
      return this->Put(exchange, name);
    }
    if (request.method == "GET") {
      return this->Get(exchange, name);
    }
    exchange.Respond({405, {}, "GET or PUT is expected"});
  }

 private:
  static io::HttpResponse ObjectResponse(const Object& object) {
    io::HttpResponse response;
    response.headers.Add("ETag", fmt::format("\"{}\"", object.version));
    response.body = object.value;
    return response;
  }

  static std::uint64_t ParseNumber(std::string_view text) {
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
  }

  void Put(io::HttpExchange& exchange, const std::string& name) {
    const io::HttpRequest& request = exchange.Request();
    ++this->write_count;
    if (!this->write_bucket.TryTake(this->runtime->Now())) {
      return exchange.Respond({429, {}, "write rate limit exceeded"});
    }
    if (request.body.size() > kMaxValueBytes) {
      return exchange.Respond({413, {}, "value larger than 1 MiB"});
    }
    const auto found = this->objects.find(name);
    const std::uint64_t current =
        found == this->objects.end() ? 0 : found->second.version;
    const std::string match = request.headers.Find("If-Match").value_or("");
    const bool create = request.headers.Find("If-None-Match").has_value();
    const bool precondition_met =
        create ? current == 0
               : current != 0 && match == fmt::format("\"{}\"", current);
    if (!precondition_met) {
      return exchange.Respond({412, {}, "version mismatch"});
    }
    Object& object = this->objects[name];
    object.version = current + 1;
    object.value = request.body;
    this->changed.notify_all();
    if (this->faults.responses_to_drop > 0) {
      --this->faults.responses_to_drop;
      return exchange.Abort();
    }
    exchange.Respond(ObjectResponse({object.version, ""}));
  }

  void Get(io::HttpExchange& exchange, const std::string& name) {
    const io::HttpRequest& request = exchange.Request();
    const auto watch = request.QueryParameter("watch");
    if (watch) {
      return this->Watch(exchange, name, ParseNumber(*watch));
    }
    ++this->read_count;
    if (!this->read_bucket.TryTake(this->runtime->Now())) {
      return exchange.Respond({429, {}, "read rate limit exceeded"});
    }
    const auto found = this->objects.find(name);
    if (found == this->objects.end()) {
      return exchange.Respond({404, {}, "no such object"});
    }
    exchange.Respond(ObjectResponse(found->second));
  }

  void Watch(io::HttpExchange& exchange,
             const std::string& name,
             std::uint64_t after) {
    ++this->watch_count;
    ++this->waiting_watches;
    const auto timeout = milliseconds(ParseNumber(
        exchange.Request().QueryParameter("timeout_ms").value_or("10000")));
    std::unique_lock<boost::fibers::mutex> lock(this->mutex);
    this->changed.wait_until(lock, this->runtime->Now() + timeout, [&] {
      const auto found = this->objects.find(name);
      return this->faults.outage ||
             (found != this->objects.end() && found->second.version > after);
    });
    --this->waiting_watches;
    if (this->faults.outage) {
      return exchange.Respond({503, {}, "outage"});
    }
    const auto found = this->objects.find(name);
    if (found == this->objects.end() || found->second.version <= after) {
      return exchange.Respond({404, {}, "no newer version"});
    }
    exchange.Respond(ObjectResponse(found->second));
  }

  void SetFaults(io::HttpExchange& exchange) {
    boost::system::error_code error;
    const json::value body = json::parse(exchange.Request().body, error);
    if (error || !body.is_object()) {
      return exchange.Respond({400, {}, "a JSON object is expected"});
    }
    const json::object& fields = body.get_object();
    if (const json::value* outage = fields.if_contains("outage")) {
      this->faults.outage = outage->is_bool() && outage->get_bool();
      this->changed.notify_all();
    }
    if (const json::value* slow = fields.if_contains("slow_ms")) {
      this->faults.delay = milliseconds(slow->to_number<int>(error));
    }
    if (const json::value* drop = fields.if_contains("lose_answers")) {
      this->faults.responses_to_drop = drop->to_number<int>(error);
    }
    exchange.Respond({200, {}, "{}"});
  }

  void SetVms(io::HttpExchange& exchange) {
    const std::string vms = exchange.Request().body;
    this->runtime->Spawn([this, vms] {
      this->runtime->SleepFor(this->settings.vm_list_lag);
      this->visible_vms = vms;
    });
    exchange.Respond({200, {}, "{}"});
  }

  std::string CountsReport() const {
    return json::serialize(
        json::object{{"writes", this->write_count},
                     {"reads", this->read_count},
                     {"watches", this->watch_count},
                     {"waiting_watches", this->waiting_watches}});
  }

  io::Runtime* runtime;
  PlatformSettings settings;
  TokenBucket write_bucket;
  TokenBucket read_bucket;
  Faults faults;
  std::map<std::string, Object> objects;
  std::string visible_vms = "[]";
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable changed;
  std::uint64_t write_count = 0;
  std::uint64_t read_count = 0;
  std::uint64_t watch_count = 0;
  std::uint64_t waiting_watches = 0;
};

int Main(int argc, char** argv) {
  const app::CommandLine command_line = app::ParseCommandLine(
      argc, argv, "Stand-in for the platform's object API and VM list");
  const auto settings = app::LoadSettings<PlatformSettings>(
      command_line, [&](config::SettingsReader& reader) {
        PlatformSettings read;
        read.listen = reader.Address("listen");
        read.writes_per_second =
            reader.Double("writes_per_second", 1, 1e6, 400);
        read.reads_per_second = reader.Double("reads_per_second", 1, 1e6, 2000);
        read.vm_list_lag = reader.Milliseconds("vm_list_lag_ms", {0, 60000}, 0);
        read.log = app::ReadLogSettings(reader, "fake-platform", "platform",
                                        command_line);
        return read;
      });
  io::Runtime::Run([&](io::Runtime& runtime) {
    Platform platform(&runtime, settings);
    io::HttpServerSettings server_settings;
    server_settings.listen = settings.listen;
    server_settings.limits.body_bytes = 2 * kMaxValueBytes;
    ServeUntilStopped(
        &runtime, settings.log, server_settings, "platform.ready",
        [&platform](io::HttpExchange& exchange) { platform.Handle(exchange); });
  });
  return app::kExitOk;
}

}  // namespace
}  // namespace chervilpass::stand_ins

int main(int argc, char** argv) {
  chervilpass::io::Runtime::PrepareSignals();
  return chervilpass::stand_ins::Main(argc, argv);
}
