/// Rate of events, averaged with exponentially decaying weights.
#pragma once

#include <algorithm>
#include <cmath>

#include "birchlever/core/clock.h"

namespace birchlever {

/// Deterministic in the recorded events and times.
class decaying_rate {
 public:
  /// `window_ms` is the time constant of the decay.
  explicit decaying_rate(double window_ms) : window_ms_{window_ms} {}

  /// Records `count` events at `now`.
  auto add(double count, milliseconds now) -> void {
    events_ = decayed(now) + count;
    updated_at_ = std::max(now, updated_at_);
  }

  /// Returns the number of events per second.
  [[nodiscard]] auto per_s(milliseconds now) const -> double {
    constexpr auto ms_per_second = 1000.0;
    return decayed(now) * ms_per_second / window_ms_;
  }

 private:
  [[nodiscard]] auto decayed(milliseconds now) const -> double {
    auto elapsed = std::max<milliseconds>(now - updated_at_, 0);
    return events_ * std::exp(-static_cast<double>(elapsed) / window_ms_);
  }

  double window_ms_;
  double events_ = 0;
  milliseconds updated_at_ = 0;
};

}  // namespace birchlever
