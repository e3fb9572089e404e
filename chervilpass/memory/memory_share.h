// The bytes that one request or answer holds of a budget.
#pragma once

#include <utility>

#include "chervilpass/memory/memory_budget.h"

namespace chervilpass::memory {

/// Owns bytes of a budget, and gives them back at the end of its lifetime.
/// Movable. A share without a budget is always granted.
class MemoryShare {
 public:
  MemoryShare() = default;
  MemoryShare(MemoryBudget* budget, Owner owner)
      : budget(budget), owner(owner) {}
  ~MemoryShare() { this->Resize(0); }

  MemoryShare(MemoryShare&& other) noexcept
      : budget(std::exchange(other.budget, nullptr)),
        owner(other.owner),
        bytes(std::exchange(other.bytes, 0)) {}
  MemoryShare& operator=(MemoryShare&& other) noexcept {
    std::swap(this->budget, other.budget);
    std::swap(this->owner, other.owner);
    std::swap(this->bytes, other.bytes);
    return *this;
  }
  MemoryShare(const MemoryShare&) = delete;
  MemoryShare& operator=(const MemoryShare&) = delete;

  /// Changes the size; false, and without effect, if the budget has no room.
  /// A smaller size is always granted.
  bool Resize(std::size_t new_bytes) {
    if (this->budget != nullptr &&
        !this->budget->Change(this->owner, this->bytes, new_bytes)) {
      return false;
    }
    this->bytes = new_bytes;
    return true;
  }

  std::size_t Bytes() const { return this->bytes; }

 private:
  MemoryBudget* budget = nullptr;
  Owner owner = Owner::kAnswers;
  std::size_t bytes = 0;
};

}  // namespace chervilpass::memory
