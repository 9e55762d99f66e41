#include "birchlever/policy/program_aware_policy.h"

#include <algorithm>
#include <cmath>

#include "birchlever/policy/near_best_choice.h"

namespace birchlever {
namespace {

constexpr auto ms_per_second = 1000.0;
constexpr auto expected_output_share = 0.5;  // Expected output length as a fraction of max_tokens.
constexpr auto urgent_deadline_ms = 5000;
constexpr auto account_share_weight = 1.0;

auto total_cached_tokens(const call_view& call) -> double {
  auto total = 0.0;
  for (auto cached : call.cached_tokens_) {
    total += cached;
  }
  return total;
}

}  // namespace

program_aware_policy::program_aware_policy(const policy_settings& settings)
    : prefill_per_ms_{settings.parameter("prefill_rate") / ms_per_second},
      decode_ms_{ms_per_second / settings.parameter("decode_rate")},
      queue_weight_{settings.parameter("queue_weight")},
      cache_weight_{settings.parameter("cache_weight")},
      waste_weight_{settings.parameter("waste_weight")},
      crowding_{settings.parameter("crowding")},
      eviction_weight_{settings.parameter("eviction_weight")},
      half_life_ms_{settings.parameter("view_half_life")},
      hall_ms_{settings.parameter("hall_ms")},
      service_step_{settings.parameter("service_step")} {}

auto program_aware_policy::estimated_load(const engine_view& engine, double mean_load) const -> double {
  auto report_weight = std::exp2(-engine.report_age_ms_ / half_life_ms_);
  auto reported = engine.running_ + engine.queued_ - engine.done_since_report_;
  auto blended = report_weight * reported + (1 - report_weight) * mean_load;
  return std::max(0.0, blended) + engine.sent_since_report_;
}

auto program_aware_policy::estimate_cost(const call_view& call, const engine_view& engine, std::size_t index,
                                         double mean_load, double total_cached) const -> candidate {
  auto estimate = candidate{};
  estimate.engine_ = index;
  auto prompt = static_cast<double>(call.prompt_tokens_);
  auto output_tokens = expected_output_share * static_cast<double>(call.max_tokens_);
  auto load = estimated_load(engine, mean_load);
  auto excess = std::max(0.0, load + 1 - engine.capacity_);
  auto stream_ms = decode_ms_ * engine.slowness_ * output_tokens;
  auto queueing_ms = excess / std::max(1.0, engine.capacity_) * stream_ms;
  auto crowding = crowding_ * std::min(load, engine.capacity_) / std::max(1.0, engine.capacity_);
  auto cached = std::min(prompt, call.cached_tokens_[index]);
  auto uncached = prompt - cached;
  auto free_cache = std::max(0.0, engine.cache_capacity_ - engine.cache_tokens_);
  auto evicted = std::max(0.0, uncached + output_tokens - free_cache);
  auto network_ms = engine.data_hall_ == call.data_hall_ ? 0.0 : 2 * hall_ms_;
  estimate.wait_ms_ = queue_weight_ * queueing_ms + network_ms;
  estimate.compute_ms_ =
      cache_weight_ * uncached / prefill_per_ms_ * engine.slowness_ + stream_ms * (1 + crowding);
  estimate.waste_ms_ = waste_weight_ * (total_cached - cached) / prefill_per_ms_ +
                       eviction_weight_ * evicted / prefill_per_ms_;
  estimate.cost_ = estimate.wait_ms_ + estimate.compute_ms_ + estimate.waste_ms_;
  return estimate;
}

auto program_aware_policy::expected_duration(const call_view& call, const engine_view& engine,
                                             std::size_t index, double mean_load) const -> candidate {
  auto estimate = candidate{};
  estimate.engine_ = index;
  auto prompt = static_cast<double>(call.prompt_tokens_);
  auto output_tokens = expected_output_share * static_cast<double>(call.max_tokens_);
  auto capacity = std::max(1.0, engine.capacity_);
  auto load = estimated_load(engine, mean_load);
  auto streams = std::min(load, capacity);
  auto uncached = prompt - std::min(prompt, call.cached_tokens_[index]);
  // An engine pauses its streams while it reads a prompt, so reading costs the time of all of them.
  auto read_ms = cache_weight_ * uncached / prefill_per_ms_ * engine.slowness_ * (1 + streams);
  auto stream_ms = decode_ms_ * engine.slowness_ * output_tokens * (1 + step_growth_per_stream * streams);
  auto network_ms = engine.data_hall_ == call.data_hall_ ? 0.0 : 2 * hall_ms_;
  estimate.wait_ms_ = expected_excess(load, capacity) / capacity * (read_ms + stream_ms) + network_ms;
  estimate.compute_ms_ = read_ms + stream_ms;
  estimate.cost_ = estimate.wait_ms_ + estimate.compute_ms_;
  return estimate;
}

auto program_aware_policy::priority_of(const call_view& call) const -> int {
  auto service_level = std::log2(1 + static_cast<double>(call.attained_tokens_) / service_step_);
  auto account_penalty = std::max(0.0, call.account_share_ - 1) * account_share_weight;
  auto urgent = call.deadline_ms_ > 0 && call.deadline_ms_ < urgent_deadline_ms;
  return urgent ? 0 : static_cast<int>(service_level + account_penalty);
}

auto program_aware_policy::choose(const call_view& call, const std::vector<engine_view>& engines) const
    -> result<decision> {
  auto load = 0.0;
  auto usable = std::vector<std::size_t>{};
  usable.reserve(engines.size());
  auto first = engines.empty() ? 0 : call.seed_ % engines.size();
  for (auto step = std::size_t{0}; step < engines.size(); ++step) {
    auto index = first + step < engines.size() ? first + step : first + step - engines.size();
    if (eligible(engines[index], call)) {
      load += engines[index].running_ + engines[index].queued_;
      usable.push_back(index);
    }
  }
  auto mean_load = usable.empty() ? 0 : load / static_cast<double>(usable.size());
  auto cached = total_cached_tokens(call);
  auto selected = decision{};
  auto best = static_cast<const candidate*>(nullptr);
  selected.candidates_.reserve(usable.size());
  for (auto index : usable) {
    selected.candidates_.push_back(estimate_cost(call, engines[index], index, mean_load, cached));
    if (best == nullptr || selected.candidates_.back().cost_ < best->cost_) {
      best = &selected.candidates_.back();
    }
  }
  if (best == nullptr) {
    return error{error_code::no_upstream, "no eligible engine is available for this call", ran_state::not_run,
                 1000};
  }
  selected.engine_ = best->engine_;
  if (speeds_differ(engines, selected.candidates_)) {
    for (auto& entry : selected.candidates_) {
      entry = expected_duration(call, engines[entry.engine_], entry.engine_, mean_load);
    }
    selected.engine_ = choose_near_best(call, engines, selected.candidates_);
  }
  selected.priority_ = priority_of(call);
  return selected;
}

}  // namespace birchlever
