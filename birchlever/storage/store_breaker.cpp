#include "birchlever/storage/store_breaker.h"

#include <algorithm>
#include <array>
#include <utility>

namespace birchlever {
namespace {

constexpr auto ms_per_second = 1000.0;

// Retries are spread over at least the duration of the ramp, in which less than the usual rate is admitted.
constexpr auto min_retry_spread = milliseconds{800};
constexpr auto retry_spread_divisor = 2;  // Of the expected remaining time, which is uncertain by more.

constexpr auto state_names = std::array<std::string_view, 3>{"closed", "open", "ramp"};

}  // namespace

auto name_of(breaker_state state) -> std::string_view {
  return state_names.at(static_cast<std::size_t>(state));
}

store_breaker::store_breaker(const store_breaker_settings& settings)
    : settings_{settings},
      share_per_s_{settings.default_share_per_s_},
      outages_{settings.outages_},
      ramp_{settings.ramp_},
      partitions_{settings.jitter_seed_, settings.partitions_},
      random_{settings.jitter_seed_} {}

auto store_breaker::set_fleet_capacity(double writes_per_s, std::int64_t daemons) -> void {
  daemons_ = std::max<std::int64_t>(daemons, 1);
  share_per_s_ =
      writes_per_s > 0 ? writes_per_s / static_cast<double>(daemons_) : settings_.default_share_per_s_;
}

auto store_breaker::fleet_interval() const -> milliseconds {
  return static_cast<milliseconds>(static_cast<double>(daemons_) / settings_.fleet_probes_per_s_ *
                                   ms_per_second);
}

auto store_breaker::probe_interval() const -> milliseconds {
  return std::max(settings_.min_probe_interval_, fleet_interval());
}

auto store_breaker::reset_failures() -> void {
  failures_ = 0;
  confirming_ = false;
}

auto store_breaker::record_response() -> void {
  if (!is_open()) {
    reset_failures();
  }
}

auto store_breaker::record_failure(milliseconds now, milliseconds sent_at) -> breaker_change {
  if (is_open() || precedes_recovery(sent_at)) {
    return breaker_change::none;
  }
  if (failures_++ == 0) {
    failing_since_ = now;
  }
  if (failures_ < settings_.failures_to_open_) {
    return breaker_change::none;
  }
  if (std::exchange(confirming_, true)) {
    return breaker_change::none;
  }
  next_probe_at_ = now;
  return breaker_change::probe_needed;
}

auto store_breaker::open(milliseconds now) -> breaker_change {
  outage_since_ = state_ == breaker_state::ramp ? outage_since_ : failing_since_;
  state_ = breaker_state::open;
  confirming_ = false;
  failed_probes_ = 0;
  ++openings_;
  // The first probe is sent as early as the limit for all daemons permits, since failures of old connections
  // only can open the breaker as well.
  next_probe_at_ = now + std::uniform_int_distribution<milliseconds>{0, fleet_interval()}(random_);
  return breaker_change::opened;
}

auto store_breaker::record_probe_sent(milliseconds now) -> void {
  auto mean = static_cast<double>(probe_interval());
  auto deviation = settings_.interval_jitter_ * mean;
  auto interval = std::uniform_real_distribution<double>{mean - deviation, mean + deviation}(random_);
  next_probe_at_ = now + static_cast<milliseconds>(interval);
}

auto store_breaker::hasten_probe(milliseconds now) -> void {
  auto delay = std::uniform_int_distribution<milliseconds>{0, fleet_interval()}(random_);
  next_probe_at_ = std::min(next_probe_at_, now + delay);
}

auto store_breaker::record_probe(bool answered, milliseconds now) -> breaker_change {
  if (!is_open()) {
    if (!std::exchange(confirming_, false)) {
      return breaker_change::none;  // A response to another call decided earlier.
    }
    if (!answered) {
      return open(now);
    }
    reset_failures();
    return breaker_change::none;
  }
  if (answered) {
    return recover(now);
  }
  ++failed_probes_;
  return breaker_change::none;
}

auto store_breaker::recover(milliseconds now) -> breaker_change {
  state_ = breaker_state::ramp;
  recovered_at_ = now;
  reset_failures();
  ramp_.begin(share_per_s_, now);
  return breaker_change::recovered;
}

auto store_breaker::advance(milliseconds now) -> breaker_change {
  if (state_ != breaker_state::ramp || !ramp_.done(now)) {
    return breaker_change::none;
  }
  state_ = breaker_state::closed;
  outages_.record(recovered_at_ - outage_since_);
  return breaker_change::closed;
}

auto store_breaker::expected_left(milliseconds now) const -> milliseconds {
  if (!is_open()) {
    return 0;
  }
  auto estimated = outages_.expected_left(now - outage_since_);
  return std::max<milliseconds>({estimated, next_probe_at_ - now, 1});
}

auto store_breaker::ramp_wait(double cost, milliseconds now) const -> milliseconds {
  return state_ == breaker_state::ramp ? ramp_.wait(cost, now) : 0;
}

auto retry_after_outage(milliseconds expected_left, milliseconds time_left, double jitter) -> milliseconds {
  auto spread = std::max(min_retry_spread, expected_left / retry_spread_divisor);
  auto retry_after = expected_left + static_cast<milliseconds>(jitter * static_cast<double>(spread));
  return std::clamp<milliseconds>(retry_after, 1, std::max<milliseconds>(time_left, 1));
}

}  // namespace birchlever
