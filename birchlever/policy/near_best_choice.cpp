#include "birchlever/policy/near_best_choice.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace birchlever {
namespace {

constexpr auto close_ratio = 1.15;         // Costs differ by as much through errors of views and estimates.
constexpr auto min_cached_share = 0.95;    // Of the cached tokens of the best candidate.
constexpr auto min_free = 0.5;             // Weight of an engine without free slots, in slots.
constexpr auto exploration_share = 0.005;  // Of the calls; measures each engine about every 30 s at 7 calls/s
                                           // per engine. Each of them may be slow.
constexpr auto max_exploration_ratio = 3.0;  // Of the lowest cost. Callers' deadlines are about twice the
                                             // duration on an idle engine of mean speed.
constexpr auto measured_weight = 1.0;        // Engines below this weight have no recent measurement.

/// Candidates with the weights of their selection.
struct weighted_candidates {
  std::vector<const candidate*> candidates_;
  std::vector<double> weights_;

  auto add(const candidate& entry, double weight) -> void {
    candidates_.push_back(&entry);
    weights_.push_back(weight);
  }
};

auto lowest(const std::vector<candidate>& candidates) -> const candidate& {
  auto by_cost = [](const candidate& left, const candidate& right) { return left.cost_ < right.cost_; };
  return *std::min_element(candidates.begin(), candidates.end(), by_cost);
}

auto cached_at(const call_view& call, const candidate& entry) -> double {
  return entry.engine_ < call.cached_tokens_.size() ? call.cached_tokens_[entry.engine_] : 0;
}

auto close_to_best(const call_view& call, const std::vector<engine_view>& engines,
                   const std::vector<candidate>& candidates, const candidate& best) -> weighted_candidates {
  auto close = weighted_candidates{};
  auto min_cached = min_cached_share * cached_at(call, best);
  for (const auto& entry : candidates) {
    if (entry.cost_ > close_ratio * best.cost_ || cached_at(call, entry) < min_cached) {
      continue;
    }
    const auto& engine = engines[entry.engine_];
    auto free = std::max(min_free, engine.capacity_ - corrected_load(engine));
    close.add(entry, free / engine.slowness_);
  }
  return close;
}

auto not_measured(const std::vector<engine_view>& engines, const std::vector<candidate>& candidates,
                  const candidate& best) -> weighted_candidates {
  auto found = weighted_candidates{};
  for (const auto& entry : candidates) {
    auto cheap = entry.cost_ <= max_exploration_ratio * best.cost_;
    if (cheap && engines[entry.engine_].speed_weight_ < measured_weight) {
      found.add(entry, 1);
    }
  }
  return found;
}

}  // namespace

auto speeds_differ(const std::vector<engine_view>& engines, const std::vector<candidate>& candidates)
    -> bool {
  return std::any_of(candidates.begin(), candidates.end(), [&](const candidate& entry) {
    return engines[entry.engine_].slowness_ != engines[candidates.front().engine_].slowness_;
  });
}

auto expected_excess(double load, double capacity) -> double {
  return std::max(0.0, load + 1 + std::sqrt(std::max(0.0, load)) - capacity);
}

auto choose_near_best(const call_view& call, const std::vector<engine_view>& engines,
                      const std::vector<candidate>& candidates) -> std::size_t {
  auto random = std::mt19937_64{call.seed_};
  const auto& best = lowest(candidates);
  auto explore = std::uniform_real_distribution<double>{0, 1}(random) < exploration_share;
  auto unknown = explore ? not_measured(engines, candidates, best) : weighted_candidates{};
  auto drawn_from =
      unknown.candidates_.empty() ? close_to_best(call, engines, candidates, best) : std::move(unknown);
  auto draw = std::discrete_distribution<std::size_t>{drawn_from.weights_.begin(), drawn_from.weights_.end()};
  const auto* first = drawn_from.candidates_[draw(random)];
  const auto* second = drawn_from.candidates_[draw(random)];
  return (second->cost_ < first->cost_ ? second : first)->engine_;
}

}  // namespace birchlever
