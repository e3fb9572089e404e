// Stops the work for a request when its caller disconnects, its deadline passes
// or the process ends.
#pragma once

#include <algorithm>
#include <memory>
#include <set>
#include <utility>

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
  kStalled,     ///< The backend server makes no progress; another one may.
  kShutdown,    ///< The process ends before a response could begin.
};

class CallScope;

/// The scopes of the requests that are being served.
using CallScopes = std::set<CallScope*>;

/// Watches the caller's connection and the deadline while a request is served.
/// Fiber thread only; owned by the fiber that serves the request.
class CallScope {
 public:
  /// The final response is due within `time_left`. The scope is in `scopes`
  /// during its lifetime.
  CallScope(io::Runtime* runtime,
            io::HttpExchange* exchange,
            Duration time_left,
            CallScopes* scopes)
      : runtime(runtime),
        scopes(scopes),
        deadline(runtime->Now() + time_left),
        alarm(runtime,
              time_left,
              [this] { this->Stop(StopReason::kTimedOut); }),
        self(std::make_shared<CallScope*>(this)) {
    scopes->insert(this);
    exchange->WatchPeer([self = this->self] {
      if (*self != nullptr) {
        (*self)->Stop(StopReason::kCallerGone);
      }
    });
  }
  ~CallScope() {
    *this->self = nullptr;
    this->scopes->erase(this);
  }
  CallScope(const CallScope&) = delete;
  CallScope& operator=(const CallScope&) = delete;

  /// Sets the call that `Stop` cancels; null for none.
  void SetCall(io::HttpCall* current) { this->call = current; }

  /// The head of a streamed response is sent: no other response can follow.
  void SetResponseBegun() { this->response_begun = true; }
  bool ResponseBegun() const { return this->response_begun; }

  /// Cancels the call. The first reason is kept, except that a later reason
  /// replaces kStalled.
  void Stop(StopReason new_reason) {
    if (this->reason == StopReason::kNone ||
        this->reason == StopReason::kStalled) {
      this->reason = new_reason;
    }
    if (this->call != nullptr) {
      this->call->Cancel();
    }
  }

  /// Clears kStalled, so that the work can continue with another call.
  void ResumeAfterStall() {
    if (this->reason == StopReason::kStalled) {
      this->reason = StopReason::kNone;
    }
  }

  /// The call in progress may be stopped and made again elsewhere.
  void SetRestartable(bool new_restartable) {
    this->restartable = new_restartable;
  }
  bool Restartable() const { return this->restartable; }

  /// A retry of the call has been taken from the retry budget in advance.
  void SetRetryPaid() { this->retry_paid = true; }

  /// True if the next retry has been paid for; once.
  bool TakePaidRetry() { return std::exchange(this->retry_paid, false); }

  StopReason Reason() const { return this->reason; }

  /// True once the caller has disconnected, the deadline has passed or the
  /// process ends.
  bool Stopped() const {
    return this->reason != StopReason::kNone &&
           this->reason != StopReason::kStalled;
  }

  Duration TimeLeft() const {
    return std::max(Duration::zero(), this->deadline - this->runtime->Now());
  }

 private:
  io::Runtime* runtime;
  CallScopes* scopes;
  bool response_begun = false;
  bool restartable = false;
  bool retry_paid = false;
  Instant deadline;
  StopReason reason = StopReason::kNone;
  io::HttpCall* call = nullptr;
  io::Alarm alarm;
  std::shared_ptr<CallScope*> self;  ///< points to null after destruction
};

}  // namespace chervilpass::serving
