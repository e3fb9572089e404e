// HTTP messages as plain values, free of the HTTP library's types.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilpass::io {

/// One header field; names compare without regard to case.
struct HttpHeader {
  std::string name;
  std::string value;

  bool operator==(const HttpHeader&) const = default;
};

/// Header fields in the order sent.
class HttpHeaders {
 public:
  /// Appends a field.
  void Add(std::string name, std::string value);

  /// Value of the first field of that name.
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
  /// Path and query exactly as received; where set, it is what is sent.
  std::string target;
  HttpHeaders headers;
  std::string body;

  /// Value of a query parameter, not percent-decoded.
  std::optional<std::string> QueryParameter(std::string_view name) const;

  bool operator==(const HttpRequest&) const = default;
};

/// A response with a whole body.
struct HttpResponse {
  unsigned status = 200;
  HttpHeaders headers;
  std::string body;

  bool operator==(const HttpResponse&) const = default;
};

/// What went wrong on a connection.
enum class HttpErrorCode {
  kConnect,   ///< No connection was made: no byte was sent.
  kTimeout,   ///< The deadline passed after bytes may have been sent.
  kReset,     ///< The peer closed the connection in the middle.
  kProtocol,  ///< The peer sent something that is not HTTP.
  kTooLarge,  ///< A header or body is over its limit.
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

  /// Reads "IP:PORT"; empty if it is not one.
  static std::optional<Endpoint> Parse(std::string_view text);
  std::string ToText() const;

  auto operator<=>(const Endpoint&) const = default;
};

}  // namespace chervilpass::io
