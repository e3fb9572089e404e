// Division of a process's memory limit among what it holds for its peers, and
// what of it is in use. Without I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace chervilpass::memory {

/// What bytes are held for.
enum class Owner {
  kCallerRequests,     ///< Bodies of callers' requests, and their copies.
  kForwardedRequests,  ///< The same for requests of other VMs.
  kAnswers,            ///< Bodies of answers that are read whole.
  kControlRequests,    ///< Requests to listeners that serve no callers.
};

inline constexpr std::size_t kOwnerCount = 4;
inline constexpr std::array<Owner, kOwnerCount> kOwners = {
    Owner::kCallerRequests, Owner::kForwardedRequests, Owner::kAnswers,
    Owner::kControlRequests};

/// "caller_requests", "forwarded_requests", "answers" or "control_requests".
std::string_view OwnerName(Owner owner);

/// Bytes that each owner may hold.
struct MemoryBudgetSettings {
  std::array<std::size_t, kOwnerCount> limits{};
  /// A share of at most this many bytes is always granted: the number of
  /// connections bounds the sum of such shares.
  std::size_t always_granted = 16 * 1024;

  bool operator==(const MemoryBudgetSettings&) const = default;
};

/// Divides a process's memory limit. The rest is a reserve for configuration,
/// store, other VMs, streams, connections, and the allocator.
MemoryBudgetSettings DivideMemory(std::size_t limit_bytes);

/// What one owner holds.
struct OwnerUse {
  std::size_t held = 0;       ///< bytes
  std::size_t peak = 0;       ///< bytes, since the start
  std::uint64_t refused = 0;  ///< times that a share could not grow

  bool operator==(const OwnerUse&) const = default;
};

/// Invariant: the shares of an owner above `always_granted` sum up to at most
/// its limit. Outlives its shares. Not thread-safe.
class MemoryBudget {
 public:
  explicit MemoryBudget(const MemoryBudgetSettings& settings)
      : settings(settings) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  const OwnerUse& UseOf(Owner owner) const {
    return this->uses[static_cast<std::size_t>(owner)];
  }
  std::size_t LimitOf(Owner owner) const {
    return this->settings.limits[static_cast<std::size_t>(owner)];
  }

 private:
  friend class MemoryShare;

  // Replaces a share of `from` bytes by one of `to`; false if there is no room.
  bool Change(Owner owner, std::size_t from, std::size_t to);

  MemoryBudgetSettings settings;
  std::array<OwnerUse, kOwnerCount> uses{};
};

}  // namespace chervilpass::memory
