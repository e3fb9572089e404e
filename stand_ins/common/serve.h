// How every stand-in serves: HTTP until a stop signal.
#pragma once

#include "chervilpass/core/log.h"
#include "chervilpass/io/http_server.h"
#include "chervilpass/io/runtime.h"

namespace chervilpass::stand_ins {

/// Serves `handler` until a stop signal and ends the process. `ready_event` is
/// logged once the socket listens.
void ServeUntilStopped(io::Runtime* runtime,
                       const LogSettings& log_settings,
                       const io::HttpServerSettings& settings,
                       const char* ready_event,
                       io::HttpHandler handler);

}  // namespace chervilpass::stand_ins
