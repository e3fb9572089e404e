// What this VM knows of the rate limits that backend servers name: the
// requests per second that a server takes from all VMs together.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "chervilpass/core/time.h"

namespace chervilpass::routing {

/// What a backend server said about its rate limit at some time.
struct RateLimit {
  /// Requests per second from all VMs together; none: it takes any number.
  std::optional<double> per_second;
  Instant said_at{};

  bool operator==(const RateLimit&) const = default;
};

/// Settings of a RateLimitTracker.
struct RateLimitTrackerSettings {
  /// How long the end of a limit is remembered, so that older statements of
  /// other VMs do not restore it.
  Duration lifted_lifetime = seconds(10);

  bool operator==(const RateLimitTrackerSettings&) const = default;
};

/// Keyed by incarnation of the server. Not thread-safe.
/// Invariant: of two statements about a server the later one is kept. A limit
/// has no lifetime: a server that is not asked cannot repeat it.
class RateLimitTracker {
 public:
  explicit RateLimitTracker(RateLimitTrackerSettings settings)
      : settings(settings) {}

  /// Records what a response or another VM says. Returns true if the limit
  /// has changed. A server without a known limit that names none leaves no
  /// record.
  bool Record(const std::string& incarnation, const RateLimit& limit);

  /// The limit in force; none if the server takes any number of requests.
  std::optional<double> LimitOf(const std::string& incarnation) const;

  /// The latest statement; none if nothing is known.
  std::optional<RateLimit> Latest(const std::string& incarnation) const;

  /// Statements made at `since` or later, by incarnation.
  std::vector<std::pair<std::string, RateLimit>> Since(Instant since) const;

  bool Empty() const { return this->entries.empty(); }

  /// Records that no request can be sent to the server before `next`.
  void SetNextSend(const std::string& incarnation, Instant next);

  /// Time until a request can be sent to the server, as far as is known; zero
  /// if it has no limit.
  Duration WaitFor(const std::string& incarnation, Instant now) const;

  /// Deletes records of limits that ended long ago, and those of incarnations
  /// for which `is_registered` returns false.
  template <class IsRegistered>
  void Expire(Instant now, IsRegistered is_registered) {
    std::erase_if(this->entries, [&](const auto& entry) {
      const RateLimit& limit = entry.second.limit;
      return !is_registered(entry.first) ||
             (!limit.per_second &&
              now - limit.said_at > this->settings.lifted_lifetime);
    });
  }

 private:
  struct Entry {
    RateLimit limit;
    Instant next_send{};
  };

  RateLimitTrackerSettings settings;
  std::map<std::string, Entry> entries;
};

}  // namespace chervilpass::routing
