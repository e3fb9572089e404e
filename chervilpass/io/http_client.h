// HTTP/1.1 client with a pool of keep-alive connections per address.
#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "chervilpass/core/result.h"
#include "chervilpass/core/time.h"
#include "chervilpass/io/http.h"
#include "chervilpass/io/runtime.h"
#include "chervilpass/io/socket_buffers.h"
#include "chervilpass/memory/memory_share.h"

namespace chervilpass::io {

/// Settings of an HttpClient.
struct HttpClientSettings {
  Duration connect_timeout = milliseconds(500);
  /// Of a response of HttpClient::Call. Other bodies are read in pieces.
  std::uint64_t body_limit_bytes = 8 * 1024 * 1024;
  std::uint32_t header_limit_bytes = 16 * 1024;  ///< of a response's head
  /// What bodies that are read whole may hold; null: no limit beyond that of
  /// each body.
  memory::MemoryBudget* budget = nullptr;
  std::size_t idle_connections = 32;          ///< per address
  std::size_t idle_connections_total = 1024;  ///< oldest dropped first
  /// A connection that was idle for longer is not reused.
  Duration idle_timeout = seconds(60);
  /// Time after which unacknowledged data closes a connection
  /// (TCP_USER_TIMEOUT); zero uses the system's default.
  Duration tcp_user_timeout = Duration::zero();
  /// Of each connection; the send buffer grows with the request's body.
  SocketBuffers buffers;

  bool operator==(const HttpClientSettings&) const = default;
};

/// Whether a call may reuse a pooled connection. The server may be closing such
/// a connection, so that after a failure it is unknown whether the request was
/// received.
enum class ConnectionUse { kPooled, kFresh };

/// One call on one connection, with incremental reads. Reads have no timeout;
/// Cancel() ends them. Fiber thread only; the client must outlive the call.
/// Destroying a call before it has ended closes its connection, so that the
/// server can stop processing the request.
class HttpCall {
 public:
  ~HttpCall();

  /// Sends the request. After an error, part of it may have been sent.
  Result<void, HttpError> Send(const HttpRequest& request, Duration timeout);

  /// Reads the next response head; the returned response has no body. Call it
  /// again only after `SkipBody`. Interim responses are skipped, up to a limit.
  Result<HttpResponse, HttpError> ReadHead();

  /// Reads the next piece of the body into the call's buffer; empty at the end
  /// of the body. The piece is valid until the next read. The body may have any
  /// length; kTooLarge if what is no part of it, such as a trailer, exceeds the
  /// limit of heads.
  Result<std::string_view, HttpError> ReadPiece();

  /// Reads the rest of the body; kTooLarge if it exceeds `limit` bytes,
  /// kNoMemory if the budget has no room for it for a while. It holds its share
  /// of the budget until the call is destroyed or TakeShare.
  Result<std::string, HttpError> ReadBody(std::size_t limit);

  /// The share of the budget for the body, to be kept as long as the body.
  memory::MemoryShare TakeShare();

  /// Discards the body of a response that belongs to another request. The
  /// connection is not reused after this call.
  Result<void, HttpError> SkipBody();

  /// True if the response was read completely.
  bool IsComplete() const;

  /// Closes the connection from another fiber; reads and writes in progress
  /// end with kReset.
  void Cancel();

  /// True if the connection came from the pool.
  bool Reused() const;

  /// Returns the connection to the pool if the response was read completely and
  /// the server keeps the connection open.
  void ReturnToPool();

 private:
  friend class HttpClient;
  struct State;
  explicit HttpCall(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

/// Sends requests. Fiber thread only. Addresses are passed by value, because
/// the object that holds an address may be destroyed while a call is in
/// progress. Open connections may fall silent together while new ones work:
/// once a call got no answer on a pooled connection, the idle connections to
/// the address that were last used before it are not reused.
class HttpClient {
 public:
  static std::unique_ptr<HttpClient> Create(Runtime* runtime,
                                            HttpClientSettings settings);
  ~HttpClient();

  /// Opens a call on a pooled or a new connection; kConnect if none can be
  /// established.
  Result<std::unique_ptr<HttpCall>, HttpError> Open(
      Endpoint address,
      Duration connect_timeout,
      ConnectionUse use = ConnectionUse::kPooled);

  /// Number of connection attempts since the start.
  std::uint64_t ConnectionsMade() const;

  /// Number of them that failed for want of descriptors or local ports.
  std::uint64_t LocalFailures() const;

  /// What the kernel holds in the queues of the open connections.
  std::size_t QueuedBytes() const;

  /// Sends `request` and reads the complete response. `timeout` applies to
  /// connecting, to sending and to reading separately.
  Result<HttpResponse, HttpError> Call(
      Endpoint address,
      const HttpRequest& request,
      Duration timeout,
      ConnectionUse use = ConnectionUse::kPooled);

  /// Sends `request` and passes each piece of the response body to `on_data` as
  /// it arrives, until the body ends or `on_data` returns false. `timeout`
  /// limits the wait for each piece. The returned response has no body.
  Result<HttpResponse, HttpError> Stream(
      Endpoint address,
      const HttpRequest& request,
      Duration timeout,
      const std::function<bool(std::string_view)>& on_data);

 private:
  friend class HttpCall;
  struct State;
  explicit HttpClient(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

}  // namespace chervilpass::io
