/// Decides during a shortage which new programs are admitted.
///
/// All daemons compute the same shortage from their own report and those of their peers. While it lasts, each
/// daemon admits new programs at its share of the rate at which the fleet completes programs, corrected by
/// the shortage; at a shortage of 1 it admits none. Later turns of a program are never refused here.
///
/// The rate fills a token bucket. A less urgent program needs a fuller bucket than a more urgent one, so it
/// is admitted only if more urgent ones leave tokens unused.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "birchlever/admission/pressure_report.h"

namespace birchlever {

/// Settings of program_admission. Times in ms.
struct program_admission_settings {
  milliseconds full_write_wait_ = 200;     ///< Mean wait of a new program's first write at which no capacity
                                           ///< is free, in addition to the interval of this daemon's writes.
                                           ///< Since these writes have the lowest priority, they wait several
                                           ///< times as long, and a turn may wait for 1.3 s.
  milliseconds max_write_interval_ = 800;  ///< Maximum of that interval.
  double full_throttled_share_ = 0.3;      ///< Likewise the fraction of refused writes.
  double throttled_prior_per_s_ = 10;      ///< Unrefused writes assumed in addition to the observed ones.
  double enter_at_ = 0.3;                  ///< Shortage from which new programs are limited.
  double leave_below_ = 0.2;               ///< Shortage below which they no longer are, if it lasts.
  milliseconds leave_after_ = 500;         ///< Time for which the shortage must stay below `leave_below_`.
  milliseconds leave_binding_after_ = 2000;  ///< Likewise while programs are still refused: those that return
                                             ///< would cause the next shortage if all were admitted at once.
  double report_decay_ms_ = 200;             ///< Time constant by which older reports count less.
  double min_rate_per_s_ = 0.1;  ///< Minimum of the admitted programs per second of a daemon at a shortage
                                 ///< below 1; about 5 % of the usual rate of 76 daemons with 140 programs/s.
  double bucket_ = 4;            ///< Minimum capacity of the bucket, in programs.
  milliseconds bucket_time_ = 500;  ///< Time in which the bucket fills if that takes more programs.
  milliseconds min_retry_ = 150;    ///< Minimum Retry-After; the shortage changes no faster.
  milliseconds max_retry_ = 1300;   ///< Maximum Retry-After: a third of a turn's timeout of 4 s, for which
                                    ///< callers wait at most.
  double max_retry_share_ = 0.3;    ///< Likewise of the time left, to leave time for running.
};

/// Shortage of the fleet as seen by one daemon.
struct fleet_pressure {
  double shortage_ = 0;         ///< Maximum over the resources; 1: no free capacity.
  double write_wait_ms_ = 0;    ///< Mean over the reports.
  double throttled_share_ = 0;  ///< Refused fraction of the writes.
  double upstreams_ = 0;        ///< Mean over the reports.
  double turns_per_program_ = 1;
  double programs_per_s_ = 0;   ///< Programs that the fleet completes, per daemon.
  std::size_t reports_ = 0;     ///< Reports of peers used.
  milliseconds oldest_ms_ = 0;  ///< Age of the oldest of them.
};

/// A new program that asks for admission.
struct program_claim {
  int urgency_ = 0;  ///< Class among `classes_`; 0 is the most urgent.
  double expected_turns_ = 1;
  int classes_ = 1;
  std::string route_;
  std::optional<milliseconds> program_time_left_;  ///< Until its deadline.
  milliseconds request_time_left_ = 0;             ///< For which the caller waits.
  std::uint64_t seed_ = 0;                         ///< Spreads retries.
};

/// Why a program is not admitted.
enum class admission_refusal {
  none,
  no_capacity,    ///< Started programs use the whole capacity.
  lower_order,    ///< The rate of admission leaves no room for a program of this urgency and size.
  late,           ///< Its deadline can no longer be met, and others need the capacity.
  local_backlog,  ///< This daemon's queue of writes is too long.
};

/// Returns the name of a cause in logs.
[[nodiscard]] auto name_of(admission_refusal cause) -> std::string_view;

/// Returns the explanation of a cause for callers.
[[nodiscard]] auto explain(admission_refusal cause) -> std::string_view;

/// Outcome of a claim, with its inputs.
struct program_verdict {
  admission_refusal refusal_ = admission_refusal::none;
  double tokens_ = 0;    ///< In the bucket.
  double required_ = 0;  ///< Tokens that this program needs.
  milliseconds retry_after_ = 0;

  [[nodiscard]] auto admitted() const -> bool { return refusal_ == admission_refusal::none; }
};

/// Deterministic in its inputs; has no I/O. Not thread safe.
class program_admission {
 public:
  explicit program_admission(const program_admission_settings& settings = {}) : settings_{settings} {}

  /// Updates the shortage. Returns true if the limit on new programs was enabled or disabled. Call several
  /// times per second. Without reports of peers, the own report decides.
  auto update(const pressure_report& own, const std::vector<aged_pressure_report>& peers, milliseconds now)
      -> bool;

  /// Sets the mean time in ms between two writes of a daemon that uses an equal share of the store's rate. At
  /// a rate limit, a write waits for so long without any shortage.
  auto set_write_interval(milliseconds interval) -> void;

  /// Decides about the first turn of a program.
  auto decide(const program_claim& claim, milliseconds now) -> program_verdict;

  /// Returns true while new programs are limited.
  [[nodiscard]] auto limited() const -> bool { return limited_; }

  /// Returns the shortage as of the last update.
  [[nodiscard]] auto pressure() const -> const fleet_pressure& { return pressure_; }

  /// Returns the admitted programs per second of this daemon. Only meaningful while limited.
  [[nodiscard]] auto rate() const -> double { return rate_; }

 private:
  [[nodiscard]] auto combine(const pressure_report& own, const std::vector<aged_pressure_report>& peers) const
      -> fleet_pressure;
  auto update_limited(milliseconds now) -> bool;
  auto refill(milliseconds now) -> void;
  [[nodiscard]] auto capacity() const -> double;
  [[nodiscard]] auto full_write_wait() const -> double;
  auto learn_time_left(const program_claim& claim) -> void;
  /// Returns the expected number of turns, limited by the fleet's mean.
  [[nodiscard]] auto expected_turns(const program_claim& claim) const -> double;
  /// Returns the time beyond its expected duration that a program has left, in ms; none if unknown.
  [[nodiscard]] auto slack_of(const program_claim& claim) const -> std::optional<double>;
  [[nodiscard]] auto required_tokens(const program_claim& claim) const -> double;
  [[nodiscard]] auto refusal_of(const program_claim& claim, double required) const -> admission_refusal;
  auto schedule_retry(const program_claim& claim, milliseconds now) -> milliseconds;

  program_admission_settings settings_;
  fleet_pressure pressure_;
  milliseconds write_interval_ = 0;
  double own_write_wait_ms_ =
      0;  ///< Of this daemon. While limited, a long queue here is left to other daemons.
  bool limited_ = false;
  milliseconds low_since_ = 0;   ///< Since when the shortage is below `leave_below_`; 0 if it is not.
  milliseconds refused_at_ = 0;  ///< Time of the last refusal.
  double rate_ = 0;
  double tokens_ = 0;
  milliseconds filled_at_ = 0;
  double next_retry_at_ = 0;                       ///< Time at which the next refused program should return.
  std::map<std::string, double> short_time_left_;  ///< By route: low quantile, in ms, of the time left at the
                                                   ///< start of programs, observed while nothing is refused.
};

}  // namespace birchlever
