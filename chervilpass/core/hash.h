// Hash functions: fast 64-bit hashes for placement and fingerprints, SHA-256
// for stored keys, and random identifiers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chervilpass {

/// 64-bit hash of `text` (XXH3); identical on all VMs.
std::uint64_t HashText(std::string_view text, std::uint64_t seed = 0);

/// Mixes two 64-bit values into one (the finalizer of SplitMix64; Steele, Lea
/// and Flood, "Fast splittable pseudorandom number generators", 2014).
constexpr std::uint64_t HashCombine(std::uint64_t a, std::uint64_t b) {
  std::uint64_t x = a + 0x9e3779b97f4a7c15ULL + b * 0xff51afd7ed558ccdULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

/// SHA-256 of `text` as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view text);

/// Random identifier of 16 hexadecimal digits from the system's entropy source.
std::string RandomId();

}  // namespace chervilpass
