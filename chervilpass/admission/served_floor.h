// Finds kinds of requests that are served far less often than all others, so
// that they need not leave headroom any longer.
#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

#include "chervilpass/core/time.h"

namespace chervilpass::admission {

/// Settings of a ServedFloor.
struct ServedFloorSettings {
  /// Served requests among those of a kind, relative to the same of all
  /// requests. Above the quarter that is to be kept, since what follows takes
  /// some seconds.
  double min_share = 0.4;
  Duration half_life = seconds(5);  ///< of what is counted
  /// Fewer requests of a kind recently say nothing.
  double min_requests = 3;
  /// For so long after the last request of a kind, its last `min_requests` ones
  /// count in any case: a kind that sends one request in a few seconds never
  /// has as many within some half-lives.
  Duration retention{0};
  /// Kinds with fewer requests are forgotten.
  double negligible = 0.01;

  bool operator==(const ServedFloorSettings&) const = default;
};

/// Not thread-safe.
class ServedFloor {
 public:
  explicit ServedFloor(ServedFloorSettings settings = {})
      : settings(settings) {}

  /// A request was served or, for lack of capacity, refused.
  void OnEnded(const std::string& kind, bool served, Instant now) {
    for (Counts* counts : {&this->all, &this->kinds[kind]}) {
      this->Decay(counts, now);
      counts->requests += 1;
      counts->served += served ? 1 : 0;
    }
  }

  /// True if the kind is served too seldom.
  bool Below(const std::string& kind, Instant now) const {
    const auto found = this->kinds.find(kind);
    if (found == this->kinds.end()) {
      return false;
    }
    Counts of_kind = found->second;
    this->Decay(&of_kind, now);
    return of_kind.requests >= this->settings.min_requests &&
           of_kind.served * this->all.requests <
               this->settings.min_share * this->all.served * of_kind.requests;
  }

  void Expire(Instant now) {
    std::erase_if(this->kinds, [&](const auto& entry) {
      Counts counts = entry.second;
      this->Decay(&counts, now);
      return counts.requests < this->settings.negligible;
    });
  }

 private:
  struct Counts {
    double requests = 0;
    double served = 0;
    Instant at{};
  };

  void Decay(Counts* counts, Instant now) const {
    double factor = std::exp2(-ToSeconds(now - counts->at) /
                              ToSeconds(this->settings.half_life));
    if (now - counts->at < this->settings.retention) {
      const double kept =
          std::min(counts->requests, this->settings.min_requests);
      if (counts->requests * factor < kept) {
        counts->served *= kept / counts->requests;
        counts->requests = kept;
        factor = 1;
      }
    }
    counts->requests *= factor;
    counts->served *= factor;
    counts->at = now;
  }

  ServedFloorSettings settings;
  Counts all;
  std::map<std::string, Counts> kinds;
};

}  // namespace chervilpass::admission
