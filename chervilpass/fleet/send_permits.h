// Permits to send requests to backend servers that name a rate limit. The limit
// holds for all VMs together, so one VM schedules the requests to a server: the
// one that rendezvous hashing assigns to it among the VMs that are alive. It
// keeps nothing that must outlive it.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "chervilpass/core/log.h"
#include "chervilpass/core/metrics.h"
#include "chervilpass/io/runtime.h"
#include "chervilpass/io/udp_socket.h"
#include "chervilpass/membership/member.h"
#include "chervilpass/routing/rate_scheduler.h"
#include "chervilpass/serving/routing_state.h"

namespace chervilpass::fleet {

/// Settings of a SendPermits.
struct SendPermitsSettings {
  io::Endpoint listen;  ///< UDP; all VMs use the same port
  Duration reply_timeout = milliseconds(15);
  std::uint32_t attempts = 2;  ///< datagrams may be lost
  /// A VM that has not replied is not asked again for this long.
  Duration silent_time = seconds(1);
  routing::RateSchedulerSettings scheduler;

  bool operator==(const SendPermitsSettings&) const = default;
};

/// Acquires permits and grants them to other VMs. Fiber thread only.
class SendPermits {
 public:
  /// Starts to listen; an error if the address cannot be used. `members`
  /// returns all known VMs, this one first.
  static Result<std::unique_ptr<SendPermits>, io::HttpError> Create(
      io::Runtime* runtime,
      serving::RoutingState* routing_state,
      MetricsRegistry* metrics,
      const Logger* log,
      SendPermitsSettings settings,
      std::function<const std::vector<membership::Member>&()> members);
  ~SendPermits();

  /// Reserves a time to send a request to a server, at most `max_wait` ahead.
  /// Granted at once for a server without a limit. If the VM that schedules
  /// the server does not reply, this VM uses an even share of the limit.
  routing::Reservation Acquire(const std::string& server, Duration max_wait);

  /// Payload bytes of all permit datagrams that this VM has sent.
  std::uint64_t BytesSent() const;

 private:
  struct State;
  explicit SendPermits(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

}  // namespace chervilpass::fleet
