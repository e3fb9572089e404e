// JSON format of stored ledger segments.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "chervilpass/ledger/ledger_entry.h"

namespace chervilpass::ledger {

/// Serialises the segment as one JSON object; bodies are stored in base64.
std::string ToJson(const Segment& segment);

/// Parses a stored segment; empty if the text is not a valid segment.
std::optional<Segment> SegmentFromJson(std::string_view text);

}  // namespace chervilpass::ledger
