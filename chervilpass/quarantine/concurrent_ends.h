// Tells servers that a request crashed from servers that ended together for
// another cause, such as the loss of a rack: a run ends one server at most.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "chervilpass/core/time.h"

namespace chervilpass::quarantine {

/// Settings of a ConcurrentEnds.
struct ConcurrentEndsSettings {
  /// Ends and losses within this time of each other count as concurrent: the
  /// end of a server is noticed up to a probe timeout after the loss of a run.
  Duration window = milliseconds(500);

  bool operator==(const ConcurrentEndsSettings&) const = default;
};

/// Remembers the latest ends of servers and losses of runs. Not thread-safe.
/// Invariant: nothing older than the window is kept.
class ConcurrentEnds {
 public:
  explicit ConcurrentEnds(ConcurrentEndsSettings settings)
      : settings(settings) {}

  /// A server has ended. One that ends again and again counts once.
  void OnServerEnded(const std::string& server, Instant now);

  /// A run, named by its serial number, with these parts of a prompt was lost.
  void OnRunLost(std::uint64_t serial,
                 const std::vector<std::uint64_t>& parts,
                 Instant now);

  /// True if more servers have ended just now than runs with any of these parts
  /// were lost: not all of the ends can be due to the parts.
  bool ExceedRunsWith(const std::vector<std::uint64_t>& parts, Instant now);

 private:
  struct End {
    std::string server;
    Instant at;
  };
  struct Loss {
    std::uint64_t serial = 0;
    std::vector<std::uint64_t> parts;
    Instant at;
  };

  void Expire(Instant now);

  ConcurrentEndsSettings settings;
  std::deque<End> ends;
  std::deque<Loss> losses;
};

}  // namespace chervilpass::quarantine
