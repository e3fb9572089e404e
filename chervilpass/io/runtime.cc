#include "chervilpass/io/runtime.h"

#include <signal.h>
#include <unistd.h>

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <cstdlib>
#include <exception>
#include <future>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "chervilpass/core/last_lines.h"
#include "chervilpass/io/address_wait.h"
#include "chervilpass/io/await.h"
#include "chervilpass/io/fiber_scheduler.h"

namespace chervilpass::io {
namespace {

// Maximum delay of a log line; a longer period saves wake-ups.
constexpr Duration kLogFlushPeriod = milliseconds(200);

constexpr std::array kHandledSignals = {SIGTERM, SIGINT, SIGHUP};
// They would end the process by default, as the real-time signals would.
constexpr std::array kIgnoredSignals = {SIGPIPE,   SIGUSR1, SIGUSR2,  SIGALRM,
                                        SIGVTALRM, SIGPROF, SIGXFSZ,  SIGXCPU,
                                        SIGIO,     SIGPWR,  SIGSTKFLT};
// They end the process, after its last lines.
constexpr std::array kFatalSignals = {SIGQUIT, SIGILL, SIGTRAP, SIGABRT,
                                      SIGBUS,  SIGFPE, SIGSEGV, SIGSYS};
// For the handler of fatal signals, if the stack of a fiber is used up.
constexpr std::size_t kSignalStackSize = 64 * 1024;  // bytes

const Logger* process_log = nullptr;

[[noreturn]] void LogAndAbort() {
  std::string detail = "no exception";
  try {
    if (const auto exception = std::current_exception()) {
      std::rethrow_exception(exception);
    }
  } catch (const std::exception& exception) {
    detail = exception.what();
  } catch (...) {
    detail = "not a standard exception";
  }
  process_log->Error("process.terminated", {{"detail", detail}});
  std::abort();
}

bool HasDefaultEffect(int number) {
  struct sigaction current {};
  return ::sigaction(number, nullptr, &current) == 0 &&
         (current.sa_flags & SA_SIGINFO) == 0 && current.sa_handler == SIG_DFL;
}

void IgnoreByDefault(int number) {
  if (HasDefaultEffect(number)) {
    ::signal(number, SIG_IGN);
  }
}

// Runs once, and ends the process as the signal would have done without it.
void OnFatalSignal(int number) {
  WriteLastLines(number);
  ::raise(number);
}

void HandleFatalSignals() {
  struct sigaction action {};
  action.sa_handler = OnFatalSignal;
  action.sa_flags = static_cast<int>(SA_RESETHAND | SA_ONSTACK);
  ::sigfillset(&action.sa_mask);
  for (const int number : kFatalSignals) {
    if (HasDefaultEffect(number)) {
      ::sigaction(number, &action, nullptr);
    }
  }
}

// Of the calling thread, unless it has one.
void ProvideSignalStack() {
  stack_t current{};
  if (::sigaltstack(nullptr, &current) == 0 &&
      (current.ss_flags & SS_DISABLE) != 0) {
    static std::array<char, kSignalStackSize> memory;
    stack_t stack{};
    stack.ss_sp = memory.data();
    stack.ss_size = memory.size();
    ::sigaltstack(&stack, nullptr);
  }
}

void ChangeMask(int how) {
  sigset_t signals;
  ::sigemptyset(&signals);
  for (const int number : kHandledSignals) {
    ::sigaddset(&signals, number);
  }
  ::pthread_sigmask(how, &signals, nullptr);
}

}  // namespace

struct Runtime::State {
  // The handlers stay installed until the process ends.
  void WatchSignals() {
    if (this->signals) {
      return;
    }
    this->signals.emplace(this->context);
    for (const int number : kHandledSignals) {
      this->signals->add(number);
    }
    this->AwaitSignal();
    // Delivers the signals that have arrived since PrepareSignals.
    ChangeMask(SIG_UNBLOCK);
  }

  void AwaitSignal() {
    this->signals->async_wait(
        [this](boost::system::error_code error, int number) {
          if (!error) {
            this->OnSignal(number);
            this->AwaitSignal();
          }
        });
  }

  void OnSignal(int number) {
    const bool reload = number == SIGHUP;
    std::string_view effect = "stop";
    if (reload) {
      effect = this->on_reload ? "reload" : "none";
    } else if (this->stop_requested) {
      effect = this->on_further_stop ? "stop, again" : "none, is stopping";
    }
    if (this->signal_log != nullptr) {
      // A further order to stop has a grace period of its own.
      this->signal_log->Write(
          !reload && this->stop_requested ? LogLevel::kWarning
                                          : LogLevel::kInfo,
          "signal.received", {{"number", number}, {"effect", effect}});
    }
    if (reload) {
      if (this->on_reload) {
        boost::fibers::fiber(this->on_reload).detach();
      }
      return;
    }
    const bool further = std::exchange(this->stop_requested, true);
    if (this->on_stop) {
      std::exchange(this->on_stop, nullptr)();
    } else if (further && this->on_further_stop) {
      boost::fibers::fiber(this->on_further_stop).detach();
    }
  }

  boost::asio::io_context context{1};
  PollerSlot poller;
  std::optional<boost::asio::signal_set> signals;
  const Logger* signal_log = nullptr;
  bool stop_requested = false;
  std::function<void()> on_stop;
  std::function<void()> on_further_stop;
  std::function<void()> on_reload;
};

Runtime::Runtime() : state(std::make_unique<State>()) {}
Runtime::~Runtime() = default;

void Runtime::PrepareSignals() {
  ChangeMask(SIG_BLOCK);
  for (const int number : kIgnoredSignals) {
    IgnoreByDefault(number);
  }
  // Without those that the C library reserves.
  for (int number = SIGRTMIN; number <= SIGRTMAX; ++number) {
    IgnoreByDefault(number);
  }
  HandleFatalSignals();
}

void Runtime::Run(const std::function<void(Runtime&)>& body) {
  // At the end of its thread the scheduler waits for all fibers, some of which
  // never end. The thread therefore pauses for ever and the runtime is leaked.
  auto* runtime = new Runtime();
  std::promise<void> ended;
  std::thread([runtime, &body, &ended] {
    ProvideSignalStack();
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
  State& state = *this->state;
  state.WatchSignals();
  if (!state.stop_requested) {
    Await([&state](auto handler) {
      state.on_stop = [handler]() mutable { handler({}, 0); };
    });
  }
}

void Runtime::OnFurtherStopSignal(std::function<void()> on_stop) {
  this->state->on_further_stop = std::move(on_stop);
}

void Runtime::OnReloadSignal(std::function<void()> on_reload) {
  this->state->on_reload = std::move(on_reload);
  this->state->WatchSignals();
}

void Runtime::LogTo(const Logger* log) {
  this->state->signal_log = log;
  process_log = log;
  std::set_terminate(LogAndAbort);
}

const Logger* ProcessLog() {
  return process_log;
}

boost::asio::io_context& Runtime::Context() {
  return this->state->context;
}

}  // namespace chervilpass::io
