// HTTP messages as plain values, independent of the HTTP library.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilpass::io {

/// One header field. Names are case-insensitive.
struct HttpHeader {
  std::string name;
  std::string value;

  bool operator==(const HttpHeader&) const = default;
};

/// Header fields in message order.
class HttpHeaders {
 public:
  /// Appends a field.
  void Add(std::string name, std::string value);

  /// Value of the first field with that name, if there is one.
  std::optional<std::string> Find(std::string_view name) const;

  const std::vector<HttpHeader>& All() const { return this->fields; }

  bool operator==(const HttpHeaders&) const = default;

 private:
  std::vector<HttpHeader> fields;
};

/// A request. `path` excludes the query; `query` excludes the '?'.
struct HttpRequest {
  std::string method = "GET";
  std::string path = "/";
  std::string query;
  /// Path and query exactly as received. If set, it is sent instead of `path`
  /// and `query`.
  std::string target;
  HttpHeaders headers;
  std::string body;

  /// Value of a query parameter, not percent-decoded; empty if it is missing.
  std::optional<std::string> QueryParameter(std::string_view name) const;

  bool operator==(const HttpRequest&) const = default;
};

/// A response with its complete body.
struct HttpResponse {
  unsigned status = 200;
  HttpHeaders headers;
  std::string body;

  bool operator==(const HttpResponse&) const = default;
};

/// Reason why a call failed.
enum class HttpErrorCode {
  kConnect,   ///< No connection was established; no byte was sent.
  kTimeout,   ///< The timeout expired; bytes may have been sent.
  kReset,     ///< The connection was closed before the message ended.
  kProtocol,  ///< The peer sent invalid HTTP.
  kTooLarge,  ///< A header or body exceeds its limit.
  kNoMemory,  ///< This process has no memory for the body.
};

/// Error of the HTTP layer.
struct HttpError {
  HttpErrorCode code = HttpErrorCode::kProtocol;
  std::string detail;

  bool operator==(const HttpError&) const = default;
};

/// An IP address and port, "127.0.0.1:8080".
struct Endpoint {
  std::string ip;
  std::uint16_t port = 0;

  /// Parses "IP:PORT"; empty if `text` has another form or the port is 0.
  static std::optional<Endpoint> Parse(std::string_view text);
  std::string ToText() const;

  auto operator<=>(const Endpoint&) const = default;
};

}  // namespace chervilpass::io
