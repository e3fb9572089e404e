#include "chervilpass/io/server_exchange.h"

#include <poll.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cassert>
#include <sstream>
#include <utility>

#include "chervilpass/io/await.h"
#include "chervilpass/io/request_reader.h"

namespace chervilpass::io {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

// An answer that comes within this time needs no probe. Much shorter than the
// half second after which work for callers that have left counts as wasted.
constexpr Duration kFirstProbeDelay = milliseconds(50);
constexpr Duration kMaxProbeInterval = seconds(1);
// With this each response begins. Its bytes are sent one by one as probes, and
// left out of the response.
constexpr std::string_view kStatusLineBegin = "HTTP/1.1 ";
// The size of the next chunk may begin with zeros (RFC 9112, section 7.1).
// Parsers limit the number of digits.
constexpr std::string_view kLeadingZero = "0";
constexpr std::size_t kMaxChunkProbes = 6;
// Over 200 Mbit/s and 6 ms of round trip 150 kB are under way.
constexpr std::size_t kMaxSendBuffer = 256 * 1024;  // bytes

template <class Message>
void CopyHeaders(const HttpHeaders& headers, Message* message) {
  for (const HttpHeader& field : headers.All()) {
    message->insert(field.name, field.value);
  }
}

// The body stays in `response`, which outlives the message.
http::response<http::span_body<const char>>
ToBeast(const HttpResponse& response, bool keep_alive, bool is_head) {
  http::response<http::span_body<const char>> message(
      static_cast<http::status>(response.status), 11);
  CopyHeaders(response.headers, &message);
  message.body() = {response.body.data(), response.body.size()};
  message.keep_alive(keep_alive);
  message.prepare_payload();
  // The length of a body that is not sent is stated if it is known only (RFC
  // 9110, section 8.6).
  const bool has_no_body =
      is_head || response.status == 204 || response.status == 304;
  if (has_no_body && response.body.empty()) {
    message.content_length(boost::none);
  }
  return message;
}

}  // namespace

InputState PendingInput(beast::tcp_stream& stream) {
  char byte = 0;
  const ssize_t size = ::recv(stream.socket().native_handle(), &byte, 1,
                              MSG_PEEK | MSG_DONTWAIT);
  if (size > 0) {
    return InputState::kSome;
  }
  if (size == 0) {
    return InputState::kEnded;
  }
  const bool pending = errno == EAGAIN || errno == EWOULDBLOCK;
  return pending ? InputState::kNone : InputState::kBroken;
}

std::string_view PeerEndName(PeerEnd end) {
  switch (end) {
    case PeerEnd::kNone:
      return "";
    case PeerEnd::kInputEnded:
      return "input ended";
    case PeerEnd::kReset:
      return "reset";
    case PeerEnd::kWriteFailed:
      return "write failed";
  }
  return "";
}

std::string ClosingResponseText(const HttpResponse& response) {
  std::ostringstream text;
  text << ToBeast(response, false, false);
  return text.str();
}

ServerExchange::ServerExchange(const ServerConnection& connection,
                               HttpRequest request,
                               const ResponseForms& forms)
    : connection(connection),
      request(std::move(request)),
      forms(forms),
      probe_interval(kFirstProbeDelay) {}

ServerExchange::~ServerExchange() {
  *this->watch_ended = true;
}

Endpoint ServerExchange::Peer() const {
  boost::system::error_code error;
  const Tcp::endpoint peer =
      this->connection.stream->socket().remote_endpoint(error);
  return error ? Endpoint{} : Endpoint{peer.address().to_string(), peer.port()};
}

void ServerExchange::Respond(const HttpResponse& response) {
  if (this->responded) {
    return;
  }
  this->responded = true;
  this->EnlargeSendBuffer(response.body.size());
  this->forms.keep_alive = this->MayKeepAlive();
  http::response<http::span_body<const char>> message =
      ToBeast(response, this->forms.keep_alive, this->IsHead());
  if (this->begin_sent > 0) {
    std::ostringstream text;
    if (this->IsHead()) {
      text << message.base();
    } else {
      text << message;
    }
    this->WriteRest(text.str());
  } else if (this->IsHead()) {
    http::response_serializer<http::span_body<const char>> serializer(message);
    this->Write([&](auto handler) {
      http::async_write_header(*this->connection.stream, serializer,
                               std::move(handler));
    });
  } else {
    http::response_serializer<http::span_body<const char>> serializer(message);
    this->WriteWhole(
        response.body.size(), [&] { return serializer.is_done(); },
        [&](auto handler) {
          http::async_write_some(*this->connection.stream, serializer,
                                 std::move(handler));
        });
  }
}

bool ServerExchange::BeginStream(const HttpResponse& head) {
  this->responded = true;
  this->forms.keep_alive = this->MayKeepAlive();
  http::response<http::empty_body> message(
      static_cast<http::status>(head.status), 11);
  CopyHeaders(head.headers, &message);
  message.chunked(true);
  message.keep_alive(this->forms.keep_alive);
  if (this->begin_sent > 0) {
    std::ostringstream text;
    text << message.base();
    this->streaming = this->WriteRest(text.str());
    return this->streaming;
  }
  http::response_serializer<http::empty_body> serializer(message);
  this->streaming = this->Write([&](auto handler) {
    http::async_write_header(*this->connection.stream, serializer,
                             std::move(handler));
  });
  return this->streaming;
}

// A next request that has arrived already gets its response, too.
bool ServerExchange::MayKeepAlive() const {
  return this->forms.keep_alive && (*this->connection.keep_alive_allowed ||
                                    this->connection.reader->NextHasBegun());
}

bool ServerExchange::WriteRest(std::string_view text) {
  assert(text.starts_with(kStatusLineBegin));
  text.remove_prefix(this->begin_sent);
  return this->WriteWhole(
      text.size(), [&] { return this->unwritten == 0; },
      [&](auto handler) {
        const std::string_view rest =
            text.substr(text.size() - *this->unwritten);
        this->connection.stream->async_write_some(
            asio::buffer(rest.data(), rest.size()), std::move(handler));
      });
}

bool ServerExchange::WriteChunk(std::string_view data) {
  if (this->broken || data.empty() || this->IsHead()) {
    return !this->broken;
  }
  this->chunk_probes = 0;
  const bool written = this->Write([&](auto handler) {
    asio::async_write(
        *this->connection.stream,
        http::make_chunk(asio::const_buffer(data.data(), data.size())),
        std::move(handler));
  });
  // A peer that has left answers a chunk as it answers a probe.
  if (this->next_probe != Instant::min()) {
    this->next_probe =
        std::max(this->next_probe,
                 this->connection.runtime->Now() + this->probe_interval);
  }
  return written;
}

bool ServerExchange::EndStream() {
  this->streaming = false;
  if (this->broken || this->IsHead()) {
    return !this->broken;
  }
  return this->Write([&](auto handler) {
    asio::async_write(*this->connection.stream, http::make_chunk_last(),
                      std::move(handler));
  });
}

void ServerExchange::Abort() {
  this->responded = true;
  this->broken = true;
}

bool ServerExchange::PeerClosed() {
  const InputState input = PendingInput(*this->connection.stream);
  if (input == InputState::kBroken) {
    this->SetPeerEnd(PeerEnd::kReset);
    this->broken = true;
  } else if (input == InputState::kEnded) {
    if (!this->connection.settings->half_closed_peers || !this->ProbeIfDue()) {
      this->SetPeerEnd(PeerEnd::kInputEnded);
      this->broken = true;
    }
  }
  return this->broken;
}

bool ServerExchange::ProbeIfDue() {
  const Instant now = this->connection.runtime->Now();
  if (this->next_probe == Instant::min()) {
    this->next_probe = now + this->probe_interval;
  }
  if (now < this->next_probe) {
    return true;
  }
  this->next_probe = now + this->probe_interval;
  this->probe_interval = std::min(2 * this->probe_interval, kMaxProbeInterval);
  return this->WriteProbe();
}

bool ServerExchange::WriteProbe() {
  const int socket = this->connection.stream->socket().native_handle();
  pollfd state{socket, POLLOUT, 0};
  if (::poll(&state, 1, 0) < 0) {
    return true;
  }
  if ((state.revents & (POLLERR | POLLHUP | POLLNVAL)) != 0) {
    return false;
  }
  const std::string_view text = this->ProbeText();
  // With room for output the whole probe is taken. Without, or beside another
  // write, that output shows whether the peer has left.
  if ((state.revents & POLLOUT) == 0 || this->writing || text.empty()) {
    return true;
  }
  const ssize_t size =
      ::send(socket, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  if (size < 0) {
    return errno == EAGAIN || errno == EWOULDBLOCK;
  }
  (this->responded ? this->chunk_probes : this->begin_sent) += text.size();
  return true;
}

std::string_view ServerExchange::ProbeText() const {
  if (!this->responded) {
    return kStatusLineBegin.substr(this->begin_sent, 1);
  }
  return this->streaming && !this->IsHead() &&
                 this->chunk_probes < kMaxChunkProbes
             ? kLeadingZero
             : std::string_view();
}

// Not beyond half of the memory for answers: the rest is for their bodies.
void ServerExchange::EnlargeSendBuffer(std::size_t response_bytes) {
  const HttpServerSettings& settings = *this->connection.settings;
  const std::size_t bytes = std::min(2 * response_bytes, kMaxSendBuffer);
  if (settings.budget == nullptr || settings.buffers.send == 0 ||
      bytes <= settings.buffers.send ||
      2 * (settings.budget->UseOf(memory::Owner::kAnswers).held + bytes) >
          settings.budget->LimitOf(memory::Owner::kAnswers)) {
    return;
  }
  // It is given back once the peer has acknowledged the response.
  if (this->connection.sent->Bytes() == 0) {
    *this->connection.sent =
        memory::MemoryShare(settings.budget, memory::Owner::kAnswers);
  }
  if (bytes > this->connection.sent->Bytes() &&
      this->connection.sent->Resize(bytes)) {
    SetBuffers(this->connection.stream->socket().native_handle(), {0, bytes});
  }
}

template <class IsDone, class WriteSome>
bool ServerExchange::WriteWhole(std::size_t body_bytes,
                                IsDone&& is_done,
                                WriteSome&& write_some) {
  this->connection.stream->expires_after(
      this->connection.settings->write_timeout);
  this->unwritten = body_bytes;
  while (!this->broken && !is_done()) {
    const Completion written = this->AwaitWrite(write_some);
    // The head is written first, and not counted.
    *this->unwritten -= std::min(*this->unwritten, written.bytes);
  }
  this->unwritten.reset();
  return !this->broken;
}

template <class Start>
bool ServerExchange::Write(Start&& start) {
  this->connection.stream->expires_after(
      this->connection.settings->write_timeout);
  this->AwaitWrite(start);
  return !this->broken;
}

template <class Start>
Completion ServerExchange::AwaitWrite(Start& start) {
  this->writing = true;
  const Completion written = Await(start);
  this->writing = false;
  if (written.error) {
    this->broken = true;
    this->SetPeerEnd(PeerEnd::kWriteFailed);
  }
  return written;
}

// The first end that is seen counts.
void ServerExchange::SetPeerEnd(PeerEnd end) {
  if (this->peer_end != PeerEnd::kNone) {
    return;
  }
  this->peer_end = end;
  switch (end) {
    case PeerEnd::kNone:
      return;
    case PeerEnd::kInputEnded:
      ++this->connection.peer_ends->inputs_ended;
      return;
    case PeerEnd::kReset:
      ++this->connection.peer_ends->resets;
      return;
    case PeerEnd::kWriteFailed:
      ++this->connection.peer_ends->failed_writes;
      return;
  }
}

void ServerExchange::WatchPeer(std::function<void()> on_gone) {
  this->connection.stream->socket().async_wait(
      Tcp::socket::wait_read,
      [this, ended = this->watch_ended, on_gone = std::move(on_gone)](
          const boost::system::error_code& error) mutable {
        if (*ended || error) {
          return;
        }
        if (this->PeerClosed()) {
          on_gone();
        } else if (PendingInput(*this->connection.stream) ==
                   InputState::kEnded) {
          this->WatchEndedInput(std::move(on_gone));
        }
      });
}

void ServerExchange::WatchEndedInput(std::function<void()> on_gone) {
  const Duration delay = this->next_probe - this->connection.runtime->Now();
  this->probe_alarm.emplace(this->connection.runtime,
                            std::max(delay, Duration::zero()),
                            [this, on_gone = std::move(on_gone)]() mutable {
                              if (this->PeerClosed()) {
                                on_gone();
                              } else {
                                this->WatchEndedInput(std::move(on_gone));
                              }
                            });
}

bool ServerExchange::Reusable() const {
  return this->responded && !this->broken && this->forms.keep_alive;
}

}  // namespace chervilpass::io
