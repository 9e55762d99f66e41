#include "birchlever/accounts/allotment_bucket.h"

#include <algorithm>
#include <cmath>

namespace birchlever {
namespace {

constexpr auto ms_per_second = 1000.0;
constexpr auto min_burst = 1.0;         // A smaller bucket could never grant a request.
constexpr auto duration_weight = 0.05;  // Smoothing factor of the mean program duration.

}  // namespace

auto allotment_bucket::refill(const account_allotment& allotment, double share, milliseconds now) -> void {
  if (!refilled_at_) {
    restart(allotment, settings_.initial_share_, now);
  }
  auto capacity = std::max(allotment.burst_ * share, min_burst);
  auto elapsed = static_cast<double>(std::max<milliseconds>(now - *refilled_at_, 0));
  refilled_at_ = std::max(*refilled_at_, now);
  level_ = std::min(level_ + elapsed * allotment.rate_per_s_ * share / ms_per_second, capacity);
  auto decay_ms = std::max(mean_program_ms_, static_cast<double>(settings_.min_program_duration_)) *
                  settings_.arrival_spread_;
  committed_ *= std::exp(-elapsed / decay_ms);
}

auto allotment_bucket::restart(const account_allotment& allotment, double share, milliseconds now) -> void {
  auto capacity = std::max(allotment.burst_ * share, min_burst);
  level_ = refilled_at_ ? std::min(level_, capacity) : capacity;
  refilled_at_ = now;
}

auto allotment_bucket::refuse(double deficit, double rate_per_ms) const -> allotment_decision {
  auto max_retry = static_cast<double>(settings_.max_retry_after_);
  auto needed = rate_per_ms > 0 ? std::ceil(deficit / rate_per_ms) : max_retry;
  auto retry = std::clamp(needed, static_cast<double>(settings_.min_retry_after_), max_retry);
  return {false, 0, static_cast<milliseconds>(retry)};
}

auto allotment_bucket::grant_start(const allotment_claim& request, double rate_per_ms) -> allotment_decision {
  auto duration = static_cast<double>(std::max(request.expected_duration_, settings_.min_program_duration_));
  mean_program_ms_ =
      mean_program_ms_ == 0 ? duration : mean_program_ms_ + duration_weight * (duration - mean_program_ms_);
  auto available = level_ + rate_per_ms * mean_program_ms_ * settings_.arrival_spread_;
  if (level_ < 1 || committed_ > available) {
    return refuse(std::max(1 - level_, committed_ - available), rate_per_ms);
  }
  level_ -= 1;
  committed_ += std::max(request.expected_requests_ - 1, 0.0);
  return {true, 0, 0};
}

auto allotment_bucket::grant_request(double rate_per_ms, double overdraft) -> allotment_decision {
  auto remaining = level_ + overdraft - 1;
  auto min_level = -rate_per_ms * static_cast<double>(settings_.max_wait_);
  if (remaining < std::min(min_level, 0.0)) {
    return refuse(-remaining, rate_per_ms);
  }
  level_ -= 1;
  auto wait = remaining < 0 ? std::ceil(-remaining / rate_per_ms) : 0.0;
  return {true, static_cast<milliseconds>(wait), 0};
}

auto allotment_bucket::claim(const allotment_claim& request, double share, milliseconds now,
                             bool may_overdraw) -> allotment_decision {
  refill(request.allotment_, share, now);
  auto overdraft = may_overdraw ? settings_.overdraft_ * share : 0;
  auto rate_per_ms = request.allotment_.rate_per_s_ * share / ms_per_second;
  return request.starts_program_ ? grant_start(request, rate_per_ms) : grant_request(rate_per_ms, overdraft);
}

}  // namespace birchlever
