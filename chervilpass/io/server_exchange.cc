#include "chervilpass/io/server_exchange.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <sstream>
#include <utility>

#include "chervilpass/io/await.h"

namespace chervilpass::io {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

template <class Message>
void CopyHeaders(const HttpHeaders& headers, Message* message) {
  for (const HttpHeader& field : headers.All()) {
    message->insert(field.name, field.value);
  }
}

http::response<http::string_body> ToBeast(const HttpResponse& response,
                                          bool keep_alive) {
  http::response<http::string_body> message(
      static_cast<http::status>(response.status), 11);
  CopyHeaders(response.headers, &message);
  message.body() = response.body;
  message.keep_alive(keep_alive);
  message.prepare_payload();
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
  text << ToBeast(response, false);
  return text.str();
}

ServerExchange::ServerExchange(beast::tcp_stream* stream,
                               const HttpServerSettings* settings,
                               HttpRequest request,
                               bool keep_alive,
                               const bool* keep_alive_allowed,
                               PeerEndCounts* counts)
    : stream(stream),
      settings(settings),
      request(std::move(request)),
      keep_alive(keep_alive),
      keep_alive_allowed(keep_alive_allowed),
      counts(counts) {}

ServerExchange::~ServerExchange() {
  *this->watch_ended = true;
}

Endpoint ServerExchange::Peer() const {
  boost::system::error_code error;
  const Tcp::endpoint peer = this->stream->socket().remote_endpoint(error);
  return error ? Endpoint{} : Endpoint{peer.address().to_string(), peer.port()};
}

void ServerExchange::Respond(const HttpResponse& response) {
  if (this->responded) {
    return;
  }
  this->responded = true;
  this->keep_alive = this->keep_alive && *this->keep_alive_allowed;
  http::response<http::string_body> message =
      ToBeast(response, this->keep_alive);
  this->stream->expires_after(this->settings->write_timeout);
  Completion written;
  if (this->IsHead()) {
    http::response_serializer<http::string_body> serializer(message);
    written = Await([&](auto handler) {
      http::async_write_header(*this->stream, serializer, std::move(handler));
    });
  } else {
    written = Await([&](auto handler) {
      http::async_write(*this->stream, message, std::move(handler));
    });
  }
  this->OnWritten(written.error);
}

bool ServerExchange::BeginStream(const HttpResponse& head) {
  this->responded = true;
  this->keep_alive = this->keep_alive && *this->keep_alive_allowed;
  http::response<http::empty_body> message(
      static_cast<http::status>(head.status), 11);
  CopyHeaders(head.headers, &message);
  message.chunked(true);
  message.keep_alive(this->keep_alive);
  http::response_serializer<http::empty_body> serializer(message);
  this->stream->expires_after(this->settings->write_timeout);
  const Completion written = Await([&](auto handler) {
    http::async_write_header(*this->stream, serializer, std::move(handler));
  });
  return this->OnWritten(written.error);
}

bool ServerExchange::WriteChunk(std::string_view data) {
  if (this->broken || data.empty() || this->IsHead()) {
    return !this->broken;
  }
  this->stream->expires_after(this->settings->write_timeout);
  const Completion written = Await([&](auto handler) {
    asio::async_write(
        *this->stream,
        http::make_chunk(asio::const_buffer(data.data(), data.size())),
        std::move(handler));
  });
  return this->OnWritten(written.error);
}

bool ServerExchange::EndStream() {
  if (this->broken || this->IsHead()) {
    return !this->broken;
  }
  this->stream->expires_after(this->settings->write_timeout);
  const Completion written = Await([&](auto handler) {
    asio::async_write(*this->stream, http::make_chunk_last(),
                      std::move(handler));
  });
  return this->OnWritten(written.error);
}

void ServerExchange::Abort() {
  this->responded = true;
  this->broken = true;
}

bool ServerExchange::PeerClosed() {
  const InputState input = PendingInput(*this->stream);
  if (input == InputState::kEnded) {
    this->SetPeerEnd(PeerEnd::kInputEnded);
  } else if (input == InputState::kBroken) {
    this->SetPeerEnd(PeerEnd::kReset);
  }
  return this->broken || input == InputState::kEnded ||
         input == InputState::kBroken;
}

bool ServerExchange::OnWritten(const boost::system::error_code& error) {
  if (error.failed()) {
    this->broken = true;
    this->SetPeerEnd(PeerEnd::kWriteFailed);
  }
  return !this->broken;
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
      ++this->counts->inputs_ended;
      return;
    case PeerEnd::kReset:
      ++this->counts->resets;
      return;
    case PeerEnd::kWriteFailed:
      ++this->counts->failed_writes;
      return;
  }
}

void ServerExchange::WatchPeer(std::function<void()> on_gone) {
  this->stream->socket().async_wait(
      Tcp::socket::wait_read,
      [this, ended = this->watch_ended,
       on_gone = std::move(on_gone)](const boost::system::error_code& error) {
        if (!*ended && !error && this->PeerClosed()) {
          this->broken = true;
          on_gone();
        }
      });
}

bool ServerExchange::Reusable() const {
  return this->responded && !this->broken && this->keep_alive;
}

}  // namespace chervilpass::io
