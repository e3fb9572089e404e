// Boost.Fiber scheduling algorithm that waits in an io_context.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/scheduler.hpp>

namespace chervilpass::io {

/// The fiber that polls the io_context while other fibers are ready. Handlers
/// must not run in `pick_next` itself: the fiber being suspended may hold the
/// internal lock of a condition variable that a handler notifies, which would
/// deadlock.
struct PollerSlot {
  boost::fibers::context* fiber = nullptr;  ///< null until it runs
  bool runnable = false;                    ///< ready, not yet picked
};

/// FIFO scheduler of one thread. Picks the poller fiber every few dozen
/// switches, so that busy fibers do not starve sockets and timers.
class FiberScheduler final : public boost::fibers::algo::algorithm {
 public:
  FiberScheduler(boost::asio::io_context* context, PollerSlot* poller);

  void awakened(boost::fibers::context* fiber) noexcept override;
  boost::fibers::context* pick_next() noexcept override;
  bool has_ready_fibers() const noexcept override;
  void suspend_until(
      const std::chrono::steady_clock::time_point& until) noexcept override;
  void notify() noexcept override;

 private:
  boost::asio::io_context* context;
  PollerSlot* poller;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  boost::fibers::scheduler::ready_queue_type ready;
  unsigned switches = 0;  // since the poller last became runnable
};

}  // namespace chervilpass::io
