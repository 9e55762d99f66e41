/// How fast one daemon may write to the store, whose rate all daemons share.
///
/// A call beyond the store's rate is refused and costs as much as one that is done. Daemons that each repeat
/// what was refused keep the store at its limit long after the load that began it is over, with most of its
/// work wasted. So a daemon whose calls are refused sends fewer, at first hand: it keeps a rate that falls by
/// a part with a refusal and grows slowly while there is none. An equal share of the store's rate is always
/// allowed, so that all daemons together stay near it and none is starved.
#pragma once

#include <cstdint>
#include <optional>

#include "birchlever/core/clock.h"

namespace birchlever {

/// How the rate is kept. Times in ms.
struct call_pace_settings {
  double kept_after_refusal_ = 0.7;  ///< Of the rate at which calls were sent, after one was refused.
  double refused_share_ = 0.03;      ///< Of the calls, at which growth and falls are in balance.
  double most_growth_per_s_ = 0.6;   ///< Of the rate, in each second without a refusal.
  milliseconds refusal_gap_ = 100;   ///< Refusals so close together count as one: they answer one burst.
  milliseconds calm_ = 5000;         ///< After so long without a refusal nothing is held back any more.
  milliseconds burst_ = 60;          ///< Calls of so long may go out at once.
  double fleet_part_ = 0.8;          ///< Of the store's rate that equal shares are made of.
};

/// A pure function of calls, refusals and times.
class call_pace {
 public:
  explicit call_pace(const call_pace_settings& settings = {}) : settings_{settings} { set_fleet(0, 1); }

  /// The store takes so many calls a second from so many daemons together; 0: not known.
  auto set_fleet(double per_s, std::int64_t daemons) -> void;

  /// ms until a call may be sent; 0: now.
  [[nodiscard]] auto wait(milliseconds now) const -> milliseconds;

  /// A call is sent now.
  auto note_sent(milliseconds now) -> void;

  /// A call was refused because there are too many.
  auto note_refused(milliseconds now) -> void;

  /// Calls a second that may be sent; none while nothing holds them back.
  [[nodiscard]] auto rate(milliseconds now) const -> std::optional<double>;

 private:
  [[nodiscard]] auto tokens(milliseconds now) const -> double;
  [[nodiscard]] auto sending_rate(milliseconds now) const -> double;

  call_pace_settings settings_;
  double share_ = 0;  ///< Calls a second that are always allowed.
  double rate_ = 0;   ///< As of `rate_at_`, while `bounded_`.
  bool bounded_ = false;
  milliseconds rate_at_ = 0;
  milliseconds refused_at_ = 0;
  double tokens_ = 0;  ///< As of `tokens_at_`.
  milliseconds tokens_at_ = 0;
  double sent_per_s_ = 0;  ///< Fading count of calls that were taken, as of `sent_at_`.
  milliseconds sent_at_ = 0;
};

}  // namespace birchlever
