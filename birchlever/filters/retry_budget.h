/// Limits retries to a share of the first attempts, so that retries do not amplify an overload.
#pragma once

#include <algorithm>
#include <mutex>

namespace birchlever {

/// A token bucket that first attempts fill and retries drain. Starts half full. Thread-safe.
class retry_budget {
 public:
  /// `percent` is the number of retries allowed per 100 first attempts.
  explicit retry_budget(double percent) : credit_per_attempt_{percent / hundred} {}

  /// Credits a first attempt.
  auto earn() -> void {
    auto lock = std::lock_guard{mutex_};
    balance_ = std::min(max_balance, balance_ + credit_per_attempt_);
  }

  /// Takes one retry from the budget. Returns false if the budget is exhausted.
  auto spend() -> bool {
    auto lock = std::lock_guard{mutex_};
    if (balance_ < 1) {
      return false;
    }
    balance_ -= 1;
    return true;
  }

 private:
  static constexpr double hundred = 100;
  static constexpr double max_balance = 20;

  std::mutex mutex_;
  double credit_per_attempt_ = 0;
  double balance_ = max_balance / 2;
};

}  // namespace birchlever
