#include "birchlever/storage/recovery_ramp.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace birchlever {
namespace {

constexpr auto ms_per_second = 1000.0;
constexpr auto initial_allowance = 1.0;  // Writes that may be sent at the start of the ramp.

}  // namespace

auto recovery_ramp::begin(double share_per_s, milliseconds now) -> void {
  start_per_s_ = settings_.start_fraction_ * share_per_s;
  began_at_ = now;
  used_ = 0;
  calls_ = 0;
}

auto recovery_ramp::wait(double cost, milliseconds now) const -> milliseconds {
  auto left = began_at_ + duration() - now;
  if (left <= 0) {
    return 0;
  }
  auto needed = used_ + cost - initial_allowance;
  if (needed <= 0) {
    return 0;
  }
  // After t ms, start_per_s_ / 1000 * doubling_time_ / ln 2 * (2^(t / doubling_time_) - 1) writes have become
  // available.
  auto doubling = static_cast<double>(settings_.doubling_time_);
  auto scale = start_per_s_ / ms_per_second * doubling / std::numbers::ln2;
  if (scale <= 0) {
    return left;
  }
  auto available_after = doubling * std::log2(1 + needed / scale);
  auto available_at = began_at_ + static_cast<milliseconds>(
                                      std::ceil(std::min(available_after, static_cast<double>(duration()))));
  return std::clamp<milliseconds>(available_at - now, 0, left);
}

}  // namespace birchlever
