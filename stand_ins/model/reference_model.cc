#include "stand_ins/model/reference_model.h"

#include "chervilpass/core/hash.h"
#include "chervilpass/pipeline/tokenizer.h"

namespace chervilpass::stand_ins {

std::uint64_t ApplyLayer(std::uint32_t layer,
                         std::uint32_t position,
                         std::uint64_t input,
                         std::uint64_t* cache) {
  *cache = HashCombine(*cache, input);
  const std::uint64_t layer_and_position =
      (static_cast<std::uint64_t>(layer) << 32) | position;
  return HashCombine(HashCombine(input, *cache), layer_and_position);
}

std::uint32_t SampleToken(std::uint64_t activation, std::uint64_t seed) {
  return static_cast<std::uint32_t>(HashCombine(activation, seed) %
                                    pipeline::kVocabularySize);
}

std::vector<std::uint32_t> ReferenceAnswer(
    std::uint32_t layers,
    const std::vector<std::uint32_t>& prompt,
    std::uint64_t seed,
    std::uint32_t tokens) {
  std::vector<std::uint64_t> caches(layers, 0);
  std::vector<std::uint32_t> inputs = prompt;
  std::vector<std::uint32_t> answer;
  for (std::uint32_t position = 0; answer.size() < tokens; ++position) {
    std::uint64_t activation = inputs[position];
    for (std::uint32_t layer = 0; layer < layers; ++layer) {
      activation = ApplyLayer(layer, position, activation, &caches[layer]);
    }
    if (position + 1 >= prompt.size()) {
      answer.push_back(SampleToken(activation, seed));
      inputs.push_back(answer.back());
    }
  }
  return answer;
}

}  // namespace chervilpass::stand_ins
