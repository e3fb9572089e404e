// Strike: a backend server crashed while it ran a request.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "chervilpass/core/time.h"

namespace chervilpass::quarantine {

/// Evidence that a request crashes backend servers. Requests are identified by
/// a fingerprint: a hash of organisation, pipeline and prompt, or in the router
/// of organisation, request target and body.
struct Strike {
  std::uint64_t fingerprint = 0;
  std::string worker;  ///< the backend server that crashed
  WallTime at;

  auto operator<=>(const Strike&) const = default;
};

}  // namespace chervilpass::quarantine
