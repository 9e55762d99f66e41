#include "birchlever/storage/answer_times.h"

#include <algorithm>

namespace birchlever {
namespace {

constexpr auto sample_weight = 0.1;    // Weight of a new sample in the moving average.
constexpr auto mean_multiplier = 5.0;  // Initial timeout as a multiple of the mean response time.
constexpr auto slow_partition_multiplier =
    2;  // Timeout of a slow partition as a multiple of its last response time.

}  // namespace

auto answer_times::initial_timeout() const -> milliseconds {
  auto timeout = static_cast<milliseconds>(mean_multiplier * usual_ms_);
  return std::clamp(timeout, settings_.shortest_, settings_.longest_);
}

auto answer_times::limit(const std::string& partition, int attempts) const -> milliseconds {
  auto timeout = attempts < settings_.quick_tries_ ? initial_timeout() << attempts : settings_.longest_;
  auto entry = slow_.find(partition);
  if (entry != slow_.end()) {
    timeout = std::max(timeout, slow_partition_multiplier * entry->second);
  }
  return std::min(timeout, settings_.longest_);
}

auto answer_times::note_answer(const std::string& partition, milliseconds took) -> void {
  usual_ms_ += sample_weight * (static_cast<double>(took) - usual_ms_);
  if (took <= settings_.shortest_) {
    slow_.erase(partition);
  } else if (settings_.remembers_) {
    slow_[partition] = took;
  }
}

auto answer_times::note_silence(const std::string& partition, milliseconds limit) -> void {
  if (settings_.remembers_) {
    auto& slowest = slow_[partition];
    slowest = std::max(slowest, limit);
  }
}

}  // namespace birchlever
