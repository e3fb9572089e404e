// Schedules the requests of all VMs to a backend server with a rate limit, by
// the generic cell rate algorithm (ITU-T I.371): requests are sent at regular
// intervals, and a request may reserve a time that lies ahead.
#pragma once

#include <map>
#include <string>

#include "chervilpass/core/time.h"

namespace chervilpass::routing {

/// Settings of a RateScheduler.
struct RateSchedulerSettings {
  /// Unused time that may be made up for by a burst.
  Duration burst_time = milliseconds(500);
  /// Requests per second that are sent at least, so that the end of a limit of
  /// zero is noticed.
  double min_rate = 0.1;

  bool operator==(const RateSchedulerSettings&) const = default;
};

/// Outcome of a reservation.
struct Reservation {
  bool granted = false;
  /// If granted, until the request may be sent; else until the next time that
  /// can be reserved.
  Duration wait{0};

  auto operator<=>(const Reservation&) const = default;
};

/// Not thread-safe.
/// Invariant: within any time t, at most (t + burst_time) * rate + 1 requests
/// of a server are granted.
class RateScheduler {
 public:
  explicit RateScheduler(RateSchedulerSettings settings) : settings(settings) {}

  /// Reserves the next time to send a request to `server`, which takes
  /// `per_second` requests, if that is at most `max_wait` ahead.
  Reservation Reserve(const std::string& server,
                      double per_second,
                      Duration max_wait,
                      Instant now);

  /// Deletes the records of servers without reservations.
  void Expire(Instant now);

 private:
  RateSchedulerSettings settings;
  /// The theoretical arrival time of the next request, by server.
  std::map<std::string, Instant> next_arrival;
};

}  // namespace chervilpass::routing
