// Remembers for a short time that requests lacked capacity, by service and
// rank. Less urgent requests leave headroom during that time only.
#pragma once

#include <map>
#include <set>
#include <string>

#include "chervilpass/admission/priority_rank.h"
#include "chervilpass/core/time.h"

namespace chervilpass::admission {

/// Settings of CapacityShortage.
struct CapacityShortageSettings {
  /// After the last request that lacked capacity.
  Duration lifetime = seconds(1);

  bool operator==(const CapacityShortageSettings&) const = default;
};

/// Not thread-safe. Holds one time for each rank of a service.
class CapacityShortage {
 public:
  explicit CapacityShortage(CapacityShortageSettings settings = {})
      : settings(settings) {}

  /// A request found no server with capacity and was refused or dropped.
  void OnRefused(const std::string& service,
                 const PriorityRank& rank,
                 Instant now) {
    this->refused[service][rank] = now;
  }

  /// True if a request more urgent than `rank` lacked capacity recently.
  bool ShortFor(const std::string& service,
                const PriorityRank& rank,
                Instant now) const {
    const auto found = this->refused.find(service);
    if (found == this->refused.end()) {
      return false;
    }
    for (const auto& [refused_rank, at] : found->second) {
      if (refused_rank < rank && now - at < this->settings.lifetime) {
        return true;
      }
    }
    return false;
  }

  /// Services with a request that lacked capacity recently.
  std::set<std::string> Services(Instant now) const {
    std::set<std::string> services;
    for (const auto& [service, times] : this->refused) {
      for (const auto& [rank, at] : times) {
        if (now - at < this->settings.lifetime) {
          services.insert(service);
        }
      }
    }
    return services;
  }

  /// Removes expired times.
  void Expire(Instant now) {
    for (auto& [service, times] : this->refused) {
      std::erase_if(times, [&](const auto& entry) {
        return now - entry.second >= this->settings.lifetime;
      });
    }
    std::erase_if(this->refused,
                  [](const auto& entry) { return entry.second.empty(); });
  }

 private:
  CapacityShortageSettings settings;
  std::map<std::string, std::map<PriorityRank, Instant>> refused;
};

}  // namespace chervilpass::admission
