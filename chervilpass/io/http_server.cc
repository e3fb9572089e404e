#include "chervilpass/io/http_server.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <list>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <utility>
#include <vector>

#include "chervilpass/core/text.h"
#include "chervilpass/io/await.h"

namespace chervilpass::io {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr Duration kAcceptRetryDelay = milliseconds(10);
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::size_t kReadSize = 4096;          // bytes
constexpr std::size_t kMaxReadSize = 64 * 1024;  // bytes
constexpr Duration kDiscardTimeout = milliseconds(500);
constexpr std::size_t kDiscardBufferSize = 64 * 1024;    // bytes
constexpr std::size_t kDiscardLimit = 16 * 1024 * 1024;  // bytes
// A connection with a request more recently than this is in use: closing it
// would likely cross the next one.
constexpr Duration kMinIdleTime = seconds(1);
// A refused peer has this long to read the response.
constexpr Duration kMinRefusalTime = milliseconds(100);
constexpr Duration kRefusalPollInterval = milliseconds(5);
constexpr std::string_view kRetryAfterSeconds = "1";

struct RequestTarget {
  std::string authority;  // empty if the target is in origin form
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
  return {{}, std::string(target)};
}

HttpRequest FromBeast(http::request<http::string_body>&& message) {
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
        field.name() == http::field::host && !parts.authority.empty();
    request.headers.Add(
        std::string(field.name_string()),
        replaced ? parts.authority : std::string(field.value()));
  }
  request.body = std::move(message.body());
  return request;
}

template <class Message>
void CopyHeaders(const HttpHeaders& headers, Message* message) {
  for (const HttpHeader& field : headers.All()) {
    message->insert(field.name, field.value);
  }
}

enum class InputState { kNone, kSome, kClosed };

InputState PendingInput(beast::tcp_stream& stream) {
  char byte = 0;
  const ssize_t size = ::recv(stream.socket().native_handle(), &byte, 1,
                              MSG_PEEK | MSG_DONTWAIT);
  if (size > 0) {
    return InputState::kSome;
  }
  const bool pending = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return pending ? InputState::kNone : InputState::kClosed;
}

// Counts a request as in progress during its lifetime.
class InProgress {
 public:
  explicit InProgress(std::size_t* count) : count(count) { ++*this->count; }
  ~InProgress() { --*this->count; }
  InProgress(const InProgress&) = delete;
  InProgress& operator=(const InProgress&) = delete;

 private:
  std::size_t* count;
};

class Exchange final : public HttpExchange {
 public:
  Exchange(beast::tcp_stream* stream,
           const HttpServerSettings* settings,
           HttpRequest request,
           bool keep_alive,
           const bool* keep_alive_allowed)
      : stream(stream),
        settings(settings),
        request(std::move(request)),
        keep_alive(keep_alive),
        keep_alive_allowed(keep_alive_allowed) {}

  ~Exchange() override { *this->watch_ended = true; }

  const HttpRequest& Request() const override { return this->request; }

  Endpoint Peer() const override {
    boost::system::error_code error;
    const Tcp::endpoint peer = this->stream->socket().remote_endpoint(error);
    return error ? Endpoint{}
                 : Endpoint{peer.address().to_string(), peer.port()};
  }

  bool ResponseBegun() const override { return this->responded; }

  void Respond(const HttpResponse& response) override {
    if (this->responded) {
      return;
    }
    this->responded = true;
    this->keep_alive = this->keep_alive && *this->keep_alive_allowed;
    http::response<http::string_body> message(
        static_cast<http::status>(response.status), 11);
    CopyHeaders(response.headers, &message);
    message.body() = response.body;
    message.keep_alive(this->keep_alive);
    message.prepare_payload();
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
    this->broken = this->broken || written.error.failed();
  }

  bool BeginStream(const HttpResponse& head) override {
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
    this->broken = written.error.failed();
    return !this->broken;
  }

  bool WriteChunk(std::string_view data) override {
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
    this->broken = written.error.failed();
    return !this->broken;
  }

  bool EndStream() override {
    if (this->broken || this->IsHead()) {
      return !this->broken;
    }
    this->stream->expires_after(this->settings->write_timeout);
    const Completion written = Await([&](auto handler) {
      asio::async_write(*this->stream, http::make_chunk_last(),
                        std::move(handler));
    });
    this->broken = written.error.failed();
    return !this->broken;
  }

  void Abort() override {
    this->responded = true;
    this->broken = true;
  }

  bool PeerClosed() override {
    const InputState input = PendingInput(*this->stream);
    return this->broken || input == InputState::kClosed;
  }

  void WatchPeer(std::function<void()> on_gone) override {
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

  bool Reusable() const {
    return this->responded && !this->broken && this->keep_alive;
  }

 private:
  // Responses to HEAD have no body, and no end of one.
  bool IsHead() const { return this->request.method == "HEAD"; }

  beast::tcp_stream* stream;
  const HttpServerSettings* settings;
  HttpRequest request;
  bool keep_alive;
  const bool* keep_alive_allowed;  // false after DisableKeepAlive
  bool responded = false;
  bool broken = false;
  // Shared with the handler of WatchPeer, which may outlive the exchange.
  std::shared_ptr<bool> watch_ended = std::make_shared<bool>(false);
};

// Cancels a read that takes too long. The stream's own timer would close the
// socket, so that no error response could be sent.
class ReadTimer {
 public:
  ReadTimer(Runtime* runtime, beast::tcp_stream* stream, Duration timeout)
      : timer(runtime->Context(), timeout) {
    this->timer.async_wait(
        [stream, flags = this->flags](const boost::system::error_code& error) {
          if (!error && !flags->ended) {
            flags->expired = true;
            stream->cancel();
          }
        });
  }
  ~ReadTimer() { this->flags->ended = true; }
  ReadTimer(const ReadTimer&) = delete;
  ReadTimer& operator=(const ReadTimer&) = delete;

  bool Expired() const { return this->flags->expired; }

 private:
  struct Flags {
    bool expired = false;
    bool ended = false;  // the stream may have been destroyed
  };
  asio::steady_timer timer;
  std::shared_ptr<Flags> flags = std::make_shared<Flags>();
};

// The caller sends the body only after an interim response (RFC 9110, section
// 10.1.1).
template <class Message>
bool WaitsForContinue(const Message& message) {
  return message.version() >= 11 &&
         beast::iequals(message[http::field::expect], "100-continue");
}

// Drops empty lines at the begin of the input; true if nothing is left.
bool DropEmptyLines(beast::flat_buffer* buffer) {
  const std::string_view input(static_cast<const char*>(buffer->data().data()),
                               buffer->size());
  buffer->consume(std::min(input.find_first_not_of("\r\n"), input.size()));
  return buffer->size() == 0;
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

unsigned StatusOfReadError(const boost::system::error_code& error) {
  if (error == boost::system::errc::function_not_supported) {
    return 501;
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

}  // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  // A connection between two requests.
  struct IdleConnection {
    beast::tcp_stream* stream;
    Instant since;
    bool closed = false;    // by CloseIdle or MakeRoom
    bool replaced = false;  // by MakeRoom
  };

  // A connection that has been sent a refusal.
  struct RefusedConnection {
    beast::tcp_stream* stream;
    Instant since;
  };

  State(Runtime* runtime,
        HttpServerSettings settings,
        HttpHandler handler,
        HttpErrorResponder error_responder)
      : runtime(runtime),
        settings(std::move(settings)),
        handler(std::move(handler)),
        error_responder(std::move(error_responder)),
        acceptor(runtime->Context()) {}

  void AcceptLoop() {
    while (!this->stopped) {
      Tcp::socket socket(this->runtime->Context());
      const Completion accepted = Await([&](auto handler) {
        this->acceptor.async_accept(socket, std::move(handler));
      });
      if (accepted.error) {
        if (!this->stopped) {
          ++this->counts.accept_failures;
          // Most likely out of descriptors: waits for some to be closed.
          this->runtime->SleepFor(kAcceptRetryDelay);
        }
        continue;
      }
      while (!this->stopped && !this->MakeRoom() && !this->MayRefuse()) {
        this->runtime->SleepFor(kRefusalPollInterval);
      }
      this->StartServing(std::move(socket));
    }
  }

  // False if all connections are in use.
  bool MakeRoom() {
    // The fibers of replaced connections may not have ended yet.
    if (this->connections - this->replaced < this->settings.connection_limit) {
      return true;
    }
    const Instant idle_since = this->runtime->Now() - kMinIdleTime;
    for (IdleConnection& connection : this->idle) {
      if (connection.since > idle_since) {
        break;
      }
      if (!connection.closed &&
          PendingInput(*connection.stream) == InputState::kNone) {
        connection.closed = true;
        connection.replaced = true;
        ++this->replaced;
        ++this->counts.idle_replaced;
        boost::system::error_code ignored;
        connection.stream->socket().close(ignored);
        return true;
      }
    }
    return false;
  }

  bool MayRefuse() const {
    return this->refused.size() < this->settings.refusal_limit ||
           this->refused.front().since <=
               this->runtime->Now() - kMinRefusalTime;
  }

  // The response fits into the empty send buffer of a new connection.
  void Refuse(Tcp::socket socket) {
    ++this->counts.over_limit;
    const std::string text = this->RefusalText();
    ::send(socket.native_handle(), text.data(), text.size(),
           MSG_DONTWAIT | MSG_NOSIGNAL);
    boost::system::error_code ignored;
    if (this->refused.size() >= this->settings.refusal_limit) {
      this->refused.front().stream->socket().close(ignored);
      this->refused.pop_front();
    }
    auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
    this->refused.push_back({stream.get(), this->runtime->Now()});
    this->runtime->Spawn([self = this->shared_from_this(), stream] {
      self->DiscardInput(stream.get());
      self->refused.remove_if([&stream](const RefusedConnection& connection) {
        return connection.stream == stream.get();
      });
    });
  }

  std::string RefusalText() const {
    const HttpResponse response =
        this->error_responder(503, "this VM has no room for connections");
    http::response<http::string_body> message(
        static_cast<http::status>(response.status), 11);
    CopyHeaders(response.headers, &message);
    if (message.find(http::field::retry_after) == message.end()) {
      message.set(http::field::retry_after, kRetryAfterSeconds);
    }
    message.body() = response.body;
    message.keep_alive(false);
    message.prepare_payload();
    std::ostringstream text;
    text << message;
    return text.str();
  }

  void StartServing(Tcp::socket socket) {
    if (!this->MakeRoom()) {
      this->Refuse(std::move(socket));
      return;
    }
    ++this->connections;
    auto shared = std::make_shared<Tcp::socket>(std::move(socket));
    this->runtime->Spawn([self = this->shared_from_this(), shared] {
      self->ServeConnection(std::move(*shared));
    });
  }

  // Closing the acceptor resets connections that have not been accepted.
  void AcceptEstablished() {
    boost::system::error_code error;
    this->acceptor.non_blocking(true, error);
    while (!error) {
      Tcp::socket socket(this->runtime->Context());
      this->acceptor.accept(socket, error);
      if (!error) {
        this->StartServing(std::move(socket));
      }
    }
  }

  void ServeConnection(Tcp::socket socket) {
    boost::system::error_code ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    try {
      bool first = true;
      while (!this->destroyed && this->ServeRequest(&stream, &buffer, first) &&
             !this->stopped) {
        first = false;
      }
    } catch (const std::exception& exception) {
      ++this->counts.exceptions;
      if (this->on_exception) {
        this->on_exception(exception.what());
      }
    }
    stream.socket().shutdown(Tcp::socket::shutdown_both, ignored);
    --this->connections;
  }

  // Reads and handles one request; true if the connection can be reused.
  bool ServeRequest(beast::tcp_stream* stream,
                    beast::flat_buffer* buffer,
                    bool first) {
    http::request_parser<http::string_body> parser;
    parser.header_limit(this->settings.limits.header_bytes);
    parser.body_limit(this->settings.limits.body_bytes);
    // Applies to one complete request.
    Instant read_until =
        this->runtime->Now() + this->settings.limits.read_timeout;
    Completion read = this->ReadFirstBytes(stream, buffer, first, &read_until);
    if (!read.error) {
      read = this->ReadRequest(stream, buffer, &parser, read_until);
    }
    if (read.error == http::error::end_of_stream ||
        read.error == asio::error::connection_reset ||
        read.error == asio::error::operation_aborted) {
      return false;
    }
    if (read.error) {
      this->UnreadableResponse(stream, read.error);
      return false;
    }
    const bool keep_alive = parser.get().keep_alive();
    Exchange exchange(stream, &this->settings, FromBeast(parser.release()),
                      keep_alive, &this->keep_alive_allowed);
    boost::system::error_code ignored;
    stream->expires_never();
    {
      const InProgress in_progress(&this->in_flight);
      this->handler(exchange);
    }
    stream->socket().cancel(ignored);
    return exchange.Reusable();
  }

  // Reads until something other than empty lines has arrived. These may precede
  // a request line (RFC 9112, section 2.2), and a connection that has only sent
  // them since its last request is idle.
  Completion ReadFirstBytes(beast::tcp_stream* stream,
                            beast::flat_buffer* buffer,
                            bool first,
                            Instant* read_until) {
    while (DropEmptyLines(buffer)) {
      if (!first && !this->WaitForNextRequest(stream)) {
        return {asio::error::operation_aborted};
      }
      if (!first) {
        *read_until = this->runtime->Now() + this->settings.limits.read_timeout;
      }
      Completion read = this->ReadTimed(stream, *read_until, [&](auto handler) {
        stream->async_read_some(buffer->prepare(kReadSize), std::move(handler));
      });
      if (read.error) {
        return read.error == asio::error::eof
                   ? Completion{http::error::end_of_stream}
                   : read;
      }
      buffer->commit(read.bytes);
    }
    return {};
  }

  template <class Parser>
  Completion ReadRequest(beast::tcp_stream* stream,
                         beast::flat_buffer* buffer,
                         Parser* parser,
                         Instant until) {
    parser->eager(false);
    const Completion head =
        this->Parse(stream, buffer, parser, until,
                    [parser] { return parser->is_header_done(); });
    if (head.error) {
      return head;
    }
    if (const auto objection = ObjectionToCodings(parser->get())) {
      return {*objection};
    }
    if (parser->is_done()) {
      return head;
    }
    if (WaitsForContinue(parser->get())) {
      stream->expires_after(this->settings.write_timeout);
      const Completion written = Await([&](auto handler) {
        asio::async_write(*stream, asio::buffer(kContinue), std::move(handler));
      });
      if (written.error) {
        return written;
      }
    }
    parser->eager(true);
    return this->Parse(stream, buffer, parser, until,
                       [parser] { return parser->is_done(); });
  }

  // Parses on the connection's fiber: what the parser throws within a composed
  // read of the library would leave the poller and end the process.
  template <class Parser, class Done>
  Completion Parse(beast::tcp_stream* stream,
                   beast::flat_buffer* buffer,
                   Parser* parser,
                   Instant until,
                   Done done) {
    while (!done()) {
      boost::system::error_code error;
      std::size_t used = 0;
      if (buffer->size() > 0) {
        try {
          used = parser->put(buffer->data(), error);
        } catch (const std::length_error&) {
          // The library holds fields of up to 64 KiB, whatever the limit.
          return {http::error::header_limit};
        }
        buffer->consume(used);
      }
      if (error && error != http::error::need_more) {
        return {error};
      }
      if (done() || (!error && used > 0)) {
        continue;
      }
      const std::size_t size = beast::read_size(*buffer, kMaxReadSize);
      const Completion read = this->ReadTimed(stream, until, [&](auto handler) {
        stream->async_read_some(buffer->prepare(size), std::move(handler));
      });
      if (read.error) {
        return read.error == asio::error::eof
                   ? Completion{http::error::partial_message}
                   : read;
      }
      buffer->commit(read.bytes);
    }
    return {};
  }

  // The timer ends with the read: later it would cancel writes of the response.
  template <class Start>
  Completion ReadTimed(beast::tcp_stream* stream,
                       Instant until,
                       Start&& start) {
    stream->expires_never();
    const ReadTimer timer(this->runtime, stream, until - this->runtime->Now());
    Completion read = Await(std::forward<Start>(start));
    if (timer.Expired()) {
      read.error = beast::error::timeout;
    }
    return read;
  }

  bool WaitForNextRequest(beast::tcp_stream* stream) {
    const Instant start = this->runtime->Now();
    const auto connection =
        this->idle.insert(this->idle.end(), {stream, start});
    Completion ready;
    // The timeout may have been raised during the wait.
    do {
      const ReadTimer timer(
          this->runtime, stream,
          start + this->settings.limits.idle_timeout - this->runtime->Now());
      ready = Await([&](auto handler) {
        stream->socket().async_wait(Tcp::socket::wait_read, std::move(handler));
      });
      if (!timer.Expired()) {
        break;
      }
    } while (this->runtime->Now() < start + this->settings.limits.idle_timeout);
    // Bytes that arrive after CloseIdle can still be read, but not answered.
    const bool closed = connection->closed;
    this->replaced -= connection->replaced ? 1 : 0;
    this->idle.erase(connection);
    return !ready.error && !closed;
  }

  void UnreadableResponse(beast::tcp_stream* stream,
                          const boost::system::error_code& error) {
    Exchange exchange(stream, &this->settings, HttpRequest{}, false,
                      &this->keep_alive_allowed);
    exchange.Respond(
        this->error_responder(StatusOfReadError(error), error.message()));
    this->DiscardInput(stream);
  }

  // Closing a socket with unread input resets the connection, and the peer may
  // lose the response. Therefore reads and discards further input, up to a
  // limit.
  void DiscardInput(beast::tcp_stream* stream) {
    boost::system::error_code ignored;
    stream->socket().shutdown(Tcp::socket::shutdown_send, ignored);
    std::vector<char> piece(kDiscardBufferSize);
    stream->expires_after(kDiscardTimeout);
    for (std::size_t discarded = 0; discarded < kDiscardLimit;) {
      const Completion read = Await([&](auto handler) {
        stream->async_read_some(asio::buffer(piece), std::move(handler));
      });
      if (read.error) {
        return;
      }
      discarded += read.bytes;
    }
  }

  Runtime* runtime;
  HttpServerSettings settings;
  HttpHandler handler;
  HttpErrorResponder error_responder;
  Tcp::acceptor acceptor;
  bool stopped = false;    // accepts no connections any more
  bool destroyed = false;  // the handler may not be called any more
  bool keep_alive_allowed = true;
  std::list<IdleConnection> idle;        // the one idle longest first
  std::list<RefusedConnection> refused;  // the oldest first
  std::size_t connections = 0;
  std::size_t replaced = 0;  // of these, closed by MakeRoom
  std::size_t in_flight = 0;
  HttpServerCounts counts;
  std::function<void(std::string_view)> on_exception;
};

HttpServer::HttpServer(std::shared_ptr<State> state)
    : state(std::move(state)) {}

HttpServer::~HttpServer() {
  this->state->destroyed = true;
  this->state->stopped = true;
  boost::system::error_code ignored;
  this->state->acceptor.close(ignored);
}

Result<std::unique_ptr<HttpServer>, HttpError> HttpServer::Create(
    Runtime* runtime,
    HttpServerSettings settings,
    HttpHandler handler,
    HttpErrorResponder error_responder) {
  auto state =
      std::make_shared<State>(runtime, std::move(settings), std::move(handler),
                              std::move(error_responder));
  boost::system::error_code error;
  const Endpoint& listen = state->settings.listen;
  const Tcp::endpoint address(asio::ip::make_address(listen.ip), listen.port);
  state->acceptor.open(address.protocol(), error);
  if (!error) {
    state->acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    state->acceptor.bind(address, error);
  }
  if (!error) {
    state->acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return HttpError{HttpErrorCode::kConnect,
                     listen.ToText() + ": " + error.message()};
  }
  runtime->Spawn([state] { state->AcceptLoop(); });
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

void HttpServer::StopAccepting() {
  if (std::exchange(this->state->stopped, true)) {
    return;
  }
  this->state->AcceptEstablished();
  boost::system::error_code ignored;
  this->state->acceptor.close(ignored);
}

void HttpServer::DisableKeepAlive() {
  this->state->keep_alive_allowed = false;
}

void HttpServer::CloseIdle() {
  boost::system::error_code ignored;
  for (State::IdleConnection& connection : this->state->idle) {
    // A request that has arrived is still handled.
    if (!connection.closed &&
        PendingInput(*connection.stream) == InputState::kNone) {
      connection.closed = true;
      connection.stream->socket().shutdown(Tcp::socket::shutdown_both, ignored);
    }
  }
}

void HttpServer::SetLimits(const HttpServerLimits& limits) {
  this->state->settings.limits = limits;
}

std::size_t HttpServer::Connections() const {
  return this->state->connections;
}

std::size_t HttpServer::InFlight() const {
  return this->state->in_flight;
}

void HttpServer::OnException(
    std::function<void(std::string_view detail)> on_exception) {
  this->state->on_exception = std::move(on_exception);
}

HttpServerCounts HttpServer::Counts() const {
  return this->state->counts;
}

}  // namespace chervilpass::io
