#include "chervilpass/core/text.h"

#include <algorithm>

namespace chervilpass {
namespace {

constexpr std::size_t kMaxIdentifierLength = 64;  // characters

// Levenshtein distance (Wagner and Fischer, 1974), keeping one row of the
// matrix.
std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) {
    row[j] = j;
  }
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t substitution = diagonal + (a[i - 1] != b[j - 1]);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitution});
    }
  }
  return row[b.size()];
}

}  // namespace

std::vector<std::string> SplitText(std::string_view text, char separator) {
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (true) {
    const std::size_t end = text.find(separator, start);
    if (end == std::string_view::npos) {
      parts.emplace_back(text.substr(start));
      return parts;
    }
    parts.emplace_back(text.substr(start, end - start));
    start = end + 1;
  }
}

std::optional<std::string> NearestName(std::string_view name,
                                       const std::vector<std::string>& known) {
  std::optional<std::string> nearest;
  std::size_t min_distance = std::max<std::size_t>(2, name.size() / 2);
  for (const std::string& candidate : known) {
    const std::size_t distance = EditDistance(name, candidate);
    if (distance <= min_distance) {
      min_distance = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

bool IsIdentifier(std::string_view text) {
  if (text.empty() || text.size() > kMaxIdentifierLength) {
    return false;
  }
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  });
}

}  // namespace chervilpass
