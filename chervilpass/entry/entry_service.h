// HTTP interface of one entry for callers.
#pragma once

#include <memory>
#include <string>

#include "chervilpass/entry/completion_call_runner.h"
#include "chervilpass/io/http_server.h"

namespace chervilpass::entry {

/// Settings of an EntryService.
struct EntryServiceSettings {
  std::uint32_t ledger_shards = 4;    ///< must be equal on all VMs
  Duration entries_ttl = seconds(5);  ///< lifetime of the address list

  bool operator==(const EntryServiceSettings&) const = default;
};

/// Authenticates requests and passes them to their handlers. Fiber thread only.
class EntryService {
 public:
  EntryService(EntryContext* context, EntryServiceSettings settings);

  /// Answers one request.
  void Handle(io::HttpExchange& exchange);

  /// The problem response to a request that could not be parsed. `status` is
  /// the HTTP server's error status.
  static io::HttpResponse UnreadableResponse(unsigned status,
                                             std::string_view detail);

  /// Refuses new calls from now on with kLeaving, which refers callers to the
  /// list of other entries.
  void StopAcceptingCalls() { this->leaving = true; }

  /// Number of calls being answered.
  std::size_t InFlight() const { return this->in_flight; }

 private:
  void HandleWork(io::HttpExchange& exchange);
  io::HttpResponse EntriesResponse() const;
  io::HttpResponse MetricsResponse() const;
  bool Authenticate(const io::HttpExchange& exchange,
                    std::string* organisation,
                    admission::Refusal* refusal);

  EntryContext* context;
  EntryServiceSettings settings;
  std::map<std::string, std::string> organisations_by_key_hash;
  std::uint64_t key_index_version = 0;  ///< of the configuration
  bool leaving = false;
  std::size_t in_flight = 0;
};

}  // namespace chervilpass::entry
