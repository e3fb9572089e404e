#include "chervilpass/io/fiber_scheduler.h"

#include <boost/asio/post.hpp>
#include <boost/fiber/context.hpp>

namespace chervilpass::io {
namespace {

constexpr unsigned kSwitchesPerPoll = 32;

}  // namespace

FiberScheduler::FiberScheduler(boost::asio::io_context* context,
                               PollerSlot* poller)
    : context(context), poller(poller), work(context->get_executor()) {}

void FiberScheduler::awakened(boost::fibers::context* fiber) noexcept {
  if (fiber == this->poller->fiber) {
    // Restarts the count, so that the poller is not picked right after its own
    // yield.
    this->poller->runnable = true;
    this->switches = 0;
    return;
  }
  fiber->ready_link(this->ready);
}

boost::fibers::context* FiberScheduler::pick_next() noexcept {
  if (++this->switches >= kSwitchesPerPoll && this->poller->runnable) {
    this->poller->runnable = false;
    return this->poller->fiber;
  }
  if (this->ready.empty()) {
    return nullptr;
  }
  boost::fibers::context* next = &this->ready.front();
  this->ready.pop_front();
  return next;
}

bool FiberScheduler::has_ready_fibers() const noexcept {
  return !this->ready.empty();
}

void FiberScheduler::suspend_until(
    const std::chrono::steady_clock::time_point& until) noexcept {
  // Waits for one handler, which may make a fiber ready, then runs all other
  // handlers that are due.
  if (until == std::chrono::steady_clock::time_point::max()) {
    this->context->run_one();
  } else {
    this->context->run_one_until(until);
  }
  this->context->poll();
}

void FiberScheduler::notify() noexcept {
  boost::asio::post(*this->context, [] {});
}

}  // namespace chervilpass::io
