/// What each policy's programs met: the figures that `compare policies` is made of.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace birchlever {

/// Sums and samples of one policy on one daemon.
struct policy_record {
  std::int64_t programs_ = 0;
  std::int64_t calls_ = 0;
  std::int64_t refusals_ = 0;
  std::int64_t prompt_tokens_ = 0;
  std::int64_t recomputed_tokens_ = 0;  ///< Prefix tokens of the program computed again.
  std::int64_t moves_ = 0;              ///< Calls that went to another engine than the one before.
  std::int64_t shadow_decisions_ = 0;
  std::int64_t shadow_agreements_ = 0;  ///< Shadow decisions that chose the engine that was used.
  std::vector<double> latencies_ms_;    ///< Whole programs; the newest samples.
};

/// Thread safe.
class policy_comparison {
 public:
  /// Changes a policy's record under the lock.
  template <class Change>
  auto update(const std::string& policy, Change change) -> void {
    auto lock = std::lock_guard{mutex_};
    change(records_[policy]);
  }

  /// A whole program took so long under the policy.
  auto program_ended(const std::string& policy, double latency_ms) -> void;

  /// All records.
  [[nodiscard]] auto records() const -> std::map<std::string, policy_record>;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, policy_record> records_;
};

}  // namespace birchlever
