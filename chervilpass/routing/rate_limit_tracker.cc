#include "chervilpass/routing/rate_limit_tracker.h"

#include <algorithm>

namespace chervilpass::routing {

bool RateLimitTracker::Record(const std::string& incarnation,
                              const RateLimit& limit) {
  const auto found = this->entries.find(incarnation);
  if (found == this->entries.end()) {
    if (limit.per_second) {
      this->entries[incarnation].limit = limit;
    }
    return limit.per_second.has_value();
  }
  RateLimit& known = found->second.limit;
  if (limit.said_at < known.said_at) {
    return false;
  }
  const bool changed = known.per_second != limit.per_second;
  known = limit;
  if (!limit.per_second) {
    found->second.next_send = Instant{};
  }
  return changed;
}

std::optional<double> RateLimitTracker::LimitOf(
    const std::string& incarnation) const {
  const auto found = this->entries.find(incarnation);
  return found == this->entries.end() ? std::nullopt
                                      : found->second.limit.per_second;
}

std::optional<RateLimit> RateLimitTracker::Latest(
    const std::string& incarnation) const {
  const auto found = this->entries.find(incarnation);
  return found == this->entries.end()
             ? std::nullopt
             : std::optional<RateLimit>(found->second.limit);
}

std::vector<std::pair<std::string, RateLimit>> RateLimitTracker::Since(
    Instant since) const {
  std::vector<std::pair<std::string, RateLimit>> recent;
  for (const auto& [incarnation, entry] : this->entries) {
    if (entry.limit.said_at >= since) {
      recent.emplace_back(incarnation, entry.limit);
    }
  }
  return recent;
}

void RateLimitTracker::SetNextSend(const std::string& incarnation,
                                   Instant next) {
  const auto found = this->entries.find(incarnation);
  if (found != this->entries.end() && found->second.limit.per_second) {
    found->second.next_send = next;
  }
}

Duration RateLimitTracker::WaitFor(const std::string& incarnation,
                                   Instant now) const {
  const auto found = this->entries.find(incarnation);
  return found == this->entries.end()
             ? Duration::zero()
             : std::max(Duration::zero(), found->second.next_send - now);
}

}  // namespace chervilpass::routing
