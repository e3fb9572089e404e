// fake-service: a stand-in for a plain service that counts its executions by
// idempotency key.
#include <boost/json.hpp>
#include <map>

#include "chervilpass/app/program.h"
#include "chervilpass/io/http_server.h"
#include "stand_ins/common/serve.h"

namespace chervilpass::stand_ins {
namespace {

namespace json = boost::json;

struct ServiceSettings {
  std::string id;
  io::Endpoint listen;
  Duration service_time{0};
  std::string crash_word;  // a body that contains it ends the process
  LogSettings log;
};

class Service {
 public:
  Service(io::Runtime* runtime, ServiceSettings settings)
      : runtime(runtime),
        settings(std::move(settings)),
        log(this->settings.log) {}

  void Handle(io::HttpExchange& exchange) {
    const io::HttpRequest& request = exchange.Request();
    if (request.path == "/admin/executions") {
      json::object counts;
      for (const auto& [key, count] : this->executions) {
        counts[key] = count;
      }
      return exchange.Respond({200, {}, json::serialize(counts)});
    }
    if (request.path == "/admin/faults") {
      boost::system::error_code error;
      const json::value body = json::parse(request.body, error);
      if (error || !body.is_object()) {
        return exchange.Respond({400, {}, "a JSON object is expected"});
      }
      if (const json::value* drop = body.get_object().if_contains("lose")) {
        this->responses_to_drop = drop->to_number<int>(error);
      }
      if (const json::value* slow = body.get_object().if_contains("slow_ms")) {
        this->settings.service_time = milliseconds(slow->to_number<int>(error));
      }
      return exchange.Respond({200, {}, "{}"});
    }
    this->Execute(exchange);
  }

 private:
  void Execute(io::HttpExchange& exchange) {
    const io::HttpRequest& request = exchange.Request();
    const std::string key =
        request.headers.Find("Idempotency-Key").value_or("");
    if (request.body.find(this->settings.crash_word) != std::string::npos) {
      this->log.Error("service.crash", {{"body", request.body}});
      app::ExitNow(app::kExitFailure);
    }
    // Counted at the start: an aborted call has been executed, too.
    const int count = key.empty() ? 0 : ++this->executions[key];
    this->runtime->SleepFor(this->settings.service_time);
    if (this->responses_to_drop > 0) {
      --this->responses_to_drop;
      return exchange.Abort();
    }
    io::HttpResponse response;
    response.headers.Add("Content-Type", "application/json");
    response.body = json::serialize(json::object{{"service", this->settings.id},
                                                 {"method", request.method},
                                                 {"path", request.path},
                                                 {"key", key},
                                                 {"execution", count},
                                                 {"received", request.body}});
    exchange.Respond(response);
  }

  io::Runtime* runtime;
  ServiceSettings settings;
  Logger log;
  std::map<std::string, int> executions;  // by idempotency key
  int responses_to_drop = 0;  // next calls to execute without a response
};

int Main(int argc, char** argv) {
  const app::CommandLine command_line = app::ParseCommandLine(
      argc, argv, "Stand-in for a plain service that counts executions");
  const auto settings = app::LoadSettings<
      ServiceSettings>(command_line, [&](config::SettingsReader& reader) {
    ServiceSettings read;
    read.id = reader.Text("id");
    read.listen = reader.Address("listen");
    read.service_time = reader.Milliseconds("service_time_ms", {0, 60000}, 5);
    read.crash_word = reader.Text("crash_word", "poison-pill");
    read.log =
        app::ReadLogSettings(reader, "fake-service", read.id, command_line);
    return read;
  });
  io::Runtime::Run([&](io::Runtime& runtime) {
    Service service(&runtime, settings);
    io::HttpServerSettings server_settings;
    server_settings.listen = settings.listen;
    ServeUntilStopped(
        &runtime, settings.log, server_settings, "service.ready",
        [&service](io::HttpExchange& exchange) { service.Handle(exchange); });
  });
  return app::kExitOk;
}

}  // namespace
}  // namespace chervilpass::stand_ins

int main(int argc, char** argv) {
  chervilpass::io::Runtime::PrepareSignals();
  return chervilpass::stand_ins::Main(argc, argv);
}
