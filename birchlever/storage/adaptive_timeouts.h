/// Adaptive response timeouts for store calls, tracked per partition.
///
/// The store applies the changes of one partition sequentially, so a retry that is sent too early queues
/// behind the call it repeats and prolongs an overload. Partitions that timed out or were slow therefore
/// start with a longer timeout until they respond quickly again.
#pragma once

#include <map>
#include <string>

#include "birchlever/core/clock.h"

namespace birchlever {

/// Timeout limits, in ms.
struct adaptive_timeout_settings {
  milliseconds min_ = 150;      ///< Lower bound of the first timeout of a call.
  milliseconds max_ = 1500;     ///< Upper bound; the store rejects calls that would queue longer.
  int quick_attempts_ = 2;      ///< Attempts with a doubling timeout; later ones use `max_`.
  bool remembers_slow_ = true;  ///< Slow partitions keep a longer initial timeout across calls.
};

/// Computes timeouts from recorded response times. Not thread safe.
class adaptive_timeouts {
 public:
  explicit adaptive_timeouts(const adaptive_timeout_settings& settings = {}) : settings_{settings} {}

  /// Returns the timeout of the next attempt in ms, after `attempts` earlier attempts of the same call.
  [[nodiscard]] auto timeout_for(const std::string& partition, int attempts) const -> milliseconds;

  /// Records a response that took `took` ms.
  auto record_response(const std::string& partition, milliseconds took) -> void;

  /// Returns true if the partition currently has an extended timeout.
  [[nodiscard]] auto is_slow(const std::string& partition) const -> bool {
    return slow_.count(partition) != 0;
  }

  /// Records that no response arrived within `limit` ms.
  auto record_timeout(const std::string& partition, milliseconds limit) -> void;

  /// Returns the exponential moving average of response times in ms.
  [[nodiscard]] auto mean_ms() const -> double { return mean_ms_; }

 private:
  [[nodiscard]] auto initial_timeout() const -> milliseconds;

  adaptive_timeout_settings settings_;
  double mean_ms_ = 20;
  std::map<std::string, milliseconds> slow_;  ///< Last response time or timeout of slow partitions.
};

}  // namespace birchlever
