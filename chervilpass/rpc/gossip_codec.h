// Datagram form of gossip messages: packed Cap'n Proto.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "chervilpass/membership/detector.h"

namespace chervilpass::rpc {

/// Bytes of one datagram.
std::string EncodeGossip(const membership::GossipMessage& message);

/// Empty if the bytes are not a gossip message.
std::optional<membership::GossipMessage> DecodeGossip(std::string_view bytes);

}  // namespace chervilpass::rpc
