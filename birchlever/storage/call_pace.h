/// Client-side rate limiter for store writes, whose total rate is shared by all daemons.
///
/// A refused call costs the store as much as a completed one, so retries can keep it saturated after the load
/// has dropped. The allowed rate decreases multiplicatively on a refusal and recovers while there is none. It
/// never falls below an equal share of the store's rate, so that no daemon is starved.
#pragma once

#include <cstdint>
#include <optional>

#include "birchlever/core/clock.h"

namespace birchlever {

/// Parameters of the rate limiter.
struct call_pace_settings {
  double decrease_factor_ = 0.7;           ///< Applied to the send rate after a refusal.
  double target_refused_fraction_ = 0.03;  ///< Fraction of refused calls at which the rate is stable.
  double max_growth_per_s_ = 0.6;          ///< Maximum growth per second, as a fraction of the rate.
  milliseconds refusal_window_ = 100;      ///< Refusals within this time (ms) count as one.
  milliseconds unlimited_after_ = 5000;    ///< Time (ms) without a refusal after which the limit is lifted.
  milliseconds burst_ = 60;                ///< Burst size, as the time (ms) in which it accrues.
  double fleet_fraction_ = 0.8;            ///< Fraction of the store's rate that is split into equal shares.
};

/// Deterministic in the recorded calls, refusals and times. Not thread safe.
class call_pace {
 public:
  explicit call_pace(const call_pace_settings& settings = {}) : settings_{settings} {
    set_fleet_capacity(0, 1);
  }

  /// Sets the store's total rate in calls per second (0 if unknown) and the number of daemons sharing it.
  auto set_fleet_capacity(double per_s, std::int64_t daemons) -> void;

  /// Returns the time in ms until the next call may be sent; 0 if it may be sent now.
  [[nodiscard]] auto wait(milliseconds now) const -> milliseconds;

  /// Records that a call is sent.
  auto record_sent(milliseconds now) -> void;

  /// Records that the store refused a call because of its rate limit.
  auto record_refused(milliseconds now) -> void;

  /// Returns the allowed rate in calls per second, or nothing while calls are unlimited.
  [[nodiscard]] auto rate(milliseconds now) const -> std::optional<double>;

 private:
  [[nodiscard]] auto tokens(milliseconds now) const -> double;
  [[nodiscard]] auto sending_rate(milliseconds now) const -> double;

  call_pace_settings settings_;
  double share_ = 0;  ///< Calls per second that are always allowed.
  double rate_ = 0;   ///< Allowed rate as of `rate_at_`; valid while `limited_`.
  bool limited_ = false;
  milliseconds rate_at_ = 0;
  milliseconds refused_at_ = 0;
  double tokens_ = 0;  ///< Tokens in the bucket as of `tokens_at_`.
  milliseconds tokens_at_ = 0;
  double sent_per_s_ = 0;  ///< Decaying rate of accepted calls as of `sent_at_`.
  milliseconds sent_at_ = 0;
};

}  // namespace birchlever
