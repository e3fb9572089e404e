// Parses callers' requests. No I/O. Each error becomes a refusal whose detail
// names the invalid field or header.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "chervilpass/admission/refusal.h"
#include "chervilpass/config/fleet_config.h"
#include "chervilpass/core/result.h"
#include "chervilpass/io/http.h"

namespace chervilpass::entry {

/// A parsed completion request.
struct CompletionCall {
  std::string request_id;
  std::string pipeline;
  std::vector<std::uint32_t> prompt;  ///< token ids
  std::uint32_t max_tokens = 0;
  std::uint64_t seed = 0;
  bool stream = false;
  /// Start of the answer that the caller has received and sends back, so that
  /// generation continues after it.
  std::vector<std::uint32_t> resume_tokens;
  /// Number of tokens at the start of the answer that are not sent again.
  std::uint32_t skip_tokens = 0;
  std::optional<Duration> deadline;  ///< from now
  std::uint64_t fingerprint = 0;     ///< of organisation, pipeline, prompt
  std::uint64_t prefix_hash = 0;     ///< of the first tokens; 0 if too few

  bool operator==(const CompletionCall&) const = default;
};

/// A parsed call to a plain service.
struct ServiceCall {
  std::string request_id;
  std::string service;
  std::string idempotency_key;       ///< empty if the call may be repeated
  io::HttpRequest backend_request;   ///< for the backend server
  std::optional<Duration> deadline;  ///< from now

  bool operator==(const ServiceCall&) const = default;
};

/// Returns the bearer key of a request, or kUnauthorized if there is none.
Result<std::string, admission::Refusal> ReadBearerKey(
    const io::HttpRequest& request);

/// Parses `POST /v1/completions`. `fresh_id` becomes the request id if the
/// caller gives neither a request id nor an idempotency key. Returns
/// kMalformed, kDeadlinePassed, or kNotFound for an unknown pipeline.
Result<CompletionCall, admission::Refusal> ReadCompletionCall(
    const io::HttpRequest& request,
    const std::string& organisation,
    const config::FleetConfig& config,
    const std::string& fresh_id);

/// Parses `ANY /v1/services/SERVICE/...`. Returns kMalformed, kDeadlinePassed,
/// kNotFound for an unknown service, or kKeyRequired if a non-repeatable method
/// comes without an idempotency key.
Result<ServiceCall, admission::Refusal> ReadServiceCall(
    const io::HttpRequest& request,
    const config::FleetConfig& config,
    const std::string& fresh_id);

/// True if `key` is a valid idempotency key: 1 to 128 visible ASCII characters.
bool IsIdempotencyKey(std::string_view key);

}  // namespace chervilpass::entry
