// Splits an event stream (text/event-stream) into whole events and checks that
// their ids go on without a gap.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervilpass::serving {

/// What an event is to the stream that the caller has seen so far.
enum class EventOrder {
  kNext,       ///< The one that follows.
  kRepeated,   ///< The caller has it already.
  kGap,        ///< At least one before it is missing.
  kUnnumbered  ///< Without an id, such as a comment.
};

/// One whole event with its blank line.
struct StreamEvent {
  std::string_view bytes;  ///< valid until the next call
  std::optional<std::uint64_t> id;
};

/// Collects bytes of one run. Not thread-safe.
class EventSplitter {
 public:
  /// Adds bytes as they arrive.
  void Feed(std::string_view bytes);

  /// The next whole event, if there is one.
  std::optional<StreamEvent> Next();

  /// True if bytes of an unfinished event are held.
  bool HasPartial() const { return this->start < this->buffer.size(); }

 private:
  std::string buffer;
  std::size_t start = 0;  ///< of the first event not handed out
};

/// The ids that a caller has seen. Invariant: ids handed on rise by one.
class EventSequence {
 public:
  /// `last_seen` is the id after which the caller wants to go on.
  explicit EventSequence(std::optional<std::uint64_t> last_seen)
      : last(last_seen) {}

  /// Judges an event; kNext advances the sequence.
  EventOrder Accept(const std::optional<std::uint64_t>& id);

  const std::optional<std::uint64_t>& Last() const { return this->last; }

 private:
  std::optional<std::uint64_t> last;
};

}  // namespace chervilpass::serving
