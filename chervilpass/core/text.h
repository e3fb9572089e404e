// String helpers: splitting, correction of misspelled names, identifiers.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilpass {

/// Splits `text` at each `separator`; an empty text gives one empty part.
std::vector<std::string> SplitText(std::string_view text, char separator);

/// The known name with the smallest edit distance to `name`, if the distance is
/// small enough for a likely misspelling.
std::optional<std::string> NearestName(std::string_view name,
                                       const std::vector<std::string>& known);

/// True if `text` is 1 to 64 characters of a-z, 0-9, '-', '_' or '.'.
bool IsIdentifier(std::string_view text);

}  // namespace chervilpass
