#include "chervilpass/io/http_client.h"

#include <fmt/format.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdlib>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "chervilpass/io/await.h"
#include "chervilpass/io/chunked_body.h"

namespace chervilpass::io {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using StreamPtr = std::unique_ptr<beast::tcp_stream>;
using UserTimeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

constexpr std::size_t kReadBufferSize = 16 * 1024;  // bytes
constexpr Duration kKeepAliveMargin = milliseconds(500);
constexpr int kMaxInterimResponses = 16;  // before one final response
// An answer waits for so long for memory.
constexpr Duration kMaxMemoryWait = seconds(1);
constexpr Duration kMemoryPollInterval = milliseconds(10);
// An answer that holds more than this part of the memory for answers does not
// wait for more.
constexpr std::size_t kHoldersAtOnce = 16;
// A body in the send buffer is the copy for which its share of the budget has
// room. Over 200 Mbit/s and 6 ms of round trip 150 kB are under way.
constexpr std::size_t kMinCopiedBody = 64 * 1024;
constexpr std::size_t kMaxSendBuffer = 256 * 1024;

HttpError FromBeastError(const boost::system::error_code& error) {
  HttpErrorCode code = HttpErrorCode::kReset;
  if (error == beast::error::timeout) {
    code = HttpErrorCode::kTimeout;
  } else if (error == http::error::body_limit ||
             error == http::error::header_limit ||
             error == http::error::buffer_overflow) {
    code = HttpErrorCode::kTooLarge;
  } else if (error.category() ==
                 http::make_error_code(http::error::bad_version).category() &&
             error != http::error::end_of_stream &&
             error != http::error::partial_message) {
    code = HttpErrorCode::kProtocol;
  }
  return {code, error.message()};
}

// The body stays in `request`, which outlives the message.
http::request<http::span_body<const char>> ToBeast(const Endpoint& address,
                                                   const HttpRequest& request) {
  http::request<http::span_body<const char>> message;
  message.version(11);
  message.method_string(request.method);
  if (!request.target.empty()) {
    message.target(request.target);
  } else {
    message.target(request.query.empty() ? request.path
                                         : request.path + "?" + request.query);
  }
  if (!request.headers.Find("Host")) {
    message.set(http::field::host, address.ToText());
  }
  for (const HttpHeader& field : request.headers.All()) {
    message.insert(field.name, field.value);
  }
  message.body() = {request.body.data(), request.body.size()};
  message.keep_alive(true);
  message.prepare_payload();
  return message;
}

template <class Message>
HttpResponse HeadFromBeast(const Message& message) {
  HttpResponse response;
  response.status = message.result_int();
  for (const auto& field : message) {
    response.headers.Add(std::string(field.name_string()),
                         std::string(field.value()));
  }
  return response;
}

// False if the server has closed an idle connection or sent unexpected bytes.
bool StillOpen(beast::tcp_stream& stream) {
  char byte = 0;
  const ssize_t size = ::recv(stream.socket().native_handle(), &byte, 1,
                              MSG_PEEK | MSG_DONTWAIT);
  return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

constexpr unsigned kMinStatus = 100;
constexpr unsigned kMinFinalStatus = 200;
constexpr unsigned kMaxStatus = 599;

// Why no response with this head can follow a request of this client (RFC 9110,
// section 15; RFC 9112, section 6.3); empty if one can.
template <class Message>
std::string ObjectionToHead(const Message& head) {
  const unsigned status = head.result_int();
  if (status < kMinStatus || status > kMaxStatus) {
    return fmt::format("status {:03} is none of HTTP", status);
  }
  if (status == static_cast<unsigned>(http::status::switching_protocols)) {
    return fmt::format("status {:03}, but no upgrade was asked for", status);
  }
  const auto length = head.find(http::field::content_length);
  const bool has_body = head.count(http::field::transfer_encoding) > 0 ||
                        (length != head.end() && length->value() != "0");
  if (status < kMinFinalStatus && has_body) {
    return fmt::format("an interim response, status {:03}, with a body",
                       status);
  }
  return "";
}

bool IsWantOfDescriptors(const boost::system::error_code& error) {
  return error == asio::error::no_descriptors ||
         error == boost::system::errc::too_many_files_open_in_system;
}

// True if a connection failed because of this process, not of its peer.
bool IsLocalFailure(const boost::system::error_code& error) {
  return IsWantOfDescriptors(error) ||
         error == boost::system::errc::address_not_available ||
         error == asio::error::no_buffer_space;
}

// Parses "timeout=5, max=100" and subtracts a margin for the request's transfer
// time: the server may close the connection while the request is on its way.
Duration KeepAliveTimeout(const std::string& field) {
  const std::size_t position = field.find("timeout=");
  if (position == std::string::npos) {
    return hours(1);
  }
  const int timeout_seconds = std::atoi(field.c_str() + position + 8);
  return seconds(timeout_seconds) - kKeepAliveMargin;
}

}  // namespace

struct HttpClient::State {
  // An idle connection and the time after which it must not be reused.
  struct Idle {
    StreamPtr stream;
    Instant expires_at;
    Instant last_used;
  };

  Runtime* runtime;
  HttpClientSettings settings;
  // Addresses with idle connections; the one last used is the last one.
  std::map<Endpoint, std::vector<Idle>> idle = {};
  std::size_t idle_count = 0;                 // over all addresses
  std::set<beast::tcp_stream*> calling = {};  // connections of calls
  std::uint64_t connections_made = 0;
  std::uint64_t local_failures = 0;

  StreamPtr TakeFromPool(const Endpoint& address) {
    const auto pool = this->idle.find(address);
    if (pool == this->idle.end()) {
      return nullptr;
    }
    const Instant now = this->runtime->Now();
    StreamPtr usable;
    while (!pool->second.empty() && usable == nullptr) {
      Idle connection = std::move(pool->second.back());
      pool->second.pop_back();
      --this->idle_count;
      if (now < connection.expires_at && StillOpen(*connection.stream)) {
        usable = std::move(connection.stream);
      }
    }
    if (pool->second.empty()) {
      this->idle.erase(pool);
    }
    return usable;
  }

  void ReturnToPool(const Endpoint& address,
                    StreamPtr stream,
                    Duration keep_alive_time) {
    const auto pool = this->idle.find(address);
    const std::size_t size = pool == this->idle.end() ? 0 : pool->second.size();
    if (size < this->settings.idle_connections) {
      stream->expires_never();
      const Duration limit =
          std::min(keep_alive_time, this->settings.idle_timeout);
      const Instant now = this->runtime->Now();
      this->idle[address].push_back({std::move(stream), now + limit, now});
      ++this->idle_count;
      if (this->idle_count > this->settings.idle_connections_total) {
        this->DropOldestIdle();
      }
    }
  }

  // False if no connection is idle.
  bool DropOldestIdle() {
    const auto oldest =
        std::min_element(this->idle.begin(), this->idle.end(),
                         [](const auto& first, const auto& second) {
                           return first.second.front().last_used <
                                  second.second.front().last_used;
                         });
    if (oldest == this->idle.end()) {
      return false;
    }
    oldest->second.erase(oldest->second.begin());
    --this->idle_count;
    if (oldest->second.empty()) {
      this->idle.erase(oldest);
    }
    return true;
  }

  // A call that began then got no answer on a pooled connection.
  void DropIdleSince(const Endpoint& address, Instant call_begin) {
    const auto pool = this->idle.find(address);
    if (pool == this->idle.end()) {
      return;
    }
    this->idle_count -=
        std::erase_if(pool->second, [call_begin](const Idle& connection) {
          return connection.last_used <= call_begin;
        });
    if (pool->second.empty()) {
      this->idle.erase(pool);
    }
  }

  Result<StreamPtr, HttpError> Connect(const Endpoint& address,
                                       Duration timeout) {
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address.ip, error);
    if (error) {
      return HttpError{HttpErrorCode::kConnect, error.message()};
    }
    const Tcp::endpoint peer(ip, address.port);
    timeout = std::min(timeout, this->settings.connect_timeout);
    auto stream = std::make_unique<beast::tcp_stream>(this->runtime->Context());
    Completion connected = this->ConnectOnce(stream.get(), peer, timeout);
    if (IsWantOfDescriptors(connected.error) && this->DropOldestIdle()) {
      stream = std::make_unique<beast::tcp_stream>(this->runtime->Context());
      connected = this->ConnectOnce(stream.get(), peer, timeout);
    }
    if (connected.error) {
      return HttpError{HttpErrorCode::kConnect,
                       address.ToText() + ": " + connected.error.message()};
    }
    stream->socket().set_option(Tcp::no_delay(true), error);
    if (this->settings.tcp_user_timeout > Duration::zero()) {
      stream->socket().set_option(UserTimeout(static_cast<int>(ToMilliseconds(
                                      this->settings.tcp_user_timeout))),
                                  error);
    }
    return stream;
  }

  Completion ConnectOnce(beast::tcp_stream* stream,
                         const Tcp::endpoint& peer,
                         Duration timeout) {
    ++this->connections_made;
    stream->expires_after(timeout);
    // Before the connection, as they limit the window that it offers.
    boost::system::error_code error;
    stream->socket().open(peer.protocol(), error);
    if (error) {
      this->local_failures += IsLocalFailure(error) ? 1 : 0;
      return {error};
    }
    SetBuffers(stream->socket().native_handle(), this->settings.buffers);
    const Completion connected = Await(
        [&](auto handler) { stream->async_connect(peer, std::move(handler)); });
    this->local_failures += IsLocalFailure(connected.error) ? 1 : 0;
    return connected;
  }
};

// State of one call. Each response head gets a new parser.
struct HttpCall::State {
  State(HttpClient::State* client,
        Endpoint address,
        StreamPtr stream,
        bool reused)
      : client(client),
        address(std::move(address)),
        stream(std::move(stream)),
        reused(reused),
        begin(client->runtime->Now()),
        buffer(client->settings.header_limit_bytes),
        share(client->settings.budget, memory::Owner::kAnswers) {
    this->client->calling.insert(this->stream.get());
  }
  ~State() { this->LeaveClient(); }
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  // The stream is no more one of a call.
  void LeaveClient() {
    if (this->stream != nullptr) {
      this->client->calling.erase(this->stream.get());
    }
  }

  HttpClient::State* client;
  Endpoint address;
  StreamPtr stream;
  bool reused;
  Instant begin;
  bool sent = false;
  bool is_head = false;  ///< responses to HEAD have no body
  bool cancelled = false;
  bool mismatch_skipped = false;
  Duration keep_alive_time = hours(1);
  // Limited: the library looks for the end of a line, and for that of a
  // trailer, without a limit of its own.
  beast::flat_buffer buffer;
  std::optional<http::response_parser<http::buffer_body>> parser;
  std::vector<char> piece;
  bool body_begun = false;  ///< a body in chunks may be parsed
  memory::MemoryShare share;

  // Waits until the parser may be given the begin of the body.
  Completion AwaitBody() {
    while (this->parser->chunked() && !this->body_begun &&
           this->buffer.size() < kShortestChunkedBody) {
      const std::size_t missing = kShortestChunkedBody - this->buffer.size();
      const Completion read = Await([&](auto handler) {
        this->stream->async_read_some(this->buffer.prepare(missing),
                                      std::move(handler));
      });
      if (read.error) {
        return read.error == asio::error::eof
                   ? Completion{http::error::partial_message}
                   : read;
      }
      this->buffer.commit(read.bytes);
    }
    this->body_begun = true;
    return {};
  }

  // Waits until the memory for a body of `bytes` is granted; false if that
  // takes too long. Meanwhile the server's output is not read.
  bool AwaitMemory(std::size_t bytes) {
    Runtime& runtime = *this->client->runtime;
    const Instant latest = runtime.Now() + kMaxMemoryWait;
    while (!this->share.Resize(bytes)) {
      // Who holds most gives way first.
      const std::size_t limit =
          this->client->settings.budget->LimitOf(memory::Owner::kAnswers);
      if (this->share.Bytes() > limit / kHoldersAtOnce ||
          runtime.Now() >= latest) {
        return false;
      }
      runtime.SleepFor(kMemoryPollInterval);
      if (this->cancelled) {
        return false;
      }
    }
    return true;
  }

  HttpError ToHttpError(const boost::system::error_code& error) const {
    if (this->cancelled) {
      return {HttpErrorCode::kReset, "cancelled"};
    }
    // Either the call's time or that of TCP for its data has run out.
    const bool unanswered =
        error == beast::error::timeout || error == asio::error::timed_out;
    if (unanswered && this->reused) {
      this->client->DropIdleSince(this->address, this->begin);
    }
    return FromBeastError(error);
  }
};

HttpCall::HttpCall(std::unique_ptr<State> state) : state(std::move(state)) {}
HttpCall::~HttpCall() = default;

Result<void, HttpError> HttpCall::Send(const HttpRequest& request,
                                       Duration timeout) {
  State& call = *this->state;
  const http::request<http::span_body<const char>> message =
      ToBeast(call.address, request);
  call.stream->expires_after(timeout);
  const std::size_t buffer = call.client->settings.buffers.send;
  if (buffer > 0 && request.body.size() >= kMinCopiedBody) {
    SetBuffers(
        call.stream->socket().native_handle(),
        {0, std::max(buffer, std::min(request.body.size(), kMaxSendBuffer))});
  }
  const Completion written = Await([&](auto handler) {
    http::async_write(*call.stream, message, std::move(handler));
  });
  if (written.error) {
    return call.ToHttpError(written.error);
  }
  call.stream->expires_never();
  call.sent = true;
  call.is_head = request.method == "HEAD";
  return success();
}

Result<HttpResponse, HttpError> HttpCall::ReadHead() {
  State& call = *this->state;
  for (int interim = 0;; ++interim) {
    if (interim > kMaxInterimResponses) {
      return HttpError{HttpErrorCode::kProtocol,
                       "more interim responses than the limit"};
    }
    call.body_begun = false;
    call.parser.emplace();
    call.parser->header_limit(call.client->settings.header_limit_bytes);
    call.parser->body_limit(boost::none);
    call.parser->skip(call.is_head);
    const Completion head = Await([&](auto handler) {
      http::async_read_header(*call.stream, call.buffer, *call.parser,
                              std::move(handler));
    });
    if (head.error) {
      return call.ToHttpError(head.error);
    }
    if (std::string objection = ObjectionToHead(call.parser->get());
        !objection.empty()) {
      return HttpError{HttpErrorCode::kProtocol, std::move(objection)};
    }
    // Interim responses (RFC 9110, section 15.2) precede the final one.
    if (call.parser->get().result_int() >= kMinFinalStatus) {
      break;
    }
  }
  HttpResponse response = HeadFromBeast(call.parser->get());
  if (const auto field = response.headers.Find("Keep-Alive")) {
    call.keep_alive_time = KeepAliveTimeout(*field);
  }
  return response;
}

Result<std::string_view, HttpError> HttpCall::ReadPiece() {
  State& call = *this->state;
  call.piece.resize(kReadBufferSize);
  while (!call.parser->is_done()) {
    const Completion begun = call.AwaitBody();
    if (begun.error) {
      return call.ToHttpError(begun.error);
    }
    call.parser->get().body().data = call.piece.data();
    call.parser->get().body().size = call.piece.size();
    const Completion read = Await([&](auto handler) {
      http::async_read_some(*call.stream, call.buffer, *call.parser,
                            std::move(handler));
    });
    if (read.error && read.error != http::error::need_buffer) {
      return call.ToHttpError(read.error);
    }
    const std::size_t size = call.piece.size() - call.parser->get().body().size;
    if (size > 0) {
      return std::string_view(call.piece.data(), size);
    }
  }
  return std::string_view();
}

Result<std::string, HttpError> HttpCall::ReadBody(std::size_t limit) {
  std::string body;
  const auto stated = this->state->parser->content_length();
  if (stated && *stated > limit && !this->state->parser->is_done()) {
    return HttpError{HttpErrorCode::kTooLarge, "response body over limit"};
  }
  while (true) {
    BOOST_OUTCOME_TRY(const std::string_view piece, this->ReadPiece());
    if (piece.empty()) {
      return body;
    }
    if (body.size() + piece.size() > limit) {
      return HttpError{HttpErrorCode::kTooLarge, "response body over limit"};
    }
    if (!this->state->AwaitMemory(body.size() + piece.size())) {
      return this->state->cancelled
                 ? HttpError{HttpErrorCode::kReset, "cancelled"}
                 : HttpError{HttpErrorCode::kNoMemory,
                             "no memory for the response body"};
    }
    body.append(piece);
  }
}

Result<void, HttpError> HttpCall::SkipBody() {
  this->state->mismatch_skipped = true;
  const std::uint64_t limit = this->state->client->settings.body_limit_bytes;
  for (std::uint64_t skipped = 0; skipped <= limit;) {
    BOOST_OUTCOME_TRY(const std::string_view piece, this->ReadPiece());
    if (piece.empty()) {
      return success();
    }
    skipped += piece.size();
  }
  return HttpError{HttpErrorCode::kTooLarge, "response body over limit"};
}

memory::MemoryShare HttpCall::TakeShare() {
  return std::move(this->state->share);
}

bool HttpCall::IsComplete() const {
  return this->state->parser && this->state->parser->is_done();
}

void HttpCall::Cancel() {
  this->state->cancelled = true;
  boost::system::error_code ignored;
  this->state->stream->socket().close(ignored);
}

bool HttpCall::Reused() const {
  return this->state->reused;
}

void HttpCall::ReturnToPool() {
  State& call = *this->state;
  // Bytes after the response belong to no request of this client, and a
  // connection that carried a response to another request may carry more.
  const bool clean = this->IsComplete() && call.parser->get().keep_alive() &&
                     !call.parser->get().need_eof() &&
                     call.buffer.size() == 0 && !call.cancelled &&
                     !call.mismatch_skipped;
  if (clean) {
    call.LeaveClient();
    SetBuffers(call.stream->socket().native_handle(),
               {0, call.client->settings.buffers.send});
    call.client->ReturnToPool(call.address, std::move(call.stream),
                              call.keep_alive_time);
  }
}

HttpClient::HttpClient(std::unique_ptr<State> state)
    : state(std::move(state)) {}
HttpClient::~HttpClient() = default;

std::unique_ptr<HttpClient> HttpClient::Create(Runtime* runtime,
                                               HttpClientSettings settings) {
  auto state = std::make_unique<State>(State{runtime, settings});
  return std::unique_ptr<HttpClient>(new HttpClient(std::move(state)));
}

Result<std::unique_ptr<HttpCall>, HttpError> HttpClient::Open(
    Endpoint address,
    Duration connect_timeout,
    ConnectionUse use) {
  StreamPtr stream;
  if (use == ConnectionUse::kPooled) {
    stream = this->state->TakeFromPool(address);
  }
  const bool reused = stream != nullptr;
  if (!reused) {
    BOOST_OUTCOME_TRY(stream, this->state->Connect(address, connect_timeout));
  }
  auto call = std::make_unique<HttpCall::State>(this->state.get(), address,
                                                std::move(stream), reused);
  return std::unique_ptr<HttpCall>(new HttpCall(std::move(call)));
}

std::uint64_t HttpClient::ConnectionsMade() const {
  return this->state->connections_made;
}

std::size_t HttpClient::QueuedBytes() const {
  std::size_t queued = 0;
  for (beast::tcp_stream* stream : this->state->calling) {
    queued += io::QueuedBytes(stream->socket().native_handle());
  }
  for (const auto& [address, pool] : this->state->idle) {
    for (const State::Idle& connection : pool) {
      queued += io::QueuedBytes(connection.stream->socket().native_handle());
    }
  }
  return queued;
}

std::uint64_t HttpClient::LocalFailures() const {
  return this->state->local_failures;
}

Result<HttpResponse, HttpError> HttpClient::Call(Endpoint address,
                                                 const HttpRequest& request,
                                                 Duration timeout,
                                                 ConnectionUse use) {
  BOOST_OUTCOME_TRY(auto call, this->Open(address, timeout, use));
  BOOST_OUTCOME_TRY(call->Send(request, timeout));
  call->state->stream->expires_after(timeout);
  BOOST_OUTCOME_TRY(HttpResponse response, call->ReadHead());
  BOOST_OUTCOME_TRY(response.body,
                    call->ReadBody(this->state->settings.body_limit_bytes));
  call->ReturnToPool();
  return response;
}

Result<HttpResponse, HttpError> HttpClient::Stream(
    Endpoint address,
    const HttpRequest& request,
    Duration timeout,
    const std::function<bool(std::string_view)>& on_data) {
  BOOST_OUTCOME_TRY(auto call,
                    this->Open(address, timeout, ConnectionUse::kFresh));
  BOOST_OUTCOME_TRY(call->Send(request, timeout));
  call->state->stream->expires_after(timeout);
  BOOST_OUTCOME_TRY(HttpResponse response, call->ReadHead());
  while (true) {
    call->state->stream->expires_after(timeout);
    BOOST_OUTCOME_TRY(const std::string_view piece, call->ReadPiece());
    if (piece.empty() || !on_data(piece)) {
      return response;
    }
  }
}

}  // namespace chervilpass::io
