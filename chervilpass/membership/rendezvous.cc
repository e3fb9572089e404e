#include "chervilpass/membership/rendezvous.h"

#include <algorithm>

#include "chervilpass/core/hash.h"

namespace chervilpass::membership {

std::uint64_t RendezvousScore(const std::string& candidate, std::uint64_t key) {
  return HashCombine(HashText(candidate), key);
}

std::vector<std::string> RendezvousOrder(std::vector<std::string> candidates,
                                         std::uint64_t key) {
  std::sort(candidates.begin(), candidates.end(),
            [key](const std::string& a, const std::string& b) {
              const std::uint64_t score_a = RendezvousScore(a, key);
              const std::uint64_t score_b = RendezvousScore(b, key);
              return score_a != score_b ? score_a > score_b : a < b;
            });
  return candidates;
}

}  // namespace chervilpass::membership
