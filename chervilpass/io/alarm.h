// A delayed call that can be cancelled.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "chervilpass/core/time.h"
#include "chervilpass/io/runtime.h"

namespace chervilpass::io {

/// Calls a function once after a delay, on the fiber thread. Destroying the
/// alarm cancels the call. The function must not block.
class Alarm {
 public:
  Alarm(Runtime* runtime, Duration delay, std::function<void()> action)
      : timer(runtime->Context(), delay) {
    this->timer.async_wait(
        [cancelled = this->cancelled,
         action = std::move(action)](const boost::system::error_code& error) {
          if (!error && !*cancelled) {
            action();
          }
        });
  }
  ~Alarm() { *this->cancelled = true; }
  Alarm(const Alarm&) = delete;
  Alarm& operator=(const Alarm&) = delete;

 private:
  boost::asio::steady_timer timer;
  // Shared with the handler, which may run after the alarm was destroyed.
  std::shared_ptr<bool> cancelled = std::make_shared<bool>(false);
};

}  // namespace chervilpass::io
