// The callers' HTTP interface of one entry.
#pragma once

#include <memory>
#include <string>

#include "chervilpass/entry/completion_call_runner.h"
#include "chervilpass/io/http_server.h"

namespace chervilpass::entry {

/// Describes an EntryService.
struct EntryServiceSettings {
  std::uint32_t ledger_shards = 4;    ///< the same on every VM
  Duration entries_ttl = seconds(5);  ///< of the address list

  bool operator==(const EntryServiceSettings&) const = default;
};

/// Routes requests to what answers them. Fiber thread only.
class EntryService {
 public:
  EntryService(EntryContext* context, EntryServiceSettings settings);

  /// Answers one request.
  void Handle(io::HttpExchange& exchange);

  /// The answer to a request that could not be read.
  static io::HttpResponse UnreadableResponse(unsigned status,
                                             std::string_view detail);

  /// From now on new work is refused, with other addresses to go to.
  void StopTakingWork() { this->leaving = true; }

  /// Requests being answered.
  std::size_t InFlight() const { return this->in_flight; }

 private:
  void HandleWork(io::HttpExchange& exchange);
  io::HttpResponse EntriesResponse() const;
  io::HttpResponse MetricsResponse() const;
  bool TakeKey(const io::HttpExchange& exchange,
               std::string* organisation,
               admission::Refusal* refusal);

  EntryContext* context;
  EntryServiceSettings settings;
  std::map<std::string, std::string> organisations_by_hash;
  std::uint64_t index_version = 0;
  bool leaving = false;
  std::size_t in_flight = 0;
};

}  // namespace chervilpass::entry
