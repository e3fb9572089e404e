// Writes the answer to a completion in the requested form: one JSON object or
// server-sent events.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "chervilpass/admission/refusal.h"
#include "chervilpass/entry/caller_request.h"
#include "chervilpass/io/http_server.h"

namespace chervilpass::entry {

/// Writes the answer to one request. `call` and `exchange` must outlive the
/// writer. The answer ends with exactly one call of Complete() or Refuse().
class AnswerWriter {
 public:
  AnswerWriter(const CompletionCall& call, io::HttpExchange* exchange)
      : call(call), exchange(exchange) {}

  /// Adds the token at `index` of the answer. Tokens before `skip_tokens` of
  /// the call are not written. Returns false if the caller has disconnected.
  bool WriteToken(std::uint32_t index, std::uint32_t token);

  /// Ends the answer successfully: writes the JSON object, or ends the stream.
  void Complete();

  /// Ends the answer with an error: a problem response, or an error event if
  /// the stream has begun.
  void Refuse(const admission::Refusal& refusal);

  /// True if the caller has disconnected.
  bool CallerGone() { return this->exchange->PeerClosed(); }

 private:
  io::HttpResponse ResponseHead(const char* content_type) const;
  bool BeginStream();
  std::string CompletionJson() const;

  const CompletionCall& call;
  io::HttpExchange* exchange;
  std::vector<std::uint32_t> tokens;  ///< from index `skip_tokens` on
  bool streaming = false;
};

}  // namespace chervilpass::entry
