// HTTP/1.1 client with a pool of kept-alive connections to each address.
#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "chervilpass/core/result.h"
#include "chervilpass/core/time.h"
#include "chervilpass/io/http.h"
#include "chervilpass/io/runtime.h"

namespace chervilpass::io {

/// Describes an HttpClient.
struct HttpClientSettings {
  Duration connect_timeout = milliseconds(500);
  std::uint64_t body_limit_bytes = 8 * 1024 * 1024;  ///< bytes of a response
  std::size_t idle_connections = 32;                 ///< kept for each address
  /// A connection idle for longer is not used again.
  Duration idle_timeout = seconds(60);
  /// Unacknowledged bytes end a connection after this time (TCP_USER_TIMEOUT);
  /// zero leaves it to the system.
  Duration tcp_user_timeout = Duration::zero();

  bool operator==(const HttpClientSettings&) const = default;
};

/// Whether a call may use a connection that earlier calls have used. A server
/// may be closing such a connection, which makes a failure ambiguous.
enum class ConnectionUse { kPooled, kFresh };

/// One call on one connection, read piece by piece. Fiber thread only; the
/// client must outlive it. Destroying a call that has not ended closes its
/// connection, so that the server can stop its work.
class HttpCall {
 public:
  ~HttpCall();

  /// Sends the request. After an error some of it may have been sent.
  Result<void, HttpError> Send(const HttpRequest& request, Duration timeout);

  /// Reads the next response head; the returned response has no body. To be
  /// called again only after `SkipBody`.
  Result<HttpResponse, HttpError> ReadHead();

  /// Reads a piece of the body into the call's own buffer; empty at its end.
  /// The piece is valid until the next call.
  Result<std::string_view, HttpError> ReadPiece();

  /// Reads the rest of the body, `limit` bytes at most.
  Result<std::string, HttpError> ReadBody(std::size_t limit);

  /// Throws away a response that is not the one asked for.
  Result<void, HttpError> SkipBody();

  /// True if a response head has been read to its end and the body as well.
  bool Ended() const;

  /// Closes the connection from another fiber; reads and writes in progress
  /// end with kReset.
  void Cancel();

  /// True if the connection had carried earlier calls.
  bool Reused() const;

  /// Gives the connection back to the pool if the response has ended cleanly
  /// and the server keeps it open.
  void Finish();

 private:
  friend class HttpClient;
  struct State;
  explicit HttpCall(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

/// Sends requests. Fiber thread only. Addresses are taken by value: what they
/// were read from may be gone before a call has ended.
class HttpClient {
 public:
  static std::unique_ptr<HttpClient> Create(Runtime* runtime,
                                            HttpClientSettings settings);
  ~HttpClient();

  /// Opens a call on a kept or a new connection.
  Result<std::unique_ptr<HttpCall>, HttpError> Open(
      Endpoint address,
      Duration connect_timeout,
      ConnectionUse use = ConnectionUse::kPooled);

  /// Connections made since the start.
  std::uint64_t ConnectionsMade() const;

  /// Sends `request` and waits for the whole response, `timeout` at most.
  Result<HttpResponse, HttpError> Call(
      Endpoint address,
      const HttpRequest& request,
      Duration timeout,
      ConnectionUse use = ConnectionUse::kPooled);

  /// Sends `request` and hands each piece of the response body to `on_data` as
  /// it arrives, until the body ends or `on_data` returns false. `timeout`
  /// bounds the wait for each piece. The returned response has no body.
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
