// Runs one call to a plain service for a caller.
#pragma once

#include <string>

#include "chervilpass/entry/caller_request.h"
#include "chervilpass/entry/completion_call_runner.h"
#include "chervilpass/io/http.h"

namespace chervilpass::entry {

/// Runs `call` at a dispatcher and returns the response for the caller: the
/// backend server's response or a refusal.
io::HttpResponse RunServiceCall(EntryContext* context,
                                const std::string& organisation,
                                const ServiceCall& call,
                                std::uint32_t ledger_shards);

/// Returns the recorded response of the call with the idempotency key `key`, or
/// a refusal: kMalformed, kNotFound, kInProgress, kOutcomeUnknown, or
/// kStoreUnavailable if the ledger does not answer.
io::HttpResponse QueryRequest(EntryContext* context,
                              const std::string& organisation,
                              const std::string& key,
                              std::uint32_t ledger_shards);

}  // namespace chervilpass::entry
