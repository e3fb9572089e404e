#include "chervilpass/io/request_reader.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

#include "chervilpass/core/text.h"
#include "chervilpass/io/chunked_body.h"

namespace chervilpass::io {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::size_t kReadSize = 4096;          // bytes
constexpr std::size_t kMaxReadSize = 64 * 1024;  // bytes
// Before one request.
constexpr std::size_t kMaxEmptyLineBytes = 4096;
constexpr std::size_t kPeekedBytes = 64;
// A body is held once as it was received and once as it is sent on.
constexpr std::size_t kBodyCopies = 2;
// A body is not read on for so long, in several waits, before its request is
// refused. With a limit for each wait, bodies that were granted some 100 bytes
// at a time held their memory for up to a second beside others that waited.
constexpr Duration kMaxMemoryWait = milliseconds(250);
// So many further bytes renew the time to wait.
constexpr std::size_t kRenewingBytes = 64 * 1024;
// A head is held by the library, and as fields of the request and of its copy;
// the library and both copies have some 160 bytes for a short field.
constexpr std::size_t kHeadCopies = 3;
constexpr std::size_t kFieldBytes = 160;
// Of a head, without a share of the budget; counted for each connection.
constexpr std::size_t kFreeHeadBytes = 8 * 1024;
// Of a body whose receive buffer is enlarged. With 64 KiB, the largest window
// without scaling, 87 Mbit/s arrive over 6 ms of round trip.
constexpr std::size_t kLargeBodyBytes = 32 * 1024;
constexpr std::size_t kEnlargedBuffer = 128 * 1024;
constexpr Duration kMemoryPollInterval = milliseconds(10);

unsigned char Byte(char byte) {
  return static_cast<unsigned char>(byte);
}

struct RequestTarget {
  std::optional<std::string> authority;  // none in origin form
  std::string origin_form;
};

// Splits a target in absolute form, whose authority replaces the Host field
// (RFC 9112, section 3.2.2).
RequestTarget SplitTarget(std::string_view target) {
  for (const std::string_view scheme : {"http://", "https://"}) {
    if (target.size() < scheme.size() ||
        !beast::iequals({target.data(), scheme.size()},
                        {scheme.data(), scheme.size()})) {
      continue;
    }
    const std::string_view rest = target.substr(scheme.size());
    const std::size_t end = std::min(rest.find_first_of("/?"), rest.size());
    std::string origin_form(rest.substr(end));
    if (!origin_form.starts_with('/')) {
      origin_form.insert(0, 1, '/');
    }
    return {std::string(rest.substr(0, end)), std::move(origin_form)};
  }
  return {std::nullopt, std::string(target)};
}

// True for a host, with or without a port (RFC 9112, section 3.2; RFC 3986,
// section 3.2). Names may be empty.
bool IsHost(std::string_view text) {
  constexpr std::string_view kNameBytes = "-._~!$&'()*+,;=";
  constexpr std::string_view kAddressBytes = ":.";
  const auto is_hex = [](char byte) { return std::isxdigit(Byte(byte)) != 0; };
  std::size_t end = 0;
  if (text.starts_with('[')) {
    end = 1;
    while (end < text.size() &&
           (is_hex(text[end]) ||
            kAddressBytes.find(text[end]) != std::string_view::npos)) {
      ++end;
    }
    if (end == text.size() || text[end] != ']') {
      return false;
    }
    ++end;
  } else {
    while (end < text.size() && text[end] != ':') {
      const bool escaped = text[end] == '%' && end + 2 < text.size() &&
                           is_hex(text[end + 1]) && is_hex(text[end + 2]);
      if (!escaped && std::isalnum(Byte(text[end])) == 0 &&
          kNameBytes.find(text[end]) == std::string_view::npos) {
        return false;
      }
      end += escaped ? 3 : 1;
    }
  }
  if (end == text.size()) {
    return true;
  }
  return text[end] == ':' &&
         std::all_of(text.begin() + end + 1, text.end(),
                     [](char byte) { return std::isdigit(Byte(byte)) != 0; });
}

// True unless the host that the request is for is unclear (RFC 9112, section
// 3.2): then another server may take it to be for another one.
template <class Message>
bool HasProperHost(const Message& message) {
  const std::size_t fields = message.count(http::field::host);
  if (fields > 1 || (fields == 0 && message.version() >= 11) ||
      !IsHost(message[http::field::host])) {
    return false;
  }
  const RequestTarget parts = SplitTarget(message.target());
  return !parts.authority ||
         (!parts.authority->empty() && !parts.authority->starts_with(':'));
}

HttpRequest HeadFromBeast(const http::request<http::string_body>& message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  const RequestTarget parts = SplitTarget(message.target());
  request.target = parts.origin_form;
  const std::string& target = request.target;
  const std::size_t query_mark = target.find('?');
  request.path = target.substr(0, query_mark);
  if (query_mark != std::string::npos) {
    request.query = target.substr(query_mark + 1);
  }
  for (const auto& field : message) {
    const bool replaced =
        field.name() == http::field::host && parts.authority.has_value();
    request.headers.Add(
        std::string(field.name_string()),
        replaced ? *parts.authority : std::string(field.value()));
  }
  if (parts.authority && message.count(http::field::host) == 0) {
    request.headers.Add("Host", *parts.authority);
  }
  return request;
}

// The caller sends the body only after an interim response (RFC 9110, section
// 10.1.1).
template <class Message>
bool WaitsForContinue(const Message& message) {
  return message.version() >= 11 &&
         beast::iequals(message[http::field::expect], "100-continue");
}

// RFC 9112, section 9.3, over all Connection fields; the library looks at the
// first one only.
template <class Message>
bool Persists(const Message& message) {
  bool keep_alive = message.version() >= 11;
  const auto fields = message.equal_range(http::field::connection);
  for (auto field = fields.first; field != fields.second; ++field) {
    http::token_list options(field->value());
    if (options.exists("close")) {
      return false;
    }
    keep_alive = keep_alive || options.exists("keep-alive");
  }
  return keep_alive;
}

// What is wrong with the transfer codings of a request. Without it the end of
// its body is not known, and the body would be read as further requests
// (RFC 9112, sections 6.1 and 6.3).
template <class Message>
std::optional<boost::system::error_code> ObjectionToCodings(
    const Message& message) {
  std::vector<std::string> codings;
  const auto fields = message.equal_range(http::field::transfer_encoding);
  for (auto field = fields.first; field != fields.second; ++field) {
    for (const std::string& coding :
         SplitText(std::string_view(field->value()), ',')) {
      codings.push_back(coding);
    }
  }
  if (codings.empty()) {
    return std::nullopt;
  }
  const auto is_chunked = [](const std::string& coding) {
    const std::size_t begin = coding.find_first_not_of(" \t");
    const std::size_t end = coding.find_last_not_of(" \t");
    return begin != std::string::npos &&
           beast::iequals(coding.substr(begin, end + 1 - begin), "chunked");
  };
  if (message.version() < 11 || !is_chunked(codings.back())) {
    return http::make_error_code(http::error::bad_transfer_encoding);
  }
  if (codings.size() == 1) {
    return std::nullopt;
  }
  codings.pop_back();
  if (std::any_of(codings.begin(), codings.end(), is_chunked)) {
    return http::make_error_code(http::error::bad_transfer_encoding);
  }
  return boost::system::errc::make_error_code(
      boost::system::errc::function_not_supported);
}

}  // namespace

ReadTimer::ReadTimer(Runtime* runtime,
                     beast::tcp_stream* stream,
                     Duration timeout)
    : timer(runtime->Context(), timeout) {
  this->timer.async_wait(
      [stream, flags = this->flags](const boost::system::error_code& error) {
        if (!error && !flags->ended) {
          flags->expired = true;
          stream->cancel();
        }
      });
}

ReadTimer::~ReadTimer() {
  this->flags->ended = true;
}

RequestReader::RequestReader(Runtime* runtime,
                             beast::tcp_stream* stream,
                             const HttpServerSettings* settings,
                             std::function<void()> on_shortage)
    : runtime(runtime),
      stream(stream),
      settings(settings),
      on_shortage(std::move(on_shortage)),
      check_chunk([](std::uint64_t,
                     beast::string_view extension,
                     boost::system::error_code& error) {
        // The library accepts them within quotes.
        if (extension.find_first_of("\r\n") != beast::string_view::npos) {
          error = http::error::bad_chunk_extension;
        }
      }),
      share(settings->budget, settings->owner) {}

void RequestReader::Begin() {
  this->until = this->runtime->Now() + this->settings->limits.read_timeout;
  this->stopped = false;
  this->received = this->buffer.size();
  this->memory_wait = Duration{0};
  this->wait_renewed_at = this->received;
  this->last_arrival = this->runtime->Now();
  this->ReleaseBody();
  this->head_lines = 0;
  this->head_size = 0;
  this->body_begun = false;
  if (this->buffer.size() == 0 && this->buffer.capacity() > kReadSize) {
    this->buffer.shrink_to_fit();
  }
  this->parser.emplace();
  this->parser->header_limit(this->settings->limits.header_bytes);
  this->parser->body_limit(this->settings->limits.body_bytes);
  this->parser->on_chunk_header(this->check_chunk);
}

void RequestReader::ReleaseBody() {
  if (this->parser) {
    std::string().swap(this->parser->get().body());
  }
  if (std::exchange(this->buffer_enlarged, false)) {
    SetBuffers(this->stream->socket().native_handle(),
               {this->settings->buffers.receive, 0});
  }
  this->share =
      memory::MemoryShare(this->settings->budget, this->settings->owner);
}

void RequestReader::Release() {
  this->ReleaseBody();
  this->buffer.clear();
  this->buffer.shrink_to_fit();
}

std::size_t RequestReader::HeadBytes() const {
  const std::size_t bytes =
      kHeadCopies * this->head_size + kFieldBytes * this->head_lines;
  return bytes > kFreeHeadBytes ? bytes - kFreeHeadBytes : 0;
}

// A read that has ended already cannot be cancelled, although the fiber has not
// seen its end.
void RequestReader::Stop() {
  this->stopped = true;
  this->stream->cancel();
}

bool RequestReader::NextHasBegun() const {
  const auto is_begun = [](const void* bytes, std::size_t size) {
    return std::string_view(static_cast<const char*>(bytes), size)
               .find_first_not_of("\r\n") != std::string_view::npos;
  };
  if (is_begun(this->buffer.data().data(), this->buffer.size())) {
    return true;
  }
  std::array<char, kPeekedBytes> arrived;
  const ssize_t size =
      ::recv(this->stream->socket().native_handle(), arrived.data(),
             arrived.size(), MSG_PEEK | MSG_DONTWAIT);
  return size > 0 && is_begun(arrived.data(), static_cast<std::size_t>(size));
}

bool RequestReader::DropEmptyLines() {
  const std::string_view input(
      static_cast<const char*>(this->buffer.data().data()),
      this->buffer.size());
  this->dropped += std::min(input.find_first_not_of("\r\n"), input.size());
  this->buffer.consume(std::min(input.find_first_not_of("\r\n"), input.size()));
  return this->buffer.size() == 0;
}

Completion RequestReader::ReadSome() {
  if (this->dropped > kMaxEmptyLineBytes) {
    return {http::error::bad_method};
  }
  const Completion read = this->ReadTimed(kReadSize);
  return read.error == asio::error::eof ? Completion{http::error::end_of_stream}
                                        : read;
}

Completion RequestReader::ReadHead() {
  this->parser->eager(false);
  const Completion head = this->Parse(
      Input::kAwaited, [this] { return this->parser->is_header_done(); });
  if (this->parser->is_header_done()) {
    this->head = HeadFromBeast(this->parser->get());
    this->forms = {Persists(this->parser->get())};
  }
  if (head.error) {
    return head;
  }
  if (const Completion memory = this->AwaitMemory(0); memory.error) {
    return memory;
  }
  if (const auto objection = ObjectionToCodings(this->parser->get())) {
    return {*objection};
  }
  if (!HasProperHost(this->parser->get())) {
    return {http::error::bad_value};
  }
  return head;
}

Completion RequestReader::ParseArrived() {
  this->parser->eager(true);
  return this->Parse(Input::kArrived,
                     [this] { return this->parser->is_done(); });
}

Completion RequestReader::ReadBody() {
  if (this->parser->is_done()) {
    return {};
  }
  if (WaitsForContinue(this->parser->get())) {
    this->stream->expires_after(this->settings->write_timeout);
    const Completion written = Await([&](auto handler) {
      asio::async_write(*this->stream, asio::buffer(kContinue),
                        std::move(handler));
    });
    if (written.error) {
      return written;
    }
  }
  this->parser->eager(true);
  return this->Parse(Input::kAwaited,
                     [this] { return this->parser->is_done(); });
}

HttpRequest RequestReader::Take() {
  this->dropped = 0;
  HttpRequest request = this->head;
  request.body = std::move(this->parser->get().body());
  // Those of a trailer are in no share of the budget.
  this->parser->get().clear();
  return request;
}

// Parses on the connection's fiber: what the parser throws within a composed
// read of the library would leave the poller and end the process.
Completion RequestReader::Parse(Input input,
                                const std::function<bool()>& done) {
  while (!done()) {
    boost::system::error_code error;
    std::size_t used = 0;
    if (this->MayParse()) {
      const bool in_head = !this->parser->is_header_done();
      try {
        used = this->parser->put(this->buffer.data(), error);
      } catch (const std::length_error&) {
        // The library holds fields of up to 64 KiB, whatever the limit.
        return {http::error::header_limit};
      }
      if (in_head) {
        const auto* begin =
            static_cast<const char*>(this->buffer.data().data());
        this->head_size += used;
        this->head_lines +=
            static_cast<std::size_t>(std::count(begin, begin + used, '\n'));
      }
      this->buffer.consume(used);
    }
    if (error && error != http::error::need_more) {
      return {error};
    }
    // The library looks for the end of a chunk's first line, and for that of
    // the trailer, without a limit of its own.
    if (used == 0 && this->parser->is_header_done() &&
        this->buffer.size() > this->settings->limits.header_bytes) {
      return {http::error::header_limit};
    }
    if (done() || (!error && used > 0)) {
      continue;
    }
    if (input == Input::kArrived) {
      return {};
    }
    const std::size_t size = beast::read_size(this->buffer, kMaxReadSize);
    Completion read = this->AwaitMemory(size);
    if (!read.error) {
      read = this->ReadTimed(size);
    }
    if (read.error) {
      return read.error == asio::error::eof
                 ? Completion{http::error::partial_message}
                 : read;
    }
  }
  return {};
}

bool RequestReader::MayParse() {
  if (!this->parser->is_header_done() || !this->parser->chunked() ||
      this->body_begun) {
    return this->buffer.size() > 0;
  }
  this->body_begun = this->buffer.size() >= kShortestChunkedBody;
  return this->body_begun;
}

Completion RequestReader::AwaitMemory(std::size_t size) {
  std::size_t bytes = this->HeadBytes();
  if (this->parser->is_header_done() && size > 0) {
    bytes += kBodyCopies * (this->parser->get().body().size() + size);
    this->EnlargeBuffer(bytes);
  }
  bytes += this->buffer_enlarged ? kEnlargedBuffer : 0;
  if (this->received - this->wait_renewed_at >= kRenewingBytes) {
    this->memory_wait = Duration{0};
    this->wait_renewed_at = this->received;
  }
  const Instant begun = this->runtime->Now();
  const Instant latest =
      std::min(this->until, begun + kMaxMemoryWait - this->memory_wait);
  while (!this->share.Resize(bytes)) {
    if (this->stopped) {
      return {asio::error::operation_aborted};
    }
    if (this->runtime->Now() >= latest) {
      return {asio::error::no_buffer_space};
    }
    this->on_shortage();
    this->awaits_memory = true;
    this->runtime->SleepFor(kMemoryPollInterval);
    this->awaits_memory = false;
  }
  this->memory_wait += this->runtime->Now() - begun;
  return {};
}

// Not beyond half of the memory for bodies: the rest is for the bodies alone.
void RequestReader::EnlargeBuffer(std::size_t body_bytes) {
  const memory::MemoryBudget* budget = this->settings->budget;
  const auto rest = this->parser->content_length_remaining();
  const std::size_t usual = this->settings->buffers.receive;
  if (this->buffer_enlarged || budget == nullptr || usual == 0 ||
      usual >= kEnlargedBuffer ||
      std::max<std::uint64_t>(body_bytes / kBodyCopies, rest.value_or(0)) <
          kLargeBodyBytes ||
      2 * (budget->UseOf(this->settings->owner).held + body_bytes +
           kEnlargedBuffer) >
          budget->LimitOf(this->settings->owner)) {
    return;
  }
  this->buffer_enlarged = true;
  EnlargeReceiveBuffer(this->stream->socket().native_handle(), kEnlargedBuffer);
}

// The timer ends with the read: later it would cancel writes of the response.
Completion RequestReader::ReadTimed(std::size_t size) {
  if (this->stopped) {
    return {asio::error::operation_aborted};
  }
  this->stream->expires_never();
  const ReadTimer timer(this->runtime, this->stream,
                        this->until - this->runtime->Now());
  Completion read = Await([&](auto handler) {
    this->stream->async_read_some(
        this->buffer.prepare(size),
        [this, handler](const boost::system::error_code& error,
                        std::size_t bytes) mutable {
          // The fiber may run later, and the request is not stalled until then.
          if (!error) {
            this->last_arrival = this->runtime->Now();
          }
          handler(error, bytes);
        });
  });
  if (timer.Expired()) {
    read.error = beast::error::timeout;
  }
  if (!read.error) {
    this->buffer.commit(read.bytes);
    this->received += read.bytes;
  }
  return read;
}

unsigned StatusOfReadError(const boost::system::error_code& error) {
  if (error == boost::system::errc::function_not_supported) {
    return 501;
  }
  if (error == asio::error::no_buffer_space) {
    return 503;
  }
  if (error == http::error::body_limit) {
    return 413;
  }
  if (error == http::error::header_limit) {
    return 431;
  }
  if (error == beast::error::timeout) {
    return 408;
  }
  return 400;
}

}  // namespace chervilpass::io
