#include "birchlever/storage/outage_estimate.h"

#include <algorithm>
#include <cmath>

namespace birchlever {

auto outage_estimate::record(milliseconds duration) -> void {
  durations_.push_back(std::max(duration, settings_.min_duration_));
  if (durations_.size() > settings_.max_durations_) {
    durations_.pop_front();
  }
}

auto outage_estimate::expected_left(milliseconds elapsed) const -> milliseconds {
  auto sum_of_logarithms = std::log(static_cast<double>(std::max(elapsed, settings_.min_duration_)));
  auto samples = 1;
  for (auto duration : durations_) {
    if (duration > elapsed) {
      sum_of_logarithms += std::log(static_cast<double>(duration - elapsed));
      ++samples;
    }
  }
  return static_cast<milliseconds>(std::lround(std::exp(sum_of_logarithms / samples)));
}

}  // namespace birchlever
