#include "chervilpass/memory/memory_budget.h"

#include <algorithm>

namespace chervilpass::memory {
namespace {

// Shares of the memory limit, in the order of the owners.
constexpr std::array<double, kOwnerCount> kLimitShares = {0.16, 0.06, 0.12,
                                                          0.005};
// A head of 16 KiB with as many fields as it can have counts with 690 KiB.
constexpr std::size_t kMinControlLimit = 1024 * 1024;

}  // namespace

std::string_view OwnerName(Owner owner) {
  switch (owner) {
    case Owner::kCallerRequests:
      return "caller_requests";
    case Owner::kForwardedRequests:
      return "forwarded_requests";
    case Owner::kAnswers:
      return "answers";
    case Owner::kControlRequests:
      return "control_requests";
  }
  return "";
}

MemoryBudgetSettings DivideMemory(std::size_t limit_bytes) {
  MemoryBudgetSettings settings;
  for (std::size_t i = 0; i < kOwnerCount; ++i) {
    settings.limits[i] = static_cast<std::size_t>(
        kLimitShares[i] * static_cast<double>(limit_bytes));
  }
  std::size_t& control =
      settings.limits[static_cast<std::size_t>(Owner::kControlRequests)];
  control = std::max(control, kMinControlLimit);
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
