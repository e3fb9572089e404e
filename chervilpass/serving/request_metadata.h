// Metadata of requests and responses, independent of header names.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "chervilpass/core/time.h"
#include "chervilpass/io/http.h"
#include "chervilpass/placement/path.h"

namespace chervilpass::serving {

/// Size of a generation as stated by its caller.
struct GenerationSize {
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_answer_tokens = 0;
  /// The caller's estimate of the tokens that will be generated.
  std::optional<std::uint32_t> expected_answer_tokens;

  auto operator<=>(const GenerationSize&) const = default;
};

/// Metadata of a caller's request, apart from method, path and body.
struct RequestMetadata {
  std::string request_id;
  std::string host;
  std::optional<std::string> key;     ///< authenticates the organisation
  std::optional<Duration> time_left;  ///< how long the caller will wait
  std::optional<std::uint64_t> last_event_id;
  /// The caller names an event by an id that is not a number.
  bool foreign_event_id = false;
  std::optional<GenerationSize> generation;
  /// Ids of the parts of the prompt that other requests may share, each once.
  std::vector<std::string> prompt_parts;
  /// Of a request that another VM forwards: how often it may run here.
  std::optional<std::uint32_t> attempts_left;

  bool operator==(const RequestMetadata&) const = default;
};

/// Metadata that the router adds to a request that it forwards.
struct ForwardMetadata {
  std::string instance;      ///< id of the intended backend server
  std::string organisation;  ///< empty on open routes without a key
  Duration time_left{0};
  std::optional<std::uint64_t> last_event_id;
  placement::Path path;                  ///< empty for a plain service
  std::optional<std::uint32_t> urgency;  ///< 0 is the most urgent, 9 the least

  bool operator==(const ForwardMetadata&) const = default;
};

/// Load that a backend server reports with a response.
struct ReportedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;

  auto operator<=>(const ReportedLoad&) const = default;
};

/// What a response says about the rate limit of its backend server.
struct RateLimitField {
  /// Requests per second that the server takes from all VMs together; none if
  /// the response names no limit.
  std::optional<double> limit;
  /// The field is there, but it is not one non-negative decimal number: the
  /// response says nothing about the limit.
  bool unreadable = false;

  auto operator<=>(const RateLimitField&) const = default;
};

/// How long a backend server that has refused a request wants none from this
/// VM, according to its response.
struct RestField {
  /// None if the response states no time. Bounded, not negative.
  std::optional<Duration> rest;
  /// A field is there that is not one non-negative decimal number of seconds;
  /// it counts for nothing.
  bool unreadable = false;

  auto operator<=>(const RestField&) const = default;
};

/// The start of a backend server that has said that it leaves.
struct ServerDeparture {
  std::string server;
  WallTime started;  ///< zero if unknown

  auto operator<=>(const ServerDeparture&) const = default;
};

/// Metadata from the status and the header of a response.
struct ResponseMetadata {
  unsigned status = 0;
  bool not_executed = false;  ///< states that the request did not run
  bool sealed = false;        ///< has the backend server's signature
  bool encoded = false;       ///< has a content coding that was not requested
  std::optional<std::string> request_id;      ///< of the request it answers
  std::optional<io::Endpoint> faulty_worker;  ///< of the path, if named
  std::optional<std::string> instance;
  std::optional<ReportedLoad> load;
  RateLimitField rate_limit;
  RestField rest;
  bool leaving = false;  ///< states that its backend server is leaving

  bool Successful() const { return this->status >= 200 && this->status < 300; }

  bool operator==(const ResponseMetadata&) const = default;
};

}  // namespace chervilpass::serving
