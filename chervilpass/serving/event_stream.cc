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

std::optional<std::uint64_t> IdOf(std::string_view event) {
  while (!event.empty()) {
    const std::size_t end = std::min(event.find('\n'), event.size());
    std::string_view line = event.substr(0, end);
    event.remove_prefix(std::min(end + 1, event.size()));
    if (!line.starts_with("id:")) {
      continue;
    }
    line.remove_prefix(3);
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    std::uint64_t id = 0;
    const auto [last, code] =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (code == std::errc() && last != line.data()) {
      return id;
    }
  }
  return std::nullopt;
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
  return StreamEvent{bytes, IdOf(bytes)};
}

EventOrder EventSequence::Accept(const std::optional<std::uint64_t>& id) {
  if (!id) {
    return EventOrder::kUnnumbered;
  }
  if (!this->last || *id == *this->last + 1) {
    this->last = id;
    return EventOrder::kNext;
  }
  return *id <= *this->last ? EventOrder::kRepeated : EventOrder::kGap;
}

}  // namespace chervilpass::serving
