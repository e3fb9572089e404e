// The HTTP server loop that all stand-ins share.
#pragma once

#include "chervilpass/core/log.h"
#include "chervilpass/io/http_server.h"
#include "chervilpass/io/runtime.h"

namespace chervilpass::stand_ins {

/// Serves HTTP with `handler` until a stop signal, then ends the process. Logs
/// `ready_event` once the socket listens; if it cannot listen, logs the error
/// and exits with kExitFailure.
void ServeUntilStopped(io::Runtime* runtime,
                       const LogSettings& log_settings,
                       const io::HttpServerSettings& settings,
                       const char* ready_event,
                       io::HttpHandler handler);

}  // namespace chervilpass::stand_ins
