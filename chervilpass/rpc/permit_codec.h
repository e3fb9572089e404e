// Datagrams by which VMs ask for and grant permits to send requests to backend
// servers with rate limits: packed Cap'n Proto.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "chervilpass/core/time.h"

namespace chervilpass::rpc {

/// A statement of a backend server about its rate limit. VMs have no common
/// clock, so its age is sent instead of its time.
struct AgedRateLimit {
  std::optional<double> per_second;  ///< none: the server names no limit
  Duration age{0};

  auto operator<=>(const AgedRateLimit&) const = default;
};

/// Asks for a permit.
struct PermitRequest {
  std::uint64_t sequence = 0;
  std::string server;
  AgedRateLimit limit;   ///< as known to the sender
  Duration max_wait{0};  ///< longest useful time until the request is sent

  auto operator<=>(const PermitRequest&) const = default;
};

/// The answer to a PermitRequest.
struct PermitReply {
  std::uint64_t sequence = 0;  ///< of the request
  bool granted = false;
  /// Until the request may be sent, or until a permit can be had again.
  Duration wait{0};
  AgedRateLimit limit;  ///< as known to the sender

  auto operator<=>(const PermitReply&) const = default;
};

using PermitMessage = std::variant<PermitRequest, PermitReply>;

/// Encodes a message as the payload of one datagram.
std::string EncodePermitMessage(const PermitMessage& message);

/// Decodes the payload of a datagram; none if it is not a permit message.
std::optional<PermitMessage> DecodePermitMessage(std::string_view bytes);

}  // namespace chervilpass::rpc
