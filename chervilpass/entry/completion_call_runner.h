// Runs one completion for a caller: attempts at dispatchers, and the stream or
// the answer to the caller.
#pragma once

#include <memory>
#include <string>

#include "chervilpass/control/view_subscriber.h"
#include "chervilpass/core/log.h"
#include "chervilpass/core/metrics.h"
#include "chervilpass/core/random.h"
#include "chervilpass/entry/caller_request.h"
#include "chervilpass/entry/dispatch_pool.h"
#include "chervilpass/io/http_server.h"
#include "chervilpass/io/runtime.h"
#include "chervilpass/quarantine/strike_tracker.h"
#include "chervilpass/routing/cell_cache.h"
#include "chervilpass/routing/retry_budget.h"

namespace chervilpass::entry {

/// State shared by the requests of one entry. Fiber thread only.
struct EntryContext {
  io::Runtime* runtime = nullptr;
  MetricsRegistry* metrics = nullptr;
  Logger log;
  std::shared_ptr<control::ViewSubscriber> view_subscriber;
  DispatchPool pool;
  routing::RetryBudget budget;
  quarantine::StrikeTracker strikes;
  Random random;
  std::string vm;
  std::string data_centre;
  std::string region;
  Duration stall_timeout = seconds(1);       ///< without a token or heartbeat
  Duration default_deadline = seconds(120);  ///< if the table has none
  routing::CellCache cells;
};

/// Runs the completion `call` and answers `exchange` with the result or a
/// refusal. Returns when the answer has ended or the caller has disconnected.
void RunCompletionCall(EntryContext* context,
                       const std::string& organisation,
                       const CompletionCall& call,
                       io::HttpExchange* exchange);

}  // namespace chervilpass::entry
