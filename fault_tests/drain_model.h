// A leaving process and one or more of its requests in virtual time. The
// decisions are those of the product (DrainController, ShutdownGate); servers,
// callers, connections and the clock are modelled.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "chervilpass/drain/drain_controller.h"
#include "chervilpass/serving/shutdown_gate.h"

namespace chervilpass::fault_tests {

/// What a request is, and how it reaches the process.
enum class RequestKind {
  kCall,
  kStream,
  kBodyInParts,  ///< a call whose body arrives after its head
  kForwarded,    ///< a stream, sent by another VM
  kKept,         ///< a call on a connection that is idle before
};
constexpr int kRequestKinds = 5;

/// Times of the events of a request, after the order to stop; none: never.
struct RequestPlan {
  RequestKind kind = RequestKind::kCall;
  Duration head{0};                 ///< the head, and what follows it at once
  std::optional<Duration> body;     ///< the end of the body, kBodyInParts only
  std::optional<Duration> begun;    ///< the first event, streams only
  std::optional<Duration> ended;    ///< the end of the server's response
  Duration deadline = seconds(20);  ///< after the head; streams only
  /// From the response's last byte until its caller has received it.
  std::optional<Duration> receive_time = Duration::zero();

  bool operator==(const RequestPlan&) const = default;
};

/// What happens to the process meanwhile.
struct ProcessPlan {
  Duration grace = seconds(8);
  bool whole_grace = true;
  Duration new_grace = seconds(8);  ///< from `grace_changes` on
  Duration grace_changes{0};
  Duration lasting_delay{0};  ///< by which each wait is late in this time
  Duration delays_begin{0};
  Duration delays_end = seconds(100);
  Duration single_delay{0};  ///< the same for the first one from `delayed` on
  Duration delayed{0};

  bool operator==(const ProcessPlan&) const = default;
};

/// A decision that is left out or taken wrongly, to show that the checks fail.
enum class DrainFlaw {
  kNone,
  kIgnoreDelays,      ///< the end does not come nearer while waits are late
  kReadSettingsOnce,  ///< a changed grace period is not noticed
  kIgnoreUnsent,      ///< responses that are not acknowledged are not awaited
  kKeepUnread,        ///< what has arrived in part is not refused
  kKeepUnanswered,    ///< calls get no response before the end
  kAcceptAll,         ///< estimates are not looked at
  kNoReserve,        ///< late streams have no time for an end that comes nearer
  kForgetForwarded,  ///< requests of other VMs do not count as in progress
  kLateExit,         ///< the exit is as late as the kill
  kTrustEstimates,   ///< late streams are sent by estimates
};
constexpr int kDrainFlaws = 11;
std::string DrainFlawName(DrainFlaw flaw);

/// What went wrong in a schedule.
enum class DrainViolation {
  kCutRequest,      ///< a request that was read has no whole response
  kUnansweredCall,  ///< a call has no response when the process ends
  kUnreadRequest,   ///< one that arrived in part is not answered in time
  kKilled,          ///< the process outlived its grace period
  kEndedEarly,      ///< it ended although something could still be done
  kOvertaken,       ///< a request was sent that could not end in time
};
constexpr int kDrainViolations = 6;
std::string DrainViolationName(DrainViolation violation);

struct DrainResult {
  std::vector<DrainViolation> violations;
  std::uint64_t steps = 0;            ///< decisions of the controller
  std::vector<std::uint64_t> states;  ///< hashes of those between them
  Duration ended{0};                  ///< after the order to stop
};

/// Plays one schedule. Deterministic.
DrainResult PlayDrain(const ProcessPlan& process,
                      const std::vector<RequestPlan>& requests,
                      DrainFlaw flaw);

/// The plans as text, for a report.
std::string Describe(const ProcessPlan& process,
                     const std::vector<RequestPlan>& requests);

}  // namespace chervilpass::fault_tests
