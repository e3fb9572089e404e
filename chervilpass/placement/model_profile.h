// Cost profile of a model on each kind of accelerator: memory of its layers and
// of the KV cache, and the time of a forward pass.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include "chervilpass/core/time.h"

namespace chervilpass::placement {

/// A half-open range of a model's layers, [from, to).
struct LayerRange {
  std::uint32_t from = 0;
  std::uint32_t to = 0;

  /// Number of layers.
  std::uint32_t Size() const { return this->to - this->from; }
  bool Empty() const { return this->to <= this->from; }
  bool Contains(std::uint32_t layer) const {
    return this->from <= layer && layer < this->to;
  }
  bool Covers(const LayerRange& other) const {
    return this->from <= other.from && other.to <= this->to;
  }

  auto operator<=>(const LayerRange&) const = default;
};

/// Memory and speed of one kind of accelerator.
struct AcceleratorKind {
  double memory_mb = 0;
  double step_factor = 1;     ///< multiplies the model's step and context times
  double prefill_factor = 1;  ///< multiplies the model's prefill times

  bool operator==(const AcceleratorKind&) const = default;
};

/// Costs of one model. Times are for all layers on an accelerator of factor 1.
struct ModelProfile {
  std::uint32_t layers = 0;
  double layer_mb = 0;
  double kv_bytes_per_token = 0;  ///< over all layers
  Duration step_time{0};          ///< one decode step of a batch
  Duration step_per_sequence{0};
  Duration step_per_1000_context_tokens{0};
  double prefill_tokens_per_second = 0;
  std::uint32_t prefill_chunk_tokens = 0;  ///< per forward pass; 0: unknown
  std::uint32_t steps_per_pass = 1;  ///< decode steps of a pass, if any decode
  Duration load_time{0};             ///< all layers, from the weight store
  std::uint32_t concurrent_loads = 1;  ///< workers that load layers at a time
  std::uint32_t batch_limit = 0;     ///< requests, on the first stage of a path
  double activation_bytes = 0;       ///< per token, between two workers
  double data_centre_link_mbps = 0;  ///< Mbit/s, between two data centres
  std::uint32_t typical_prompt_tokens = 0;
  std::uint32_t typical_answer_tokens = 0;
  std::map<std::string, AcceleratorKind> accelerator_kinds;  ///< by name

  /// Bytes of KV cache that one token takes in one layer.
  double KvBytesPerTokenLayer() const {
    return this->layers == 0 ? 0 : this->kv_bytes_per_token / this->layers;
  }

  /// Number of layers that fit into an accelerator's memory if none of it is
  /// left for the KV cache.
  std::uint32_t MaxLayers(const AcceleratorKind& kind) const {
    if (this->layer_mb <= 0) {
      return 0;
    }
    return std::min(this->layers, static_cast<std::uint32_t>(kind.memory_mb /
                                                             this->layer_mb));
  }

  /// KV cache capacity of a worker that holds `held` layers, in token-layers
  /// (tokens x layers).
  double KvCapacityTokenLayers(const AcceleratorKind& kind,
                               std::uint32_t held) const {
    const double free_mb = kind.memory_mb - held * this->layer_mb;
    const double bytes = this->KvBytesPerTokenLayer();
    return bytes <= 0 || free_mb <= 0 ? 0 : free_mb * 1e6 / bytes;
  }

  /// Number of layers that fit into an accelerator's memory together with the
  /// KV cache of `tokens` tokens in each of them.
  std::uint32_t MaxLayersWithKvTokens(const AcceleratorKind& kind,
                                      double tokens) const {
    const double per_layer_mb =
        this->layer_mb + tokens * this->KvBytesPerTokenLayer() / 1e6;
    return per_layer_mb <= 0
               ? 0
               : std::min(this->layers, static_cast<std::uint32_t>(
                                            kind.memory_mb / per_layer_mb));
  }

  bool operator==(const ModelProfile&) const = default;
};

}  // namespace chervilpass::placement
