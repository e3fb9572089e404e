// HTTP/1.1 server: one fiber per connection, a timeout on every wait, limited
// header and body sizes.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chervilpass/core/result.h"
#include "chervilpass/core/time.h"
#include "chervilpass/io/http.h"
#include "chervilpass/io/runtime.h"
#include "chervilpass/io/socket_buffers.h"
#include "chervilpass/memory/memory_budget.h"

namespace chervilpass::io {

/// Limits of the size and duration of requests.
struct HttpServerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 1024 * 1024;
  Duration read_timeout = seconds(10);  ///< for one complete request
  Duration idle_timeout = seconds(60);  ///< between two requests

  bool operator==(const HttpServerLimits&) const = default;
};

/// Settings of an HttpServer.
struct HttpServerSettings {
  Endpoint listen;
  HttpServerLimits limits;
  Duration write_timeout = seconds(10);  ///< for one write
  /// A further connection replaces the one that has been idle longest between
  /// two requests; if there is none, one that has sent nothing, or no more of
  /// its request, for a second. Otherwise it gets a response with status 503.
  std::size_t connection_limit = 8192;
  std::size_t refusal_limit = 16;  ///< connections being refused at a time
  /// Connections that have not been accepted; 0: as many as the system allows.
  std::size_t backlog = 0;
  /// Of each connection. With a budget, bodies and responses that have been
  /// granted memory get larger ones.
  SocketBuffers buffers;
  /// Peers may close their sending side once they have sent a request: the
  /// connection is probed to tell them from those that have left. Otherwise the
  /// end of the input ends the request.
  bool half_closed_peers = false;
  /// What request bodies and their copies may hold, for `owner`; null: no limit
  /// beyond that of each body.
  memory::MemoryBudget* budget = nullptr;
  memory::Owner owner = memory::Owner::kCallerRequests;

  bool operator==(const HttpServerSettings&) const = default;
};

/// Connections that an HttpServer did not serve or broke off, since its start.
struct HttpServerCounts {
  std::uint64_t over_limit = 0;       ///< refused at `connection_limit`
  std::uint64_t idle_replaced = 0;    ///< closed for the sake of new ones
  std::uint64_t accept_failures = 0;  ///< most likely out of descriptors
  std::uint64_t exceptions = 0;       ///< of handlers; the connection ended
  /// Refused without progress on their requests, which have not run, or without
  /// any request: others needed the memory, or the connection.
  std::uint64_t stalled_closed = 0;
  /// Listeners and connections whose buffers could not be set.
  std::uint64_t buffer_failures = 0;

  bool operator==(const HttpServerCounts&) const = default;
};

/// Peers that ended their side during a request, by what was seen first.
struct PeerEndCounts {
  std::uint64_t inputs_ended = 0;
  std::uint64_t resets = 0;
  std::uint64_t failed_writes = 0;

  bool operator==(const PeerEndCounts&) const = default;
};

/// A request of which a part has arrived.
struct UnreadRequest {
  Endpoint peer;
  Duration age{0};        ///< since its first bytes
  std::size_t bytes = 0;  ///< that have arrived
  bool has_head = false;  ///< `head` is complete
  HttpRequest head;       ///< without the body
};

/// A connection whose peer has not acknowledged all of a response.
struct UnsentResponse {
  Endpoint peer;
  std::size_t bytes = 0;  ///< that are not acknowledged
  HttpRequest head;       ///< of the latest request, without the body
};

/// How the peer's side of a connection ended during a request.
enum class PeerEnd {
  kNone,         ///< Not seen.
  kInputEnded,   ///< It has closed its sending side, or the connection.
  kReset,        ///< The connection was reset.
  kWriteFailed,  ///< A write failed or took too long.
};

/// "input ended", "reset", "write failed", or empty.
std::string_view PeerEndName(PeerEnd end);

/// One request and its response. Used by the fiber of its handler only.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& Request() const = 0;

  /// Address of the peer; empty if the connection is broken.
  virtual Endpoint Peer() const = 0;

  /// True if a response was sent or begun.
  virtual bool ResponseBegun() const = 0;

  /// Sends a complete response. At most one of Respond and BeginStream may be
  /// called.
  virtual void Respond(const HttpResponse& response) = 0;

  /// Bytes of the response given to Respond that the system has not taken yet;
  /// none while no such response is being written.
  virtual std::optional<std::size_t> UnwrittenBytes() const {
    return std::nullopt;
  }

  /// Starts a chunked response; false if the connection is broken. The body of
  /// `head` is not sent.
  virtual bool BeginStream(const HttpResponse& head) = 0;

  /// Sends one chunk and waits until it is written; false if the connection is
  /// broken or the write timed out.
  virtual bool WriteChunk(std::string_view data) = 0;

  /// Ends a chunked response; false if the connection is broken.
  virtual bool EndStream() = 0;

  /// Closes the connection without a response.
  virtual void Abort() = 0;

  /// True if the peer has left. With `half_closed_peers`, the end of its input
  /// is no sign of that; then the call may write a probe.
  virtual bool PeerClosed() = 0;

  /// How the peer's side ended, as far as PeerClosed, WatchPeer and the writes
  /// have seen it.
  virtual PeerEnd HowPeerEnded() const { return PeerEnd::kNone; }

  /// Calls `on_gone` once if the peer leaves before the handler returns. The
  /// watch ends without a call if the peer sends further bytes.
  virtual void WatchPeer(std::function<void()> on_gone) = 0;
};

/// Called for each request, on the fiber of its connection.
using HttpHandler = std::function<void(HttpExchange&)>;

/// Creates the response to a request that could not be read; with status 503 to
/// a connection that is refused.
using HttpErrorResponder =
    std::function<HttpResponse(unsigned status, std::string_view detail)>;

/// Looks at the head of a request whose body has not arrived. A response ends
/// the request: it is sent, and the connection is closed.
using HttpHeadHandler =
    std::function<std::optional<HttpResponse>(const HttpRequest& head)>;

/// A listening server.
class HttpServer {
 public:
  /// Binds, listens and starts accepting; kConnect if the address cannot be
  /// used. Fiber thread only.
  static Result<std::unique_ptr<HttpServer>, HttpError> Create(
      Runtime* runtime,
      HttpServerSettings settings,
      HttpHandler handler,
      HttpErrorResponder error_responder);

  ~HttpServer();

  /// Stops accepting; connections that are established close after their next
  /// response.
  void StopAccepting();

  /// Disables keep-alive: the server continues to accept connections, and
  /// closes each after its next response.
  void DisableKeepAlive();

  /// Responds to all requests that have arrived in part, unless the rest has
  /// arrived by then, and closes their connections. `respond` is called, on
  /// their fibers, with the head, which is empty if it is not complete.
  void RefuseUnread(
      const std::function<HttpResponse(const HttpRequest& head)>& respond);

  /// Closes connections that wait for their next request.
  void CloseIdle();

  /// Sets the limits of requests that are read from now on.
  void SetLimits(const HttpServerLimits& limits);

  /// Number of open connections.
  std::size_t Connections() const;

  /// What the kernel holds in the queues of the accepted connections.
  std::size_t QueuedBytes() const;

  /// Number of requests in progress.
  std::size_t InFlight() const;

  /// The requests that have arrived in part.
  std::vector<UnreadRequest> Unread() const;

  /// The connections whose peers have not acknowledged all that was written,
  /// as far as the system tells.
  std::vector<UnsentResponse> Unsent() const;

  HttpServerCounts Counts() const;

  PeerEndCounts PeerEnds() const;

  /// Calls `on_head` for each request whose body does not arrive with its head,
  /// before the rest is read.
  void OnHead(HttpHeadHandler on_head);

  /// Calls `on_exception` if a handler, or the library on a peer's input,
  /// throws. Only that connection ends.
  void OnException(std::function<void(std::string_view detail)> on_exception);

 private:
  struct State;
  explicit HttpServer(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

}  // namespace chervilpass::io
