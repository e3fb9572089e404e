// Reads what callers send. No I/O: every fault becomes a refusal that says
// what to mend.
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

/// A completion that a caller asks for.
struct CompletionCall {
  std::string request_id;
  std::string pipeline;
  std::vector<std::uint32_t> prompt;  ///< token ids
  std::uint32_t max_tokens = 0;
  std::uint64_t seed = 0;
  bool stream = false;
  /// Tokens of the answer that the caller has and hands in again.
  std::vector<std::uint32_t> resume_tokens;
  /// Tokens of the answer that the caller has and does not want again.
  std::uint32_t skip_tokens = 0;
  std::optional<Duration> deadline;  ///< from now
  std::uint64_t fingerprint = 0;     ///< of organisation, pipeline and body
  std::uint64_t prefix_hash = 0;     ///< of the first words of the prompt

  bool operator==(const CompletionCall&) const = default;
};

/// A call to a plain service.
struct ServiceCall {
  std::string request_id;
  std::string service;
  std::string idempotency_key;  ///< Empty if the call may be repeated.
  io::HttpRequest call;
  std::optional<Duration> deadline;  ///< from now

  bool operator==(const ServiceCall&) const = default;
};

/// The bearer key of a request.
Result<std::string, admission::Refusal> ReadBearerKey(
    const io::HttpRequest& request);

/// Reads `POST /v1/completions`.
Result<CompletionCall, admission::Refusal> ReadCompletionCall(
    const io::HttpRequest& request,
    const std::string& organisation,
    const config::FleetConfig& config,
    const std::string& fresh_id);

/// Reads `ANY /v1/services/SERVICE/...`.
Result<ServiceCall, admission::Refusal> ReadServiceCall(
    const io::HttpRequest& request,
    const config::FleetConfig& config,
    const std::string& fresh_id);

/// True if `key` can be used as an idempotency key: 1 to 128 visible ASCII
/// characters.
bool IsIdempotencyKey(std::string_view key);

}  // namespace chervilpass::entry
