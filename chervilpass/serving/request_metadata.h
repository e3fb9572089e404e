// What a request and an answer say, freed from header names.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "chervilpass/core/time.h"
#include "chervilpass/io/http.h"
#include "chervilpass/placement/path.h"

namespace chervilpass::serving {

/// Size of a generation, as its caller states it.
struct GenerationSize {
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_answer_tokens = 0;  ///< tokens at most
  /// The caller's guess of the tokens that will be generated.
  std::optional<std::uint32_t> expected_answer_tokens;

  auto operator<=>(const GenerationSize&) const = default;
};

/// What a caller's request says, apart from method, path and body.
struct RequestMetadata {
  std::string request_id;
  std::string host;
  std::optional<std::string> key;
  std::optional<Duration> time_left;  ///< what the caller is willing to wait
  std::optional<std::uint64_t> last_event_id;
  std::optional<GenerationSize> generation;

  bool operator==(const RequestMetadata&) const = default;
};

/// What the router adds to a request that it passes on.
struct ForwardMetadata {
  std::string instance;      ///< the backend server that is meant
  std::string organisation;  ///< empty on open routes without a key
  Duration time_left{0};
  std::optional<std::uint64_t> last_event_id;
  placement::Path path;                  ///< empty for a plain service
  std::optional<std::uint32_t> urgency;  ///< 0 is the most urgent, 9 the least

  bool operator==(const ForwardMetadata&) const = default;
};

/// Load that a backend server states with an answer.
struct ReportedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;

  auto operator<=>(const ReportedLoad&) const = default;
};

/// What an answer's status and header say.
struct ResponseMetadata {
  unsigned status = 0;
  bool not_executed = false;  ///< states that the request did not run
  bool sealed = false;        ///< carries the backend server's signature
  bool encoded = false;       ///< a content coding that nobody asked for
  std::optional<std::string> request_id;      ///< the request it answers
  std::optional<io::Endpoint> faulty_worker;  ///< of the path, if named
  std::optional<std::string> instance;
  std::optional<ReportedLoad> load;

  bool Successful() const { return this->status >= 200 && this->status < 300; }

  bool operator==(const ResponseMetadata&) const = default;
};

}  // namespace chervilpass::serving
