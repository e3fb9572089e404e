// Changes of members that this VM still passes on. Each is sent a number of
// times that grows with the logarithm of the fleet (SWIM, section 4.1).
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chervilpass::membership {

/// Order in which changes are sent.
enum class UpdatePriority : std::uint8_t {
  kNormal,
  /// Contradicts a suspicion, which leads to a false death if it arrives first.
  kRefutation,
};

/// Not thread-safe. Invariant: at most one change of each VM is queued.
class UpdateQueue {
 public:
  /// Queues a change of a VM. An earlier one is replaced: it is out of date.
  void Push(const std::string& vm, UpdatePriority priority);

  /// Drops the change of a VM, if one is queued.
  void Remove(const std::string& vm);

  /// Returns the VMs of up to `count` changes and counts them as sent:
  /// refutations first, then those sent least often, of these the latest.
  /// Changes that have been sent `limit` times leave the queue.
  std::vector<std::string> Take(std::size_t count, std::uint32_t limit);

  std::size_t Size() const { return this->changes.size(); }

 private:
  struct Change {
    std::string vm;
    UpdatePriority priority = UpdatePriority::kNormal;
    std::uint32_t sends = 0;
    std::uint64_t number = 0;  ///< increases with each change
  };

  std::vector<Change> changes;
  std::uint64_t next_number = 0;
};

}  // namespace chervilpass::membership
