#include "chervilpass/memory/memory_budget.h"

#include <algorithm>

namespace chervilpass::memory {
namespace {

// Shares of the memory limit, in the order of the owners.
constexpr std::array<double, kOwnerCount> kLimitShares = {0.16, 0.06, 0.12};

}  // namespace

std::string_view OwnerName(Owner owner) {
  switch (owner) {
    case Owner::kCallerRequests:
      return "caller_requests";
    case Owner::kForwardedRequests:
      return "forwarded_requests";
    case Owner::kAnswers:
      return "answers";
  }
  return "";
}

MemoryBudgetSettings DivideMemory(std::size_t limit_bytes) {
  MemoryBudgetSettings settings;
  for (std::size_t i = 0; i < kOwnerCount; ++i) {
    settings.limits[i] = static_cast<std::size_t>(
        kLimitShares[i] * static_cast<double>(limit_bytes));
  }
  return settings;
}

bool MemoryBudget::Change(Owner owner, std::size_t from, std::size_t to) {
  OwnerUse& use = this->uses[static_cast<std::size_t>(owner)];
  const std::size_t others = use.held - from;
  if (to > from && to > this->settings.always_granted &&
      others + to > this->LimitOf(owner)) {
    ++use.refused;
    return false;
  }
  use.held = others + to;
  use.peak = std::max(use.peak, use.held);
  return true;
}

}  // namespace chervilpass::memory
