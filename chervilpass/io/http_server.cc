#include "chervilpass/io/http_server.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <list>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "chervilpass/core/time_share.h"
#include "chervilpass/io/address_wait.h"
#include "chervilpass/io/await.h"
#include "chervilpass/io/request_reader.h"
#include "chervilpass/io/server_exchange.h"

namespace chervilpass::io {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr Duration kAcceptRetryDelay = milliseconds(10);
constexpr Duration kDiscardTimeout = milliseconds(500);
constexpr std::size_t kDiscardBufferSize = 256 * 1024;   // bytes
constexpr std::size_t kDiscardLimit = 16 * 1024 * 1024;  // bytes
// A connection with a request more recently than this is in use: closing it
// would likely cross the next one.
constexpr Duration kMinIdleTime = seconds(1);
// A refused peer has this long to read the response.
constexpr Duration kMinRefusalTime = milliseconds(100);
constexpr Duration kRefusalPollInterval = milliseconds(5);
constexpr Duration kMinDropInterval = milliseconds(10);
constexpr Duration kSentPollInterval = milliseconds(100);
constexpr Duration kAcknowledgementPollInterval = milliseconds(10);
// As many as a process keeps for what serves no requests.
constexpr rlim_t kSpareDescriptors = 64;
constexpr std::string_view kRetryAfterSeconds = "1";
// A request of which nothing has arrived for so long is stalled, and so is a
// new connection without a request. Above the retransmission timeout of TCP
// after a loss, 0.2 s at short round trips.
constexpr Duration kStallTime = seconds(1);

// Empty if the connection is broken.
Endpoint PeerOf(const beast::tcp_stream& stream) {
  boost::system::error_code error;
  const Tcp::endpoint peer = stream.socket().remote_endpoint(error);
  return error ? Endpoint{} : Endpoint{peer.address().to_string(), peer.port()};
}

// Bytes that the peer has not acknowledged; 0 if it cannot receive them any
// more or the system does not tell.
std::size_t UnacknowledgedBytes(beast::tcp_stream& stream) {
  const int socket = stream.socket().native_handle();
  tcp_info info{};
  socklen_t size = sizeof(info);
  int bytes = 0;
  const bool connected =
      ::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
      info.tcpi_state != TCP_CLOSE;
  return connected && ::ioctl(socket, SIOCOUTQ, &bytes) == 0 && bytes > 0
             ? static_cast<std::size_t>(bytes)
             : 0;
}

// False if, after the newest descriptor, few are left for requests in progress.
// The system gives the lowest number that is free.
bool HasSpareDescriptors(int newest) {
  rlimit limit{};
  return ::getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
         static_cast<rlim_t>(newest) + kSpareDescriptors < limit.rlim_cur;
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

}  // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  // A connection between two requests.
  struct IdleConnection {
    beast::tcp_stream* stream;
    Instant since;
    bool closed = false;    // by CloseIdle or MakeRoom
    bool replaced = false;  // by MakeRoom
  };

  // A connection on which nothing is read or written any more.
  struct ClosingConnection {
    beast::tcp_stream* stream;
    bool replaced = false;  // by MakeRoom
  };

  // A connection that is being served.
  struct Connection {
    beast::tcp_stream* stream;
    RequestReader* reader;
    // Set until a part of the first request arrives.
    std::optional<Instant> silent_since = std::nullopt;
    // Set while a request is being read of which a part has arrived.
    std::optional<Instant> reading_since = std::nullopt;
    // The response to that request, which is not read to its end, by its head.
    std::optional<HttpResponse> refusal = std::nullopt;
    // Makes such a response; set by RefuseUnread and DropStalled.
    std::function<HttpResponse(const HttpRequest&)> refuse = nullptr;
    // For the send buffer, while it holds a large response.
    memory::MemoryShare sent = {};
    bool replaced = false;  // by MakeRoom

    // For a request, or the rest of it.
    std::optional<Instant> WaitingSince() const {
      return this->reading_since ? this->reading_since : this->silent_since;
    }
  };

  // What follows on a connection.
  enum class AfterRequest {
    kReadNext,
    kDiscardAndClose,  // after a complete response
    kClose,            // after an earlier one
    kAbort,            // within a response
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

  boost::system::error_code Listen() {
    boost::system::error_code error;
    const Endpoint& listen = this->settings.listen;
    const Tcp::endpoint address(asio::ip::make_address(listen.ip), listen.port);
    this->acceptor.open(address.protocol(), error);
    if (!error) {
      this->acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
      this->acceptor.bind(address, error);
    }
    if (!error) {
      this->counts.buffer_failures +=
          SetBuffers(this->acceptor.native_handle(), this->settings.buffers)
              ? 0
              : 1;
      this->acceptor.listen(this->settings.backlog == 0
                                ? asio::socket_base::max_listen_connections
                                : static_cast<int>(this->settings.backlog),
                            error);
    }
    if (error) {
      boost::system::error_code ignored;
      this->acceptor.close(ignored);
    }
    return error;
  }

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
    for (ClosingConnection& connection : this->closing) {
      if (!connection.replaced) {
        connection.replaced = true;
        ++this->replaced;
        boost::system::error_code ignored;
        connection.stream->socket().close(ignored);
        return true;
      }
    }
    return this->RefuseStalled();
  }

  // Counts as a connection that is being refused from then on. False if there
  // is none to refuse, or no room for that.
  bool RefuseStalled() {
    Connection* stalled = this->MayRefuse() ? this->LargestStalled() : nullptr;
    if (stalled == nullptr) {
      return false;
    }
    this->MakeRoomToRefuse();
    this->refused.push_back({stalled->stream, this->runtime->Now()});
    stalled->replaced = true;
    ++this->replaced;
    this->EndStalled(stalled);
    return true;
  }

  void EndStalled(Connection* stalled) {
    ++this->counts.stalled_closed;
    stalled->refuse = [this](const HttpRequest&) {
      return this->NoRoomResponse();
    };
    stalled->reader->Stop();
  }

  // Of the connections that make no progress on the request that is being read,
  // or on their first one, the one that holds most, and of these the oldest;
  // null if there is none.
  Connection* LargestStalled() {
    const Instant now = this->runtime->Now();
    Connection* largest = nullptr;
    for (Connection& connection : this->open) {
      const RequestReader& reader = *connection.reader;
      if ((!connection.reading_since && !connection.silent_since) ||
          connection.refuse || connection.replaced || reader.AwaitsMemory() ||
          now - reader.LastArrival() < kStallTime) {
        continue;
      }
      // A request that has arrived, but has not been read yet, is served.
      if (connection.silent_since &&
          PendingInput(*connection.stream) != InputState::kNone) {
        continue;
      }
      if (largest == nullptr ||
          reader.HeldBytes() > largest->reader->HeldBytes() ||
          (reader.HeldBytes() == largest->reader->HeldBytes() &&
           connection.WaitingSince() < largest->WaitingSince())) {
        largest = &connection;
      }
    }
    return largest;
  }

  // Called as the memory for a request is short.
  void DropStalled() {
    // Each connection that waits for memory calls this again and again. The
    // share of the last one is given back before the next one is dropped.
    const Instant now = this->runtime->Now();
    if (now - this->last_drop < kMinDropInterval) {
      return;
    }
    this->last_drop = now;
    Connection* stalled = this->LargestStalled();
    if (stalled == nullptr || stalled->reader->HeldBytes() == 0) {
      return;
    }
    this->EndStalled(stalled);
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
    // At a stop, all connections that have not been accepted are refused at
    // once. The end of an earlier one could discard its response.
    if (!this->stopped || !HasSpareDescriptors(socket.native_handle())) {
      this->MakeRoomToRefuse();
    }
    auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
    this->refused.push_back({stream.get(), this->runtime->Now()});
    this->runtime->Spawn([self = this->shared_from_this(), stream] {
      self->DiscardInput(stream.get());
      self->EndRefusal(stream.get());
    });
  }

  void MakeRoomToRefuse() {
    boost::system::error_code ignored;
    if (this->refused.size() >= this->settings.refusal_limit) {
      this->refused.front().stream->socket().close(ignored);
      this->refused.pop_front();
    }
  }

  void EndRefusal(const beast::tcp_stream* stream) {
    this->refused.remove_if([stream](const RefusedConnection& connection) {
      return connection.stream == stream;
    });
  }

  std::string RefusalText() const {
    return ClosingResponseText(this->NoRoomResponse());
  }

  HttpResponse NoRoomResponse() const {
    HttpResponse response =
        this->error_responder(503, "this VM has no room for connections");
    if (!response.headers.Find("Retry-After")) {
      response.headers.Add("Retry-After", std::string(kRetryAfterSeconds));
    }
    return response;
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
    RequestReader reader(this->runtime, &stream, &this->settings,
                         [this] { this->DropStalled(); });
    const auto connection =
        this->open.insert(this->open.end(), Connection{&stream, &reader});
    try {
      bool first = true;
      AfterRequest after = AfterRequest::kReadNext;
      // A connection that is accepted as the server stops gets a response.
      // So does a request that arrived before the one before it was answered.
      while (!this->destroyed && after == AfterRequest::kReadNext &&
             (first || !this->stopped || reader.NextHasBegun())) {
        after = this->ServeRequest(&stream, &reader, &*connection, first);
        first = false;
      }
      // The end of the connection may take many seconds.
      reader.Release();
      if (after == AfterRequest::kReadNext ||
          after == AfterRequest::kDiscardAndClose) {
        this->DiscardInput(&stream);
      }
      if (after != AfterRequest::kAbort && !connection->replaced) {
        this->AwaitAcknowledgement(&stream);
      }
    } catch (const std::exception& exception) {
      ++this->counts.exceptions;
      if (this->on_exception) {
        this->on_exception(exception.what());
      }
    }
    stream.socket().shutdown(Tcp::socket::shutdown_both, ignored);
    if (connection->replaced) {
      this->EndRefusal(&stream);
      --this->replaced;
    }
    this->open.erase(connection);
    --this->connections;
  }

  // Reads and handles one request.
  AfterRequest ServeRequest(beast::tcp_stream* stream,
                            RequestReader* reader,
                            Connection* connection,
                            bool first) {
    const Completion read =
        this->ReadRequest(stream, reader, connection, first);
    connection->silent_since.reset();
    connection->reading_since.reset();
    const auto refusal = std::exchange(connection->refusal, std::nullopt);
    const auto refuse = std::exchange(connection->refuse, nullptr);
    // Its last bytes had arrived before the read could be stopped.
    if (!read.error && std::exchange(connection->replaced, false)) {
      this->EndRefusal(stream);
      --this->replaced;
    }
    // Before the response is written: that, and the end of the connection, may
    // take many seconds.
    if (read.error) {
      reader->Release();
    }
    if (read.error && (refusal || refuse)) {
      this->RespondUnread(
          stream, reader, connection,
          refusal ? *refusal
                  : refuse(reader->HasHead() ? reader->Head() : HttpRequest{}));
      return AfterRequest::kDiscardAndClose;
    }
    if (read.error == http::error::end_of_stream ||
        read.error == asio::error::connection_reset ||
        read.error == asio::error::operation_aborted) {
      return AfterRequest::kClose;
    }
    if (read.error) {
      this->RespondUnread(stream, reader, connection,
                          this->error_responder(StatusOfReadError(read.error),
                                                read.error.message()));
      return AfterRequest::kDiscardAndClose;
    }
    const ResponseForms forms = reader->Forms();
    ServerExchange exchange(this->Shared(stream, reader, connection),
                            reader->Take(), forms);
    boost::system::error_code ignored;
    stream->expires_never();
    {
      const InProgress in_progress(&this->in_flight);
      this->handler(exchange);
    }
    stream->socket().cancel(ignored);
    return exchange.Reusable()   ? AfterRequest::kReadNext
           : exchange.Complete() ? AfterRequest::kDiscardAndClose
                                 : AfterRequest::kAbort;
  }

  // A connection that has only sent empty lines since its last request is idle.
  Completion ReadRequest(beast::tcp_stream* stream,
                         RequestReader* reader,
                         Connection* connection,
                         bool first) {
    this->ReleaseSent(stream, connection);
    reader->Begin();
    if (first) {
      connection->silent_since = this->runtime->Now();
    }
    while (reader->DropEmptyLines()) {
      if (!first) {
        if (!this->WaitForNextRequest(stream, connection)) {
          return {asio::error::operation_aborted};
        }
        reader->Begin();
      }
      const Completion read = reader->ReadSome();
      if (read.error) {
        return read;
      }
    }
    connection->silent_since.reset();
    connection->reading_since = this->runtime->Now();
    Completion read = reader->ReadHead();
    if (!read.error) {
      read = reader->ParseArrived();
    }
    if (read.error || reader->IsDone()) {
      return read;
    }
    if (this->on_head) {
      connection->refusal = this->on_head(reader->Head());
      if (connection->refusal) {
        return {asio::error::operation_aborted};
      }
    }
    return reader->ReadBody();
  }

  ServerConnection Shared(beast::tcp_stream* stream,
                          const RequestReader* reader,
                          Connection* connection) {
    return {this->runtime,
            stream,
            &this->settings,
            reader,
            &this->keep_alive_allowed,
            &this->peer_ends,
            &connection->sent};
  }

  // Once the peer has acknowledged a large response, its share is given back.
  void ReleaseSent(beast::tcp_stream* stream, Connection* connection) {
    if (connection->sent.Bytes() > 0 && UnacknowledgedBytes(*stream) == 0) {
      SetBuffers(stream->socket().native_handle(),
                 {0, this->settings.buffers.send});
      connection->sent.Resize(0);
    }
  }

  bool WaitForNextRequest(beast::tcp_stream* stream, Connection* open) {
    const Instant start = this->runtime->Now();
    const auto connection =
        this->idle.insert(this->idle.end(), {stream, start});
    Completion ready;
    // The timeout may have been raised during the wait, and the share of a
    // large response is given back once the peer has acknowledged it.
    do {
      this->ReleaseSent(stream, open);
      const Duration left =
          start + this->settings.limits.idle_timeout - this->runtime->Now();
      const ReadTimer timer(
          this->runtime, stream,
          open->sent.Bytes() > 0 ? std::min(left, kSentPollInterval) : left);
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

  // Responds to a request whose end is not read.
  void RespondUnread(beast::tcp_stream* stream,
                     RequestReader* reader,
                     Connection* connection,
                     const HttpResponse& response) {
    HttpRequest request;
    if (reader->HasHead()) {
      request = reader->Head();
    }
    ServerExchange exchange(this->Shared(stream, reader, connection),
                            std::move(request), {});
    exchange.Respond(response);
  }

  // A response that is in the send buffer when its connection is closed cannot
  // be seen any more, and is lost with the VM.
  void AwaitAcknowledgement(beast::tcp_stream* stream) {
    if (UnacknowledgedBytes(*stream) == 0) {
      return;
    }
    const auto closing =
        this->closing.insert(this->closing.end(), ClosingConnection{stream});
    const Instant until = this->runtime->Now() + this->settings.write_timeout;
    while (!closing->replaced && UnacknowledgedBytes(*stream) > 0 &&
           this->runtime->Now() < until) {
      this->runtime->SleepFor(kAcknowledgementPollInterval);
    }
    this->replaced -= closing->replaced ? 1 : 0;
    this->closing.erase(closing);
  }

  // Closing a socket with unread input resets the connection, and the peer may
  // lose the response. Therefore reads and discards further input, up to a
  // limit. The reads of all connections together leave most of the thread's
  // time to requests.
  void DiscardInput(beast::tcp_stream* stream) {
    boost::system::error_code error;
    stream->socket().shutdown(Tcp::socket::shutdown_send, error);
    // The stream's own timer would close the socket.
    stream->expires_never();
    const Instant until = this->runtime->Now() + kDiscardTimeout;
    const ReadTimer timer(this->runtime, stream, kDiscardTimeout);
    for (std::size_t discarded = 0;
         discarded < kDiscardLimit && !timer.Expired();) {
      const Completion ready = Await([&](auto handler) {
        stream->socket().async_wait(Tcp::socket::wait_read, std::move(handler));
      });
      const InputState input = PendingInput(*stream);
      if (ready.error || input == InputState::kEnded ||
          input == InputState::kBroken) {
        return;
      }
      const Instant now = this->runtime->Now();
      const auto turn = this->discards.Reserve(now, until);
      if (turn.value_or(until) > now) {
        this->runtime->SleepFor(turn.value_or(until) - now);
      }
      if (!turn) {
        return;
      }
      const Instant begun = this->runtime->Now();
      stream->socket().non_blocking(true, error);
      const std::size_t bytes = stream->socket().read_some(
          asio::buffer(this->discard_buffer.get(), kDiscardBufferSize), error);
      this->discards.OnTurn(this->runtime->Now() - begun);
      if (error && error != asio::error::would_block) {
        return;
      }
      discarded += bytes;
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
  std::list<ClosingConnection> closing;  // the one closed longest ago first
  std::list<Connection> open;            // being served, and closing ones
  std::size_t connections = 0;
  std::size_t replaced = 0;  // of these, closed by MakeRoom
  std::size_t in_flight = 0;
  Instant last_drop{};  // by DropStalled
  TimeShare discards{TimeShareSettings{}};
  // Its pages are in memory once they are used.
  std::unique_ptr<char[]> discard_buffer =
      std::make_unique_for_overwrite<char[]>(kDiscardBufferSize);
  HttpServerCounts counts;
  PeerEndCounts peer_ends;
  std::function<void(std::string_view)> on_exception;
  HttpHeadHandler on_head;
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
  const Endpoint& listen = state->settings.listen;
  const boost::system::error_code error =
      BindWhenFree(runtime, listen, [&state] { return state->Listen(); });
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

void HttpServer::RefuseUnread(
    const std::function<HttpResponse(const HttpRequest& head)>& respond) {
  for (State::Connection& connection : this->state->open) {
    if (connection.reading_since && !connection.refuse) {
      connection.refuse = respond;
      connection.reader->Stop();
    }
  }
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

std::size_t HttpServer::QueuedBytes() const {
  std::size_t queued = 0;
  for (const State::Connection& connection : this->state->open) {
    queued += io::QueuedBytes(connection.stream->socket().native_handle());
  }
  for (const State::RefusedConnection& connection : this->state->refused) {
    queued += io::QueuedBytes(connection.stream->socket().native_handle());
  }
  return queued;
}

std::size_t HttpServer::InFlight() const {
  return this->state->in_flight;
}

std::vector<UnreadRequest> HttpServer::Unread() const {
  std::vector<UnreadRequest> unread;
  for (const State::Connection& connection : this->state->open) {
    if (!connection.reading_since) {
      continue;
    }
    UnreadRequest& request = unread.emplace_back();
    request.peer = PeerOf(*connection.stream);
    request.age = this->state->runtime->Now() - *connection.reading_since;
    request.bytes = connection.reader->Received();
    request.has_head = connection.reader->HasHead();
    if (request.has_head) {
      request.head = connection.reader->Head();
    }
  }
  return unread;
}

std::vector<UnsentResponse> HttpServer::Unsent() const {
  std::vector<UnsentResponse> unsent;
  for (const State::Connection& connection : this->state->open) {
    const std::size_t bytes = UnacknowledgedBytes(*connection.stream);
    if (bytes == 0) {
      continue;
    }
    UnsentResponse& response = unsent.emplace_back();
    response.peer = PeerOf(*connection.stream);
    response.bytes = bytes;
    response.head = connection.reader->Head();
  }
  return unsent;
}

void HttpServer::OnHead(HttpHeadHandler on_head) {
  this->state->on_head = std::move(on_head);
}

void HttpServer::OnException(
    std::function<void(std::string_view detail)> on_exception) {
  this->state->on_exception = std::move(on_exception);
}

HttpServerCounts HttpServer::Counts() const {
  return this->state->counts;
}

PeerEndCounts HttpServer::PeerEnds() const {
  return this->state->peer_ends;
}

}  // namespace chervilpass::io
