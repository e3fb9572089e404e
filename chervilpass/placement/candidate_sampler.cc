#include "chervilpass/placement/candidate_sampler.h"

#include <algorithm>

namespace chervilpass::placement {
namespace {

// Of the order in which the holders of a layer are kept. Samples begin at a
// random position of it.
constexpr std::uint64_t kOrderSeed = 0x5e1ec7;

}  // namespace

CandidateSampler::CandidateSampler(CandidateSamplerSettings settings,
                                   std::uint32_t layers,
                                   const std::vector<Worker>& workers)
    : settings(settings), layers(layers) {
  for (std::size_t i = 0; i < workers.size(); ++i) {
    DataCentre& data_centre = this->data_centres[workers[i].data_centre];
    data_centre.ranges.push_back(workers[i].layers);
    data_centre.workers.push_back(static_cast<std::uint32_t>(i));
  }
  Random random(kOrderSeed);
  for (auto& [name, data_centre] : this->data_centres) {
    this->samples |=
        data_centre.workers.size() > this->settings.max_priced_workers;
    data_centre.holders.resize(layers);
    for (std::size_t i = 0; i < data_centre.ranges.size(); ++i) {
      const LayerRange& range = data_centre.ranges[i];
      for (std::uint32_t l = range.from; l < std::min(range.to, layers); ++l) {
        std::vector<std::uint32_t>& holders = data_centre.holders[l];
        holders.push_back(static_cast<std::uint32_t>(i));
        std::swap(holders.back(), holders[random.Below(holders.size())]);
      }
    }
  }
}

std::vector<std::string> CandidateSampler::DataCentres() const {
  std::vector<std::string> names;
  for (const auto& [name, data_centre] : this->data_centres) {
    names.push_back(name);
  }
  return names;
}

void CandidateSampler::Sample(const std::string& data_centre,
                              const LayerRange& wanted,
                              std::size_t per_layer,
                              const std::function<bool(std::uint32_t)>& usable,
                              Random* random,
                              std::vector<std::uint32_t>* sample) const {
  const auto found = this->data_centres.find(data_centre);
  if (found == this->data_centres.end()) {
    return;
  }
  const DataCentre& from = found->second;
  std::vector<bool> visited(from.workers.size(), false);
  std::vector<std::size_t> coverage(this->layers, 0);
  const std::uint32_t end = std::min(wanted.to, this->layers);
  for (std::uint32_t l = wanted.from; l < end; ++l) {
    const std::vector<std::uint32_t>& holders = from.holders[l];
    if (coverage[l] >= per_layer || holders.empty()) {
      continue;
    }
    const std::size_t start = random->Below(holders.size());
    for (std::size_t i = 0; i < holders.size() && coverage[l] < per_layer;
         ++i) {
      const std::uint32_t position = holders[(start + i) % holders.size()];
      if (visited[position]) {
        continue;
      }
      visited[position] = true;
      if (!usable(from.workers[position])) {
        continue;
      }
      sample->push_back(from.workers[position]);
      const LayerRange& range = from.ranges[position];
      for (std::uint32_t held = std::max(l, range.from);
           held < std::min(range.to, this->layers); ++held) {
        ++coverage[held];
      }
    }
  }
}

}  // namespace chervilpass::placement
