// When the store is known to have answered, to this VM or to others. Tells an
// outage of the store from trouble of one VM that got no answer.
#pragma once

#include <optional>
#include <vector>

#include "chervilpass/core/time.h"

namespace chervilpass::fleet {

/// A time in which the store answered again and again.
struct AnswerSpan {
  Instant from;
  Instant to;

  auto operator<=>(const AnswerSpan&) const = default;
};

/// Settings of a StoreContact.
struct StoreContactSettings {
  /// A longer time without any answer is an outage. A VM whose relays fall
  /// silent asks the store itself at most 2.7 s after the last answer of which
  /// it knows.
  Duration max_gap = milliseconds(2700);

  bool operator==(const StoreContactSettings&) const = default;
};

/// The spans in which the store answered any VM, as far as this VM has heard. A
/// gap in the answers to one VM is an outage only if no other VM got answers in
/// it. Not thread-safe. Invariant: the spans are in order, with gaps longer
/// than `max_gap` between them.
class StoreContact {
 public:
  explicit StoreContact(StoreContactSettings settings = {})
      : settings(settings) {}

  /// The store answered this VM.
  void OnAnswer(Instant at) { this->Add({at, at}); }

  /// The store answered another VM in this span.
  void Add(AnswerSpan span);

  /// The newest span; null before the first answer.
  std::optional<AnswerSpan> Newest() const;

  /// End of the last outage; null if none is known.
  std::optional<Instant> OutageEnd() const;

 private:
  StoreContactSettings settings;
  std::vector<AnswerSpan> spans;
};

}  // namespace chervilpass::fleet
