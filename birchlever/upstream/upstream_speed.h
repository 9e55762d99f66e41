/// Learned speed of one incarnation of an upstream, relative to the mean of its service.
#pragma once

#include <cstdint>

#include "birchlever/core/clock.h"

namespace birchlever {

/// Settings of upstream_speed. Times in ms; ratios are observed over expected durations.
struct upstream_speed_settings {
  milliseconds half_life_ = 5000;     ///< Of the weight of observations. An upstream that is no longer
                                      ///< observed becomes unknown after some 20 s.
  milliseconds own_half_life_ = 500;  ///< Of this daemon's own observations in reports to peers, which must
                                      ///< show a slowdown within 1 s.
  double max_weight_ = 8;             ///< Limits the time for which an earlier speed outweighs a new one.
  double settled_weight_ = 3;         ///< Weight from which single observations are limited.
  double prior_weight_ = 0.5;         ///< Weight of the assumption that an upstream has the mean speed.
  double max_first_ratio_ = 2;        ///< Limit of an observation before the estimate is settled.
  double max_single_ratio_ = 1.5;     ///< Limit of the effect of one observation on a settled estimate.
  double change_ratio_ = 1.5;         ///< Deviations beyond this factor may be a change of speed.
  double certain_ratio_ = 3;          ///< Deviations beyond this factor are no short disturbance.
  milliseconds certain_duration_ = 400;  ///< Such deviations must last longer than the reading of a prompt.
  milliseconds change_duration_ = 700;  ///< Smaller deviations must last longer than a disturbance of 600 ms.
  milliseconds change_timeout_ = 2000;  ///< Deviations further apart are unrelated.
  double change_weight_ = 3;            ///< Weight of deviating observations that confirms a change.
  double single_observer_weight_ = 6;   ///< Likewise if all of them are by one daemon.
  double own_factor_ = 2;               ///< Weight of own observations relative to those of peers.
};

/// One observation of an upstream by this daemon or a peer.
struct speed_observation {
  double log_ratio_ = 0;        ///< Natural logarithm of the observed over the expected duration.
  double weight_ = 1;           ///< 1 for a precise observation.
  std::uint64_t observer_ = 0;  ///< Hash of the observing peer; 0 for this daemon.
};

/// Estimate as the mean of the logarithms, weighted by age. Without observations the slowness is 1. Has no
/// I/O.
///
/// A settled estimate limits the effect of single observations, so that short disturbances hardly change it.
/// Observations that deviate in the same direction for longer, or by more, than a short disturbance replace
/// it.
class upstream_speed {
 public:
  explicit upstream_speed(const upstream_speed_settings& settings = {}) : settings_{settings} {}

  /// Records an observation. Returns true if it confirms a lasting change, which replaces the estimate.
  auto record(const speed_observation& observation, milliseconds now) -> bool;

  /// Returns the estimated duration relative to the mean: 2 is half as fast.
  [[nodiscard]] auto slowness(milliseconds now) const -> double;

  /// Returns the logarithm of the slowness, reduced where the weight is small.
  [[nodiscard]] auto log_slowness(milliseconds now) const -> double;

  /// Returns the logarithm of the slowness when it was last observed.
  [[nodiscard]] auto last_log_slowness() const -> double { return mean_; }

  /// Returns the confidence: the weight of the observations, decayed with age.
  [[nodiscard]] auto weight(milliseconds now) const -> double;

  /// Returns true if the estimate differs from the mean of the service by more than its uncertainty.
  [[nodiscard]] auto distinct() const -> bool { return distinct_; }

  /// Sets whether it does. A difference must have been set for `change_duration_` to count, unless it follows
  /// a confirmed change.
  auto set_distinct(bool distinct, milliseconds now, bool confirmed) -> void;

  [[nodiscard]] auto observed_at() const -> milliseconds { return observed_at_; }

  /// Returns the logarithm of the slowness by this daemon's own recent observations, for reports to peers.
  [[nodiscard]] auto own_log_slowness() const -> double { return own_mean_; }

  /// Returns the weight of the own recent observations when the last one was made.
  [[nodiscard]] auto own_weight() const -> double { return own_weight_; }

  /// Returns the number of own observations.
  [[nodiscard]] auto own_count() const -> std::uint32_t { return own_count_; }

  /// Returns the time of the last own observation; 0 if there is none.
  [[nodiscard]] auto own_observed_at() const -> milliseconds { return own_observed_at_; }

 private:
  /// Consecutive observations that deviate from the estimate in the same direction.
  struct deviation_run {
    double sum_ = 0;  ///< Of weighted logarithms.
    double weight_ = 0;
    int count_ = 0;
    milliseconds started_at_ = 0;
    milliseconds last_at_ = 0;
    std::uint64_t first_observer_ = 0;
    bool several_observers_ = false;
  };

  auto record_own(const speed_observation& observation, milliseconds now) -> void;
  auto record_deviation(const speed_observation& observation, double weight, milliseconds now) -> void;
  [[nodiscard]] auto change_confirmed() const -> bool;

  upstream_speed_settings settings_;
  double mean_ = 0;    ///< Of logarithms.
  double weight_ = 0;  ///< At `observed_at_`.
  milliseconds observed_at_ = 0;
  double own_mean_ = 0;
  double own_weight_ = 0;
  std::uint32_t own_count_ = 0;
  milliseconds own_observed_at_ = 0;
  deviation_run run_;
  bool distinct_ = false;
  milliseconds distinct_since_ = 0;  ///< First of consecutive differences; 0 if there is none.
};

}  // namespace birchlever
