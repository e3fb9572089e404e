// What this VM knows of rests: times for which backend servers want no requests
// from it.
#pragma once

#include <map>
#include <string>

#include "chervilpass/core/time.h"

namespace chervilpass::routing {

/// Keyed by incarnation of the server, so that a restarted server does not
/// rest. Not thread-safe.
/// Invariant: of several rests of a server the one that ends last is kept.
class RestTracker {
 public:
  /// Records that a server wants no requests from `now` on for `rest`. Returns
  /// true if it was not resting.
  bool Record(const std::string& incarnation, Duration rest, Instant now);

  /// Time until the rest of a server ends; zero if it does not rest.
  Duration Left(const std::string& incarnation, Instant now) const;

  bool Empty() const { return this->ends.empty(); }

  /// Deletes records of rests that have ended.
  void Expire(Instant now);

 private:
  std::map<std::string, Instant> ends;  ///< of rests, by incarnation
};

}  // namespace chervilpass::routing
