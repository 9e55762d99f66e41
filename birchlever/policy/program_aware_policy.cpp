#include "birchlever/policy/program_aware_policy.h"

#include <algorithm>
#include <cmath>

namespace birchlever {
namespace {

constexpr auto ms_per_second = 1000.0;
constexpr auto expected_answer_share = 0.5;  // Expected output length as a fraction of max_tokens.
constexpr auto urgent_ms = 5000;
constexpr auto hot_account_step = 1.0;

auto held_elsewhere_total(const call_view& call) -> double {
  auto total = 0.0;
  for (auto held : call.cached_tokens_) {
    total += held;
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

auto program_aware_policy::believed_load(const engine_view& engine, double mean_load) const -> double {
  auto belief = std::exp2(-engine.report_age_ms_ / half_life_ms_);
  auto reported = engine.running_ + engine.queued_ - engine.done_since_report_;
  auto blended = belief * reported + (1 - belief) * mean_load;
  return std::max(0.0, blended) + engine.sent_since_report_;
}

auto program_aware_policy::weigh(const call_view& call, const engine_view& engine, std::size_t index,
                                 double mean_load, double held_elsewhere) const -> candidate {
  auto weighed = candidate{};
  weighed.engine_ = index;
  auto prompt = static_cast<double>(call.prompt_tokens_);
  auto answer = expected_answer_share * static_cast<double>(call.max_tokens_);
  auto load = believed_load(engine, mean_load);
  auto over = std::max(0.0, load + 1 - engine.capacity_);
  auto stream_ms = decode_ms_ * engine.slowness_ * answer;
  auto place_wait = over / std::max(1.0, engine.capacity_) * stream_ms;
  auto crowding = crowding_ * std::min(load, engine.capacity_) / std::max(1.0, engine.capacity_);
  auto held = std::min(prompt, call.cached_tokens_[index]);
  auto missing = prompt - held;
  auto cache_room = std::max(0.0, engine.cache_capacity_ - engine.cache_tokens_);
  auto pushed_out = std::max(0.0, missing + answer - cache_room);
  auto way = engine.data_hall_ == call.data_hall_ ? 0.0 : 2 * hall_ms_;
  weighed.wait_ms_ = queue_weight_ * place_wait + way;
  weighed.compute_ms_ =
      cache_weight_ * missing / prefill_per_ms_ * engine.slowness_ + stream_ms * (1 + crowding);
  weighed.waste_ms_ = waste_weight_ * (held_elsewhere - held) / prefill_per_ms_ +
                      eviction_weight_ * pushed_out / prefill_per_ms_;
  weighed.cost_ = weighed.wait_ms_ + weighed.compute_ms_ + weighed.waste_ms_;
  return weighed;
}

auto program_aware_policy::priority_of(const call_view& call) const -> int {
  auto level = std::log2(1 + static_cast<double>(call.attained_tokens_) / service_step_);
  auto hot = std::max(0.0, call.account_share_ - 1) * hot_account_step;
  auto urgent = call.deadline_ms_ > 0 && call.deadline_ms_ < urgent_ms;
  return urgent ? 0 : static_cast<int>(level + hot);
}

auto program_aware_policy::choose(const call_view& call, const std::vector<engine_view>& engines) const
    -> result<decision> {
  auto load = 0.0;
  auto able = std::vector<std::size_t>{};
  able.reserve(engines.size());
  auto first = engines.empty() ? 0 : call.seed_ % engines.size();
  for (auto step = std::size_t{0}; step < engines.size(); ++step) {
    auto index = first + step < engines.size() ? first + step : first + step - engines.size();
    if (eligible(engines[index], call)) {
      load += engines[index].running_ + engines[index].queued_;
      able.push_back(index);
    }
  }
  auto mean_load = able.empty() ? 0 : load / static_cast<double>(able.size());
  auto held = held_elsewhere_total(call);
  auto made = decision{};
  auto best = static_cast<const candidate*>(nullptr);
  made.candidates_.reserve(able.size());
  for (auto index : able) {
    made.candidates_.push_back(weigh(call, engines[index], index, mean_load, held));
    if (best == nullptr || made.candidates_.back().cost_ < best->cost_) {
      best = &made.candidates_.back();
    }
  }
  if (best == nullptr) {
    return error{error_code::no_upstream, "no eligible engine is available for this call", ran_state::not_run,
                 1000};
  }
  made.engine_ = best->engine_;
  made.priority_ = priority_of(call);
  return made;
}

}  // namespace birchlever
