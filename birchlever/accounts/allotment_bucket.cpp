#include "birchlever/accounts/allotment_bucket.h"

#include <algorithm>
#include <cmath>

namespace birchlever {
namespace {

constexpr auto ms_per_second = 1000.0;
constexpr auto least_burst = 1.0;       // A smaller bucket could never grant a request.
constexpr auto duration_weight = 0.05;  // Smoothing factor of the mean program duration.

}  // namespace

auto allotment_bucket::refill(const account_allotment& allotment, double share, milliseconds now) -> void {
  if (!filled_at_) {
    reopen(allotment, settings_.initial_share_, now);
  }
  auto most = std::max(allotment.burst_ * share, least_burst);
  auto passed = static_cast<double>(std::max<milliseconds>(now - *filled_at_, 0));
  filled_at_ = std::max(*filled_at_, now);
  level_ = std::min(level_ + passed * allotment.rate_per_s_ * share / ms_per_second, most);
  auto span = std::max(mean_program_ms_, static_cast<double>(settings_.min_program_duration_)) *
              settings_.arrival_spread_;
  committed_ *= std::exp(-passed / span);
}

auto allotment_bucket::reopen(const account_allotment& allotment, double part, milliseconds now) -> void {
  auto most = std::max(allotment.burst_ * part, least_burst);
  level_ = filled_at_ ? std::min(level_, most) : most;
  filled_at_ = now;
}

auto allotment_bucket::refused(double missing, double rate_per_ms) const -> allotment_decision {
  auto longest = static_cast<double>(settings_.max_retry_after_);
  auto needed = rate_per_ms > 0 ? std::ceil(missing / rate_per_ms) : longest;
  auto retry = std::clamp(needed, static_cast<double>(settings_.min_retry_after_), longest);
  return {false, 0, static_cast<milliseconds>(retry)};
}

auto allotment_bucket::grant_start(const allotment_claim& wanted, double rate_per_ms) -> allotment_decision {
  auto duration = static_cast<double>(std::max(wanted.expected_duration_, settings_.min_program_duration_));
  mean_program_ms_ =
      mean_program_ms_ == 0 ? duration : mean_program_ms_ + duration_weight * (duration - mean_program_ms_);
  auto room = level_ + rate_per_ms * mean_program_ms_ * settings_.arrival_spread_;
  if (level_ < 1 || committed_ > room) {
    return refused(std::max(1 - level_, committed_ - room), rate_per_ms);
  }
  level_ -= 1;
  committed_ += std::max(wanted.expected_requests_ - 1, 0.0);
  return {true, 0, 0};
}

auto allotment_bucket::grant_later(double rate_per_ms, double overdraft) -> allotment_decision {
  auto after = level_ + overdraft - 1;
  auto deepest = -rate_per_ms * static_cast<double>(settings_.max_wait_);
  if (after < std::min(deepest, 0.0)) {
    return refused(-after, rate_per_ms);
  }
  level_ -= 1;
  auto wait = after < 0 ? std::ceil(-after / rate_per_ms) : 0.0;
  return {true, static_cast<milliseconds>(wait), 0};
}

auto allotment_bucket::claim(const allotment_claim& wanted, double share, milliseconds now, bool may_overdraw)
    -> allotment_decision {
  refill(wanted.allotment_, share, now);
  auto overdraft = may_overdraw ? settings_.overdraft_ * share : 0;
  auto rate_per_ms = wanted.allotment_.rate_per_s_ * share / ms_per_second;
  return wanted.starts_program_ ? grant_start(wanted, rate_per_ms) : grant_later(rate_per_ms, overdraft);
}

}  // namespace birchlever
