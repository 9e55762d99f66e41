#include "birchlever/upstream/upstream_speed.h"

#include <algorithm>
#include <cmath>

namespace birchlever {
namespace {

constexpr auto max_log_ratio = 3.0;  // A factor of 20; longer waits tell nothing more about the speed.
constexpr auto min_change_count = 3;

auto decay_factor(milliseconds age, milliseconds half_life) -> double {
  return std::exp2(-static_cast<double>(std::max<milliseconds>(age, 0)) / static_cast<double>(half_life));
}

}  // namespace

auto upstream_speed::weight(milliseconds now) const -> double {
  return weight_ * decay_factor(now - observed_at_, settings_.half_life_);
}

auto upstream_speed::log_slowness(milliseconds now) const -> double {
  auto confidence = weight(now);
  return mean_ * confidence / (confidence + settings_.prior_weight_);
}

auto upstream_speed::slowness(milliseconds now) const -> double {
  return std::exp(log_slowness(now));
}

auto upstream_speed::record(const speed_observation& observation, milliseconds now) -> bool {
  auto own = observation.observer_ == 0;
  auto limited = observation;
  limited.log_ratio_ = std::clamp(observation.log_ratio_, -max_log_ratio, max_log_ratio);
  if (own) {
    record_own(limited, now);
  }
  auto added = limited.weight_ * (own ? settings_.own_factor_ : 1);
  weight_ = weight(now);
  observed_at_ = std::max(observed_at_, now);
  auto deviation = limited.log_ratio_ - mean_;
  if (weight_ >= settings_.settled_weight_) {
    record_deviation(limited, added, now);
    if (change_confirmed()) {
      mean_ = run_.sum_ / run_.weight_;
      weight_ = std::clamp(run_.weight_, settings_.settled_weight_, settings_.max_weight_);
      run_ = {};
      return true;
    }
  }
  auto settled = weight_ >= settings_.settled_weight_;
  auto limit = std::log(settled ? settings_.max_single_ratio_ : settings_.max_first_ratio_);
  deviation = std::clamp(deviation, -limit, limit);
  auto total = weight_ + added;
  mean_ += total > 0 ? deviation * added / total : 0;
  weight_ = std::min(total, settings_.max_weight_);
  return false;
}

auto upstream_speed::record_own(const speed_observation& observation, milliseconds now) -> void {
  auto kept = own_weight_ * decay_factor(now - own_observed_at_, settings_.own_half_life_);
  auto total = kept + observation.weight_;
  own_mean_ = total > 0 ? (own_mean_ * kept + observation.log_ratio_ * observation.weight_) / total : 0;
  own_weight_ = total;
  ++own_count_;
  own_observed_at_ = now;
}

auto upstream_speed::record_deviation(const speed_observation& observation, double weight, milliseconds now)
    -> void {
  if (now - run_.last_at_ > settings_.change_timeout_) {
    run_ = {};
  }
  auto deviation = observation.log_ratio_ - mean_;
  if (std::abs(deviation) < std::log(settings_.change_ratio_)) {
    run_.sum_ -= run_.weight_ > 0 ? run_.sum_ / run_.weight_ * weight : 0;
    run_.weight_ -= weight;
    run_ = run_.weight_ > 0 ? run_ : deviation_run{};
    return;
  }
  auto opposite = run_.weight_ > 0 && (run_.sum_ / run_.weight_ > mean_) != (deviation > 0);
  if (opposite || run_.count_ == 0) {
    run_ = {};
    run_.started_at_ = now;
    run_.first_observer_ = observation.observer_;
  }
  run_.sum_ += observation.log_ratio_ * weight;
  run_.weight_ += weight;
  ++run_.count_;
  run_.last_at_ = now;
  run_.several_observers_ = run_.several_observers_ || observation.observer_ != run_.first_observer_;
}

auto upstream_speed::set_distinct(bool distinct, milliseconds now, bool confirmed) -> void {
  if (!distinct) {
    distinct_ = false;
    distinct_since_ = 0;
    return;
  }
  distinct_since_ = distinct_since_ == 0 ? now : distinct_since_;
  distinct_ = distinct_ || confirmed || now - distinct_since_ >= settings_.change_duration_;
}

auto upstream_speed::change_confirmed() const -> bool {
  auto required = run_.several_observers_ ? settings_.change_weight_ : settings_.single_observer_weight_;
  if (run_.count_ < min_change_count || run_.weight_ < required) {
    return false;
  }
  auto deviation = std::abs(run_.sum_ / run_.weight_ - mean_);
  auto certain = deviation >= std::log(settings_.certain_ratio_);
  auto required_duration = certain ? settings_.certain_duration_ : settings_.change_duration_;
  return run_.last_at_ - run_.started_at_ >= required_duration;
}

}  // namespace birchlever
