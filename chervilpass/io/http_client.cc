#include "chervilpass/io/http_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <vector>

#include "chervilpass/io/await.h"

namespace chervilpass::io {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using StreamPtr = std::unique_ptr<beast::tcp_stream>;

constexpr std::size_t kStreamBuffer = 16 * 1024;  // bytes

HttpError FromBeastError(const boost::system::error_code& error) {
  HttpErrorCode code = HttpErrorCode::kReset;
  if (error == beast::error::timeout) {
    code = HttpErrorCode::kTimeout;
  } else if (error == http::error::body_limit ||
             error == http::error::header_limit) {
    code = HttpErrorCode::kTooLarge;
  } else if (error.category() ==
                 http::make_error_code(http::error::bad_version).category() &&
             error != http::error::end_of_stream &&
             error != http::error::partial_message) {
    code = HttpErrorCode::kProtocol;
  }
  return {code, error.message()};
}

http::request<http::string_body> ToBeast(const Endpoint& address,
                                         const HttpRequest& request) {
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.query.empty() ? request.path
                                       : request.path + "?" + request.query);
  message.set(http::field::host, address.ToText());
  for (const HttpHeader& field : request.headers.All()) {
    message.set(field.name, field.value);
  }
  message.body() = request.body;
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

// A kept connection is unusable once the server has closed it.
bool StillOpen(beast::tcp_stream& stream) {
  char byte = 0;
  const ssize_t got = ::recv(stream.socket().native_handle(), &byte, 1,
                             MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

struct HttpClient::State {
  Runtime* runtime;
  HttpClientSettings settings;
  std::map<Endpoint, std::vector<StreamPtr>> idle;

  StreamPtr TakeIdle(const Endpoint& address) {
    std::vector<StreamPtr>& pool = this->idle[address];
    while (!pool.empty()) {
      StreamPtr stream = std::move(pool.back());
      pool.pop_back();
      if (StillOpen(*stream)) {
        return stream;
      }
    }
    return nullptr;
  }

  void GiveBack(const Endpoint& address, StreamPtr stream) {
    std::vector<StreamPtr>& pool = this->idle[address];
    if (pool.size() < this->settings.idle_connections) {
      stream->expires_never();
      pool.push_back(std::move(stream));
    }
  }

  Result<StreamPtr, HttpError> Connect(const Endpoint& address,
                                       Duration timeout) {
    auto stream = std::make_unique<beast::tcp_stream>(this->runtime->Context());
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address.ip, error);
    if (error) {
      return HttpError{HttpErrorCode::kConnect, error.message()};
    }
    stream->expires_after(std::min(timeout, this->settings.connect_timeout));
    const Completion connected = Await([&](auto handler) {
      stream->async_connect(Tcp::endpoint(ip, address.port),
                            std::move(handler));
    });
    if (connected.error) {
      return HttpError{HttpErrorCode::kConnect,
                       address.ToText() + ": " + connected.error.message()};
    }
    stream->socket().set_option(Tcp::no_delay(true), error);
    return stream;
  }

  Result<StreamPtr, HttpError> Open(const Endpoint& address,
                                    Duration timeout,
                                    ConnectionUse use) {
    if (use == ConnectionUse::kPooled) {
      if (StreamPtr kept = this->TakeIdle(address)) {
        return kept;
      }
    }
    return this->Connect(address, timeout);
  }
};

HttpClient::HttpClient(std::unique_ptr<State> state)
    : state(std::move(state)) {}
HttpClient::~HttpClient() = default;

std::unique_ptr<HttpClient> HttpClient::Create(Runtime* runtime,
                                               HttpClientSettings settings) {
  auto state = std::make_unique<State>(State{runtime, settings, {}});
  return std::unique_ptr<HttpClient>(new HttpClient(std::move(state)));
}

Result<HttpResponse, HttpError> HttpClient::Call(const Endpoint& address,
                                                 const HttpRequest& request,
                                                 Duration timeout,
                                                 ConnectionUse use) {
  BOOST_OUTCOME_TRY(StreamPtr stream, this->state->Open(address, timeout, use));
  const http::request<http::string_body> message = ToBeast(address, request);
  stream->expires_after(timeout);
  const Completion written = Await([&](auto handler) {
    http::async_write(*stream, message, std::move(handler));
  });
  if (written.error) {
    return FromBeastError(written.error);
  }
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(this->state->settings.body_limit);
  const Completion read = Await([&](auto handler) {
    http::async_read(*stream, buffer, parser, std::move(handler));
  });
  if (read.error) {
    return FromBeastError(read.error);
  }
  HttpResponse response = HeadFromBeast(parser.get());
  const bool reusable = parser.get().keep_alive();
  response.body = std::move(parser.get().body());
  if (reusable) {
    this->state->GiveBack(address, std::move(stream));
  }
  return response;
}

Result<HttpResponse, HttpError> HttpClient::Stream(
    const Endpoint& address,
    const HttpRequest& request,
    Duration timeout,
    const std::function<bool(std::string_view)>& on_data) {
  BOOST_OUTCOME_TRY(StreamPtr stream,
                    this->state->Open(address, timeout, ConnectionUse::kFresh));
  const http::request<http::string_body> message = ToBeast(address, request);
  stream->expires_after(timeout);
  const Completion written = Await([&](auto handler) {
    http::async_write(*stream, message, std::move(handler));
  });
  if (written.error) {
    return FromBeastError(written.error);
  }
  beast::flat_buffer buffer;
  http::response_parser<http::buffer_body> parser;
  parser.body_limit(this->state->settings.body_limit);
  const Completion head = Await([&](auto handler) {
    http::async_read_header(*stream, buffer, parser, std::move(handler));
  });
  if (head.error) {
    return FromBeastError(head.error);
  }
  const HttpResponse response = HeadFromBeast(parser.get());
  std::vector<char> piece(kStreamBuffer);
  while (!parser.is_done()) {
    parser.get().body().data = piece.data();
    parser.get().body().size = piece.size();
    stream->expires_after(timeout);
    const Completion read = Await([&](auto handler) {
      http::async_read_some(*stream, buffer, parser, std::move(handler));
    });
    if (read.error && read.error != http::error::need_buffer) {
      return FromBeastError(read.error);
    }
    const std::size_t size = piece.size() - parser.get().body().size;
    if (size > 0 && !on_data({piece.data(), size})) {
      break;
    }
  }
  return response;
}

}  // namespace chervilpass::io
