#include "chervilpass/io/address_wait.h"

#include <signal.h>

#include <boost/asio/error.hpp>

namespace chervilpass::io {
namespace {

// Longer than the grace period of most sites.
constexpr Duration kMaxAddressWait = seconds(20);
constexpr Duration kAddressPollInterval = milliseconds(20);

}  // namespace

bool StopSignalPending() {
  sigset_t pending;
  ::sigpending(&pending);
  return ::sigismember(&pending, SIGTERM) == 1 ||
         ::sigismember(&pending, SIGINT) == 1;
}

boost::system::error_code BindWhenFree(
    Runtime* runtime,
    const Endpoint& address,
    const std::function<boost::system::error_code()>& bind) {
  const Instant until = runtime->Now() + kMaxAddressWait;
  boost::system::error_code error = bind();
  if (error == boost::asio::error::address_in_use && ProcessLog() != nullptr) {
    ProcessLog()->Warning("address.in_use",
                          {{"address", address.ToText()},
                           {"wait_ms", ToMilliseconds(kMaxAddressWait)}});
  }
  while (error == boost::asio::error::address_in_use &&
         runtime->Now() < until && !StopSignalPending()) {
    runtime->SleepFor(kAddressPollInterval);
    error = bind();
  }
  return error;
}

}  // namespace chervilpass::io
