// Callers: each sends one request as a careful client would, resumes a broken
// stream at another entry, and checks the answer against the reference model.
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

/// Entries that callers know of, asked for anew when the list has expired.
class EntryList {
 public:
  EntryList(io::Runtime* runtime,
            io::HttpClient* http,
            std::vector<io::Endpoint> seeds)
      : runtime(runtime), http(http), entries(std::move(seeds)) {}

  /// One of the entries, another than `avoid` if there is one.
  io::Endpoint Pick(const io::Endpoint& avoid, Random* random);

  /// Asks any entry for the list, if it is due.
  void Refresh(Random* random);

 private:
  io::Runtime* runtime;
  io::HttpClient* http;
  std::vector<io::Endpoint> entries;
  Instant valid_until{};
};

/// What all callers of an experiment share. Fiber thread only.
struct CallerContext {
  io::Runtime* runtime = nullptr;
  io::HttpClient* http = nullptr;
  EntryList* entries = nullptr;
  Recorder* recorder = nullptr;
  const Experiment* experiment = nullptr;
  Instant start{};
};

/// A completion to ask for.
struct CompletionSpec {
  std::string id;
  const LoadOrganisation* organisation = nullptr;
  const LoadPipeline* pipeline = nullptr;
  std::string prompt;
  std::uint32_t tokens = 0;
  std::uint64_t random_seed = 0;
};

/// A service call to make.
struct ServiceCallSpec {
  std::string id;
  const LoadOrganisation* organisation = nullptr;
  const LoadService* service = nullptr;
  bool non_repeatable = false;
  std::uint64_t random_seed = 0;
};

/// Sends the request and records how it ended.
void RunCompletion(CallerContext* context, const CompletionSpec& order);
void RunService(CallerContext* context, const ServiceCallSpec& order);

}  // namespace chervilpass::load
