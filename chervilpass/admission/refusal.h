// Refusals: final responses to requests that are not completed. They state
// whether any part of the request has run.
#pragma once

#include <string>
#include <string_view>

#include "chervilpass/core/time.h"

namespace chervilpass::admission {

/// Whether any part of the request ran on a backend server.
/// Invariant: kNo is stated only if no byte of the request can have reached a
/// backend server, or the backend server itself refused it.
enum class Executed { kNo, kYes, kUnknown };

/// Why a request was refused. The values are sent between daemons.
enum class RefusalCode : std::uint16_t {
  kMalformed = 1,          ///< The request cannot be read.
  kTooLarge = 2,           ///< A header or body is over its limit.
  kUnauthorized = 3,       ///< Missing or wrong key.
  kNotFound = 4,           ///< Unknown path, pipeline or service.
  kDeadlinePassed = 5,     ///< No answer is possible before the deadline.
  kKeyReused = 6,          ///< Idempotency key used with another request.
  kKeyRequired = 7,        ///< The call may not be repeated and has no key.
  kInProgress = 8,         ///< A call with the same key is running.
  kOutcomeUnknown = 9,     ///< An earlier call with this key may have run.
  kOverloaded = 10,        ///< The queue is full or a limit is reached.
  kNoBackend = 11,         ///< No live backend server can serve it.
  kBackendFailed = 12,     ///< Retries are used up.
  kQuarantined = 13,       ///< The request has crashed backend servers.
  kStoreUnavailable = 14,  ///< The claim cannot be stored durably now.
  kLeaving = 15,           ///< This VM is leaving; use another address.
  kNotReady = 16,          ///< No configuration is known yet.
  kTimedOut = 17,          ///< No answer arrived in time.
  kMethod = 18,            ///< The path does not allow the method.
  kNotImplemented = 19,    ///< The method is not known.
};

/// A refusal of one request.
struct Refusal {
  RefusalCode code = RefusalCode::kMalformed;
  Executed executed = Executed::kNo;
  Duration retry_after{0};  ///< Zero if a retry does not help.
  std::string detail;       ///< What is wrong, for the caller.

  bool operator==(const Refusal&) const = default;
};

/// HTTP status of the code, whether or not the request has run.
unsigned HttpStatus(RefusalCode code);

/// HTTP status of a refusal. 429, 503 and 408 are reserved for requests that
/// have not run, since callers retry those.
unsigned HttpStatus(const Refusal& refusal);

/// Short stable name, used as the problem type and in metrics.
std::string_view RefusalName(RefusalCode code);

/// "no", "yes" or "unknown".
std::string_view ExecutedName(Executed executed);

}  // namespace chervilpass::admission
