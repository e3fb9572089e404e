#include "chervilpass/pipeline/tokenizer.h"

#include <fmt/format.h>

#include "chervilpass/core/hash.h"

namespace chervilpass::pipeline {

std::vector<std::uint32_t> Tokenize(std::string_view prompt) {
  std::vector<std::uint32_t> tokens;
  std::size_t start = 0;
  while (start < prompt.size()) {
    const std::size_t end =
        std::min(prompt.find_first_of(" \t\r\n", start), prompt.size());
    if (end > start) {
      const std::string_view word = prompt.substr(start, end - start);
      tokens.push_back(
          static_cast<std::uint32_t>(HashText(word) % kVocabularySize));
    }
    start = end + 1;
  }
  if (tokens.empty()) {
    tokens.push_back(0);
  }
  return tokens;
}

std::string TokenText(std::uint32_t token) {
  return fmt::format(" w{}", token);
}

}  // namespace chervilpass::pipeline
