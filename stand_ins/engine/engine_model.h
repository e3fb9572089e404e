// State of one stand-in engine: sessions with their caches, and the effect of a
// step on them. Does no I/O and reads no clock.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilpass::stand_ins {

/// A prefill or decode step of one session.
struct StepRequest {
  std::string session;
  std::uint32_t epoch = 0;
  std::uint32_t position = 0;  ///< of the first value
  std::uint64_t seed = 0;
  std::uint32_t priority = 0;  ///< a higher one runs first
  bool sample = false;         ///< return a token instead of activations
  /// One per position: tokens at the first stage, activations at later ones.
  std::vector<std::uint64_t> values;
};

/// The result of a step; `status` is a status of the engine's protocol.
struct StepResult {
  std::string status = "ok";
  std::vector<std::uint64_t> values;  ///< activations, one per position
  std::uint32_t token = 0;            ///< only if a sample was requested
};

/// The KV cache of a session, as exported and imported.
struct SessionCache {
  std::uint32_t epoch = 0;
  std::uint32_t next_position = 0;
  std::vector<std::uint64_t> layers;  ///< one value per layer
};

/// LRU set of prompt prefixes, at most `limit` of them.
class PrefixCache {
 public:
  explicit PrefixCache(std::size_t limit) : limit(limit) {}

  /// Adds the prefix or marks it as most recently used. True if it was cached.
  bool Touch(std::uint64_t prefix);

 private:
  std::size_t limit;
  std::list<std::uint64_t> recent;  // most recently used first
};

/// Sessions of one engine that holds first_layer to last_layer, inclusive.
class EngineModel {
 public:
  EngineModel(std::uint32_t first_layer,
              std::uint32_t last_layer,
              std::uint32_t session_limit);

  /// Runs the session's next step. A repetition of the last step gets the same
  /// result. A step at position 0 with a higher epoch restarts the session.
  /// Refuses with status busy (session limit reached), stale_epoch or
  /// wrong_position (any other step that is not the session's next one).
  StepResult Run(const StepRequest& request);

  /// Drops the session and its cache; ignores unknown sessions.
  void Release(const std::string& session);
  /// Returns the session's cache, or nullopt if the session is unknown.
  std::optional<SessionCache> Export(const std::string& session) const;
  /// Replaces the session's cache. False if the number of layers differs, the
  /// session has a newer epoch, or the session limit is reached.
  bool Import(const std::string& session, const SessionCache& cache);
  std::size_t SessionCount() const { return this->sessions.size(); }

 private:
  struct Session {
    SessionCache cache;
    std::optional<StepRequest> last_request;
    StepResult last_result;
  };

  StepResult Execute(Session* session, const StepRequest& request);

  std::uint32_t first_layer;
  std::uint32_t last_layer;
  std::uint32_t session_limit;
  std::map<std::string, Session> sessions;
};

}  // namespace chervilpass::stand_ins
