#include "birchlever/storage/call_pace.h"

#include <algorithm>
#include <cmath>

namespace birchlever {
namespace {

constexpr auto ms_per_second = 1000.0;
constexpr auto decay_ms = 1000.0;     // Time constant of the decaying send rate.
constexpr auto default_share = 20.0;  // Calls per second while the store's rate is unknown.
constexpr auto min_burst = 2.0;       // Calls that one turn makes.

}  // namespace

auto call_pace::set_fleet_capacity(double per_s, std::int64_t daemons) -> void {
  auto fleet = static_cast<double>(std::max<std::int64_t>(daemons, 1));
  share_ = per_s > 0 ? settings_.fleet_fraction_ * per_s / fleet : default_share;
}

auto call_pace::rate(milliseconds now) const -> std::optional<double> {
  if (!limited_ || now - refused_at_ > settings_.unlimited_after_) {
    return std::nullopt;
  }
  // Daemons with a low rate see few refusals, so growth is quadratic in the rate to keep them balanced.
  auto balanced = settings_.target_refused_fraction_ * (1 - settings_.decrease_factor_) * rate_ * rate_;
  auto growth = std::min(balanced, settings_.max_growth_per_s_ * rate_);
  auto grown = rate_ + growth * static_cast<double>(now - rate_at_) / ms_per_second;
  return std::max(grown, share_);
}

auto call_pace::tokens(milliseconds now) const -> double {
  auto allowed = rate(now).value_or(0);
  auto capacity = std::max(min_burst, allowed * static_cast<double>(settings_.burst_) / ms_per_second);
  auto filled = tokens_ + allowed * static_cast<double>(now - tokens_at_) / ms_per_second;
  return std::min(filled, capacity);
}

auto call_pace::wait(milliseconds now) const -> milliseconds {
  auto allowed = rate(now);
  if (!allowed) {
    return 0;
  }
  auto missing = 1 - tokens(now);
  return missing <= 0 ? 0 : static_cast<milliseconds>(std::ceil(missing / *allowed * ms_per_second));
}

auto call_pace::sending_rate(milliseconds now) const -> double {
  return sent_per_s_ * std::exp(-static_cast<double>(now - sent_at_) / decay_ms);
}

auto call_pace::record_sent(milliseconds now) -> void {
  tokens_ = rate(now) ? tokens(now) - 1 : 0;  // Unlimited calls leave no debt for a later limit.
  tokens_at_ = now;
  sent_per_s_ = sending_rate(now) + ms_per_second / decay_ms;
  sent_at_ = now;
}

auto call_pace::record_refused(milliseconds now) -> void {
  auto counted = !limited_ || now - rate_at_ >= settings_.refusal_window_;
  auto before = rate(now);
  refused_at_ = now;
  sent_per_s_ = std::max(sending_rate(now) - ms_per_second / decay_ms, 0.0);  // Refused calls don't count.
  sent_at_ = now;
  if (!counted) {
    return;
  }
  auto used = sending_rate(now);
  rate_ = std::max(settings_.decrease_factor_ * (before ? std::min(*before, used) : used), share_);
  rate_at_ = now;
  tokens_ = std::min(tokens_, 0.0);
  tokens_at_ = now;
  limited_ = true;
}

}  // namespace birchlever
