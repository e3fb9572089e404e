// Remembers which requests were refused recently for lack of capacity, to
// recognise those that their callers submit again.
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

/// Not thread-safe. Each refusal stands for one return, so that requests that
/// are alike by nature do not all count as returned.
/// Invariant: each time in `times` has an entry in `order`.
class RecentRefusals {
 public:
  explicit RecentRefusals(RecentRefusalsSettings settings = {})
      : settings(settings) {}

  void OnRefused(std::uint64_t fingerprint, Instant now) {
    this->Expire(now);
    this->times[fingerprint].push_back(now);
    this->order.emplace_back(now, fingerprint);
    while (this->order.size() > this->settings.max_requests) {
      this->RemoveOldest();
    }
  }

  /// True if a request with this fingerprint was refused recently and has not
  /// returned since. It has now.
  bool TakeReturn(std::uint64_t fingerprint, Instant now) {
    this->Expire(now);
    const auto found = this->times.find(fingerprint);
    if (found == this->times.end()) {
      return false;
    }
    this->RemoveFirst(found);
    return true;
  }

  void Expire(Instant now) {
    while (!this->order.empty() &&
           now - this->order.front().first >= this->settings.lifetime) {
      this->RemoveOldest();
    }
  }

  std::size_t Size() const { return this->order.size(); }

 private:
  using Times = std::unordered_map<std::uint64_t, std::deque<Instant>>;

  // The entry of a refusal that has returned is removed from `order` only here.
  void RemoveOldest() {
    const auto [at, fingerprint] = this->order.front();
    this->order.pop_front();
    const auto found = this->times.find(fingerprint);
    if (found != this->times.end() && found->second.front() == at) {
      this->RemoveFirst(found);
    }
  }

  void RemoveFirst(Times::iterator found) {
    found->second.pop_front();
    if (found->second.empty()) {
      this->times.erase(found);
    }
  }

  RecentRefusalsSettings settings;
  Times times;  ///< of refusals without a return, the oldest first
  std::deque<std::pair<Instant, std::uint64_t>> order;
};

}  // namespace chervilpass::admission
