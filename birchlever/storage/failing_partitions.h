/// Tracks partitions of the store that do not respond while others may. Calls to such a partition are limited
/// to one attempt at a time, at growing intervals, until one is answered.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>

#include "birchlever/core/clock.h"

namespace birchlever {

/// Parameters of the limit. Times in ms.
struct failing_partition_settings {
  int failures_to_hold_ = 2;           ///< Consecutive failures after which calls to a partition wait.
  milliseconds min_interval_ = 40;     ///< Interval of attempts after these failures; doubled per failure.
  milliseconds max_interval_ = 600;    ///< Upper bound of the interval.
  std::size_t max_partitions_ = 1024;  ///< Partitions that are tracked; the oldest are forgotten.
};

/// Deterministic in the seed, the recorded outcomes and times. Not thread safe.
class failing_partitions {
 public:
  explicit failing_partitions(std::uint32_t jitter_seed, const failing_partition_settings& settings = {})
      : settings_{settings}, random_{jitter_seed} {}

  /// Records a failed call. Returns true if calls to the partition wait from now on and did not before.
  auto record_failure(const std::string& partition, milliseconds now) -> bool;

  /// Records an answered call. Returns true if calls to the partition waited until now.
  auto record_response(const std::string& partition) -> bool;

  /// Returns the time in ms until the next attempt at a partition; 0 if a call may be sent now.
  [[nodiscard]] auto wait(const std::string& partition, milliseconds now) const -> milliseconds;

  /// Records that a call is sent, so that others wait for its outcome or for the next interval.
  auto record_sent(const std::string& partition, milliseconds now) -> void;

  /// Returns true for a partition that failed since its last response.
  [[nodiscard]] auto contains(const std::string& partition) const -> bool {
    return failing_.count(partition) != 0;
  }

  /// Returns the number of partitions whose calls wait.
  [[nodiscard]] auto held() const -> std::size_t;

 private:
  struct entry {
    int failures_ = 0;  ///< Consecutive.
    milliseconds failed_at_ = 0;
    milliseconds next_attempt_at_ = 0;
  };

  [[nodiscard]] auto is_held(const entry& failing) const -> bool {
    return failing.failures_ >= settings_.failures_to_hold_;
  }
  auto interval_after(int failures) -> milliseconds;
  auto forget_oldest() -> void;

  failing_partition_settings settings_;
  std::map<std::string, entry> failing_;
  std::minstd_rand random_;  ///< For jitter.
};

}  // namespace birchlever
