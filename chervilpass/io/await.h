// Suspends a fiber until an asynchronous Asio operation has completed.
// Internal to this folder.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>

namespace chervilpass::io {

/// Result of an asynchronous operation.
struct Completion {
  boost::system::error_code error;
  std::size_t bytes = 0;  ///< transferred
};

/// Calls `start(handler)` and suspends until the handler has been called.
/// Handlers run on the fiber thread, so no lock is needed.
template <class Start>
Completion Await(Start&& start) {
  struct Waiter {
    Completion completion;
    boost::fibers::context* fiber = nullptr;
    bool done = false;
  } waiter;
  start([&waiter](boost::system::error_code error, std::size_t bytes = 0) {
    waiter.completion = {error, bytes};
    waiter.done = true;
    if (waiter.fiber != nullptr) {
      boost::fibers::context::active()->schedule(waiter.fiber);
    }
  });
  if (!waiter.done) {
    waiter.fiber = boost::fibers::context::active();
    waiter.fiber->suspend();
  }
  return waiter.completion;
}

}  // namespace chervilpass::io
