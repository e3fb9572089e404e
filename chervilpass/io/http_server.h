// HTTP/1.1 server: a fiber a connection, deadlines on every wait, bounded
// header and body sizes.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "chervilpass/core/result.h"
#include "chervilpass/core/time.h"
#include "chervilpass/io/http.h"
#include "chervilpass/io/runtime.h"

namespace chervilpass::io {

/// What a peer may send, and how long it may take.
struct HttpServerLimits {
  std::uint32_t header_bytes = 16 * 1024;  ///< bytes
  std::uint64_t body_bytes = 1024 * 1024;  ///< bytes
  Duration read_timeout = seconds(10);     ///< for one whole request
  Duration idle_timeout = seconds(60);     ///< between two requests

  bool operator==(const HttpServerLimits&) const = default;
};

/// Describes an HttpServer.
struct HttpServerSettings {
  Endpoint listen;
  HttpServerLimits limits;
  Duration write_timeout = seconds(10);  ///< for one write
  std::size_t connection_limit = 8192;

  bool operator==(const HttpServerSettings&) const = default;
};

/// One request being answered. Used by its handler's fiber only.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& Request() const = 0;

  /// Sends a whole response. At most one of Respond and BeginStream is called.
  virtual void Respond(const HttpResponse& response) = 0;

  /// Starts a chunked response. The body of `head` is not sent.
  virtual bool BeginStream(const HttpResponse& head) = 0;

  /// Sends one chunk, waiting for the socket; false once the peer is gone or
  /// has not taken the chunk within the write timeout.
  virtual bool WriteChunk(std::string_view data) = 0;

  /// Ends a chunked response.
  virtual bool EndStream() = 0;

  /// Closes the connection without an answer.
  virtual void Abort() = 0;

  /// True if the peer has closed its connection.
  virtual bool PeerGone() = 0;

  /// Calls `on_gone` once if the peer closes its connection before the handler
  /// returns. Not called any more once the peer has sent further bytes.
  virtual void WatchPeer(std::function<void()> on_gone) = 0;
};

/// Called on a fiber of its own for each request.
using HttpHandler = std::function<void(HttpExchange&)>;

/// Makes the response to a request that could not be read.
using HttpErrorResponder =
    std::function<HttpResponse(unsigned status, std::string_view detail)>;

/// A listening server.
class HttpServer {
 public:
  /// Binds, listens and starts accepting. Fiber thread only.
  static Result<std::unique_ptr<HttpServer>, HttpError> Create(
      Runtime* runtime,
      HttpServerSettings settings,
      HttpHandler handler,
      HttpErrorResponder error_responder);

  ~HttpServer();

  /// Stops accepting; open connections close after the request in flight.
  void StopAccepting();

  /// Goes on accepting and serving, but every response closes its connection.
  void StopKeepingAlive();

  /// Closes connections on which no request is in flight.
  void CloseIdle();

  /// Applies to requests read from now on.
  void SetLimits(const HttpServerLimits& limits);

  /// Connections that are open now.
  std::size_t Connections() const;

  /// Requests being answered now.
  std::size_t InFlight() const;

 private:
  struct State;
  explicit HttpServer(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

}  // namespace chervilpass::io
