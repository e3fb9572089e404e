// Reads the requests of one connection of an HttpServer. Internal to this
// folder.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <optional>

#include "chervilpass/io/await.h"
#include "chervilpass/io/http_server.h"
#include "chervilpass/io/runtime.h"
#include "chervilpass/io/server_exchange.h"
#include "chervilpass/memory/memory_share.h"

namespace chervilpass::io {

/// Cancels a read that takes too long. The stream's own timer would close the
/// socket, so that no error response could be sent.
class ReadTimer {
 public:
  ReadTimer(Runtime* runtime,
            boost::beast::tcp_stream* stream,
            Duration timeout);
  ~ReadTimer();
  ReadTimer(const ReadTimer&) = delete;
  ReadTimer& operator=(const ReadTimer&) = delete;

  bool Expired() const { return this->flags->expired; }

 private:
  struct Flags {
    bool expired = false;
    bool ended = false;  // the stream may have been destroyed
  };
  boost::asio::steady_timer timer;
  std::shared_ptr<Flags> flags = std::make_shared<Flags>();
};

/// Reads one request after the other. `stream` and `settings` outlive it. Used
/// by the fiber of its connection only.
class RequestReader {
 public:
  RequestReader(Runtime* runtime,
                boost::beast::tcp_stream* stream,
                const HttpServerSettings* settings,
                std::function<void()> on_shortage);

  /// Starts the next request, which must be complete within the read timeout.
  void Begin();

  /// Ends the reading of the request, now or at its next step, with
  /// operation_aborted.
  void Stop();

  /// Drops empty lines, which may precede a request line (RFC 9112, section
  /// 2.2); true if nothing is left.
  bool DropEmptyLines();

  /// True if some of the next request has arrived, empty lines left aside.
  bool NextHasBegun() const;

  /// Reads some bytes of the request; end_of_stream if there are no more.
  Completion ReadSome();

  /// Reads the request's head.
  Completion ReadHead();

  /// Parses what has arrived of the body.
  Completion ParseArrived();

  /// True once the request is complete.
  bool IsDone() const { return this->parser->is_done(); }

  /// Reads the rest of the request.
  Completion ReadBody();

  /// True once the head of the request is complete.
  bool HasHead() const {
    return this->parser && this->parser->is_header_done();
  }

  /// The request without its body and trailer; before ReadHead, the request
  /// before it.
  const HttpRequest& Head() const { return this->head; }

  /// When bytes of the request arrived last.
  Instant LastArrival() const { return this->last_arrival; }

  /// True while no more of the request is read because memory is short.
  bool AwaitsMemory() const { return this->awaits_memory; }

  /// What the request holds of the budget.
  std::size_t HeldBytes() const { return this->share.Bytes(); }

  /// Frees what a request that is not read on, or has been served, holds, and
  /// drops the input that has not been parsed. Nothing may be read after it.
  void Release();

  /// Bytes that have arrived since Begin, and before it.
  std::size_t Received() const { return this->received; }

  /// The request; once, after ReadBody.
  HttpRequest Take();

  /// What the request allows for its response; after ReadHead.
  const ResponseForms& Forms() const { return this->forms; }

 private:
  enum class Input { kArrived, kAwaited };

  // Parses until `done`, or until what has arrived is used up.
  Completion Parse(Input input, const std::function<bool()>& done);
  Completion ReadTimed(std::size_t size);

  // Frees the body and the share, and resets the receive buffer in the kernel.
  void ReleaseBody();

  // False while more has to arrive before the parser may be given it.
  bool MayParse();

  // What the head holds beyond what each connection may hold.
  std::size_t HeadBytes() const;

  // Waits until the memory for `size` further bytes is granted;
  // no_buffer_space if that takes too long, the waits before it included.
  Completion AwaitMemory(std::size_t size);

  // Enlarges the receive buffer in the kernel for a large body.
  void EnlargeBuffer(std::size_t body_bytes);

  Runtime* runtime;
  boost::beast::tcp_stream* stream;
  const HttpServerSettings* settings;
  std::function<void()> on_shortage;  ///< memory was not granted
  // Outlives the parser.
  std::function<void(std::uint64_t size,
                     boost::beast::string_view extension,
                     boost::system::error_code& error)>
      check_chunk;
  boost::beast::flat_buffer buffer;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser;        ///< of the request that is being read
  HttpRequest head;  ///< the parser adds the trailer to the fields
  ResponseForms forms;
  Instant until{};            ///< applies to one complete request
  memory::MemoryShare share;  ///< for the body, until the next request
  bool body_begun = false;    ///< a body in chunks is being parsed
  bool stopped = false;
  bool awaits_memory = false;
  bool buffer_enlarged = false;  ///< the receive buffer in the kernel
  Instant last_arrival{};
  std::size_t head_lines = 0;  ///< of the request
  std::size_t head_size = 0;   ///< bytes
  std::size_t received = 0;
  Duration memory_wait{0};          ///< since `wait_renewed_at`
  std::size_t wait_renewed_at = 0;  ///< of `received`
  std::size_t dropped = 0;  ///< bytes of empty lines since the last request
};

/// The status of the response to a request that could not be read.
unsigned StatusOfReadError(const boost::system::error_code& error);

}  // namespace chervilpass::io
