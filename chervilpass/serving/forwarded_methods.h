// Methods of requests that the router forwards.
#pragma once

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>

#include "chervilpass/admission/refusal.h"

namespace chervilpass::serving {

/// Value of the Allow field of responses to other methods.
inline constexpr std::string_view kForwardedMethods =
    "GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS";

/// Why requests with this method are refused; none if they are forwarded.
/// Method names are case-sensitive.
inline std::optional<admission::RefusalCode> ObjectionToMethod(
    std::string_view method) {
  constexpr std::array<std::string_view, 7> kForwarded = {
      "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};
  // TRACE would show the caller what the router adds to a request; a tunnel
  // could not be limited.
  constexpr std::array<std::string_view, 2> kNotAllowed = {"TRACE", "CONNECT"};
  const auto is_method = [method](std::string_view known) {
    return known == method;
  };
  if (std::any_of(kForwarded.begin(), kForwarded.end(), is_method)) {
    return std::nullopt;
  }
  return std::any_of(kNotAllowed.begin(), kNotAllowed.end(), is_method)
             ? admission::RefusalCode::kMethod
             : admission::RefusalCode::kNotImplemented;
}

}  // namespace chervilpass::serving
