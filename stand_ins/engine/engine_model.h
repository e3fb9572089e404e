// State of one stand-in engine: sessions with their caches, and what a step
// does to them. No sockets, no time.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilpass::stand_ins {

/// One step as it arrives.
struct StepRequest {
  std::string session;
  std::uint32_t epoch = 0;
  std::uint32_t position = 0;
  std::uint64_t seed = 0;
  std::uint32_t priority = 0;
  bool sample = false;
  std::vector<std::uint64_t> values;
};

/// The answer to a step; `status` is as in the engine's protocol.
struct StepResult {
  std::string status = "ok";
  std::vector<std::uint64_t> values;
  std::uint32_t token = 0;
};

/// The cache of a session, as exported and imported.
struct SessionCache {
  std::uint32_t epoch = 0;
  std::uint32_t next_position = 0;
  std::vector<std::uint64_t> layers;  ///< one value a layer held
};

/// A set of prompt prefixes with room for a few, least recently used out first.
class PrefixCache {
 public:
  explicit PrefixCache(std::size_t limit) : limit(limit) {}

  /// True if the prefix was there; it is there afterwards.
  bool Touch(std::uint64_t prefix);

 private:
  std::size_t limit;
  std::list<std::uint64_t> recent;
};

/// Sessions of one engine.
class EngineModel {
 public:
  EngineModel(std::uint32_t first_layer,
              std::uint32_t last_layer,
              std::uint32_t session_limit);

  /// Runs a step, or refuses it if it is not the session's next one.
  StepResult Run(const StepRequest& order);

  void Release(const std::string& session);
  std::optional<SessionCache> Export(const std::string& session) const;
  bool Import(const std::string& session, const SessionCache& cache);
  std::size_t SessionCount() const { return this->sessions.size(); }

 private:
  struct Session {
    SessionCache cache;
    std::optional<StepRequest> last_order;
    StepResult last_result;
  };

  StepResult Execute(Session* session, const StepRequest& order);

  std::uint32_t first_layer;
  std::uint32_t last_layer;
  std::uint32_t session_limit;
  std::map<std::string, Session> sessions;
};

}  // namespace chervilpass::stand_ins
