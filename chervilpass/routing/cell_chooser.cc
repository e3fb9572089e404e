#include "chervilpass/routing/cell_chooser.h"

#include <fmt/format.h>

#include <algorithm>

#include "chervilpass/core/hash.h"

namespace chervilpass::routing {
namespace {

// The nearest locality that still has room; the least loaded one if none has.
std::vector<CellCandidate> Nearest(const std::vector<CellCandidate>& usable,
                                   const CellChooserSettings& settings) {
  std::vector<CellCandidate> least_loaded;
  double lowest = 0;
  for (const Locality locality :
       {Locality::kSameDataCentre, Locality::kSameRegion,
        Locality::kOtherRegion}) {
    std::vector<CellCandidate> level;
    double level_lowest = 0;
    for (const CellCandidate& option : usable) {
      if (option.locality != locality) {
        continue;
      }
      const double utilisation = option.load.Utilisation();
      level_lowest =
          level.empty() ? utilisation : std::min(level_lowest, utilisation);
      level.push_back(option);
    }
    if (level.empty()) {
      continue;
    }
    if (level_lowest < settings.spill_utilisation) {
      return level;
    }
    if (least_loaded.empty() || level_lowest < lowest) {
      lowest = level_lowest;
      least_loaded = level;
    }
  }
  return least_loaded;
}

double MeanUtilisation(const std::vector<CellCandidate>& options) {
  double sum = 0;
  for (const CellCandidate& option : options) {
    sum += option.load.Utilisation();
  }
  return sum / static_cast<double>(options.size());
}

const CellCandidate& ByAffinity(const std::vector<CellCandidate>& options,
                                std::uint64_t prefix_hash) {
  return *std::max_element(
      options.begin(), options.end(),
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

std::optional<CellChoice> ChooseCell(const std::vector<CellCandidate>& options,
                                     std::uint64_t prefix_hash,
                                     const CellChooserSettings& settings,
                                     Random* random) {
  std::vector<CellCandidate> usable;
  std::copy_if(options.begin(), options.end(), std::back_inserter(usable),
               [](const CellCandidate& option) { return !option.excluded; });
  const std::vector<CellCandidate> near = Nearest(usable, settings);
  if (near.empty()) {
    return std::nullopt;
  }
  if (near.size() == 1) {
    return CellChoice{near.front().cell, ChoiceReason::kOnlyOne, near};
  }
  // Affinity: the cell that has probably cached the prefix, unless it carries
  // clearly more than its share.
  if (prefix_hash != 0) {
    const CellCandidate& favourite = ByAffinity(near, prefix_hash);
    const double bound =
        std::max(0.5, settings.affinity_load_bound * MeanUtilisation(near));
    if (favourite.load.Utilisation() <= bound) {
      return CellChoice{favourite.cell, ChoiceReason::kAffinity, near};
    }
  }
  const std::size_t first = random->Below(near.size());
  const std::size_t second =
      (first + 1 + random->Below(near.size() - 1)) % near.size();
  const bool first_is_freer =
      near[first].load.Utilisation() <= near[second].load.Utilisation();
  const CellCandidate& chosen = first_is_freer ? near[first] : near[second];
  return CellChoice{chosen.cell, ChoiceReason::kTwoChoices, near};
}

std::string Describe(const CellChoice& choice) {
  std::string text;
  for (const CellCandidate& option : choice.candidates) {
    text += fmt::format("{}{:08x}:{}/{}", text.empty() ? "" : ",", option.cell,
                        option.load.in_flight, option.load.capacity);
  }
  return text;
}

std::string_view ReasonName(ChoiceReason reason) {
  constexpr std::string_view kNames[] = {"affinity", "two-choices", "only-one"};
  return kNames[static_cast<std::size_t>(reason)];
}

}  // namespace chervilpass::routing
