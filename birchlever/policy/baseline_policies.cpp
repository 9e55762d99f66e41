#include "birchlever/policy/baseline_policies.h"

#include <algorithm>
#include <cmath>

#include "birchlever/policy/near_best_choice.h"
#include "birchlever/policy/program_aware_policy.h"

namespace birchlever {
namespace {

auto no_eligible_engine() -> error {
  return error{error_code::no_upstream, "no eligible engine is available for this call", ran_state::not_run,
               1000};
}

auto load_ratio(const engine_view& engine) -> double {
  return corrected_load(engine) / std::max(1.0, engine.capacity_);
}

/// Returns the eligible engines with their load as cost. The seed selects the starting index, which breaks
/// ties.
auto eligible_by_load(const call_view& call, const std::vector<engine_view>& engines)
    -> std::vector<candidate> {
  auto candidates = std::vector<candidate>{};
  for (auto step = std::size_t{0}; step < engines.size(); ++step) {
    auto index = (call.seed_ + step) % engines.size();
    if (eligible(engines[index], call)) {
      candidates.push_back({index, load_ratio(engines[index]), 0, 0, 0});
    }
  }
  return candidates;
}

constexpr auto connected_factor = 0.95;  // Of the duration; opening a connection takes a few ms.

/// Returns the expected duration relative to that on an idle engine of mean speed.
auto expected_duration(const engine_view& engine) -> double {
  auto capacity = std::max(1.0, engine.capacity_);
  return engine.slowness_ * (1 + expected_excess(corrected_load(engine), capacity) / capacity);
}

auto lowest_cost(std::vector<candidate> candidates) -> result<decision> {
  if (candidates.empty()) {
    return no_eligible_engine();
  }
  auto by_cost = [](const candidate& left, const candidate& right) { return left.cost_ < right.cost_; };
  auto best = std::min_element(candidates.begin(), candidates.end(), by_cost);
  return decision{best->engine_, 0, std::move(candidates)};
}

}  // namespace

auto eligible(const engine_view& engine, const call_view& call) -> bool {
  if (!engine.usable_ || engine.role_ == "spare") {
    return false;
  }
  if (std::find(call.avoid_.begin(), call.avoid_.end(), engine.id_) != call.avoid_.end()) {
    return false;
  }
  auto has_model =
      std::find(engine.models_.begin(), engine.models_.end(), call.model_) != engine.models_.end();
  return call.model_.empty() || engine.models_.empty() || has_model;
}

auto corrected_load(const engine_view& engine) -> double {
  auto reported = engine.running_ + engine.queued_;
  return std::max(0.0, reported + engine.sent_since_report_ - engine.done_since_report_);
}

auto round_robin_policy::choose(const call_view& call, const std::vector<engine_view>& engines) const
    -> result<decision> {
  auto candidates = eligible_by_load(call, engines);
  if (candidates.empty()) {
    return no_eligible_engine();
  }
  auto first = candidates.front().engine_;
  return decision{first, 0, std::move(candidates)};
}

auto least_loaded_policy::choose(const call_view& call, const std::vector<engine_view>& engines) const
    -> result<decision> {
  auto candidates = eligible_by_load(call, engines);
  if (speeds_differ(engines, candidates)) {
    for (auto& entry : candidates) {
      const auto& engine = engines[entry.engine_];
      auto prefers_connected = connection_credit_ > 0 && engine.connected_;
      entry.cost_ = expected_duration(engine) * (prefers_connected ? connected_factor : 1);
    }
    auto chosen = choose_near_best(call, engines, candidates);
    return decision{chosen, 0, std::move(candidates)};
  }
  for (auto& entry : candidates) {
    const auto& engine = engines[entry.engine_];
    entry.cost_ -= engine.connected_ ? connection_credit_ / std::max(1.0, engine.capacity_) : 0;
  }
  return lowest_cost(std::move(candidates));
}

auto prefix_affinity_policy::choose(const call_view& call, const std::vector<engine_view>& engines) const
    -> result<decision> {
  auto candidates = eligible_by_load(call, engines);
  auto total = 0.0;
  for (const auto& entry : candidates) {
    total += entry.cost_;
  }
  auto mean = candidates.empty() ? 0.0 : total / static_cast<double>(candidates.size());
  auto limit = std::max(1.0, mean * overload_factor_);
  auto best = candidates.end();
  for (auto next = candidates.begin(); next != candidates.end(); ++next) {
    auto cached = call.cached_tokens_[next->engine_];
    auto fits = cached > 0 && next->cost_ <= limit;
    if (fits && (best == candidates.end() || cached > call.cached_tokens_[best->engine_])) {
      best = next;
    }
  }
  if (best == candidates.end()) {
    return lowest_cost(std::move(candidates));
  }
  auto chosen = best->engine_;
  return decision{chosen, 0, std::move(candidates)};
}

auto least_attained_service_policy::choose(const call_view& call,
                                           const std::vector<engine_view>& engines) const
    -> result<decision> {
  auto chosen = lowest_cost(eligible_by_load(call, engines));
  if (ok(chosen)) {
    value(chosen).priority_ =
        static_cast<int>(static_cast<double>(call.attained_tokens_) / tokens_per_level_);
  }
  return chosen;
}

auto make_policy(const policy_settings& settings) -> result<std::unique_ptr<policy_interface>> {
  auto checked = check_policy(settings);
  if (!ok(checked)) {
    return failure(checked);
  }
  auto policy = std::unique_ptr<policy_interface>{};
  switch (settings.kind_) {
    case policy_kind::round_robin:
      policy = std::make_unique<round_robin_policy>();
      break;
    case policy_kind::least_loaded:
      policy = std::make_unique<least_loaded_policy>(settings.parameter("connection"));
      break;
    case policy_kind::prefix_affinity:
      policy = std::make_unique<prefix_affinity_policy>(settings.parameter("overload"));
      break;
    case policy_kind::least_attained_service:
      policy = std::make_unique<least_attained_service_policy>(settings.parameter("step"));
      break;
    case policy_kind::program_aware:
      policy = std::make_unique<program_aware_policy>(settings);
      break;
  }
  return policy;
}

}  // namespace birchlever
