// Token ids of prompts and texts of token ids. Stands where a model's own
// tokenizer would be plugged in.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chervilpass::pipeline {

/// Number of different token ids.
constexpr std::uint32_t kVocabularySize = 50021;

/// One token for each word of `prompt`; an empty prompt has one token.
std::vector<std::uint32_t> Tokenize(std::string_view prompt);

/// The text of a token, with a leading space.
std::string TokenText(std::uint32_t token);

}  // namespace chervilpass::pipeline
