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
  std::uint64_t body_limit = 8 * 1024 * 1024;  ///< bytes of a response
  std::size_t idle_connections = 32;           ///< kept for each address

  bool operator==(const HttpClientSettings&) const = default;
};

/// Whether a call may use a connection that earlier calls have used. A server
/// may be closing such a connection, which makes a failure ambiguous.
enum class ConnectionUse { kPooled, kFresh };

/// Sends requests. Fiber thread only.
class HttpClient {
 public:
  static std::unique_ptr<HttpClient> Create(Runtime* runtime,
                                            HttpClientSettings settings);
  ~HttpClient();

  /// Sends `request` and waits for the whole response, `timeout` at most.
  Result<HttpResponse, HttpError> Call(
      const Endpoint& address,
      const HttpRequest& request,
      Duration timeout,
      ConnectionUse use = ConnectionUse::kPooled);

  /// Sends `request` and hands each piece of the response body to `on_data` as
  /// it arrives, until the body ends or `on_data` returns false. `timeout`
  /// bounds the wait for each piece. The returned response has no body.
  Result<HttpResponse, HttpError> Stream(
      const Endpoint& address,
      const HttpRequest& request,
      Duration timeout,
      const std::function<bool(std::string_view)>& on_data);

 private:
  struct State;
  explicit HttpClient(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

}  // namespace chervilpass::io
