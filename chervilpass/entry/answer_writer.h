// Writes the answer to a completion in the form that the caller asked for: one
// JSON object, or server-sent events.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "chervilpass/admission/refusal.h"
#include "chervilpass/entry/caller_request.h"
#include "chervilpass/io/http_server.h"

namespace chervilpass::entry {

/// The answer to one request. `call` and `exchange` outlive it. Exactly one of
/// Complete and Refuse ends it.
class AnswerWriter {
 public:
  AnswerWriter(const CompletionCall& call, io::HttpExchange* exchange)
      : call(call), exchange(exchange) {}

  /// The next token of the answer; false once the caller is gone.
  bool Token(std::uint32_t index, std::uint32_t token);

  /// The answer is whole.
  void Complete();

  /// A problem response, or an error event once the stream has begun.
  void Refuse(const admission::Refusal& refusal);

  bool CallerGone() { return this->exchange->PeerGone(); }

 private:
  io::HttpResponse Head(const char* content_type) const;
  bool Begin();
  std::string WholeAnswer() const;

  const CompletionCall& call;
  io::HttpExchange* exchange;
  std::vector<std::uint32_t> tokens;  ///< that the caller did not have before
  bool streaming = false;
};

}  // namespace chervilpass::entry
