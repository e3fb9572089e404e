// Remembers which requests were refused lately, to recognise those that their
// callers submit again.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

#include "chervilpass/core/time.h"

namespace chervilpass::admission {

/// Settings of RecentRefusals.
struct RecentRefusalsSettings {
  /// Above the longest time that callers are told to wait.
  Duration lifetime = seconds(30);
  std::size_t max_requests = 4096;  ///< the oldest are forgotten first

  bool operator==(const RecentRefusalsSettings&) const = default;
};

/// Not thread-safe.
/// Invariant: each fingerprint in `times` has an entry in `order` with its
/// time.
class RecentRefusals {
 public:
  explicit RecentRefusals(RecentRefusalsSettings settings = {})
      : settings(settings) {}

  void OnRefused(std::uint64_t fingerprint, Instant now) {
    this->Expire(now);
    this->times[fingerprint] = now;
    this->order.emplace_back(now, fingerprint);
    while (this->order.size() > this->settings.max_requests) {
      this->RemoveOldest();
    }
  }

  /// True if a request with this fingerprint was refused lately.
  bool Contains(std::uint64_t fingerprint, Instant now) const {
    const auto found = this->times.find(fingerprint);
    return found != this->times.end() &&
           now - found->second < this->settings.lifetime;
  }

  void Expire(Instant now) {
    while (!this->order.empty() &&
           now - this->order.front().first >= this->settings.lifetime) {
      this->RemoveOldest();
    }
  }

  std::size_t Size() const { return this->order.size(); }

 private:
  // A fingerprint that was refused again keeps its later time.
  void RemoveOldest() {
    const auto [at, fingerprint] = this->order.front();
    this->order.pop_front();
    const auto found = this->times.find(fingerprint);
    if (found != this->times.end() && found->second == at) {
      this->times.erase(found);
    }
  }

  RecentRefusalsSettings settings;
  std::unordered_map<std::uint64_t, Instant> times;
  std::deque<std::pair<Instant, std::uint64_t>> order;
};

}  // namespace chervilpass::admission
