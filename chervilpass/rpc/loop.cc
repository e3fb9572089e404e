#include "chervilpass/rpc/loop.h"

#include <kj/async-io.h>
#include <kj/async-unix.h>
#include <kj/debug.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdio>
#include <mutex>
#include <thread>
#include <vector>

namespace chervilpass::rpc {
namespace {

using LoopWork = std::function<void(LoopContext&)>;

// Ignores failures of background tasks: calls and Serve() report their own, and
// tokens and heartbeats that cannot be sent are dropped.
class IgnoreErrors final : public kj::TaskSet::ErrorHandler {
 public:
  void taskFailed(kj::Exception&&) override {}
};

}  // namespace

struct RpcLoop::State {
  io::Runtime* runtime = nullptr;
  int wake_fd = -1;
  std::mutex mutex;
  std::vector<LoopWork> queue;  // guarded by mutex
  bool stopping = false;        // guarded by mutex
  std::thread thread;

  void Wake() const {
    const std::uint64_t one = 1;
    const ssize_t written = ::write(this->wake_fd, &one, sizeof(one));
    (void)written;  // A full counter also wakes the thread.
  }

  void ClearWake() const {
    std::uint64_t count = 0;
    const ssize_t read_size = ::read(this->wake_fd, &count, sizeof(count));
    (void)read_size;  // The counter may already be 0.
  }

  // Moves all queued work to `work`; false once the loop must stop.
  bool TakeWork(std::vector<LoopWork>* work) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    work->swap(this->queue);
    return !this->stopping;
  }

  void RunThread() {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    IgnoreErrors errors;
    kj::TaskSet tasks(errors);
    LoopContext context{&io, &tasks};
    kj::UnixEventPort::FdObserver observer(
        io.unixEventPort, this->wake_fd,
        kj::UnixEventPort::FdObserver::OBSERVE_READ);
    std::vector<LoopWork> work;
    while (true) {
      // The observer is edge-triggered: the counter is read before the queue,
      // so that work posted after the queue was read triggers a new edge.
      this->ClearWake();
      const bool keep_running = this->TakeWork(&work);
      for (const LoopWork& item : work) {
        item(context);
      }
      if (!keep_running) {
        return;
      }
      if (work.empty()) {
        observer.whenBecomesReadable().wait(io.waitScope);
      } else {
        work.clear();
        io.waitScope.poll();
      }
    }
  }
};

RpcLoop::RpcLoop(std::unique_ptr<State> state) : state(std::move(state)) {}

std::shared_ptr<RpcLoop> RpcLoop::Create(io::Runtime* runtime) {
  auto state = std::make_unique<State>();
  state->runtime = runtime;
  state->wake_fd = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  State* raw = state.get();
  state->thread = std::thread([raw] { raw->RunThread(); });
  return std::shared_ptr<RpcLoop>(new RpcLoop(std::move(state)));
}

RpcLoop::~RpcLoop() {
  {
    const std::lock_guard<std::mutex> lock(this->state->mutex);
    this->state->stopping = true;
  }
  this->state->Wake();
  this->state->thread.join();
  ::close(this->state->wake_fd);
}

void RpcLoop::Post(std::function<void(LoopContext&)> work) {
  bool was_empty = false;
  {
    const std::lock_guard<std::mutex> lock(this->state->mutex);
    was_empty = this->state->queue.empty();
    this->state->queue.push_back(std::move(work));
  }
  if (was_empty) {
    this->state->Wake();
  }
}

io::Runtime& RpcLoop::FiberRuntime() const {
  return *this->state->runtime;
}

}  // namespace chervilpass::rpc
