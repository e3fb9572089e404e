// A call at a later time, which can be taken back.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "chervilpass/core/time.h"
#include "chervilpass/io/runtime.h"

namespace chervilpass::io {

/// Calls a function once after a delay, on the fiber thread. Destroying the
/// alarm takes the call back. The function must not wait.
class Alarm {
 public:
  Alarm(Runtime* runtime, Duration delay, std::function<void()> action)
      : timer(runtime->Context(), delay) {
    this->timer.async_wait([ended = this->ended, action = std::move(action)](
                               const boost::system::error_code& error) {
      if (!error && !*ended) {
        action();
      }
    });
  }
  ~Alarm() { *this->ended = true; }
  Alarm(const Alarm&) = delete;
  Alarm& operator=(const Alarm&) = delete;

 private:
  boost::asio::steady_timer timer;
  // Outlives the alarm in the handler.
  std::shared_ptr<bool> ended = std::make_shared<bool>(false);
};

}  // namespace chervilpass::io
