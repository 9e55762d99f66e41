#include "birchlever/storage/call_pace.h"

#include <algorithm>
#include <cmath>

namespace birchlever {
namespace {

constexpr auto ms_per_second = 1000.0;
constexpr auto fade_ms = 1000.0;      // Over which the calls that were taken are counted.
constexpr auto unknown_share = 20.0;  // Calls a second, while the store's rate is not known.
constexpr auto least_burst = 2.0;     // A turn's two calls.

}  // namespace

auto call_pace::set_fleet(double per_s, std::int64_t daemons) -> void {
  auto fleet = static_cast<double>(std::max<std::int64_t>(daemons, 1));
  share_ = per_s > 0 ? settings_.fleet_part_ * per_s / fleet : unknown_share;
}

auto call_pace::rate(milliseconds now) const -> std::optional<double> {
  if (!bounded_ || now - refused_at_ > settings_.calm_) {
    return std::nullopt;
  }
  // Who calls seldom meets a refusal seldom, and must grow the more slowly for it.
  auto balanced = settings_.refused_share_ * (1 - settings_.kept_after_refusal_) * rate_ * rate_;
  auto growth = std::min(balanced, settings_.most_growth_per_s_ * rate_);
  auto grown = rate_ + growth * static_cast<double>(now - rate_at_) / ms_per_second;
  return std::max(grown, share_);
}

auto call_pace::tokens(milliseconds now) const -> double {
  auto allowed = rate(now).value_or(0);
  auto most = std::max(least_burst, allowed * static_cast<double>(settings_.burst_) / ms_per_second);
  auto filled = tokens_ + allowed * static_cast<double>(now - tokens_at_) / ms_per_second;
  return std::min(filled, most);
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
  return sent_per_s_ * std::exp(-static_cast<double>(now - sent_at_) / fade_ms);
}

auto call_pace::note_sent(milliseconds now) -> void {
  tokens_ = tokens(now) - 1;
  tokens_at_ = now;
  sent_per_s_ = sending_rate(now) + ms_per_second / fade_ms;
  sent_at_ = now;
}

auto call_pace::note_refused(milliseconds now) -> void {
  auto counted = !bounded_ || now - rate_at_ >= settings_.refusal_gap_;
  auto before = rate(now);
  refused_at_ = now;
  sent_per_s_ = std::max(sending_rate(now) - ms_per_second / fade_ms, 0.0);  // It was not taken.
  sent_at_ = now;
  if (!counted) {
    return;
  }
  auto used = sending_rate(now);
  rate_ = std::max(settings_.kept_after_refusal_ * (before ? std::min(*before, used) : used), share_);
  rate_at_ = now;
  tokens_ = std::min(tokens_, 0.0);
  tokens_at_ = now;
  bounded_ = true;
}

}  // namespace birchlever
