#include "chervilpass/quarantine/prompt_part_evidence.h"

#include <algorithm>
#include <utility>

#include "chervilpass/core/hash.h"

namespace chervilpass::quarantine {

std::uint64_t PromptPartEvidence::FingerprintOf(std::string_view part) {
  return HashCombine(HashText("part of a prompt"), HashText(part));
}

void PromptPartEvidence::OnProven(std::uint64_t part, WallTime now) {
  if (this->latest.size() >= this->settings.max_proofs / 2 &&
      !this->latest.contains(part)) {
    this->older = std::exchange(this->latest, {});
  }
  this->latest[part] = now;
  this->older.erase(part);
}

std::optional<WallTime> PromptPartEvidence::LastProof(std::uint64_t part,
                                                      WallTime now) const {
  for (const Proofs* proofs : {&this->latest, &this->older}) {
    const auto found = proofs->find(part);
    if (found != proofs->end()) {
      const bool remembered = now.milliseconds - found->second.milliseconds <=
                              ToMilliseconds(this->settings.proof_lifetime);
      return remembered ? std::optional<WallTime>(found->second) : std::nullopt;
    }
  }
  return std::nullopt;
}

bool PromptPartEvidence::ProvenSince(std::uint64_t part, WallTime at) const {
  const auto proof = this->LastProof(part, at);
  return proof && *proof > at;
}

std::vector<std::uint64_t> PromptPartEvidence::Blamed(
    const std::vector<std::uint64_t>& parts,
    const StrikeTracker& strikes,
    WallTime now) const {
  const std::int64_t recent =
      now.milliseconds - ToMilliseconds(this->settings.recent_proof);
  std::vector<std::uint64_t> never_proven;
  std::vector<std::uint64_t> proven_with_strikes;
  std::vector<std::uint64_t> proven_without_strikes;
  for (const std::uint64_t part : parts) {
    const auto proof = this->LastProof(part, now);
    if (!proof) {
      never_proven.push_back(part);
    } else if (proof->milliseconds < recent) {
      (strikes.Count(part, now) > 0 ? proven_with_strikes
                                    : proven_without_strikes)
          .push_back(part);
    }
  }
  std::vector<std::uint64_t> blamed = never_proven;
  blamed.insert(blamed.end(), proven_with_strikes.begin(),
                proven_with_strikes.end());
  if (never_proven.empty()) {
    blamed.insert(blamed.end(), proven_without_strikes.begin(),
                  proven_without_strikes.end());
  }
  return blamed;
}

std::uint32_t PromptPartEvidence::LimitOf(std::uint64_t part,
                                          WallTime now) const {
  return this->settings.strikes_to_quarantine +
         (this->LastProof(part, now) ? this->settings.extra_strikes_if_proven
                                     : 0);
}

bool PromptPartEvidence::IsQuarantined(std::uint64_t part,
                                       const StrikeTracker& strikes,
                                       WallTime now) const {
  return strikes.Count(part, now) >= this->LimitOf(part, now);
}

Duration PromptPartEvidence::RetryAfter(std::uint64_t part,
                                        const StrikeTracker& strikes,
                                        WallTime now) const {
  return strikes.TimeUntilFewerThan(this->LimitOf(part, now), part, now);
}

}  // namespace chervilpass::quarantine
