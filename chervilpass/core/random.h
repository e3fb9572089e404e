// Seeded pseudorandom numbers, for reproducible results.
#pragma once

#include <cstdint>

#include "chervilpass/core/hash.h"

namespace chervilpass {

/// SplitMix64 generator. Not thread-safe.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state(seed) {}

  /// Next 64 random bits.
  std::uint64_t Next() {
    this->state += 0x9e3779b97f4a7c15ULL;
    return HashCombine(this->state, 0);
  }

  /// Uniform integer in [0, bound); `bound` must be positive.
  std::uint64_t Below(std::uint64_t bound) { return this->Next() % bound; }

  /// Uniform real number in [0, 1).
  double Unit() { return static_cast<double>(this->Next() >> 11) * 0x1.0p-53; }

  /// Returns true with the given probability.
  bool Chance(double probability) { return this->Unit() < probability; }

 private:
  std::uint64_t state;
};

}  // namespace chervilpass
