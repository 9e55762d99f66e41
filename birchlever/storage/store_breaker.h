/// Circuit breaker for the calls of one daemon to the store.
///
/// The breaker opens after consecutive failures; then no call is sent but one probe at a jittered interval.
/// An answered probe starts a ramp, during which calls are admitted at a growing rate, until the breaker is
/// closed again. After the failures a probe of a partition that did not fail decides whether the store is
/// down; if that is answered, only calls to the failing partitions wait.
#pragma once

#include <cstdint>
#include <random>
#include <string_view>

#include "birchlever/storage/failing_partitions.h"
#include "birchlever/storage/outage_estimate.h"
#include "birchlever/storage/recovery_ramp.h"

namespace birchlever {

/// Parameters of the breaker. Times in ms.
struct store_breaker_settings {
  int failures_to_open_ = 2;          ///< Consecutive failures.
  double fleet_probes_per_s_ = 1200;  ///< Probes of all daemons together: a fifth of the 6,000 reads
                                      ///< per second that the store permits.
  /// Lower bound of the mean interval. With 600 ms the calls that fail before the breaker opens would raise
  /// the calls of an outage of 7 s to 2 per daemon and second.
  milliseconds min_probe_interval_ = 700;
  double interval_jitter_ = 0.25;    ///< Largest deviation from the mean, as a fraction of it.
  double default_share_per_s_ = 20;  ///< This daemon's writes per second if the store's rate is unknown.
  double read_cost_ = 0.25;          ///< Of a read, in writes; the store permits four times as many.
  outage_estimate_settings outages_;
  recovery_ramp_settings ramp_;
  failing_partition_settings partitions_;
  std::uint32_t jitter_seed_ = 1;  ///< Must differ between daemons, so that probes do not synchronize.
};

/// State of the breaker.
enum class breaker_state { closed, open, ramp };

/// Returns the name of a state, for log lines.
[[nodiscard]] auto name_of(breaker_state state) -> std::string_view;

/// What a recorded outcome changed.
enum class breaker_change {
  none,
  probe_needed,  ///< A probe must decide whether the store or only some partitions fail.
  opened,
  recovered,  ///< From open to ramp.
  closed      ///< From ramp to closed.
};

/// Deterministic in the seed, the recorded outcomes and times. Not thread safe.
class store_breaker {
 public:
  explicit store_breaker(const store_breaker_settings& settings = {});

  /// Sets the store's total rate in writes per second (0 if unknown) and the number of daemons sharing it.
  auto set_fleet_capacity(double writes_per_s, std::int64_t daemons) -> void;

  [[nodiscard]] auto state() const -> breaker_state { return state_; }

  /// Returns true while calls must not be sent.
  [[nodiscard]] auto is_open() const -> bool { return state_ == breaker_state::open; }

  /// Records an answered call, other than a probe. Does not close an open breaker: the call may have been
  /// sent before the outage.
  auto record_response() -> void;

  /// Records a failed call, other than a probe, that was sent at `sent_at`. Has no effect if the call was
  /// sent before the last recovery.
  auto record_failure(milliseconds now, milliseconds sent_at) -> breaker_change;

  /// Records a call that failed as soon as it was sent.
  auto record_failure(milliseconds now) -> breaker_change { return record_failure(now, now); }

  /// Returns true for a call that was sent before the last recovery. Its failure says nothing about the store
  /// since then.
  [[nodiscard]] auto precedes_recovery(milliseconds sent_at) const -> bool { return sent_at < recovered_at_; }

  /// Returns true while a probe is needed.
  [[nodiscard]] auto needs_probe() const -> bool { return is_open() || confirming_; }

  /// Returns when the next probe is due. Only valid while one is needed.
  [[nodiscard]] auto next_probe_at() const -> milliseconds { return next_probe_at_; }

  /// Records that a probe is sent.
  auto record_probe_sent(milliseconds now) -> void;

  /// Makes the next probe due within the time in which one probe per daemon uses the rate for all daemons.
  auto hasten_probe(milliseconds now) -> void;

  /// Records the outcome of a probe. A lost one counts as failed.
  auto record_probe(bool answered, milliseconds now) -> breaker_change;

  /// Ends a ramp whose time has passed.
  auto advance(milliseconds now) -> breaker_change;

  /// Returns the mean interval of probes in ms; also their timeout.
  [[nodiscard]] auto probe_interval() const -> milliseconds;

  /// Returns the expected remaining time of the outage in ms, at least until the next probe; 0 unless open.
  [[nodiscard]] auto expected_left(milliseconds now) const -> milliseconds;

  /// Returns the time of the first of the current or last consecutive failures.
  [[nodiscard]] auto failing_since() const -> milliseconds { return failing_since_; }

  /// Returns the start of the current or last outage. Failures during the ramp continue the outage.
  [[nodiscard]] auto outage_since() const -> milliseconds { return outage_since_; }

  /// Returns the cost of a call in writes.
  [[nodiscard]] auto cost_of(bool write) const -> double { return write ? 1 : settings_.read_cost_; }

  /// Returns the time in ms until calls of this total cost may be sent during the ramp; 0 if closed.
  [[nodiscard]] auto ramp_wait(double cost, milliseconds now) const -> milliseconds;

  /// Records a call of this cost that was admitted during the ramp.
  auto record_admitted(double cost) -> void { ramp_.record_sent(cost); }

  [[nodiscard]] auto ramp() const -> const recovery_ramp& { return ramp_; }
  [[nodiscard]] auto estimate() const -> const outage_estimate& { return outages_; }

  /// Returns the partitions that failed since their last response, also before an outage; the caller records
  /// the outcomes of its calls.
  [[nodiscard]] auto partitions() -> failing_partitions& { return partitions_; }

  /// Returns the number of consecutive failed probes.
  [[nodiscard]] auto failed_probes() const -> int { return failed_probes_; }

  /// Returns the number of consecutive failures.
  [[nodiscard]] auto failures() const -> int { return failures_; }

  /// Returns how often the breaker opened.
  [[nodiscard]] auto openings() const -> std::int64_t { return openings_; }

 private:
  /// Returns the interval in ms at which one probe per daemon uses the rate for probes of all daemons.
  [[nodiscard]] auto fleet_interval() const -> milliseconds;
  auto open(milliseconds now) -> breaker_change;
  auto recover(milliseconds now) -> breaker_change;
  auto reset_failures() -> void;

  store_breaker_settings settings_;
  breaker_state state_ = breaker_state::closed;
  double share_per_s_;  ///< This daemon's share of the store's writes.
  std::int64_t daemons_ = 1;
  int failures_ = 0;         ///< Consecutive.
  bool confirming_ = false;  ///< Whether a probe decides if the store or a partition is down.
  milliseconds failing_since_ = 0;
  milliseconds outage_since_ = 0;
  milliseconds next_probe_at_ = 0;
  milliseconds recovered_at_ = 0;
  int failed_probes_ = 0;
  std::int64_t openings_ = 0;
  outage_estimate outages_;
  recovery_ramp ramp_;
  failing_partitions partitions_;
  std::minstd_rand random_;  ///< For jitter.
};

/// Returns the Retry-After in ms of a request that is refused because of an outage expected to last
/// `expected_left` ms more: that time and a share `jitter` (0 to 1) of the time over which retries are
/// spread, within `time_left` ms.
[[nodiscard]] auto retry_after_outage(milliseconds expected_left, milliseconds time_left, double jitter)
    -> milliseconds;

}  // namespace birchlever
