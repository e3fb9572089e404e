// Datagram form of gossip messages: packed Cap'n Proto.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "chervilpass/membership/gossip_message.h"

namespace chervilpass::rpc {

/// Encodes a message as the payload of one datagram.
std::string EncodeGossip(const membership::GossipMessage& message);

/// Decodes the payload of a datagram; empty if it is not a gossip message.
std::optional<membership::GossipMessage> DecodeGossip(std::string_view bytes);

}  // namespace chervilpass::rpc
