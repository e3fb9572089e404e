// Ends what is done for a request once its caller has gone or its time is up.
#pragma once

#include <algorithm>
#include <memory>

#include "chervilpass/core/time.h"
#include "chervilpass/io/alarm.h"
#include "chervilpass/io/http_client.h"
#include "chervilpass/io/http_server.h"

namespace chervilpass::serving {

/// Why the work for a request was stopped.
enum class StopReason {
  kNone,
  kCallerGone,  ///< The caller has closed its connection.
  kTimedOut,    ///< The caller's deadline or the route's timeout has passed.
  kStalled,     ///< The backend server shows no progress; another may.
};

/// Watches the caller and the clock while a request is served. Fiber thread
/// only; lives in the fiber that serves the request.
class CallScope {
 public:
  /// The request must have its final answer within `time_left`.
  CallScope(io::Runtime* runtime,
            io::HttpExchange* exchange,
            Duration time_left)
      : runtime(runtime),
        end(runtime->Now() + time_left),
        alarm(runtime,
              time_left,
              [this] { this->Stop(StopReason::kTimedOut); }),
        flag(std::make_shared<CallScope*>(this)) {
    exchange->WatchPeer([flag = this->flag] {
      if (*flag != nullptr) {
        (*flag)->Stop(StopReason::kCallerGone);
      }
    });
  }
  ~CallScope() { *this->flag = nullptr; }
  CallScope(const CallScope&) = delete;
  CallScope& operator=(const CallScope&) = delete;

  /// The call to cancel when the work is stopped; null for none.
  void SetCall(io::HttpCall* current) { this->call = current; }

  /// Cancels the call. The first reason stays, except that a stall gives way
  /// to a final reason.
  void Stop(StopReason why) {
    if (this->reason == StopReason::kNone ||
        this->reason == StopReason::kStalled) {
      this->reason = why;
    }
    if (this->call != nullptr) {
      this->call->Cancel();
    }
  }

  /// After a stall the work goes on with another call.
  void ResumeAfterStall() {
    if (this->reason == StopReason::kStalled) {
      this->reason = StopReason::kNone;
    }
  }

  StopReason Reason() const { return this->reason; }

  /// True once the work must not go on.
  bool Ended() const {
    return this->reason == StopReason::kCallerGone ||
           this->reason == StopReason::kTimedOut;
  }

  Duration TimeLeft() const {
    return std::max(Duration::zero(), this->end - this->runtime->Now());
  }

 private:
  io::Runtime* runtime;
  Instant end;
  StopReason reason = StopReason::kNone;
  io::HttpCall* call = nullptr;
  io::Alarm alarm;
  std::shared_ptr<CallScope*> flag;  ///< null in it once the scope has ended
};

}  // namespace chervilpass::serving
