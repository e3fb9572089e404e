// A request and its response on a connection of an HttpServer. Internal to this
// folder.
#pragma once

#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "chervilpass/io/alarm.h"
#include "chervilpass/io/await.h"
#include "chervilpass/io/http_server.h"
#include "chervilpass/memory/memory_share.h"

namespace chervilpass::io {

/// What a connection holds that has not been read.
enum class InputState {
  kNone,
  kSome,
  kEnded,   ///< The peer has closed its sending side, or the connection.
  kBroken,  ///< The connection was reset.
};

/// Looks at the input of a connection without reading it.
InputState PendingInput(boost::beast::tcp_stream& stream);

/// The text of a complete response after which the connection is closed.
std::string ClosingResponseText(const HttpResponse& response);

class RequestReader;

/// What the exchanges of a connection share. All pointers outlive them.
struct ServerConnection {
  Runtime* runtime;
  boost::beast::tcp_stream* stream;
  const HttpServerSettings* settings;
  const RequestReader* reader;
  const bool* keep_alive_allowed;  ///< false after DisableKeepAlive
  PeerEndCounts* peer_ends;
  memory::MemoryShare* sent;  ///< for the connection's send buffer
};

/// What a request allows for its response.
struct ResponseForms {
  bool keep_alive = false;
};

/// See HttpExchange.
class ServerExchange final : public HttpExchange {
 public:
  ServerExchange(const ServerConnection& connection,
                 HttpRequest request,
                 const ResponseForms& forms);
  ~ServerExchange() override;

  const HttpRequest& Request() const override { return this->request; }
  Endpoint Peer() const override;
  bool ResponseBegun() const override { return this->responded; }
  void Respond(const HttpResponse& response) override;
  std::optional<std::size_t> UnwrittenBytes() const override {
    return this->unwritten;
  }
  bool BeginStream(const HttpResponse& head) override;
  bool WriteChunk(std::string_view data) override;
  bool EndStream() override;
  void Abort() override;
  bool PeerClosed() override;
  PeerEnd HowPeerEnded() const override { return this->peer_end; }
  void WatchPeer(std::function<void()> on_gone) override;

  /// True if another request can follow on the connection.
  bool Reusable() const;

  /// True if the peer has been sent a complete response.
  bool Complete() const {
    return this->responded && !this->broken && !this->streaming;
  }

 private:
  // Records the result of a write; false if the connection is broken.
  bool OnWritten(const boost::system::error_code& error);
  void SetPeerEnd(PeerEnd end);

  // Responses to HEAD have no body, and no end of one.
  bool IsHead() const { return this->request.method == "HEAD"; }

  // Enlarges the send buffer for a large response if the memory is granted.
  void EnlargeSendBuffer(std::size_t response_bytes);

  // Starts to write, with the timeout of a write.
  template <class Start>
  bool Write(Start&& start);

  // Sets `broken` if the write fails.
  template <class Start>
  Completion AwaitWrite(Start& start);

  // Probes a peer whose input has ended, if that is due; false if it has left.
  bool ProbeIfDue();

  // Writes a byte of the response, which a peer that has left answers with a
  // reset.
  bool WriteProbe();

  bool MayKeepAlive() const;

  // Writes a response's text but for what has been sent as probes.
  bool WriteRest(std::string_view text);

  // Writes a whole response with a body of `body_bytes`. `write_some(handler)`
  // starts to write what the system takes of the rest until `is_done()`.
  template <class IsDone, class WriteSome>
  bool WriteWhole(std::size_t body_bytes,
                  IsDone&& is_done,
                  WriteSome&& write_some);

  // A byte that belongs to the response whatever follows; empty if there is
  // none.
  std::string_view ProbeText() const;

  void WatchEndedInput(std::function<void()> on_gone);

  ServerConnection connection;
  HttpRequest request;
  ResponseForms forms;
  bool responded = false;
  bool streaming = false;  ///< between the begin and the end of a stream
  bool writing = false;
  bool broken = false;
  std::optional<std::size_t> unwritten;  ///< set during WriteWhole
  PeerEnd peer_end = PeerEnd::kNone;
  Instant next_probe = Instant::min();
  Duration probe_interval;
  std::size_t begin_sent = 0;    ///< bytes of the response, as probes
  std::size_t chunk_probes = 0;  ///< since the last chunk
  std::optional<Alarm> probe_alarm;
  // Shared with the handler of WatchPeer, which may outlive the exchange.
  std::shared_ptr<bool> watch_ended = std::make_shared<bool>(false);
};

}  // namespace chervilpass::io
