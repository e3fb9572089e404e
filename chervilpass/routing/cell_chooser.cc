#include "chervilpass/routing/cell_chooser.h"

#include <fmt/format.h>

#include <algorithm>

#include "chervilpass/core/hash.h"

namespace chervilpass::routing {
namespace {

// Returns the candidates of the nearest locality with spare capacity, or of the
// least loaded locality if none has any.
std::vector<CellCandidate> NearestCandidates(
    const std::vector<CellCandidate>& usable,
    const CellChooserSettings& settings) {
  std::vector<CellCandidate> least_loaded;
  double min_utilisation = 0;
  for (const Locality locality :
       {Locality::kSameDataCentre, Locality::kSameRegion,
        Locality::kOtherRegion}) {
    std::vector<CellCandidate> in_locality;
    double locality_min_utilisation = 0;
    for (const CellCandidate& candidate : usable) {
      if (candidate.locality != locality) {
        continue;
      }
      const double utilisation = candidate.load.Utilisation();
      locality_min_utilisation =
          in_locality.empty() ? utilisation
                              : std::min(locality_min_utilisation, utilisation);
      in_locality.push_back(candidate);
    }
    if (in_locality.empty()) {
      continue;
    }
    if (locality_min_utilisation < settings.spill_utilisation) {
      return in_locality;
    }
    if (least_loaded.empty() || locality_min_utilisation < min_utilisation) {
      min_utilisation = locality_min_utilisation;
      least_loaded = in_locality;
    }
  }
  return least_loaded;
}

double MeanUtilisation(const std::vector<CellCandidate>& candidates) {
  double sum = 0;
  for (const CellCandidate& candidate : candidates) {
    sum += candidate.load.Utilisation();
  }
  return sum / static_cast<double>(candidates.size());
}

const CellCandidate& HighestAffinity(
    const std::vector<CellCandidate>& candidates,
    std::uint64_t prefix_hash) {
  return *std::max_element(
      candidates.begin(), candidates.end(),
      [prefix_hash](const CellCandidate& a, const CellCandidate& b) {
        return HashCombine(a.cell, prefix_hash) <
               HashCombine(b.cell, prefix_hash);
      });
}

}  // namespace

double CellLoad::Utilisation() const {
  if (this->capacity == 0) {
    return 0;
  }
  return static_cast<double>(this->in_flight) / this->capacity;
}

std::optional<CellChoice> ChooseCell(
    const std::vector<CellCandidate>& candidates,
    std::uint64_t prefix_hash,
    const CellChooserSettings& settings,
    Random* random) {
  std::vector<CellCandidate> usable;
  std::copy_if(
      candidates.begin(), candidates.end(), std::back_inserter(usable),
      [](const CellCandidate& candidate) { return !candidate.excluded; });
  const std::vector<CellCandidate> nearest =
      NearestCandidates(usable, settings);
  if (nearest.empty()) {
    return std::nullopt;
  }
  if (nearest.size() == 1) {
    return CellChoice{nearest.front().cell, ChoiceReason::kOnlyOne, nearest};
  }
  // Prefix affinity: the cell that has probably cached the prefix, unless its
  // load exceeds the bound.
  if (prefix_hash != 0) {
    const CellCandidate& preferred = HighestAffinity(nearest, prefix_hash);
    const double bound =
        std::max(0.5, settings.affinity_load_bound * MeanUtilisation(nearest));
    if (preferred.load.Utilisation() <= bound) {
      return CellChoice{preferred.cell, ChoiceReason::kAffinity, nearest};
    }
  }
  const std::size_t first = random->Below(nearest.size());
  const std::size_t second =
      (first + 1 + random->Below(nearest.size() - 1)) % nearest.size();
  const bool first_is_less_loaded =
      nearest[first].load.Utilisation() <= nearest[second].load.Utilisation();
  const CellCandidate& chosen =
      first_is_less_loaded ? nearest[first] : nearest[second];
  return CellChoice{chosen.cell, ChoiceReason::kTwoChoices, nearest};
}

std::string Describe(const CellChoice& choice) {
  std::string text;
  for (const CellCandidate& candidate : choice.candidates) {
    text +=
        fmt::format("{}{:08x}:{}/{}", text.empty() ? "" : ",", candidate.cell,
                    candidate.load.in_flight, candidate.load.capacity);
  }
  return text;
}

std::string_view ReasonName(ChoiceReason reason) {
  constexpr std::string_view kNames[] = {"affinity", "two-choices", "only-one"};
  return kNames[static_cast<std::size_t>(reason)];
}

}  // namespace chervilpass::routing
