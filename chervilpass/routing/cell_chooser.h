// Chooses the cell for a request in the nearest locality with spare capacity:
// by prefix affinity with bounded load, otherwise the less utilised of two
// random cells.
// Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded loads",
// SODA 2018; Mitzenmacher, "The power of two choices in randomized load
// balancing", IEEE TPDS 2001.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "chervilpass/core/random.h"
#include "chervilpass/routing/cells.h"

namespace chervilpass::routing {

/// Distance of a cell from the VM that chooses, nearest first.
enum class Locality : std::uint8_t {
  kSameDataCentre,
  kSameRegion,
  kOtherRegion,
};

/// Estimated load of a cell.
struct CellLoad {
  std::uint32_t in_flight = 0;  ///< requests, those of this VM included
  std::uint32_t capacity = 0;   ///< requests; 0 if unknown

  auto operator<=>(const CellLoad&) const = default;

  /// In-flight requests over capacity; 0 if the capacity is unknown.
  double Utilisation() const;
};

/// A cell that could run the request.
struct CellCandidate {
  std::uint32_t cell = 0;
  Locality locality = Locality::kSameDataCentre;
  CellLoad load;
  bool excluded = false;  ///< has already failed this request

  auto operator<=>(const CellCandidate&) const = default;
};

/// Settings of ChooseCell.
struct CellChooserSettings {
  double affinity_load_bound = 1.25;  ///< times the mean utilisation
  double spill_utilisation = 1.0;  ///< from here on the next locality is tried

  bool operator==(const CellChooserSettings&) const = default;
};

/// Why a cell was chosen.
enum class ChoiceReason { kAffinity, kTwoChoices, kOnlyOne };

/// The chosen cell and the candidates of its locality.
struct CellChoice {
  std::uint32_t cell = 0;
  ChoiceReason reason = ChoiceReason::kOnlyOne;
  std::vector<CellCandidate> candidates;

  auto operator<=>(const CellChoice&) const = default;
};

/// Chooses among `candidates`. `prefix_hash` is equal for requests that share a
/// prompt prefix; 0 for none. Empty if every candidate is excluded.
std::optional<CellChoice> ChooseCell(
    const std::vector<CellCandidate>& candidates,
    std::uint64_t prefix_hash,
    const CellChooserSettings& settings,
    Random* random);

/// Formats the candidates for a log line, each as "CELL:in_flight/capacity".
std::string Describe(const CellChoice& choice);

/// Name of the reason in log lines.
std::string_view ReasonName(ChoiceReason reason);

}  // namespace chervilpass::routing
