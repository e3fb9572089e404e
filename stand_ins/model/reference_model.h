// The arithmetic of the stand-in model. An activation is a running hash over
// (position, layer) and over all earlier inputs of the layer, so that a layer
// left out, doubled or out of order changes the answer, and whoever knows the
// prompt can check an answer alone.
#pragma once

#include <cstdint>
#include <vector>

namespace chervilpass::stand_ins {

/// Runs `layer` at `position` on `input`; `cache` stands for the layer's KV
/// cache and takes the input in.
std::uint64_t ApplyLayer(std::uint32_t layer,
                         std::uint32_t position,
                         std::uint64_t input,
                         std::uint64_t* cache);

/// The token that the last layer's activation gives under a seed.
std::uint32_t SampleToken(std::uint64_t activation, std::uint64_t seed);

/// The whole model on one machine: the answer that is correct.
std::vector<std::uint32_t> ReferenceAnswer(
    std::uint32_t layers,
    const std::vector<std::uint32_t>& prompt,
    std::uint64_t seed,
    std::uint32_t tokens);

}  // namespace chervilpass::stand_ins
