#include "birchlever/storage/adaptive_timeouts.h"

#include <algorithm>

namespace birchlever {
namespace {

constexpr auto sample_weight = 0.1;    // Weight of a new sample in the moving average.
constexpr auto mean_multiplier = 5.0;  // Initial timeout as a multiple of the mean response time.
constexpr auto slow_partition_multiplier =
    2;  // Timeout of a slow partition as a multiple of its last response time.

}  // namespace

auto adaptive_timeouts::initial_timeout() const -> milliseconds {
  auto timeout = static_cast<milliseconds>(mean_multiplier * mean_ms_);
  return std::clamp(timeout, settings_.min_, settings_.max_);
}

auto adaptive_timeouts::timeout_for(const std::string& partition, int attempts) const -> milliseconds {
  auto timeout = attempts < settings_.quick_attempts_ ? initial_timeout() << attempts : settings_.max_;
  auto entry = slow_.find(partition);
  if (entry != slow_.end()) {
    timeout = std::max(timeout, slow_partition_multiplier * entry->second);
  }
  return std::min(timeout, settings_.max_);
}

auto adaptive_timeouts::record_response(const std::string& partition, milliseconds took) -> void {
  mean_ms_ += sample_weight * (static_cast<double>(took) - mean_ms_);
  if (took <= settings_.min_) {
    slow_.erase(partition);
  } else if (settings_.remembers_slow_) {
    slow_[partition] = took;
  }
}

auto adaptive_timeouts::record_timeout(const std::string& partition, milliseconds limit) -> void {
  if (settings_.remembers_slow_) {
    auto& slowest = slow_[partition];
    slowest = std::max(slowest, limit);
  }
}

}  // namespace birchlever
