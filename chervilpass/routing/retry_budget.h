// Budget of retries, refilled by first attempts, that keeps retries from
// overloading a failing pool. Beyer et al., "Site Reliability Engineering",
// chapter 21 (2016).
#pragma once

#include <algorithm>

namespace chervilpass::routing {

/// Settings of a RetryBudget.
struct RetryBudgetSettings {
  double share = 0.2;   ///< retries for each first attempt
  double reserve = 20;  ///< maximum balance, in retries

  bool operator==(const RetryBudgetSettings&) const = default;
};

/// Invariant: 0 <= balance <= reserve. Not thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetSettings settings)
      : settings(settings), balance(settings.reserve) {}

  /// Adds the share of one first attempt.
  void OnFirstAttempt() {
    this->balance =
        std::min(this->settings.reserve, this->balance + this->settings.share);
  }

  /// Takes one retry from the balance; false if less than one is left.
  bool TryRetry() {
    if (this->balance < 1) {
      return false;
    }
    this->balance -= 1;
    return true;
  }

  /// Returns a retry that was not sent.
  void Return() {
    this->balance = std::min(this->settings.reserve, this->balance + 1);
  }

  /// Changes the maximum balance.
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
