#include "chervilpass/entry/answer_writer.h"

#include <fmt/format.h>

#include <boost/json.hpp>

#include "chervilpass/entry/problem.h"
#include "chervilpass/pipeline/tokenizer.h"

namespace chervilpass::entry {
namespace {

namespace json = boost::json;
using admission::Refusal;

}  // namespace

bool AnswerWriter::WriteToken(std::uint32_t index, std::uint32_t token) {
  if (index >= this->call.skip_tokens) {
    this->tokens.push_back(token);
  }
  if (!this->call.stream || index < this->call.skip_tokens) {
    return true;
  }
  if (!this->streaming && !this->BeginStream()) {
    return false;
  }
  return this->exchange->WriteChunk(fmt::format(
      "id: {}\ndata: {}\n\n", index,
      json::serialize(json::object{{"index", index},
                                   {"token", token},
                                   {"text", pipeline::TokenText(token)}})));
}

void AnswerWriter::Complete() {
  if (this->call.stream) {
    if (this->streaming || this->BeginStream()) {
      this->exchange->WriteChunk("data: [DONE]\n\n");
      this->exchange->EndStream();
    }
    return;
  }
  io::HttpResponse response = this->ResponseHead("application/json");
  response.body = this->CompletionJson();
  this->exchange->Respond(response);
}

void AnswerWriter::Refuse(const Refusal& refusal) {
  if (!this->streaming) {
    io::HttpResponse response = ProblemResponse(refusal);
    response.headers.Add("X-Request-Id", this->call.request_id);
    return this->exchange->Respond(response);
  }
  this->exchange->WriteChunk(
      fmt::format("event: error\ndata: {}\n\n", ProblemJson(refusal)));
  this->exchange->EndStream();
}

io::HttpResponse AnswerWriter::ResponseHead(const char* content_type) const {
  io::HttpResponse head;
  head.headers.Add("Content-Type", content_type);
  head.headers.Add("X-Request-Id", this->call.request_id);
  head.headers.Add("X-Seed", std::to_string(this->call.seed));
  return head;
}

bool AnswerWriter::BeginStream() {
  this->streaming = true;
  io::HttpResponse head = this->ResponseHead("text/event-stream");
  head.headers.Add("Cache-Control", "no-store");
  return this->exchange->BeginStream(head);
}

std::string AnswerWriter::CompletionJson() const {
  std::string text;
  json::array ids;
  for (const std::uint32_t token : this->tokens) {
    text += pipeline::TokenText(token);
    ids.emplace_back(token);
  }
  const json::object choice = {{"index", 0},
                               {"text", text},
                               {"tokens", ids},
                               {"finish_reason", "length"}};
  const json::object usage = {{"prompt_tokens", this->call.prompt.size()},
                              {"completion_tokens", this->tokens.size()}};
  return json::serialize(json::object{{"id", this->call.request_id},
                                      {"object", "text_completion"},
                                      {"model", this->call.pipeline},
                                      {"seed", this->call.seed},
                                      {"choices", json::array{choice}},
                                      {"usage", usage}});
}

}  // namespace chervilpass::entry
