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
constexpr Duration kSilence = seconds(3);  // of an entry, then another is tried
constexpr std::string_view kData = "data: ";
constexpr std::string_view kErrorEvent = "event: error";

struct Problem {
  std::string code;
  std::string executed;
  std::int64_t retry_after_ms = 0;
};

Problem ReadProblem(std::string_view body) {
  boost::system::error_code error;
  const json::value value = json::parse({body.data(), body.size()}, error);
  const json::object* object = error ? nullptr : value.if_object();
  Problem problem;
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

// Reads server-sent events out of pieces of a body.
class EventReader {
 public:
  enum class Kind { kToken, kDone, kError };
  struct Event {
    Kind kind = Kind::kToken;
    std::uint32_t index = 0;
    std::uint32_t token = 0;
    Problem problem;
  };

  std::vector<Event> Feed(std::string_view piece) {
    this->buffer += piece;
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
    const std::size_t start = block.find(kData);
    if (start == std::string::npos) {
      return;
    }
    const std::size_t begin = start + kData.size();
    const std::string data =
        block.substr(begin, block.find('\n', begin) - begin);
    Event event;
    if (data == "[DONE]") {
      event.kind = Kind::kDone;
    } else if (block.starts_with(kErrorEvent)) {
      event.kind = Kind::kError;
      event.problem = ReadProblem(data);
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

// One completion from start to end.
class CompletionCaller {
 public:
  CompletionCaller(CallerContext* context, const CompletionSpec& order)
      : context(context),
        order(order),
        random(order.random_seed),
        start(context->runtime->Now()) {}

  void Run() {
    this->record.id = this->order.id;
    this->record.organisation = this->order.organisation->name;
    this->record.target = this->order.pipeline->name;
    this->record.started = this->start - this->context->start;
    const Instant end = this->start + this->context->experiment->answer_timeout;
    while (!this->finished && this->context->runtime->Now() < end) {
      if (this->record.connections > 0) {
        this->context->runtime->SleepFor(kReconnectDelay);
      }
      this->Connect();
    }
    this->record.ended = this->context->runtime->Now() - this->context->start;
    this->record.tokens = static_cast<std::uint32_t>(this->tokens.size());
    if (this->context->experiment->print_answers) {
      this->Print();
    }
    this->context->recorder->OnEnd(this->record);
  }

 private:
  // Asks one entry, from where the answer stands.
  void Connect() {
    this->context->entries->Refresh(&this->random);
    this->entry = this->context->entries->Pick(this->entry, &this->random);
    ++this->record.connections;
    json::array resume;
    for (const std::uint32_t token : this->tokens) {
      resume.emplace_back(token);
    }
    io::HttpRequest request =
        Authorized(*this->order.organisation, this->order.id);
    request.method = "POST";
    request.path = "/v1/completions";
    request.headers.Add("Content-Type", "application/json");
    if (!this->tokens.empty()) {
      request.headers.Add("Last-Event-ID",
                          std::to_string(this->tokens.size() - 1));
    }
    request.body =
        json::serialize(json::object{{"model", this->order.pipeline->name},
                                     {"prompt", this->order.prompt},
                                     {"max_tokens", this->order.tokens},
                                     {"stream", true},
                                     {"resume_tokens", resume}});
    this->Receive(request);
  }

  void Receive(const io::HttpRequest& request) {
    EventReader reader;
    std::string body;
    const auto head = this->context->http->Stream(
        this->entry, request, kSilence, [&](std::string_view piece) {
          body += body.size() < 4096 ? piece : std::string_view();
          for (const EventReader::Event& event : reader.Feed(piece)) {
            this->OnEvent(event);
          }
          return !this->finished;
        });
    if (head.has_value() && head.value().status != 200) {
      this->OnProblem(ReadProblem(body));
    }
    // A broken connection is resumed elsewhere.
  }

  void OnEvent(const EventReader::Event& event) {
    if (event.kind == EventReader::Kind::kError) {
      return this->OnProblem(event.problem);
    }
    if (event.kind == EventReader::Kind::kDone) {
      this->finished = true;
      const auto expected = stand_ins::ReferenceAnswer(
          this->order.pipeline->layers, pipeline::Tokenize(this->order.prompt),
          HashText(this->order.id) >> 1, this->order.tokens);
      this->record.outcome =
          this->tokens == expected ? Outcome::kCorrect : Outcome::kWrong;
      return;
    }
    // Out of order means that a token is missing or came twice: the check
    // against the reference will tell.
    this->tokens.push_back(event.token);
    const Instant now = this->context->runtime->Now();
    Duration gap{0};
    if (this->tokens.size() == 1) {
      this->record.first_token = now - this->start;
    } else {
      gap = now - this->last_token;
      this->record.max_token_interval =
          std::max(this->record.max_token_interval, gap);
    }
    this->last_token = now;
    if (now - this->context->start < this->context->experiment->duration) {
      ++this->record.tokens_in_time;
    }
    this->context->recorder->OnToken(now - this->context->start, gap);
  }

  void OnProblem(const Problem& problem) {
    // An entry that is leaving names others: that is no final word.
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
    static const char* const kNames[] = {"correct", "WRONG", "refused",
                                         "UNANSWERED"};
    fmt::print("{} [{}] {}:{}\n", this->order.id,
               kNames[static_cast<int>(this->record.outcome)],
               this->order.prompt.substr(0, 40), text);
  }

  CallerContext* context;
  const CompletionSpec& order;
  Random random;
  Instant start;
  Instant last_token{};
  io::Endpoint entry;
  std::vector<std::uint32_t> tokens;
  RequestRecord record;
  bool finished = false;
};

}  // namespace

io::Endpoint EntryList::Pick(const io::Endpoint& avoid, Random* random) {
  std::vector<io::Endpoint> others;
  for (const io::Endpoint& entry : this->entries) {
    if (entry != avoid) {
      others.push_back(entry);
    }
  }
  return others.empty() ? avoid : others[random->Below(others.size())];
}

void EntryList::Refresh(Random* random) {
  const Instant now = this->runtime->Now();
  if (now < this->valid_until) {
    return;
  }
  // Others go on with the old list while this fiber asks.
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
  std::vector<io::Endpoint> fresh;
  for (const json::value& item : object->at("entries").as_array()) {
    const auto address =
        io::Endpoint::Parse(std::string(item.at("address").as_string()));
    if (address) {
      fresh.push_back(*address);
    }
  }
  if (!fresh.empty()) {
    this->entries = std::move(fresh);
    this->valid_until =
        now + milliseconds(object->at("ttl_ms").to_number<std::int64_t>());
  }
}

void RunCompletion(CallerContext* context, const CompletionSpec& order) {
  CompletionCaller(context, order).Run();
}

void RunService(CallerContext* context, const ServiceCallSpec& order) {
  Random random(order.random_seed);
  RequestRecord record;
  record.id = order.id;
  record.organisation = order.organisation->name;
  record.target = order.service->name;
  record.keyed = order.non_repeatable;
  const Instant start = context->runtime->Now();
  record.started = start - context->start;
  const Instant end = start + context->experiment->answer_timeout;
  io::HttpRequest request = Authorized(*order.organisation, order.id);
  request.method = order.non_repeatable ? "POST" : "GET";
  request.path =
      fmt::format("/v1/services/{}/records/{}", order.service->name, order.id);
  if (order.non_repeatable) {
    request.headers.Add("Idempotency-Key", order.id);
    request.body = "registration " + order.id;
  }
  io::Endpoint entry;
  while (context->runtime->Now() < end) {
    context->entries->Refresh(&random);
    entry = context->entries->Pick(entry, &random);
    ++record.connections;
    const auto response =
        context->http->Call(entry, request, end - context->runtime->Now(),
                            io::ConnectionUse::kFresh);
    if (response.has_error()) {
      // The caller cannot know; it sends the same key again.
      context->runtime->SleepFor(kReconnectDelay);
      continue;
    }
    if (response.value().status == 200) {
      record.outcome = Outcome::kCorrect;
      break;
    }
    const Problem problem = ReadProblem(response.value().body);
    record.refusal = problem.code;
    record.executed = problem.executed;
    record.outcome = Outcome::kRefused;
    // "Not run" and "running" can be asked again; "unknown" is final here.
    const bool again =
        problem.retry_after_ms > 0 &&
        (problem.executed == "no" || problem.code == "in-progress");
    if (!again) {
      break;
    }
    context->runtime->SleepFor(milliseconds(problem.retry_after_ms));
  }
  record.ended = context->runtime->Now() - context->start;
  context->recorder->OnEnd(record);
}

}  // namespace chervilpass::load
