// fake-worker: a stand-in for a backend server on the users' platform. A plain
// server counts executions; a model worker holds a range of layers, runs each
// token through the stages of the request's path with HTTP calls to other
// workers and stalls while one of them is unavailable. Layers that it is
// ordered to give up serve the runs that use them already until those end. Both
// register themselves in the store, log the requests that reach them and, if
// asked through /admin/faults, turn requests away for a while (`rest`), say
// that they leave (`leaving`), break off streams (`break_every`), do not renew
// their registration (`unregistered_ms`) or work `slow` times as long, at once
// or growing over `slow_over_ms`.
#include <fmt/format.h>

#include <algorithm>
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
// A stage that does not answer is taken for one that holds its layers.
constexpr Duration kRepathCheckTimeout = milliseconds(40);
constexpr Duration kStallRetryInterval = milliseconds(50);
constexpr Duration kStoreTimeout = milliseconds(500);
// A run that has not used a stage for so long has left it.
constexpr Duration kStageUseLifetime = seconds(4);
constexpr Duration kGiveUpPollInterval = milliseconds(20);
constexpr std::uint32_t kMaxHeaderBytes = 64 * 1024;
constexpr std::uint64_t kMaxBodyBytes = 16 * 1024 * 1024;
// Exit code after a request that contains the crash word.
constexpr int kExitCrashed = 70;

struct WorkerSettings {
  std::string id;
  std::string service;
  std::string data_centre;
  std::string kind;  // empty: a plain server
  io::Endpoint listen;
  io::Endpoint store;
  std::uint32_t slots = 0;
  std::uint32_t max_layers = 0;  // a larger range ends the process
  Duration work_time{0};         // per plain request or stream event
  Duration stall_timeout{0};     // then a stalled stream is aborted
  Duration heartbeat_interval{0};
  Duration layer_load_time{0};
  // A request whose body contains the word ends the process that runs it. If
  // "-last" follows the word, it ends the process of the path's last stage.
  std::string crash_word;
  // A streamed request with one of these parts in its prompt, other than as the
  // last part, ends the process that runs it after the head of its response.
  std::vector<std::string> crash_parts;
  Duration crash_delay{0};  // from the start of the run to the end
  LogSettings log;
};

// Layers `from` (inclusive) to `to` (exclusive) on the worker at `address`.
struct Stage {
  io::Endpoint address;
  std::uint32_t from = 0;
  std::uint32_t to = 0;
};

// A run of a request on this worker as the first one. A request may have
// several runs at a time; each has a number of its own.
struct Run {
  std::string request_id;
  std::string key;  // identifies the run at other workers
  std::vector<Stage> path;
};

// Parses "IP:PORT=FROM-TO,..."; empty if an item has another form. Throws if
// FROM or TO does not begin with a number.
std::vector<Stage> ReadPath(const std::string& text) {
  std::vector<Stage> stages;
  for (const std::string& item : SplitText(text, ',')) {
    const auto sides = SplitText(item, '=');
    const auto range = sides.size() == 2 ? SplitText(sides[1], '-') : sides;
    const auto address = io::Endpoint::Parse(sides[0]);
    if (!address || range.size() != 2) {
      return {};
    }
    stages.push_back({*address,
                      static_cast<std::uint32_t>(std::stoul(range[0])),
                      static_cast<std::uint32_t>(std::stoul(range[1]))});
  }
  return stages;
}

// A request that has reached this worker.
struct Arrival {
  std::int64_t at_ms = 0;  // steady clock
  std::string request_id;
  std::string peer;  // IP address of the sender
};

// A run of a request on this worker as the first one, by times of the steady
// clock.
struct WorkSpan {
  std::string request_id;
  std::int64_t begin_ms = 0;
  std::int64_t end_ms = 0;  // 0: it goes on
};

// An answer that asks for rest or says that this worker leaves.
struct MarkedAnswer {
  std::int64_t at_ms = 0;  // steady clock
  std::string request_id;  // empty: to a health check, a report or an order
  std::string peer;        // IP address of the receiver
  unsigned status = 0;
  std::vector<std::string> rest;  // the fields' values
  std::string leaving;            // the field's value
};

// How streams break off although this worker goes on.
enum class StreamBreak { kWithinEvent, kReset, kGap };

// Streams that break off.
struct StreamBreaks {
  int every = 0;  // just each stream with such a number; 0: none
  int count = 0;  // streams since the begin
  int after_events = 0;
  StreamBreak how = StreamBreak::kWithinEvent;
};

// How much longer work takes than usual.
struct SlowDown {
  double factor = 1;
  double factor_before = 1;
  Instant begun{};
  Duration growth_time{0};
};

// Requests that are turned away with a time of rest.
struct Rest {
  std::vector<std::string> fields;  // empty: none are
  int every = 1;                    // just each request with such a number
  int count = 0;                    // requests since the begin
  Instant until = Instant::max();
};

class Worker {
 public:
  Worker(io::Runtime* runtime, WorkerSettings settings)
      : runtime(runtime),
        settings(std::move(settings)),
        log(this->settings.log),
        started_at_ms(runtime->WallNow().milliseconds),
        client(io::HttpClient::Create(runtime, {})) {}

  void Handle(io::HttpExchange& exchange) {
    const io::HttpRequest& request = exchange.Request();
    if (request.path == "/admin/runs") {
      return exchange.Respond({200, {}, json::serialize(this->RunCounts())});
    }
    if (request.path == "/admin/arrivals") {
      return exchange.Respond({200, {}, json::serialize(this->ArrivalTimes())});
    }
    if (request.path == "/admin/arrival_log") {
      return exchange.Respond({200, {}, json::serialize(this->ArrivalLog())});
    }
    if (request.path == "/admin/work_log") {
      return exchange.Respond({200, {}, json::serialize(this->WorkLog())});
    }
    if (request.path == "/admin/faults") {
      return this->SetFaults(exchange);
    }
    if (request.path == "/v1/report") {
      return this->Respond(exchange,
                           {200, {}, json::serialize(this->Report())});
    }
    if (request.path == "/v1/order") {
      return this->HandleOrder(exchange);
    }
    if (request.path == "/part") {
      return this->HandleStage(exchange);
    }
    if (request.path == "/health") {
      io::HttpResponse response;
      response.status = this->draining ? 503 : 200;
      response.headers.Add("Chervilpass-Instance-Id", this->settings.id);
      return this->Respond(exchange, response);
    }
    this->Serve(exchange);
  }

  // Writes the registration at every heartbeat and after every change, until
  // the process ends.
  void Register() {
    while (true) {
      while (this->runtime->Now() < this->unregistered_until) {
        this->runtime->SleepFor(milliseconds(20));
      }
      io::HttpRequest request;
      request.method = this->registered ? "PUT" : "POST";
      request.path = this->registered
                         ? "/v1/objects/servers/" + this->settings.id
                         : "/v1/objects/servers";
      json::object body;
      body["metadata"] = json::object{{"name", this->settings.id}};
      body["spec"] = this->Registration();
      request.body = json::serialize(body);
      const auto response =
          this->client->Call(this->settings.store, request, kStoreTimeout);
      if (response.has_value() && response.value().status < 300) {
        this->registered = true;
      } else if (response.has_value() && response.value().status == 409) {
        this->registered = true;
        continue;
      } else if (response.has_value() && response.value().status == 404) {
        this->registered = false;
        continue;
      }
      // A change is written at once; otherwise the next write is a heartbeat.
      const Instant next_heartbeat =
          this->runtime->Now() + this->settings.heartbeat_interval;
      const std::uint64_t written_changes = this->change_count;
      while (this->runtime->Now() < next_heartbeat &&
             written_changes == this->change_count) {
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
    body["seq"] = ++this->registration_sequence;
    body["born"] = this->started_at_ms;
    if (this->IsModelWorker()) {
      body["kind"] = this->settings.kind;
      body["layers"] = this->Layers();
    }
    return body;
  }

  json::object Report() const {
    json::array stalled;
    for (const auto& [key, stall] : this->stalled) {
      stalled.push_back(
          json::object{{"id", stall.request_id}, {"address", stall.address}});
    }
    return {{"born", this->started_at_ms},
            {"busy", this->loading},
            {"seq", this->order_sequence},
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

  // Times of all arrivals, in milliseconds of the steady clock.
  json::array ArrivalTimes() const {
    json::array times;
    for (const Arrival& arrival : this->arrivals) {
      times.emplace_back(arrival.at_ms);
    }
    return times;
  }

  json::object ArrivalLog() const {
    json::array arrivals;
    for (const Arrival& arrival : this->arrivals) {
      arrivals.push_back(json::object{{"at", arrival.at_ms},
                                      {"id", arrival.request_id},
                                      {"vm", arrival.peer}});
    }
    json::array answers;
    for (const MarkedAnswer& answer : this->marked_answers) {
      answers.push_back(json::object{
          {"at", answer.at_ms},
          {"id", answer.request_id},
          {"vm", answer.peer},
          {"status", answer.status},
          {"rest", json::array(answer.rest.begin(), answer.rest.end())},
          {"leaving", answer.leaving}});
    }
    return {{"arrivals", std::move(arrivals)}, {"answers", std::move(answers)}};
  }

  json::array WorkLog() const {
    json::array spans;
    for (const WorkSpan& span : this->work) {
      spans.push_back(json::object{{"id", span.request_id},
                                   {"begin", span.begin_ms},
                                   {"end", span.end_ms}});
    }
    return spans;
  }

  std::int64_t NowMs() const {
    return ToMilliseconds(this->runtime->Now().time_since_epoch());
  }

  // `rest` holds the values of Retry-After, where "left" stands for the seconds
  // until the end of the rest; `rest_every` and `rest_for_ms` bound it.
  void SetRest(const json::object& fields) {
    this->rest = {};
    for (const json::value& field : fields.at("rest").as_array()) {
      this->rest.fields.emplace_back(field.as_string());
    }
    if (const auto* every = fields.if_contains("rest_every")) {
      this->rest.every = every->to_number<int>();
    }
    if (const auto* time = fields.if_contains("rest_for_ms")) {
      this->rest.until =
          this->runtime->Now() + milliseconds(time->to_number<int>());
    }
  }

  // Of `break_every` streams one breaks off after `break_after` events.
  void SetBreaks(const json::object& fields) {
    this->breaks = {};
    this->breaks.every = fields.at("break_every").to_number<int>();
    if (const auto* after = fields.if_contains("break_after")) {
      this->breaks.after_events = after->to_number<int>();
    }
    if (const auto* how = fields.if_contains("break_how")) {
      this->breaks.how = how->as_string() == "reset" ? StreamBreak::kReset
                         : how->as_string() == "gap"
                             ? StreamBreak::kGap
                             : StreamBreak::kWithinEvent;
    }
  }

  // Work takes `slow` times as long; the factor grows over `slow_over_ms`.
  void SetSlowDown(const json::object& fields) {
    const double before = this->SlowFactor();
    this->slow_down = {fields.at("slow").to_number<double>(), before,
                       this->runtime->Now(), Duration::zero()};
    if (const auto* time = fields.if_contains("slow_over_ms")) {
      this->slow_down.growth_time = milliseconds(time->to_number<int>());
    }
  }

  double SlowFactor() const {
    const SlowDown& slow = this->slow_down;
    const Duration passed = this->runtime->Now() - slow.begun;
    if (passed >= slow.growth_time) {
      return slow.factor;
    }
    return slow.factor_before + (slow.factor - slow.factor_before) *
                                    ToSeconds(passed) /
                                    ToSeconds(slow.growth_time);
  }

  Duration WorkTime() const {
    return duration_cast<Duration>(this->SlowFactor() *
                                   this->settings.work_time);
  }

  void SetFaults(io::HttpExchange& exchange) {
    boost::system::error_code error;
    const json::value body = json::parse(exchange.Request().body, error);
    if (error || !body.is_object()) {
      return exchange.Respond({400, {}, "a JSON object is expected"});
    }
    const json::object& fields = body.get_object();
    if (fields.contains("drain")) {
      this->draining = true;
      ++this->change_count;
    }
    if (const auto* drop = fields.if_contains("lose_answers")) {
      this->responses_to_drop = drop->to_number<int>();
    }
    if (const auto* events = fields.if_contains("break_streams_after")) {
      this->break_after_events = events->to_number<int>();
    }
    if (const auto* limits = fields.if_contains("rate_limit")) {
      this->rate_limit_fields.clear();
      for (const json::value& field : limits->as_array()) {
        this->rate_limit_fields.emplace_back(field.as_string());
      }
    }
    if (fields.contains("rest")) {
      this->SetRest(fields);
    }
    if (fields.contains("break_every")) {
      this->SetBreaks(fields);
    }
    if (fields.contains("slow")) {
      this->SetSlowDown(fields);
    }
    // Its registration is not renewed meanwhile; the test removes it.
    if (const auto* time = fields.if_contains("unregistered_ms")) {
      this->unregistered_until =
          this->runtime->Now() + milliseconds(time->to_number<int>());
    }
    if (const auto* value = fields.if_contains("leaving_value")) {
      this->leaving_value = std::string(value->as_string());
    }
    if (const auto* leaving = fields.if_contains("leaving")) {
      this->leaving = leaving->as_bool();
    }
    if (const auto* parts = fields.if_contains("crash_part")) {
      this->settings.crash_parts =
          SplitText(std::string(parts->as_string()), ',');
    }
    if (const auto* delay = fields.if_contains("crash_delay_ms")) {
      this->settings.crash_delay = milliseconds(delay->to_number<int>());
    }
    exchange.Respond({200, {}, "{}"});
  }

  // ---- answers ----

  // Logs an answer that asks for rest or says that this worker leaves.
  void LogIfMarked(const io::HttpExchange& exchange,
                   unsigned status,
                   std::vector<std::string> rest_fields) {
    if (!this->leaving && rest_fields.empty()) {
      return;
    }
    this->marked_answers.push_back(
        {ToMilliseconds(this->runtime->Now().time_since_epoch()),
         exchange.Request().headers.Find("Chervilpass-Request-Id").value_or(""),
         exchange.Peer().ip, status, std::move(rest_fields),
         this->leaving ? this->leaving_value : std::string()});
  }

  void AddLeaving(io::HttpResponse* response) const {
    if (this->leaving) {
      response->headers.Add("Server-Leaving", this->leaving_value);
    }
  }

  void Respond(io::HttpExchange& exchange, io::HttpResponse response) {
    this->AddLeaving(&response);
    this->LogIfMarked(exchange, response.status, {});
    exchange.Respond(response);
  }

  // True if the next request is to be turned away for a rest.
  bool TakeRest() {
    if (this->rest.fields.empty() || this->runtime->Now() >= this->rest.until) {
      return false;
    }
    return ++this->rest.count % this->rest.every == 0;
  }

  void RejectForRest(io::HttpExchange& exchange, const std::string& id) {
    io::HttpResponse response = this->ResponseHead(503, id);
    response.headers.Add("Chervilpass-Not-Executed", "1");
    response.headers.Add("At-Server", this->settings.listen.ToText());
    std::vector<std::string> fields = this->rest.fields;
    for (std::string& field : fields) {
      if (field == "left") {
        field = fmt::format("{:.3f}",
                            ToSeconds(this->rest.until - this->runtime->Now()));
      }
      response.headers.Add("Retry-After", field);
    }
    this->AddLeaving(&response);
    this->LogIfMarked(exchange, response.status, std::move(fields));
    exchange.Respond(response);
  }

  // ---- orders ----

  void HandleOrder(io::HttpExchange& exchange) {
    boost::system::error_code error;
    const json::value body = json::parse(exchange.Request().body, error);
    const json::object* order = error ? nullptr : body.if_object();
    const auto* operation =
        order == nullptr ? nullptr : order->if_contains("operation");
    if (operation == nullptr || !operation->is_string()) {
      return this->Respond(exchange, {400, {}, "{}"});
    }
    if (operation->get_string() == "repath") {
      return this->HandleRepath(exchange, *order);
    }
    const auto* expected = order->if_contains("expected");
    if (operation->get_string() != "place" || this->loading ||
        (expected != nullptr &&
         expected->to_number<std::uint64_t>() != this->order_sequence)) {
      return this->Respond(exchange, {409, {}, "{}"});
    }
    const auto from = order->at("from").to_number<std::uint32_t>();
    const auto target = order->at("target").to_number<std::uint32_t>();
    if (target - from > this->settings.max_layers) {
      app::ExitNow(app::kExitFailure);  // simulates running out of memory
    }
    if (from == this->from && target == this->to) {
      return this->Respond(exchange, {200, {}, "{}"});
    }
    ++this->order_sequence;
    this->loading = true;
    this->next_from = from;
    this->next_to = target;
    this->runtime->Spawn([this, from, target] {
      while (this->GivenUpLayersInUse()) {
        this->runtime->SleepFor(kGiveUpPollInterval);
      }
      this->runtime->SleepFor(this->settings.layer_load_time * (target - from));
      this->from = from;
      this->to = target;
      this->loading = false;
      ++this->change_count;
    });
    this->Respond(exchange, {202, {}, "{}"});
  }

  // The latest run of a request is moved.
  void HandleRepath(io::HttpExchange& exchange, const json::object& order) {
    const std::string id(order.at("id").as_string());
    const auto find = [&] {
      return std::find_if(
          this->active_runs.rbegin(), this->active_runs.rend(),
          [&id](const auto& run) { return run->request_id == id; });
    };
    if (find() == this->active_runs.rend()) {
      return this->Respond(exchange, {404, {}, "{}"});
    }
    const auto path = ReadPath(std::string(order.at("path").as_string()));
    const std::string key = (*find())->key;
    for (const Stage& stage : path) {
      const auto layer_range =
          this->RunStage(stage, key, "", kRepathCheckTimeout);
      if (layer_range && layer_range->empty()) {
        json::object conflict;
        conflict["address"] = stage.address.ToText();
        return this->Respond(exchange, {409, {}, json::serialize(conflict)});
      }
    }
    const auto run = find();
    if (run == this->active_runs.rend()) {
      return this->Respond(exchange, {404, {}, "{}"});
    }
    (*run)->path = path;
    this->Respond(exchange, {200, {}, "{}"});
  }

  // ---- requests ----

  io::HttpResponse ResponseHead(unsigned status,
                                const std::string& request_id) const {
    io::HttpResponse head;
    head.status = status;
    head.headers.Add("Chervilpass-Request-Id", request_id);
    head.headers.Add("Chervilpass-Instance-Id", this->settings.id);
    head.headers.Add(
        "Chervilpass-Server-Load",
        fmt::format("{},0,{}", this->running, this->settings.slots));
    for (const std::string& field : this->rate_limit_fields) {
      head.headers.Add("Server-Limit", field);
    }
    if (status != 503 && status != 421) {
      head.headers.Add("Chervilpass-Server-Seal", "seal-" + this->settings.id);
    }
    return head;
  }

  void Reject(io::HttpExchange& exchange,
              unsigned status,
              const std::string& id,
              const std::string& failed_server) {
    io::HttpResponse response = this->ResponseHead(status, id);
    response.headers.Add("Chervilpass-Not-Executed", "1");
    response.headers.Add("At-Server", failed_server);
    this->Respond(exchange, response);
  }

  void Serve(io::HttpExchange& exchange) {
    const io::HttpRequest& request = exchange.Request();
    const std::string id =
        request.headers.Find("Chervilpass-Request-Id").value_or("");
    this->arrivals.push_back(
        {ToMilliseconds(this->runtime->Now().time_since_epoch()), id,
         exchange.Peer().ip});
    const std::string expected_instance =
        request.headers.Find("Chervilpass-Expect-Instance").value_or("");
    if (expected_instance != this->settings.id) {
      return this->Reject(exchange, 421, id, this->settings.listen.ToText());
    }
    if (this->TakeRest()) {
      return this->RejectForRest(exchange, id);
    }
    if (this->running >= this->settings.slots) {
      return this->Reject(exchange, 503, id, this->settings.listen.ToText());
    }
    ++this->running;
    this->CrashIfMarked(request, id);
    if (this->IsModelWorker()) {
      this->Generate(exchange, id);
    } else {
      this->Execute(exchange, id);
    }
    --this->running;
  }

  bool IsMarked(const io::HttpRequest& request, std::string_view suffix) const {
    return request.body.find(this->settings.crash_word + std::string(suffix)) !=
           std::string::npos;
  }

  // Logs the arrival of a marked request and ends the process after the delay,
  // unless it is the last stage that is to crash.
  void CrashIfMarked(const io::HttpRequest& request, const std::string& id) {
    if (!this->IsMarked(request, "")) {
      return;
    }
    this->log.Info("request.marked", {{"request", id}, {"body", request.body}});
    if (!this->IsMarked(request, "-last")) {
      this->Crash(request.body);
    }
  }

  void Crash(const std::string& body) {
    this->runtime->SleepFor(this->settings.crash_delay);
    this->log.Error("worker.crashed", {{"body", body}});
    app::ExitNow(kExitCrashed);
  }

  // The first part of the prompt that ends the process; empty if there is none.
  std::string FindCrashPart(const io::HttpRequest& request) const {
    auto parts = SplitText(
        request.headers.Find("Chervilpass-Prompt-Prefix").value_or(""), ',');
    if (!parts.empty()) {
      parts.pop_back();  // belongs to the request alone
    }
    const std::vector<std::string>& crash_parts = this->settings.crash_parts;
    for (const std::string& part : parts) {
      const std::string part_id = part.substr(0, part.find(':'));
      if (!part_id.empty() && std::find(crash_parts.begin(), crash_parts.end(),
                                        part_id) != crash_parts.end()) {
        return part_id;
      }
    }
    return {};
  }

  // Ends the process after the delay, beside the request that goes on.
  void CrashBeside(const std::string& id, const std::string& crash_part) {
    this->runtime->Spawn([this, id, crash_part] {
      this->runtime->SleepFor(this->settings.crash_delay);
      this->log.Error("worker.crashed",
                      {{"request", id}, {"part", crash_part}});
      app::ExitNow(kExitCrashed);
    });
  }

  // Returns the index of the run in `work`.
  std::size_t BeginRun(const std::string& id) {
    ++this->runs[id];
    this->work.push_back({id, this->NowMs(), 0});
    return this->work.size() - 1;
  }

  void EndRun(std::size_t span) { this->work[span].end_ms = this->NowMs(); }

  // Counted at the start: an aborted call has been executed, too. `work_ms` in
  // the query replaces the usual time of work.
  void Execute(io::HttpExchange& exchange, const std::string& id) {
    const std::size_t span = this->BeginRun(id);
    const auto work_ms = exchange.Request().QueryParameter("work_ms");
    this->runtime->SleepFor(work_ms ? milliseconds(std::stoi(*work_ms))
                                    : this->WorkTime());
    this->EndRun(span);
    if (this->responses_to_drop > 0) {
      --this->responses_to_drop;
      return exchange.Abort();
    }
    io::HttpResponse response = this->ResponseHead(200, id);
    response.body = fmt::format(
        "{} {} {}", exchange.Request().target,
        exchange.Request().headers.Find("Chervilpass-Tenant").value_or("-"),
        exchange.Request().body);
    this->Respond(exchange, response);
  }

  // Runs a stage for a run and returns the range of its layers: nullopt if
  // another worker fails or does not answer, empty if the stage's worker does
  // not hold the layers or is giving them up.
  std::optional<std::string> RunStage(const Stage& stage,
                                      const std::string& run,
                                      const std::string& crash_body,
                                      Duration timeout = kHopTimeout) {
    if (stage.address == this->settings.listen) {
      return this->UseLayers(run, stage.from, stage.to);
    }
    io::HttpRequest request;
    request.path = "/part";
    request.query =
        fmt::format("from={}&to={}&run={}", stage.from, stage.to, run);
    request.body = crash_body;
    const auto response = this->client->Call(stage.address, request, timeout);
    if (response.has_error() ||
        (response.value().status != 200 && response.value().status != 421)) {
      return std::nullopt;
    }
    return response.value().body;
  }

  // "BEGIN-END" if the run may use the layers from `begin` (inclusive) to `end`
  // (exclusive), else empty. Layers that are being given up take no new runs.
  std::string UseLayers(const std::string& run,
                        std::uint32_t begin,
                        std::uint32_t end) {
    if (begin < this->from || end > this->to) {
      return "";
    }
    const bool kept =
        !this->loading || (this->next_from <= begin && end <= this->next_to);
    if (!kept && !this->stage_uses.contains(run)) {
      return "";
    }
    this->stage_uses[run] = {begin, end, this->runtime->Now()};
    return fmt::format("{}-{}", begin, end);
  }

  // True while runs use layers that the order in progress takes away.
  bool GivenUpLayersInUse() {
    const Instant now = this->runtime->Now();
    std::erase_if(this->stage_uses, [now](const auto& use) {
      return now - use.second.at > kStageUseLifetime;
    });
    return std::any_of(this->stage_uses.begin(), this->stage_uses.end(),
                       [this](const auto& use) {
                         return use.second.from < this->next_from ||
                                use.second.to > this->next_to;
                       });
  }

  void HandleStage(io::HttpExchange& exchange) {
    const io::HttpRequest& request = exchange.Request();
    const std::string run = request.QueryParameter("run").value_or("");
    if (request.QueryParameter("ended")) {
      this->stage_uses.erase(run);
      return exchange.Respond({200, {}, ""});
    }
    const std::string layer_range = this->UseLayers(
        run,
        static_cast<std::uint32_t>(
            std::stoul(request.QueryParameter("from").value_or("1"))),
        static_cast<std::uint32_t>(
            std::stoul(request.QueryParameter("to").value_or("0"))));
    if (!layer_range.empty() && this->IsMarked(request, "")) {
      this->Crash(request.body);
    }
    exchange.Respond({layer_range.empty() ? 421U : 200U, {}, layer_range});
  }

  // Tells the workers of a path that a run has left it.
  void LeaveStages(const std::vector<Stage>& path, const std::string& run) {
    this->stage_uses.erase(run);
    for (const Stage& stage : path) {
      if (stage.address == this->settings.listen) {
        continue;
      }
      this->runtime->Spawn([this, address = stage.address, run] {
        io::HttpRequest request;
        request.path = "/part";
        request.query = fmt::format("run={}&ended=1", run);
        // A worker that does not answer forgets the run by itself.
        (void)this->client->Call(address, request, kHopTimeout);
      });
    }
  }

  // Runs the path for one token. Returns the layer ranges of its stages in
  // order, separated by commas; empty if a stage is unavailable.
  std::string RunPath(const Run& run, const std::string& crash_body) {
    std::string layer_ranges;
    const std::vector<Stage> path = run.path;  // an order may replace it
    for (std::size_t i = 0; i < path.size(); ++i) {
      const Stage& stage = path[i];
      const auto layer_range = this->RunStage(
          stage, run.key, i + 1 == path.size() ? crash_body : "");
      if (!layer_range || layer_range->empty()) {
        this->stalled[run.key] = {run.request_id, stage.address.ToText()};
        return {};
      }
      layer_ranges += (layer_ranges.empty() ? "" : ",") + *layer_range;
    }
    this->stalled.erase(run.key);
    return layer_ranges;
  }

  void Generate(io::HttpExchange& exchange, const std::string& id) {
    const io::HttpRequest& request = exchange.Request();
    const std::string crash_part = this->FindCrashPart(request);
    if (!crash_part.empty()) {
      this->log.Info("request.marked", {{"request", id}, {"part", crash_part}});
    }
    const auto run = std::make_shared<Run>();
    run->request_id = id;
    // Part of a query, so without the request id, which may hold any character.
    run->key = fmt::format("{}-{}-{}", this->settings.id, this->started_at_ms,
                           ++this->last_run);
    run->path =
        ReadPath(request.headers.Find("Chervilpass-Hop-Count").value_or(""));
    // A copy: a repath order may replace the path while the stages are checked.
    const std::vector<Stage> path = run->path;
    for (const Stage& stage : path) {
      const auto layer_range = this->RunStage(stage, run->key, "");
      if (!layer_range || layer_range->empty()) {
        this->LeaveStages(path, run->key);
        return this->Reject(exchange, layer_range ? 421 : 503, id,
                            stage.address.ToText());
      }
    }
    this->active_runs.push_back(run);
    const std::size_t span = this->BeginRun(id);
    const auto counts = SplitText(
        request.headers.Find("Chervilpass-Token-Counts").value_or("1,8"), ',');
    // `events` in the query: the answer ends before its limit.
    const std::uint64_t events =
        std::stoull(request.QueryParameter("events").value_or(counts.back()));
    std::uint64_t event =
        std::stoull(request.headers.Find("Last-Event-Id").value_or("0"));
    const std::string crash_body =
        this->IsMarked(request, "-last") ? request.body : "";
    io::HttpResponse head = this->ResponseHead(200, id);
    this->AddLeaving(&head);
    this->LogIfMarked(exchange, head.status, {});
    bool complete = exchange.BeginStream(head);
    if (complete && !crash_part.empty()) {
      this->CrashBeside(id, crash_part);
    }
    int sent_events = 0;
    const bool breaks = this->TakeBreak();
    while (complete && event < events) {
      if (breaks && sent_events >= this->breaks.after_events) {
        this->WriteBreak(exchange, event);
        complete = false;
        break;
      }
      ++sent_events;
      complete = this->SendEvent(exchange, *run, ++event, crash_body);
      if (this->break_after_events > 0 &&
          sent_events >= this->break_after_events) {
        this->break_after_events = 0;
        exchange.WriteChunk("id: 9999\ndata: ha");
        complete = false;
      }
    }
    this->EndRun(span);
    std::erase(this->active_runs, run);
    this->stalled.erase(run->key);
    this->LeaveStages(run->path, run->key);
    if (complete) {
      exchange.EndStream();
    } else {
      exchange.Abort();
    }
  }

  // True if the next stream is to break off.
  bool TakeBreak() {
    return this->breaks.every > 0 &&
           ++this->breaks.count % this->breaks.every == 0;
  }

  // The last bytes of a stream that breaks off after `event`.
  void WriteBreak(io::HttpExchange& exchange, std::uint64_t event) {
    switch (this->breaks.how) {
      case StreamBreak::kWithinEvent:
        exchange.WriteChunk(fmt::format("id: {}\ndata: ha", event + 1));
        return;
      case StreamBreak::kReset:
        return;
      case StreamBreak::kGap:
        // The first event of a stream may have any number.
        if (event > 0) {
          exchange.WriteChunk(fmt::format("id: {}\ndata: x\n\n", event + 2));
        }
        this->runtime->SleepFor(kStallRetryInterval);
        return;
    }
  }

  bool SendEvent(io::HttpExchange& exchange,
                 const Run& run,
                 std::uint64_t event,
                 const std::string& crash_body) {
    this->runtime->SleepFor(this->WorkTime());
    std::string layer_ranges = this->RunPath(run, crash_body);
    for (Duration waited{0}; layer_ranges.empty();
         waited += kStallRetryInterval) {
      if (waited > this->settings.stall_timeout || exchange.PeerClosed()) {
        return false;
      }
      this->runtime->SleepFor(kStallRetryInterval);
      layer_ranges = this->RunPath(run, crash_body);
    }
    return exchange.WriteChunk(
        fmt::format("id: {}\ndata: {}\n\n", event, layer_ranges));
  }

  struct StageUse {
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    Instant at{};  // last use
  };
  struct Stall {
    std::string request_id;
    std::string address;  // of the unavailable worker
  };

  io::Runtime* runtime;
  WorkerSettings settings;
  Logger log;
  std::int64_t started_at_ms;
  std::unique_ptr<io::HttpClient> client;
  std::uint32_t from = 0;  // first layer held
  std::uint32_t to = 0;    // end of the layers held, exclusive
  bool loading = false;
  bool draining = false;
  bool registered = false;
  std::uint64_t order_sequence = 0;
  std::uint64_t registration_sequence = 0;
  std::uint64_t change_count = 0;
  std::uint32_t running = 0;
  int responses_to_drop = 0;        // next calls to execute without a response
  int break_after_events = 0;       // 0: no stream is broken
  std::map<std::string, int> runs;  // by request id
  std::vector<Arrival> arrivals;    // oldest first
  std::vector<WorkSpan> work;       // oldest first
  std::vector<MarkedAnswer> marked_answers;  // oldest first
  Rest rest;
  StreamBreaks breaks;
  SlowDown slow_down;
  Instant unregistered_until{};  // no registration is written before
  bool leaving = false;          // says so in all answers
  std::string leaving_value = "1";
  std::vector<std::string> rate_limit_fields;     // of each response
  std::vector<std::shared_ptr<Run>> active_runs;  // oldest first
  std::uint64_t last_run = 0;                     // number of the latest run
  std::map<std::string, StageUse> stage_uses;     // by key of the run
  std::map<std::string, Stall> stalled;           // by key of the run
  // Layers after the order in progress.
  std::uint32_t next_from = 0;
  std::uint32_t next_to = 0;
};

int Main(int argc, char** argv) {
  const app::CommandLine command_line = app::ParseCommandLine(
      argc, argv, "Stand-in for a backend server of the users' platform");
  const auto settings = app::LoadSettings<
      WorkerSettings>(command_line, [&](config::SettingsReader& reader) {
    WorkerSettings read;
    read.id = reader.Text("id");
    read.service = reader.Text("service");
    read.data_centre = reader.Text("data_centre");
    read.kind = reader.Text("kind", "");
    read.listen = reader.Address("listen");
    read.store = reader.Address("store");
    read.slots =
        static_cast<std::uint32_t>(reader.Integer("slots", {1, 100000}, 64));
    read.max_layers = static_cast<std::uint32_t>(
        reader.Integer("largest_range", {0, 100000}, 0));
    read.work_time = reader.Milliseconds("work_ms", {0, 60000}, 10);
    read.stall_timeout = reader.Milliseconds("stall_ms", {0, 60000}, 3000);
    read.heartbeat_interval =
        reader.Milliseconds("heartbeat_ms", {10, 60000}, 600);
    read.layer_load_time = reader.Milliseconds("load_layer_ms", {0, 60000}, 20);
    read.crash_word = reader.Text("crash_word", "poison-pill");
    read.crash_parts = SplitText(reader.Text("crash_part", ""), ',');
    read.crash_delay = reader.Milliseconds("crash_delay_ms", {0, 60000}, 20);
    read.log =
        app::ReadLogSettings(reader, "fake-worker", read.id, command_line);
    return read;
  });
  io::Runtime::Run([&](io::Runtime& runtime) {
    Worker worker(&runtime, settings);
    runtime.Spawn([&worker] { worker.Register(); });
    io::HttpServerSettings server;
    server.listen = settings.listen;
    server.limits.header_bytes = kMaxHeaderBytes;
    server.limits.body_bytes = kMaxBodyBytes;
    ServeUntilStopped(
        &runtime, settings.log, server, "worker.ready",
        [&worker](io::HttpExchange& exchange) { worker.Handle(exchange); });
  });
  return app::kExitOk;
}

}  // namespace
}  // namespace chervilpass::stand_ins

int main(int argc, char** argv) {
  chervilpass::io::Runtime::PrepareSignals();
  return chervilpass::stand_ins::Main(argc, argv);
}
