// Client of the model engines, which hold ranges of layers. One HTTP request
// carries steps of many sessions.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "chervilpass/core/result.h"
#include "chervilpass/core/time.h"
#include "chervilpass/io/http.h"
#include "chervilpass/io/http_client.h"
#include "chervilpass/io/runtime.h"
#include "chervilpass/pipeline/decode_session.h"

namespace chervilpass::engine {

/// One step of one session, as sent to an engine.
struct EngineStep {
  std::string session;
  std::uint64_t seed = 0;
  std::uint32_t priority = 0;
  pipeline::StageStep step;

  bool operator==(const EngineStep&) const = default;
};

/// Cause of a failed engine call.
enum class EngineErrorCode {
  kUnreachable,    ///< No connection: the engine is not running or not
                   ///< reachable.
  kLost,           ///< The connection broke while steps were running.
  kTimeout,        ///< No answer in time; the engine may still be alive.
  kInvalidAnswer,  ///< The answer is invalid or does not match the request.
};

/// Error of an engine call.
struct EngineError {
  EngineErrorCode code = EngineErrorCode::kInvalidAnswer;
  std::string detail;

  bool operator==(const EngineError&) const = default;
};

/// Load that an engine reports. It lags behind the actual load.
struct EngineLoad {
  std::uint32_t sessions = 0;
  std::uint32_t queued_steps = 0;
  std::string boot_id;  ///< differs after each start of the engine process

  bool operator==(const EngineLoad&) const = default;
};

/// Calls engines. Fiber thread only.
class EngineClient {
 public:
  explicit EngineClient(io::Runtime* runtime);

  /// Runs steps and returns their answers in the order of the steps. Returns
  /// kInvalidAnswer if any answer is missing or does not match its step.
  Result<std::vector<pipeline::StepAnswer>, EngineError> RunSteps(
      const io::Endpoint& engine,
      const std::vector<EngineStep>& steps,
      Duration timeout);

  /// Frees the caches of ended sessions.
  Result<void, EngineError> ReleaseSessions(
      const io::Endpoint& engine,
      const std::vector<std::string>& sessions,
      Duration timeout);

  /// Reads the engine's load report.
  Result<EngineLoad, EngineError> ReadLoad(const io::Endpoint& engine,
                                           Duration timeout);

 private:
  Result<io::HttpResponse, EngineError> Post(const io::Endpoint& engine,
                                             const std::string& path,
                                             std::string body,
                                             Duration timeout);

  std::unique_ptr<io::HttpClient> http;
};

}  // namespace chervilpass::engine
