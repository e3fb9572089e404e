// What a model costs on each kind of accelerator: memory of its layers and of
// the KV cache, and the time of a pass.
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

/// One kind of accelerator.
struct AcceleratorKind {
  double memory_mb = 0;
  double step_factor = 1;     ///< of the model's step and context times
  double prefill_factor = 1;  ///< of the model's prefill times

  bool operator==(const AcceleratorKind&) const = default;
};

/// One model. Times are those of a whole model on an accelerator of factor 1.
struct ModelProfile {
  std::uint32_t layers = 0;
  double layer_mb = 0;
  double kv_bytes_per_token = 0;  ///< over all layers
  Duration step_time{0};          ///< one token step of a batch
  Duration step_per_sequence{0};
  Duration step_per_1000_context_tokens{0};
  double prefill_tokens_per_second = 0;
  Duration load_time{0};  ///< of all layers from the weight store
  std::uint32_t concurrent_loads = 1;
  std::uint32_t batch_limit = 0;     ///< requests, as first of a path
  double activation_bytes = 0;       ///< a token, between two workers
  double data_centre_link_mbps = 0;  ///< between two data centres
  std::uint32_t typical_prompt_tokens = 0;
  std::uint32_t typical_answer_tokens = 0;
  std::map<std::string, AcceleratorKind> kinds;

  /// Bytes of KV cache of one token in one layer.
  double KvBytesPerTokenLayer() const {
    return this->layers == 0 ? 0 : this->kv_bytes_per_token / this->layers;
  }

  /// Layers that fit into an accelerator's memory, with none left for requests.
  std::uint32_t MaxLayers(const AcceleratorKind& kind) const {
    if (this->layer_mb <= 0) {
      return 0;
    }
    return std::min(this->layers, static_cast<std::uint32_t>(kind.memory_mb /
                                                             this->layer_mb));
  }

  /// KV capacity of a worker that holds `held` layers, in token-layers.
  double KvTokenLayers(const AcceleratorKind& kind, std::uint32_t held) const {
    const double free_mb = kind.memory_mb - held * this->layer_mb;
    const double bytes = this->KvBytesPerTokenLayer();
    return bytes <= 0 || free_mb <= 0 ? 0 : free_mb * 1e6 / bytes;
  }

  /// The largest range that leaves room for `tokens` in each of its layers.
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
