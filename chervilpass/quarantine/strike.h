// Strike: a backend server crashed while it ran a request. Clearance: a backend
// server completed the request.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "chervilpass/core/time.h"

namespace chervilpass::quarantine {

/// Evidence that a request crashes backend servers. Requests are identified by
/// a fingerprint: a hash of organisation, pipeline and prompt, or in the router
/// of organisation, request target and body. In the router the fingerprint may
/// also be that of one part of the prompts of many requests.
struct Strike {
  std::uint64_t fingerprint = 0;
  /// The backend server that crashed, with its start if that is known: a server
  /// that has started again can crash again.
  std::string worker;
  WallTime at;  ///< when the run was lost, by the clock of the reporting VM
  /// Independent strikes that the reporting VM knew of when the run began.
  std::uint32_t prior = 0;

  auto operator<=>(const Strike&) const = default;
};

/// Evidence that a request does not crash backend servers: its earlier strikes
/// no longer count.
struct Clearance {
  std::uint64_t fingerprint = 0;
  WallTime at;

  auto operator<=>(const Clearance&) const = default;
};

}  // namespace chervilpass::quarantine
