// fake-engine: a stand-in for a model engine that holds a range of layers.
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/future.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/json.hpp>
#include <deque>

#include "chervilpass/app/program.h"
#include "chervilpass/core/hash.h"
#include "chervilpass/io/http_server.h"
#include "chervilpass/pipeline/tokenizer.h"
#include "stand_ins/common/serve.h"
#include "stand_ins/engine/engine_model.h"

namespace chervilpass::stand_ins {
namespace {

namespace json = boost::json;

struct EngineSettings {
  std::string id;
  io::Endpoint listen;
  std::uint32_t first_layer = 0;
  std::uint32_t last_layer = 0;
  std::uint32_t session_limit = 0;
  std::uint32_t batch_limit = 0;    ///< steps per batch
  double batch_us = 0;              ///< per batch
  double decode_us = 0;             ///< per step of one position
  double prefill_us = 0;            ///< per position of a longer step
  std::size_t prefix_limit = 0;     ///< max cached prompt prefixes
  std::uint32_t prefix_tokens = 0;  ///< length of a cached prefix
  Duration load_lag{0};         ///< interval between updates of the load report
  bool checks_fencing = false;  ///< rejects orders with an old fencing number
  std::string crash_word;  ///< a prompt that contains it crashes the engine
  LogSettings log;
};

EngineSettings ReadSettings(config::SettingsReader& reader,
                            const app::CommandLine& command_line) {
  EngineSettings settings;
  settings.id = reader.Text("id");
  settings.listen = reader.Address("listen");
  settings.first_layer =
      static_cast<std::uint32_t>(reader.Integer("first_layer", {0, 4095}));
  settings.last_layer =
      static_cast<std::uint32_t>(reader.Integer("last_layer", {0, 4095}));
  settings.session_limit = static_cast<std::uint32_t>(
      reader.Integer("session_limit", {1, 100000}, 64));
  settings.batch_limit =
      static_cast<std::uint32_t>(reader.Integer("batch_limit", {1, 10000}, 64));
  settings.batch_us = reader.Double("batch_us", 0, 1e7, 1000);
  settings.decode_us = reader.Double("decode_us", 0, 1e7, 20);
  settings.prefill_us = reader.Double("prefill_us", 0, 1e7, 10);
  settings.prefix_limit =
      static_cast<std::size_t>(reader.Integer("prefix_limit", {0, 100000}, 32));
  settings.prefix_tokens = static_cast<std::uint32_t>(
      reader.Integer("prefix_tokens", {1, 100000}, 16));
  settings.load_lag = reader.Milliseconds("load_lag_ms", {0, 60000}, 500);
  settings.checks_fencing = reader.Bool("checks_fencing", true);
  settings.crash_word = reader.Text("crash_word", "poison-pill");
  settings.log =
      app::ReadLogSettings(reader, "fake-engine", settings.id, command_line);
  if (settings.last_layer < settings.first_layer) {
    reader.AddError("last_layer", "is below first_layer");
  }
  return settings;
}

// A step that waits for a batch.
struct QueuedStep {
  StepRequest request;
  boost::fibers::promise<StepResult> result;
};

class Engine {
 public:
  Engine(io::Runtime* runtime, EngineSettings settings)
      : runtime(runtime),
        settings(std::move(settings)),
        log(this->settings.log),
        model(this->settings.first_layer,
              this->settings.last_layer,
              this->settings.session_limit),
        prefixes(this->settings.prefix_limit),
        crash_token(pipeline::Tokenize(this->settings.crash_word).front()),
        boot_id(RandomId()) {}

  void Start() {
    this->runtime->Spawn([this] { this->BatchLoop(); });
    this->runtime->Spawn([this] { this->LoadReportLoop(); });
  }

  void Handle(io::HttpExchange& exchange) {
    const io::HttpRequest& request = exchange.Request();
    if (request.path == "/v1/load") {
      return exchange.Respond({200, {}, this->load_report});
    }
    if (request.path == "/v1/record") {
      return exchange.Respond({200, {}, this->RecordReport()});
    }
    boost::system::error_code error;
    const json::value body = json::parse(request.body, error);
    if (error || !body.is_object()) {
      return exchange.Respond({400, {}, "a JSON object is expected"});
    }
    // Boost.JSON throws if a field is missing or has the wrong type.
    try {
      exchange.Respond(this->HandlePost(request.path, body.get_object()));
    } catch (const std::exception& exception) {
      exchange.Respond({400, {}, exception.what()});
    }
  }

 private:
  io::HttpResponse HandlePost(const std::string& path,
                              const json::object& body) {
    if (path == "/v1/steps") {
      return this->HandleSteps(body);
    }
    if (path == "/v1/sessions/release") {
      for (const json::value& name : body.at("sessions").as_array()) {
        this->model.Release(std::string(name.as_string()));
      }
      return {200, {}, "{}"};
    }
    if (path == "/v1/kv/export") {
      return this->HandleExport(body);
    }
    if (path == "/v1/kv/import") {
      return this->HandleImport(body);
    }
    if (path == "/v1/orders") {
      return this->HandleOrder(body);
    }
    if (path == "/admin/slow") {
      this->slow_factor = body.at("factor").to_number<double>();
      return {200, {}, "{}"};
    }
    return {404, {}, "unknown path"};
  }

  io::HttpResponse HandleSteps(const json::object& body) {
    const json::array& steps = body.at("steps").as_array();
    std::vector<boost::fibers::future<StepResult>> futures;
    for (const json::value& item : steps) {
      auto queued = std::make_shared<QueuedStep>();
      queued->request = ReadStep(item.as_object());
      this->CrashIfPoisoned(queued->request);
      futures.push_back(queued->result.get_future());
      this->queue.push_back(std::move(queued));
    }
    this->queue_filled.notify_one();
    json::array results;
    for (std::size_t i = 0; i < steps.size(); ++i) {
      results.push_back(WriteResult(steps[i].as_object(), futures[i].get()));
    }
    return {200, {}, json::serialize(json::object{{"results", results}})};
  }

  static StepRequest ReadStep(const json::object& item) {
    StepRequest request;
    request.session = std::string(item.at("session").as_string());
    request.epoch = item.at("epoch").to_number<std::uint32_t>();
    request.position = item.at("position").to_number<std::uint32_t>();
    request.seed = item.at("seed").to_number<std::uint64_t>();
    request.priority = item.at("priority").to_number<std::uint32_t>();
    request.sample = item.at("sample").as_bool();
    for (const json::value& value : item.at("values").as_array()) {
      request.values.push_back(value.to_number<std::uint64_t>());
    }
    return request;
  }

  static json::object WriteResult(const json::object& request,
                                  const StepResult& result) {
    json::array values;
    for (const std::uint64_t value : result.values) {
      values.emplace_back(value);
    }
    return {{"session", request.at("session")},
            {"epoch", request.at("epoch")},
            {"position", request.at("position")},
            {"status", result.status},
            {"values", values},
            {"token", result.token}};
  }

  void CrashIfPoisoned(const StepRequest& request) {
    const bool prefill =
        request.position == 0 && this->settings.first_layer == 0;
    if (prefill && std::find(request.values.begin(), request.values.end(),
                             this->crash_token) != request.values.end()) {
      this->log.Error("engine.crash", {{"session", request.session}});
      app::ExitNow(134);  // exit status after SIGABRT
    }
  }

  // Runs the queued steps in batches, highest priority first.
  void BatchLoop() {
    std::unique_lock<boost::fibers::mutex> lock(this->mutex);
    while (true) {
      this->queue_filled.wait(lock, [this] { return !this->queue.empty(); });
      std::stable_sort(this->queue.begin(), this->queue.end(),
                       [](const auto& a, const auto& b) {
                         return a->request.priority > b->request.priority;
                       });
      const std::size_t size =
          std::min<std::size_t>(this->settings.batch_limit, this->queue.size());
      std::vector<std::shared_ptr<QueuedStep>> batch(
          this->queue.begin(),
          this->queue.begin() + static_cast<std::ptrdiff_t>(size));
      this->queue.erase(
          this->queue.begin(),
          this->queue.begin() + static_cast<std::ptrdiff_t>(size));
      double time_us = this->settings.batch_us;
      for (const auto& step : batch) {
        time_us += this->StepTimeUs(step->request);
      }
      this->busy_us += time_us;
      // Batches run back to back: a batch starts at the computed end of the
      // previous one, so late wake-ups do not accumulate.
      const Instant now = this->runtime->Now();
      this->busy_until =
          std::max(this->busy_until, now) +
          duration_cast<Duration>(std::chrono::duration<double, std::micro>(
              time_us * this->slow_factor));
      if (this->busy_until > now) {
        this->runtime->SleepFor(this->busy_until - now);
      }
      for (const auto& step : batch) {
        ++this->steps_run;
        step->result.set_value(this->model.Run(step->request));
      }
    }
  }

  double StepTimeUs(const StepRequest& request) {
    if (request.values.size() == 1) {
      return this->settings.decode_us;
    }
    std::uint64_t prefix = 0;
    const std::size_t prefix_length = std::min<std::size_t>(
        this->settings.prefix_tokens, request.values.size());
    for (std::size_t i = 0; i < prefix_length; ++i) {
      prefix = HashCombine(prefix, request.values[i]);
    }
    std::size_t positions = request.values.size();
    if (this->prefixes.Touch(prefix)) {
      ++this->prefix_hits;
      positions -= prefix_length;
    }
    return this->settings.prefill_us * static_cast<double>(positions);
  }

  void LoadReportLoop() {
    while (true) {
      this->load_report =
          json::serialize(json::object{{"boot_id", this->boot_id},
                                       {"sessions", this->model.SessionCount()},
                                       {"queued_steps", this->queue.size()}});
      this->runtime->SleepFor(
          std::max<Duration>(this->settings.load_lag, milliseconds(10)));
    }
  }

  std::string RecordReport() const {
    return json::serialize(
        json::object{{"id", this->settings.id},
                     {"boot_id", this->boot_id},
                     {"steps_run", this->steps_run},
                     {"busy_us", this->busy_us},
                     {"prefix_hits", this->prefix_hits},
                     {"sessions", this->model.SessionCount()},
                     {"orders", this->orders}});
  }

  io::HttpResponse HandleExport(const json::object& body) {
    const auto cache =
        this->model.Export(std::string(body.at("session").as_string()));
    if (!cache) {
      return {404, {}, "unknown session"};
    }
    json::array layers;
    for (const std::uint64_t value : cache->layers) {
      layers.emplace_back(value);
    }
    return {
        200,
        {},
        json::serialize(json::object{{"epoch", cache->epoch},
                                     {"next_position", cache->next_position},
                                     {"layers", layers}})};
  }

  io::HttpResponse HandleImport(const json::object& body) {
    SessionCache cache;
    cache.epoch = body.at("epoch").to_number<std::uint32_t>();
    cache.next_position = body.at("next_position").to_number<std::uint32_t>();
    for (const json::value& value : body.at("layers").as_array()) {
      cache.layers.push_back(value.to_number<std::uint64_t>());
    }
    const bool imported =
        this->model.Import(std::string(body.at("session").as_string()), cache);
    return imported
               ? io::HttpResponse{200, {}, "{}"}
               : io::HttpResponse{
                     409, {}, "cache does not fit the session or the layers"};
  }

  io::HttpResponse HandleOrder(const json::object& body) {
    const auto fence = body.at("fence").to_number<std::uint64_t>();
    if (this->settings.checks_fencing && fence < this->highest_fence) {
      return {409, {}, "old fencing number"};
    }
    this->highest_fence = std::max(this->highest_fence, fence);
    this->orders.push_back(body);
    return {200, {}, "{}"};
  }

  io::Runtime* runtime;
  EngineSettings settings;
  Logger log;
  EngineModel model;
  PrefixCache prefixes;
  std::uint32_t crash_token;
  std::string boot_id;
  std::deque<std::shared_ptr<QueuedStep>> queue;
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable queue_filled;
  std::string load_report = "{}";
  Instant busy_until{};
  double slow_factor = 1;
  double busy_us = 0;
  std::uint64_t steps_run = 0;
  std::uint64_t prefix_hits = 0;
  std::uint64_t highest_fence = 0;
  json::array orders;
};

int Main(int argc, char** argv) {
  const app::CommandLine command_line = app::ParseCommandLine(
      argc, argv, "Stand-in for a model engine that holds a range of layers");
  const auto settings = app::LoadSettings<EngineSettings>(
      command_line, [&](config::SettingsReader& reader) {
        return ReadSettings(reader, command_line);
      });
  io::Runtime::Run([&](io::Runtime& runtime) {
    Engine engine(&runtime, settings);
    engine.Start();
    io::HttpServerSettings server_settings;
    server_settings.listen = settings.listen;
    server_settings.limits.body_bytes = 32 * 1024 * 1024;
    ServeUntilStopped(
        &runtime, settings.log, server_settings, "engine.ready",
        [&engine](io::HttpExchange& exchange) { engine.Handle(exchange); });
  });
  return app::kExitOk;
}

}  // namespace
}  // namespace chervilpass::stand_ins

int main(int argc, char** argv) {
  chervilpass::io::Runtime::PrepareSignals();
  return chervilpass::stand_ins::Main(argc, argv);
}
