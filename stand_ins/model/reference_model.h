// Arithmetic of the stand-in model. An activation is a running hash over
// (position, layer) and over all earlier inputs of the layer, so a missing,
// repeated or reordered layer changes the answer. An answer can be verified
// without the engines: it depends only on the layer count, prompt and seed.
#pragma once

#include <cstdint>
#include <vector>

namespace chervilpass::stand_ins {

/// Runs `layer` at `position` on `input` and returns its activation. `cache`
/// stands for the layer's KV cache and is updated with the input.
std::uint64_t ApplyLayer(std::uint32_t layer,
                         std::uint32_t position,
                         std::uint64_t input,
                         std::uint64_t* cache);

/// Returns the token sampled from the last layer's activation with `seed`.
std::uint32_t SampleToken(std::uint64_t activation, std::uint64_t seed);

/// Runs all layers in one process and returns the expected answer, `tokens`
/// tokens long. `prompt` has at least one token.
std::vector<std::uint32_t> ReferenceAnswer(
    std::uint32_t layers,
    const std::vector<std::uint32_t>& prompt,
    std::uint64_t seed,
    std::uint32_t tokens);

}  // namespace chervilpass::stand_ins
