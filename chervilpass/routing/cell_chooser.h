// Choice of the cell for a request: prefix affinity with bounded load first,
// then two random choices by free capacity, near data centres before far ones.
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

/// How far away a cell is.
enum class Locality : std::uint8_t {
  kSameDataCentre,
  kSameRegion,
  kOtherRegion,
};

/// What is known of a cell's load.
struct CellLoad {
  std::uint32_t in_flight = 0;  ///< requests, the own ones included
  std::uint32_t capacity = 0;   ///< requests; 0 if nothing is known yet

  auto operator<=>(const CellLoad&) const = default;

  /// In-flight requests over capacity.
  double Utilisation() const;
};

/// One cell that could take a request.
struct CellCandidate {
  std::uint32_t cell = 0;
  Locality locality = Locality::kSameDataCentre;
  CellLoad load;
  bool excluded = false;  ///< has failed this request already

  auto operator<=>(const CellCandidate&) const = default;
};

/// Describes the choice.
struct CellChooserSettings {
  double affinity_load_bound = 1.25;  ///< times the mean utilisation
  double spill_utilisation = 1.0;  ///< above it a farther locality is looked at

  bool operator==(const CellChooserSettings&) const = default;
};

/// Why a cell was chosen.
enum class ChoiceReason { kAffinity, kTwoChoices, kOnlyOne };

/// The chosen cell with the options weighed.
struct CellChoice {
  std::uint32_t cell = 0;
  ChoiceReason reason = ChoiceReason::kOnlyOne;
  std::vector<CellCandidate> candidates;

  auto operator<=>(const CellChoice&) const = default;
};

/// Chooses among `options`. `prefix_hash` tells requests that share a prompt
/// prefix; 0 for none. Empty if every option is excluded.
std::optional<CellChoice> ChooseCell(const std::vector<CellCandidate>& options,
                                     std::uint64_t prefix_hash,
                                     const CellChooserSettings& settings,
                                     Random* random);

/// For the log line: "CELL:in_flight/capacity" of each option.
std::string Describe(const CellChoice& choice);

/// Name of the reason.
std::string_view ReasonName(ChoiceReason reason);

}  // namespace chervilpass::routing
