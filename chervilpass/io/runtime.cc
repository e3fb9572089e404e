#include "chervilpass/io/runtime.h"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <thread>

#include "chervilpass/io/await.h"
#include "chervilpass/io/fiber_scheduler.h"

namespace chervilpass::io {

struct Runtime::State {
  boost::asio::io_context context{1};
};

Runtime::Runtime() : state(std::make_unique<State>()) {}
Runtime::~Runtime() = default;

void Runtime::Run(const std::function<void(Runtime&)>& body) {
  Runtime runtime;
  std::thread thread([&runtime, &body] {
    boost::fibers::use_scheduling_algorithm<FiberScheduler>(
        &runtime.state->context);
    body(runtime);
  });
  thread.join();
}

void Runtime::Spawn(std::function<void()> body) {
  boost::fibers::fiber(std::move(body)).detach();
}

void Runtime::Post(std::function<void()> body) {
  boost::asio::post(this->state->context, std::move(body));
}

void Runtime::SleepFor(Duration duration) {
  // An Asio timer is exact to microseconds; the scheduler's own wait rounds up
  // to milliseconds.
  boost::asio::steady_timer timer(this->state->context, duration);
  Await([&timer](auto handler) { timer.async_wait(std::move(handler)); });
}

WallTime Runtime::WallNow() const {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return {duration_cast<milliseconds>(now).count()};
}

void Runtime::WaitForStopSignal() {
  boost::asio::signal_set signals(this->state->context, SIGTERM, SIGINT);
  Await([&signals](auto handler) {
    signals.async_wait([handler](boost::system::error_code error, int) mutable {
      handler(error, 0);
    });
  });
}

boost::asio::io_context& Runtime::Context() {
  return this->state->context;
}

}  // namespace chervilpass::io
