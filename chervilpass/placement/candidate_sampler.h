// Selects the workers that are priced for one path. The cost of a path search
// grows with the number of workers, its benefit does not: the best of a few
// random choices is nearly as good as the best of all, and spreads the requests
// of VMs with the same view better. M. Mitzenmacher, "The Power of Two Choices
// in Randomized Load Balancing", IEEE TPDS 12(10), 2001.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "chervilpass/core/random.h"
#include "chervilpass/placement/model_profile.h"

namespace chervilpass::placement {

/// Settings of a CandidateSampler.
struct CandidateSamplerSettings {
  /// All workers are priced while no data centre has more than this many. The
  /// largest fleets measured without samples had about 130.
  std::size_t max_priced_workers = 150;
  /// Workers of a sample that hold a layer, for each layer.
  std::size_t workers_per_layer = 16;
  /// The same if the first sample has no path with capacity.
  std::size_t wide_workers_per_layer = 48;

  bool operator==(const CandidateSamplerSettings&) const = default;
};

/// The workers of a service with layers, by data centre and layer. Immutable.
class CandidateSampler {
 public:
  /// A worker that may be sampled.
  struct Worker {
    std::string data_centre;
    LayerRange layers;

    auto operator<=>(const Worker&) const = default;
  };

  /// Samples name workers by their index in `workers`.
  CandidateSampler(CandidateSamplerSettings settings,
                   std::uint32_t layers,
                   const std::vector<Worker>& workers);

  /// True if some data centre has too many workers to price them all.
  bool Samples() const { return this->samples; }

  const CandidateSamplerSettings& Settings() const { return this->settings; }

  std::vector<std::string> DataCentres() const;

  /// Adds workers of `data_centre` to `sample`, at random, until for each layer
  /// of `wanted` `per_layer` of them hold it, or all that are `usable` do. No
  /// worker is added twice. The work does not depend on the number of workers
  /// unless most of them are not usable.
  void Sample(const std::string& data_centre,
              const LayerRange& wanted,
              std::size_t per_layer,
              const std::function<bool(std::uint32_t)>& usable,
              Random* random,
              std::vector<std::uint32_t>* sample) const;

 private:
  struct DataCentre {
    std::vector<LayerRange> ranges;      ///< by position in the data centre
    std::vector<std::uint32_t> workers;  ///< their indices
    /// Positions of the workers with each layer, in random order.
    std::vector<std::vector<std::uint32_t>> holders;
  };

  CandidateSamplerSettings settings;
  std::uint32_t layers;
  std::map<std::string, DataCentre> data_centres;
  bool samples = false;
};

}  // namespace chervilpass::placement
