// Remembers for a short time that requests lacked capacity, by service and
// priority. Less urgent requests leave headroom during that time only.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "chervilpass/core/time.h"

namespace chervilpass::admission {

/// Settings of CapacityShortage.
struct CapacityShortageSettings {
  /// After the last request that lacked capacity.
  Duration lifetime = seconds(1);

  bool operator==(const CapacityShortageSettings&) const = default;
};

/// Not thread-safe. Holds one time for each priority of a service.
class CapacityShortage {
 public:
  explicit CapacityShortage(CapacityShortageSettings settings = {})
      : settings(settings) {}

  /// A request found no server with capacity and was refused or dropped.
  void OnRefused(const std::string& service,
                 std::uint32_t priority,
                 Instant now) {
    this->refused[service][priority] = now;
  }

  /// True if a request more urgent than `priority` lacked capacity recently.
  bool ShortFor(const std::string& service,
                std::uint32_t priority,
                Instant now) const {
    const auto found = this->refused.find(service);
    if (found == this->refused.end()) {
      return false;
    }
    for (const auto& [refused_priority, at] : found->second) {
      if (refused_priority < priority && now - at < this->settings.lifetime) {
        return true;
      }
    }
    return false;
  }

  /// Services with a request that lacked capacity recently.
  std::set<std::string> Services(Instant now) const {
    std::set<std::string> services;
    for (const auto& [service, times] : this->refused) {
      for (const auto& [priority, at] : times) {
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
  std::map<std::string, std::map<std::uint32_t, Instant>> refused;
};

}  // namespace chervilpass::admission
