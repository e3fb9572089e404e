// Rendezvous hashing: every node works out the same owner of a key from the
// same candidates, and a change of candidates moves only the keys it must.
// Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
// IEEE/ACM Transactions on Networking, 1998.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace chervilpass::membership {

/// The score of a candidate for a key; the highest score owns the key.
std::uint64_t RendezvousScore(const std::string& candidate, std::uint64_t key);

/// Candidates by falling score: the owner first, then its successors. Stable
/// for equal scores. Empty if there are none.
std::vector<std::string> RendezvousOrder(std::vector<std::string> candidates,
                                         std::uint64_t key);

}  // namespace chervilpass::membership
