#include "chervilpass/fleet/store_contact.h"

#include <algorithm>

namespace chervilpass::fleet {
namespace {

constexpr std::size_t kMaxSpans = 16;  // bounds memory

}  // namespace

void StoreContact::Add(AnswerSpan span) {
  this->spans.push_back(span);
  std::sort(this->spans.begin(), this->spans.end());
  std::vector<AnswerSpan> merged;
  for (const AnswerSpan& next : this->spans) {
    if (merged.empty() ||
        next.from - merged.back().to > this->settings.max_gap) {
      merged.push_back(next);
    } else {
      merged.back().to = std::max(merged.back().to, next.to);
    }
  }
  if (merged.size() > kMaxSpans) {
    merged.erase(merged.begin());
  }
  this->spans = std::move(merged);
}

std::optional<AnswerSpan> StoreContact::Newest() const {
  return this->spans.empty() ? std::nullopt
                             : std::optional<AnswerSpan>(this->spans.back());
}

std::optional<Instant> StoreContact::OutageEnd() const {
  return this->spans.size() < 2
             ? std::nullopt
             : std::optional<Instant>(this->spans.back().from);
}

}  // namespace chervilpass::fleet
