// Stored form of ledger segments.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "chervilpass/ledger/ledger_entry.h"

namespace chervilpass::ledger {

/// The segment as one JSON object; bodies are kept byte for byte.
std::string ToJson(const Segment& segment);

/// Empty if the text is not a segment.
std::optional<Segment> SegmentFromJson(std::string_view text);

}  // namespace chervilpass::ledger
