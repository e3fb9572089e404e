// Converts prompts to token ids and token ids to text. Placeholder for a
// model's tokenizer.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chervilpass::pipeline {

/// Number of token ids; ids are from 0 to `kVocabularySize` - 1.
constexpr std::uint32_t kVocabularySize = 50021;

/// Returns one token for each word of `prompt`, or token 0 if it has no word.
std::vector<std::uint32_t> Tokenize(std::string_view prompt);

/// Returns the text of a token, with a leading space.
std::string TokenText(std::uint32_t token);

}  // namespace chervilpass::pipeline
