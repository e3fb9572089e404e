#include "chervilpass/io/http.h"

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/string.hpp>
#include <charconv>

#include "chervilpass/core/text.h"

namespace chervilpass::io {

void HttpHeaders::Add(std::string name, std::string value) {
  this->fields.push_back({std::move(name), std::move(value)});
}

std::optional<std::string> HttpHeaders::Find(std::string_view name) const {
  for (const HttpHeader& field : this->fields) {
    if (boost::beast::iequals(field.name, {name.data(), name.size()})) {
      return field.value;
    }
  }
  return std::nullopt;
}

std::optional<std::string> HttpRequest::QueryParameter(
    std::string_view name) const {
  for (const std::string& part : SplitText(this->query, '&')) {
    const std::size_t equals = part.find('=');
    if (equals != std::string::npos && part.substr(0, equals) == name) {
      return part.substr(equals + 1);
    }
  }
  return std::nullopt;
}

std::optional<Endpoint> Endpoint::Parse(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const std::string ip(text.substr(0, colon));
  boost::asio::ip::make_address(ip, error);
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, code] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  const bool is_number =
      code == std::errc() && end == digits.data() + digits.size();
  if (error || !is_number || port == 0) {
    return std::nullopt;
  }
  return Endpoint{ip, port};
}

std::string Endpoint::ToText() const {
  return this->ip + ":" + std::to_string(this->port);
}

}  // namespace chervilpass::io
