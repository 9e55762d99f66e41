#include "birchlever/storage/failing_partitions.h"

#include <algorithm>

namespace birchlever {
namespace {

constexpr auto max_doublings = 10;  // Bounds the shift; the interval is limited by its maximum before that.

}  // namespace

auto failing_partitions::interval_after(int failures) -> milliseconds {
  auto doublings = std::clamp(failures - settings_.failures_to_hold_, 0, max_doublings);
  auto longest = std::min(settings_.min_interval_ << doublings, settings_.max_interval_);
  return std::uniform_int_distribution<milliseconds>{longest / 2, longest}(random_);
}

auto failing_partitions::forget_oldest() -> void {
  auto earlier = [](const auto& left, const auto& right) {
    return left.second.failed_at_ < right.second.failed_at_;
  };
  failing_.erase(std::min_element(failing_.begin(), failing_.end(), earlier));
}

auto failing_partitions::record_failure(const std::string& partition, milliseconds now) -> bool {
  if (failing_.count(partition) == 0 && failing_.size() >= settings_.max_partitions_) {
    forget_oldest();
  }
  auto& failing = failing_[partition];
  ++failing.failures_;
  failing.failed_at_ = now;
  if (!is_held(failing)) {
    return false;
  }
  failing.next_attempt_at_ = now + interval_after(failing.failures_);
  return failing.failures_ == settings_.failures_to_hold_;
}

auto failing_partitions::record_response(const std::string& partition) -> bool {
  auto found = failing_.find(partition);
  if (found == failing_.end()) {
    return false;
  }
  auto was_held = is_held(found->second);
  failing_.erase(found);
  return was_held;
}

auto failing_partitions::wait(const std::string& partition, milliseconds now) const -> milliseconds {
  auto found = failing_.find(partition);
  auto waits = found != failing_.end() && is_held(found->second);
  return waits ? std::max<milliseconds>(found->second.next_attempt_at_ - now, 0) : 0;
}

auto failing_partitions::record_sent(const std::string& partition, milliseconds now) -> void {
  auto found = failing_.find(partition);
  if (found != failing_.end() && is_held(found->second)) {
    found->second.next_attempt_at_ = now + interval_after(found->second.failures_);
  }
}

auto failing_partitions::held() const -> std::size_t {
  auto waits = [this](const auto& named) { return is_held(named.second); };
  return static_cast<std::size_t>(std::count_if(failing_.begin(), failing_.end(), waits));
}

}  // namespace birchlever
