/// Limits the rate of calls after an outage of the store: starts at a fraction of this daemon's share of the
/// store's rate and doubles at fixed intervals until calls are unlimited.
#pragma once

#include <cstdint>

#include "birchlever/core/clock.h"

namespace birchlever {

/// Parameters of the ramp.
struct recovery_ramp_settings {
  double start_fraction_ = 0.25;      ///< Initial rate, as a fraction of this daemon's share.
  int doublings_ = 4;                 ///< Doublings after which calls are unlimited.
  milliseconds doubling_time_ = 200;  ///< ms per doubling. The ramp takes 800 ms, so that the rate of 2 s
                                      ///< after the recovery is the usual one.
};

/// Deterministic in the recorded calls and times. Not thread safe.
class recovery_ramp {
 public:
  explicit recovery_ramp(const recovery_ramp_settings& settings = {}) : settings_{settings} {}

  /// Starts the ramp for a share of `share_per_s` writes per second.
  auto begin(double share_per_s, milliseconds now) -> void;

  /// Returns true once calls are unlimited.
  [[nodiscard]] auto done(milliseconds now) const -> bool { return now - began_at_ >= duration(); }

  /// Returns the time in ms until calls of a total cost of `cost` writes may be sent; 0 if they may be sent
  /// now, never more than the remaining time of the ramp.
  [[nodiscard]] auto wait(double cost, milliseconds now) const -> milliseconds;

  /// Records a sent call of a cost of `cost` writes.
  auto record_sent(double cost) -> void {
    used_ += cost;
    ++calls_;
  }

  /// Returns the duration of the ramp in ms.
  [[nodiscard]] auto duration() const -> milliseconds {
    return settings_.doublings_ * settings_.doubling_time_;
  }

  /// Returns the initial rate in writes per second.
  [[nodiscard]] auto start_rate() const -> double { return start_per_s_; }

  /// Returns the number of calls sent since the start of the ramp.
  [[nodiscard]] auto calls() const -> std::int64_t { return calls_; }

 private:
  recovery_ramp_settings settings_;
  double start_per_s_ = 0;
  milliseconds began_at_ = 0;
  double used_ = 0;  ///< Cost of all calls since the start.
  std::int64_t calls_ = 0;
};

}  // namespace birchlever
