/// Estimates how long an outage will last, from its duration so far and the durations of earlier ones.
#pragma once

#include <cstddef>
#include <deque>

#include "birchlever/core/clock.h"

namespace birchlever {

/// Parameters of the estimate.
struct outage_estimate_settings {
  std::size_t max_durations_ = 8;    ///< Number of earlier outages that are remembered.
  milliseconds min_duration_ = 300;  ///< Shorter outages (ms) count as this long: about half of a
                                     ///< probe interval, the resolution of the observed durations.
};

/// Deterministic in the recorded durations. Not thread safe.
class outage_estimate {
 public:
  explicit outage_estimate(const outage_estimate_settings& settings = {}) : settings_{settings} {}

  /// Records the duration of an outage that has ended, in ms.
  auto record(milliseconds duration) -> void;

  /// Returns the expected remaining time in ms of an outage that has lasted `elapsed` ms: the geometric mean
  /// of the time so far, which is the median if nothing else is known, and of the remaining times given by
  /// the earlier outages that lasted longer.
  [[nodiscard]] auto expected_left(milliseconds elapsed) const -> milliseconds;

  /// Returns the number of remembered outages.
  [[nodiscard]] auto outages() const -> std::size_t { return durations_.size(); }

 private:
  outage_estimate_settings settings_;
  std::deque<milliseconds> durations_;  ///< Oldest first.
};

}  // namespace birchlever
