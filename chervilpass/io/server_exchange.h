// A request and its response on a connection of an HttpServer. Internal to this
// folder.
#pragma once

#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <memory>
#include <string_view>

#include "chervilpass/io/http_server.h"

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

/// See HttpExchange. All pointers outlive it.
class ServerExchange final : public HttpExchange {
 public:
  ServerExchange(boost::beast::tcp_stream* stream,
                 const HttpServerSettings* settings,
                 HttpRequest request,
                 bool keep_alive,
                 const bool* keep_alive_allowed,
                 PeerEndCounts* counts);
  ~ServerExchange() override;

  const HttpRequest& Request() const override { return this->request; }
  Endpoint Peer() const override;
  bool ResponseBegun() const override { return this->responded; }
  void Respond(const HttpResponse& response) override;
  bool BeginStream(const HttpResponse& head) override;
  bool WriteChunk(std::string_view data) override;
  bool EndStream() override;
  void Abort() override;
  bool PeerClosed() override;
  PeerEnd HowPeerEnded() const override { return this->peer_end; }
  void WatchPeer(std::function<void()> on_gone) override;

  /// True if another request can follow on the connection.
  bool Reusable() const;

 private:
  // Records the result of a write; false if the connection is broken.
  bool OnWritten(const boost::system::error_code& error);
  void SetPeerEnd(PeerEnd end);

  // Responses to HEAD have no body, and no end of one.
  bool IsHead() const { return this->request.method == "HEAD"; }

  boost::beast::tcp_stream* stream;
  const HttpServerSettings* settings;
  HttpRequest request;
  bool keep_alive;
  const bool* keep_alive_allowed;  ///< false after DisableKeepAlive
  PeerEndCounts* counts;
  bool responded = false;
  bool broken = false;
  PeerEnd peer_end = PeerEnd::kNone;
  // Shared with the handler of WatchPeer, which may outlive the exchange.
  std::shared_ptr<bool> watch_ended = std::make_shared<bool>(false);
};

}  // namespace chervilpass::io
