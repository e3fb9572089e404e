// Listening at addresses that another process may still hold. Internal to the
// programs' start.
#pragma once

#include <boost/system/error_code.hpp>
#include <functional>

#include "chervilpass/core/log.h"
#include "chervilpass/io/http.h"
#include "chervilpass/io/runtime.h"

namespace chervilpass::io {

/// The logger of Runtime::LogTo; null if there is none.
const Logger* ProcessLog();

/// True if an order to end has arrived that is not handled yet.
bool StopSignalPending();

/// Calls `bind` again while `address` is in use, which a predecessor that has
/// been told to stop holds until its end. Gives up after some seconds, or with
/// an order to end. Fiber thread only.
boost::system::error_code BindWhenFree(
    Runtime* runtime,
    const Endpoint& address,
    const std::function<boost::system::error_code()>& bind);

}  // namespace chervilpass::io
