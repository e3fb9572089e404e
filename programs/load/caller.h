// Callers: each sends one request, retries it or resumes a broken stream at
// another entry, and checks the answer against the reference model.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "chervilpass/core/random.h"
#include "chervilpass/io/http_client.h"
#include "chervilpass/io/runtime.h"
#include "programs/load/experiment.h"
#include "programs/load/recorder.h"

namespace chervilpass::load {

/// The list of entries, refreshed when its TTL has passed.
class EntryList {
 public:
  EntryList(io::Runtime* runtime,
            io::HttpClient* http,
            std::vector<io::Endpoint> seeds)
      : runtime(runtime), http(http), entries(std::move(seeds)) {}

  /// A random entry other than `avoid`; `avoid` if there is no other.
  io::Endpoint Pick(const io::Endpoint& avoid, Random* random);

  /// Requests the list from a random entry if it has expired. Keeps the old
  /// list on failure.
  void Refresh(Random* random);

 private:
  io::Runtime* runtime;
  io::HttpClient* http;
  std::vector<io::Endpoint> entries;
  Instant valid_until{};  ///< no refresh before
};

/// State shared by all callers of an experiment. Fiber thread only.
struct CallerContext {
  io::Runtime* runtime = nullptr;
  io::HttpClient* http = nullptr;
  EntryList* entries = nullptr;
  Recorder* recorder = nullptr;
  const Experiment* experiment = nullptr;
  Instant start{};
};

/// A completion to request.
struct CompletionSpec {
  std::string id;
  const LoadOrganisation* organisation = nullptr;
  const LoadPipeline* pipeline = nullptr;
  std::string prompt;
  std::uint32_t tokens = 0;  ///< max_tokens of the request
  std::uint64_t random_seed = 0;
};

/// A service call to make.
struct ServiceCallSpec {
  std::string id;
  const LoadOrganisation* organisation = nullptr;
  const LoadService* service = nullptr;
  bool non_repeatable = false;  ///< sent as POST with an idempotency key
  std::uint64_t random_seed = 0;
};

/// Sends one request until it has an outcome or its time is up, and records it.
/// Suspends the calling fiber.
void RunCompletion(CallerContext* context, const CompletionSpec& spec);
void RunService(CallerContext* context, const ServiceCallSpec& spec);

}  // namespace chervilpass::load
