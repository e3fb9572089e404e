#include "chervilpass/serving/event_stream.h"

#include <algorithm>
#include <charconv>

namespace chervilpass::serving {
namespace {

// Offset after the blank line of the event that begins at `start`.
std::optional<std::size_t> EndOfEvent(std::string_view text,
                                      std::size_t start) {
  const std::size_t lf = text.find("\n\n", start);
  const std::size_t crlf = text.find("\r\n\r\n", start);
  if (lf == std::string_view::npos && crlf == std::string_view::npos) {
    return std::nullopt;
  }
  const std::size_t lf_end = lf == std::string_view::npos ? lf : lf + 2;
  const std::size_t crlf_end = crlf == std::string_view::npos ? crlf : crlf + 4;
  return std::min(lf_end, crlf_end);
}

std::optional<std::uint64_t> ParseId(std::string_view text) {
  std::uint64_t id = 0;
  const auto [last, code] =
      std::from_chars(text.data(), text.data() + text.size(), id);
  return code == std::errc() && last != text.data() ? std::optional(id)
                                                    : std::nullopt;
}

// Reads the lines of an event ("name: value", or a comment that begins with a
// colon).
StreamEvent ReadEvent(std::string_view bytes,
                      std::string_view extension_field) {
  StreamEvent event;
  event.bytes = bytes;
  std::string_view rest = bytes;
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('\n'), rest.size());
    std::string_view line = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.empty() || line.starts_with(':')) {
      continue;
    }
    const std::size_t colon = std::min(line.find(':'), line.size());
    const std::string_view name = line.substr(0, colon);
    std::string_view value = line.substr(std::min(colon + 1, line.size()));
    if (value.starts_with(' ')) {
      value.remove_prefix(1);
    }
    if (name == "id") {
      const auto id = ParseId(value);
      event.id = event.id ? event.id : id;
    } else if (name == "data") {
      event.has_data = true;
    } else if (name != "event" && name != "retry" && name != extension_field) {
      event.well_formed = false;
    }
  }
  return event;
}

}  // namespace

void EventSplitter::Feed(std::string_view bytes) {
  this->buffer.erase(0, this->start);
  this->start = 0;
  this->buffer.append(bytes);
}

std::optional<StreamEvent> EventSplitter::Next() {
  const auto end = EndOfEvent(this->buffer, this->start);
  if (!end) {
    return std::nullopt;
  }
  const std::string_view bytes(this->buffer.data() + this->start,
                               *end - this->start);
  this->start = *end;
  return ReadEvent(bytes, this->extension_field);
}

EventOrder EventSequence::Accept(const StreamEvent& event) {
  if (!event.well_formed) {
    return EventOrder::kForeign;
  }
  if (!event.id) {
    const bool numbered = this->last.has_value();
    return event.has_data && numbered ? EventOrder::kForeign
                                      : EventOrder::kUnnumbered;
  }
  if (!this->last || *event.id == *this->last + 1) {
    this->last = event.id;
    return EventOrder::kNext;
  }
  return *event.id <= *this->last ? EventOrder::kRepeated : EventOrder::kGap;
}

}  // namespace chervilpass::serving
