// Tells which parts of a prompt may have crashed a backend server: a part does
// if every run of a request with it ends the server as it begins to write. Runs
// that get beyond that prove all their parts sound.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "chervilpass/core/time.h"
#include "chervilpass/quarantine/strike_tracker.h"

namespace chervilpass::quarantine {

/// Settings of a PromptPartEvidence.
struct PromptPartEvidenceSettings {
  /// A part that was proven sound this recently gets no strike.
  Duration recent_proof = seconds(1);
  /// How long a proof is remembered.
  Duration proof_lifetime = std::chrono::minutes(10);
  std::size_t max_proofs = 16384;  ///< parts whose last proofs are remembered
  std::uint32_t strikes_to_quarantine = 4;
  /// Strikes more that quarantine a part which was sound before: it is blamed
  /// together with parts that are not, and the proof that clears it may come
  /// late.
  std::uint32_t extra_strikes_if_proven = 2;

  bool operator==(const PromptPartEvidenceSettings&) const = default;
};

/// Remembers when parts of prompts were last proven sound at this VM. Parts are
/// identified by fingerprints; their strikes are in a StrikeTracker beside
/// those of requests. Not thread-safe. Invariant: at most `max_proofs` parts
/// are remembered.
class PromptPartEvidence {
 public:
  explicit PromptPartEvidence(PromptPartEvidenceSettings settings)
      : settings(settings) {}

  /// Fingerprint of a part, the same for all callers, routes and services.
  static std::uint64_t FingerprintOf(std::string_view part);

  /// A run of a request with this part got beyond its begin.
  void OnProven(std::uint64_t part, WallTime now);

  /// True if the part was proven sound at this VM after `at`.
  bool ProvenSince(std::uint64_t part, WallTime at) const;

  /// The parts that get a strike for the loss of a run that was not proven:
  /// those without a recent proof. Of these, parts that were sound before are
  /// spared if other parts never were, unless they already have strikes.
  std::vector<std::uint64_t> Blamed(const std::vector<std::uint64_t>& parts,
                                    const StrikeTracker& strikes,
                                    WallTime now) const;

  /// True if requests with this part are refused.
  bool IsQuarantined(std::uint64_t part,
                     const StrikeTracker& strikes,
                     WallTime now) const;

  /// Time until enough strikes of a quarantined part have expired; zero for one
  /// that is not quarantined.
  Duration RetryAfter(std::uint64_t part,
                      const StrikeTracker& strikes,
                      WallTime now) const;

 private:
  using Proofs = std::unordered_map<std::uint64_t, WallTime>;  // by part

  std::optional<WallTime> LastProof(std::uint64_t part, WallTime now) const;
  std::uint32_t LimitOf(std::uint64_t part, WallTime now) const;

  PromptPartEvidenceSettings settings;
  /// The latest proofs. When they are half of `max_proofs` they replace the
  /// older ones.
  Proofs latest;
  Proofs older;
};

}  // namespace chervilpass::quarantine
