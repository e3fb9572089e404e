// Runs one call to a plain service for a caller.
#pragma once

#include <string>

#include "chervilpass/entry/caller_request.h"
#include "chervilpass/entry/completion_call_runner.h"
#include "chervilpass/io/http.h"

namespace chervilpass::entry {

/// The answer to the caller.
io::HttpResponse RunServiceCall(EntryContext* context,
                                const std::string& organisation,
                                const ServiceCall& call,
                                std::uint32_t ledger_shards);

/// What is known of a call by its idempotency key.
io::HttpResponse QueryRequest(EntryContext* context,
                              const std::string& organisation,
                              const std::string& key,
                              std::uint32_t ledger_shards);

}  // namespace chervilpass::entry
