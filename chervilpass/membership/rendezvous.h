// Rendezvous hashing: all nodes compute the same owner of a key from the same
// candidates, and a change of candidates moves the minimum number of keys.
// Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
// IEEE/ACM Transactions on Networking, 1998.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace chervilpass::membership {

/// The score of a candidate for a key; the candidate with the highest score
/// owns the key.
std::uint64_t RendezvousScore(const std::string& candidate, std::uint64_t key);

/// Candidates by descending score, so the owner first, then its successors.
/// Equal scores are ordered by name. Empty if there are no candidates.
std::vector<std::string> RendezvousOrder(std::vector<std::string> candidates,
                                         std::uint64_t key);

}  // namespace chervilpass::membership
