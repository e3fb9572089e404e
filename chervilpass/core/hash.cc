#include "chervilpass/core/hash.h"

#include <fmt/format.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <random>

namespace chervilpass {

std::uint64_t HashText(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string Sha256Hex(std::string_view text) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest);
  std::string hex;
  hex.reserve(2 * sizeof(digest));
  for (const unsigned char byte : digest) {
    hex += fmt::format("{:02x}", byte);
  }
  return hex;
}

std::string RandomId() {
  std::random_device entropy;
  const std::uint64_t high = entropy();
  const std::uint64_t low = entropy();
  return fmt::format("{:016x}", (high << 32) | (low & 0xffffffffULL));
}

}  // namespace chervilpass
