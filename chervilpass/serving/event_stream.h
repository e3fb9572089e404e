// Splits an event stream (text/event-stream) into complete events and checks
// that their ids are consecutive.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervilpass::serving {

/// Largest event of a stream, in bytes. A longer one is no event of a sound
/// worker, and its begin is held until its end.
inline constexpr std::size_t kMaxEventBytes = 256 * 1024;

/// Position of an event relative to the events that the caller has received.
enum class EventOrder {
  kNext,        ///< The next one.
  kRepeated,    ///< The caller has received it already.
  kGap,         ///< At least one before it is missing.
  kUnnumbered,  ///< Without an id, such as a comment.
  kForeign      ///< Not an event of the stream, such as an error message.
};

/// A complete event, including its blank line.
struct StreamEvent {
  std::string_view bytes;  ///< valid until the next `Feed`
  std::optional<std::uint64_t> id;
  bool has_data = false;
  /// All lines are comments or fields of an event.
  bool well_formed = true;
};

/// Splits the bytes of one run of a request into events. Not thread-safe.
class EventSplitter {
 public:
  /// Besides the fields of text/event-stream, events may have a field of this
  /// name; it must stay valid.
  explicit EventSplitter(std::string_view extension_field)
      : extension_field(extension_field) {}

  /// Appends received bytes.
  void Feed(std::string_view bytes);

  /// The next complete event; empty if more bytes are needed.
  std::optional<StreamEvent> Next();

  /// True if an incomplete event exceeds kMaxEventBytes.
  bool TooLarge() const {
    return this->buffer.size() - this->start > kMaxEventBytes;
  }

  /// True if bytes of an incomplete event are buffered.
  bool HasPartial() const { return this->start < this->buffer.size(); }

 private:
  std::string_view extension_field;
  std::string buffer;
  std::size_t start = 0;  ///< offset of the first event not returned yet
};

/// The event ids that a caller has received. Invariant: accepted ids increase
/// by one.
class EventSequence {
 public:
  /// `last_seen` is the id after which the caller resumes the stream.
  explicit EventSequence(std::optional<std::uint64_t> last_seen)
      : last(last_seen) {}

  /// Classifies an event; kNext advances the sequence.
  EventOrder Accept(const StreamEvent& event);

  const std::optional<std::uint64_t>& Last() const { return this->last; }

 private:
  std::optional<std::uint64_t> last;
};

}  // namespace chervilpass::serving
