// Retries are paid from a budget that first tries fill, so that a failing pool
// is not buried under retries. Beyer et al., "Site Reliability Engineering",
// chapter 21 (2016).
#pragma once

#include <algorithm>

namespace chervilpass::routing {

/// Describes a RetryBudget.
struct RetryBudgetSettings {
  double share = 0.2;   ///< retries for each first try
  double reserve = 20;  ///< retries that can be saved up

  bool operator==(const RetryBudgetSettings&) const = default;
};

/// Invariant: 0 <= balance <= reserve. Not thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetSettings settings)
      : settings(settings), balance(settings.reserve) {}

  /// A first try was made.
  void OnFirstAttempt() {
    this->balance =
        std::min(this->settings.reserve, this->balance + this->settings.share);
  }

  /// Pays for one retry, if there is enough.
  bool TryRetry() {
    if (this->balance < 1) {
      return false;
    }
    this->balance -= 1;
    return true;
  }

  /// Changes how much can be saved up.
  void SetReserve(double reserve) {
    this->settings.reserve = reserve;
    this->balance = std::min(this->balance, reserve);
  }

  double Balance() const { return this->balance; }

 private:
  RetryBudgetSettings settings;
  double balance;
};

}  // namespace chervilpass::routing
