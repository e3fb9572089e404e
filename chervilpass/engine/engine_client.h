// Client of the model engines that hold ranges of layers. Steps of many
// sessions travel in one HTTP request.
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

/// One step of one session as an engine gets it.
struct EngineStep {
  std::string session;
  std::uint64_t seed = 0;
  std::uint32_t priority = 0;
  pipeline::StageStep step;

  bool operator==(const EngineStep&) const = default;
};

enum class EngineErrorCode {
  kUnreachable,  ///< Connection refused: the engine runs nothing now.
  kLost,         ///< The connection broke while steps were running.
  kTimeout,      ///< No answer in time; the engine may still be alive.
  kBadAnswer,    ///< The answer is not what was asked for.
};

/// Error of the engine layer.
struct EngineError {
  EngineErrorCode code = EngineErrorCode::kBadAnswer;
  std::string detail;

  bool operator==(const EngineError&) const = default;
};

/// Load that an engine reports, with a lag.
struct EngineLoad {
  std::uint32_t sessions = 0;
  std::uint32_t queued_steps = 0;
  std::string boot_id;

  bool operator==(const EngineLoad&) const = default;
};

/// Calls engines. Fiber thread only.
class EngineClient {
 public:
  explicit EngineClient(io::Runtime* runtime);

  /// Runs steps; the answers stand in the order of the steps.
  Result<std::vector<pipeline::StepAnswer>, EngineError> RunSteps(
      const io::Endpoint& engine,
      const std::vector<EngineStep>& steps,
      Duration timeout);

  /// Frees the caches of sessions that have ended.
  Result<void, EngineError> ReleaseSessions(
      const io::Endpoint& engine,
      const std::vector<std::string>& sessions,
      Duration timeout);

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
