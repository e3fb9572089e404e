#include "chervilpass/io/runtime.h"

#include <unistd.h>

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <future>
#include <thread>

#include "chervilpass/core/log.h"
#include "chervilpass/io/await.h"
#include "chervilpass/io/fiber_scheduler.h"

namespace chervilpass::io {
namespace {

// Maximum delay of a log line; a longer period saves wake-ups.
constexpr Duration kLogFlushPeriod = milliseconds(200);

}  // namespace

struct Runtime::State {
  boost::asio::io_context context{1};
  PollerSlot poller;
};

Runtime::Runtime() : state(std::make_unique<State>()) {}
Runtime::~Runtime() = default;

void Runtime::Run(const std::function<void(Runtime&)>& body) {
  // At the end of its thread the scheduler waits for all fibers, some of which
  // never end. The thread therefore pauses for ever and the runtime is leaked.
  auto* runtime = new Runtime();
  std::promise<void> ended;
  std::thread([runtime, &body, &ended] {
    boost::fibers::use_scheduling_algorithm<FiberScheduler>(
        &runtime->state->context, &runtime->state->poller);
    runtime->Spawn([state = runtime->state.get()] {
      state->poller.fiber = boost::fibers::context::active();
      while (true) {
        state->context.poll();
        boost::this_fiber::yield();
      }
    });
    runtime->Spawn([runtime] {
      while (true) {
        runtime->SleepFor(kLogFlushPeriod);
        FlushLog();
      }
    });
    body(*runtime);
    ended.set_value();
    while (true) {
      ::pause();
    }
  }).detach();
  ended.get_future().wait();
}

void Runtime::Spawn(std::function<void()> body) {
  boost::fibers::fiber(std::move(body)).detach();
}

void Runtime::Post(std::function<void()> body) {
  boost::asio::post(this->state->context, std::move(body));
}

void Runtime::SleepFor(Duration duration) {
  // An Asio timer has microsecond resolution; the scheduler's own wait rounds
  // up to milliseconds.
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

void Runtime::OnReloadSignal(std::function<void()> on_reload) {
  this->Spawn([this, on_reload = std::move(on_reload)] {
    boost::asio::signal_set signals(this->state->context, SIGHUP);
    while (true) {
      const Completion received = Await([&signals](auto handler) {
        signals.async_wait([handler](boost::system::error_code error,
                                     int) mutable { handler(error, 0); });
      });
      if (received.error) {
        return;
      }
      on_reload();
    }
  });
}

boost::asio::io_context& Runtime::Context() {
  return this->state->context;
}

}  // namespace chervilpass::io
