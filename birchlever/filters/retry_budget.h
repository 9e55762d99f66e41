/// Bounds retries to a share of first attempts, so that trouble is not multiplied.
#pragma once

#include <algorithm>
#include <mutex>

namespace birchlever {

/// Thread safe. Every first attempt earns a fraction of a retry; a small reserve allows the first few.
class retry_budget {
 public:
  /// So many retries per hundred first attempts.
  explicit retry_budget(double percent) : earned_per_attempt_{percent / hundred} {}

  /// A first attempt was made.
  auto earn() -> void {
    auto lock = std::lock_guard{mutex_};
    saved_ = std::min(most_saved, saved_ + earned_per_attempt_);
  }

  /// Takes one retry; false when the budget is spent.
  auto spend() -> bool {
    auto lock = std::lock_guard{mutex_};
    if (saved_ < 1) {
      return false;
    }
    saved_ -= 1;
    return true;
  }

 private:
  static constexpr double hundred = 100;
  static constexpr double most_saved = 20;

  std::mutex mutex_;
  double earned_per_attempt_ = 0;
  double saved_ = most_saved / 2;
};

}  // namespace birchlever
