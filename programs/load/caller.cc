#include "programs/load/caller.h"

#include <fmt/format.h>

#include <boost/json.hpp>

#include "chervilpass/core/hash.h"
#include "chervilpass/pipeline/tokenizer.h"
#include "stand_ins/model/reference_model.h"

namespace chervilpass::load {
namespace {

namespace json = boost::json;

constexpr Duration kListTimeout = seconds(1);
constexpr Duration kReconnectDelay = milliseconds(20);
// Without data for this long, the request is sent to the next entry.
constexpr Duration kSilenceTimeout = seconds(3);
constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kErrorEventPrefix = "event: error";

struct ProblemDetails {
  std::string code;
  std::string executed;
  std::int64_t retry_after_ms = 0;
};

ProblemDetails ReadProblemDetails(std::string_view body) {
  boost::system::error_code error;
  const json::value value = json::parse({body.data(), body.size()}, error);
  const json::object* object = error ? nullptr : value.if_object();
  ProblemDetails problem;
  if (object == nullptr) {
    problem.code = "unreadable";
    return problem;
  }
  if (const json::value* title = object->if_contains("title")) {
    problem.code = title->is_string() ? std::string(title->get_string()) : "";
  }
  if (const json::value* executed = object->if_contains("executed")) {
    problem.executed =
        executed->is_string() ? std::string(executed->get_string()) : "";
  }
  if (const json::value* after = object->if_contains("retry_after_ms")) {
    problem.retry_after_ms = after->to_number<std::int64_t>(error);
  }
  return problem;
}

// Incremental parser of server-sent events.
class EventReader {
 public:
  enum class Kind { kToken, kDone, kError };
  struct Event {
    Kind kind = Kind::kToken;
    std::uint32_t index = 0;
    std::uint32_t token = 0;
    ProblemDetails problem;
  };

  std::vector<Event> Append(std::string_view chunk) {
    this->buffer += chunk;
    std::vector<Event> events;
    std::size_t end = 0;
    while ((end = this->buffer.find("\n\n")) != std::string::npos) {
      this->Read(this->buffer.substr(0, end), &events);
      this->buffer.erase(0, end + 2);
    }
    return events;
  }

 private:
  static void Read(const std::string& block, std::vector<Event>* events) {
    const std::size_t start = block.find(kDataPrefix);
    if (start == std::string::npos) {
      return;
    }
    const std::size_t begin = start + kDataPrefix.size();
    const std::string data =
        block.substr(begin, block.find('\n', begin) - begin);
    Event event;
    if (data == "[DONE]") {
      event.kind = Kind::kDone;
    } else if (block.starts_with(kErrorEventPrefix)) {
      event.kind = Kind::kError;
      event.problem = ReadProblemDetails(data);
    } else {
      boost::system::error_code error;
      const json::value value = json::parse(data, error);
      if (error || !value.is_object()) {
        return;
      }
      const json::object& object = value.get_object();
      event.index = object.at("index").to_number<std::uint32_t>();
      event.token = object.at("token").to_number<std::uint32_t>();
    }
    events->push_back(event);
  }

  std::string buffer;
};

io::HttpRequest Authorized(const LoadOrganisation& organisation,
                           const std::string& id) {
  io::HttpRequest request;
  request.headers.Add("Authorization", "Bearer " + organisation.key);
  request.headers.Add("X-Request-Id", id);
  return request;
}

// Runs one completion, with all its attempts.
class CompletionCaller {
 public:
  CompletionCaller(CallerContext* context, const CompletionSpec& spec)
      : context(context),
        spec(spec),
        random(spec.random_seed),
        start(context->runtime->Now()) {}

  void Run() {
    this->record.id = this->spec.id;
    this->record.organisation = this->spec.organisation->name;
    this->record.target = this->spec.pipeline->name;
    this->record.started = this->start - this->context->start;
    const Instant deadline =
        this->start + this->context->experiment->answer_timeout;
    while (!this->finished && this->context->runtime->Now() < deadline) {
      if (this->record.connections > 0) {
        this->context->runtime->SleepFor(kReconnectDelay);
      }
      this->SendAttempt();
    }
    this->record.ended = this->context->runtime->Now() - this->context->start;
    this->record.tokens = static_cast<std::uint32_t>(this->tokens.size());
    if (this->context->experiment->print_answers) {
      this->Print();
    }
    this->context->recorder->OnEnd(this->record);
  }

 private:
  // Sends the request to one entry, to resume after the tokens received so far.
  void SendAttempt() {
    this->context->entries->Refresh(&this->random);
    this->entry = this->context->entries->Pick(this->entry, &this->random);
    ++this->record.connections;
    json::array resume;
    for (const std::uint32_t token : this->tokens) {
      resume.emplace_back(token);
    }
    io::HttpRequest request =
        Authorized(*this->spec.organisation, this->spec.id);
    request.method = "POST";
    request.path = "/v1/completions";
    request.headers.Add("Content-Type", "application/json");
    if (!this->tokens.empty()) {
      request.headers.Add("Last-Event-ID",
                          std::to_string(this->tokens.size() - 1));
    }
    request.body =
        json::serialize(json::object{{"model", this->spec.pipeline->name},
                                     {"prompt", this->spec.prompt},
                                     {"max_tokens", this->spec.tokens},
                                     {"stream", true},
                                     {"resume_tokens", resume}});
    this->Receive(request);
  }

  void Receive(const io::HttpRequest& request) {
    EventReader reader;
    std::string body;
    const auto head = this->context->http->Stream(
        this->entry, request, kSilenceTimeout, [&](std::string_view chunk) {
          body += body.size() < 4096 ? chunk : std::string_view();
          for (const EventReader::Event& event : reader.Append(chunk)) {
            this->OnEvent(event);
          }
          return !this->finished;
        });
    if (head.has_value() && head.value().status != 200) {
      this->OnRefusal(ReadProblemDetails(body));
    }
    // After a broken connection the next attempt resumes at another entry.
  }

  void OnEvent(const EventReader::Event& event) {
    if (event.kind == EventReader::Kind::kError) {
      return this->OnRefusal(event.problem);
    }
    if (event.kind == EventReader::Kind::kDone) {
      this->finished = true;
      // The seed is the entry's default, as the request sets none.
      const auto expected = stand_ins::ReferenceAnswer(
          this->spec.pipeline->layers, pipeline::Tokenize(this->spec.prompt),
          HashText(this->spec.id) >> 1, this->spec.tokens);
      this->record.outcome =
          this->tokens == expected ? Outcome::kCorrect : Outcome::kWrong;
      return;
    }
    // The index is not checked: a missing or duplicate token makes the answer
    // differ from the reference.
    this->tokens.push_back(event.token);
    const Instant now = this->context->runtime->Now();
    Duration interval{0};
    if (this->tokens.size() == 1) {
      this->record.first_token = now - this->start;
    } else {
      interval = now - this->last_token_time;
      this->record.max_token_interval =
          std::max(this->record.max_token_interval, interval);
    }
    this->last_token_time = now;
    if (now - this->context->start < this->context->experiment->duration) {
      ++this->record.tokens_in_time;
    }
    this->context->recorder->OnToken(now - this->context->start, interval);
  }

  void OnRefusal(const ProblemDetails& problem) {
    // Not final: the request is retried at another entry.
    if (problem.code == "leaving" || problem.code == "not-ready") {
      return;
    }
    this->finished = true;
    this->record.outcome = Outcome::kRefused;
    this->record.refusal = problem.code;
    this->record.executed = problem.executed;
  }

  void Print() const {
    std::string text;
    for (const std::uint32_t token : this->tokens) {
      text += pipeline::TokenText(token);
    }
    static const char* const kOutcomeNames[] = {"correct", "WRONG", "refused",
                                                "UNANSWERED"};
    fmt::print("{} [{}] {}:{}\n", this->spec.id,
               kOutcomeNames[static_cast<int>(this->record.outcome)],
               this->spec.prompt.substr(0, 40), text);
  }

  CallerContext* context;
  const CompletionSpec& spec;
  Random random;
  Instant start;
  Instant last_token_time{};
  io::Endpoint entry;
  std::vector<std::uint32_t> tokens;
  RequestRecord record;
  bool finished = false;
};

}  // namespace

io::Endpoint EntryList::Pick(const io::Endpoint& avoid, Random* random) {
  std::vector<io::Endpoint> candidates;
  for (const io::Endpoint& entry : this->entries) {
    if (entry != avoid) {
      candidates.push_back(entry);
    }
  }
  return candidates.empty() ? avoid
                            : candidates[random->Below(candidates.size())];
}

void EntryList::Refresh(Random* random) {
  const Instant now = this->runtime->Now();
  if (now < this->valid_until) {
    return;
  }
  // Other fibers keep using the old list during this request.
  this->valid_until = now + kListTimeout;
  io::HttpRequest request;
  request.path = "/v1/entries";
  const auto response =
      this->http->Call(this->Pick({}, random), request, kListTimeout);
  if (response.has_error()) {
    return;
  }
  boost::system::error_code error;
  const json::value body = json::parse(response.value().body, error);
  const json::object* object = error ? nullptr : body.if_object();
  if (object == nullptr || !object->contains("entries")) {
    return;
  }
  std::vector<io::Endpoint> refreshed;
  for (const json::value& item : object->at("entries").as_array()) {
    const auto address =
        io::Endpoint::Parse(std::string(item.at("address").as_string()));
    if (address) {
      refreshed.push_back(*address);
    }
  }
  if (!refreshed.empty()) {
    this->entries = std::move(refreshed);
    this->valid_until =
        now + milliseconds(object->at("ttl_ms").to_number<std::int64_t>());
  }
}

void RunCompletion(CallerContext* context, const CompletionSpec& spec) {
  CompletionCaller(context, spec).Run();
}

void RunService(CallerContext* context, const ServiceCallSpec& spec) {
  Random random(spec.random_seed);
  RequestRecord record;
  record.id = spec.id;
  record.organisation = spec.organisation->name;
  record.target = spec.service->name;
  record.keyed = spec.non_repeatable;
  const Instant start = context->runtime->Now();
  record.started = start - context->start;
  const Instant deadline = start + context->experiment->answer_timeout;
  io::HttpRequest request = Authorized(*spec.organisation, spec.id);
  request.method = spec.non_repeatable ? "POST" : "GET";
  request.path =
      fmt::format("/v1/services/{}/records/{}", spec.service->name, spec.id);
  if (spec.non_repeatable) {
    request.headers.Add("Idempotency-Key", spec.id);
    request.body = "registration " + spec.id;
  }
  io::Endpoint entry;
  while (context->runtime->Now() < deadline) {
    context->entries->Refresh(&random);
    entry = context->entries->Pick(entry, &random);
    ++record.connections;
    const auto response =
        context->http->Call(entry, request, deadline - context->runtime->Now(),
                            io::ConnectionUse::kFresh);
    if (response.has_error()) {
      // The outcome is unknown; retry with the same key.
      context->runtime->SleepFor(kReconnectDelay);
      continue;
    }
    if (response.value().status == 200) {
      record.outcome = Outcome::kCorrect;
      break;
    }
    const ProblemDetails problem = ReadProblemDetails(response.value().body);
    record.refusal = problem.code;
    record.executed = problem.executed;
    record.outcome = Outcome::kRefused;
    // A call that was not executed or is still running is retried; an unknown
    // outcome is final.
    const bool retryable =
        problem.retry_after_ms > 0 &&
        (problem.executed == "no" || problem.code == "in-progress");
    if (!retryable) {
      break;
    }
    context->runtime->SleepFor(milliseconds(problem.retry_after_ms));
  }
  record.ended = context->runtime->Now() - context->start;
  context->recorder->OnEnd(record);
}

}  // namespace chervilpass::load
