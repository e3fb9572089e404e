// What the router is doing for a request, for the log of a process that ends.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "chervilpass/core/time.h"

namespace chervilpass::serving {

/// The state of a request that is being served. Written by the fiber that
/// serves it, read by the one that logs.
struct RequestProgress {
  std::string server;  ///< of the run in progress; empty if there is none
  /// Begin of that run, or end of the latest one.
  std::optional<Instant> run_changed;
  /// What keeps the request from going on; a literal, empty if nothing does.
  std::string_view waits_for;
  std::uint64_t events = 0;  ///< of a stream, sent to the caller
  std::optional<Instant> latest_event;
  /// Of the latest send while this VM leaves.
  std::optional<Instant> sent_while_leaving;
  std::optional<Duration> expected;  ///< the estimate at that send

  bool Runs() const { return !this->server.empty(); }

  /// A run on `first_server` begins.
  void BeginRun(std::string first_server, Instant now) {
    this->server = std::move(first_server);
    this->run_changed = now;
  }

  void EndRun(Instant now) {
    this->server.clear();
    this->run_changed = now;
  }
};

/// States what a request waits for during its lifetime.
class WaitLabel {
 public:
  WaitLabel(RequestProgress* progress, std::string_view waits_for)
      : progress(progress),
        outer(std::exchange(progress->waits_for, waits_for)) {}
  ~WaitLabel() { this->progress->waits_for = this->outer; }
  WaitLabel(const WaitLabel&) = delete;
  WaitLabel& operator=(const WaitLabel&) = delete;

 private:
  RequestProgress* progress;
  std::string_view outer;
};

}  // namespace chervilpass::serving
