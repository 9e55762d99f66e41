/// Policy that minimises the estimated completion time of a program, including the cost of wasted cache
/// space.
#pragma once

#include "birchlever/policy/policy_interface.h"

namespace birchlever {

/// The cost of an engine, in milliseconds, is the sum of the queueing delay, the prefill of uncached prompt
/// tokens, the decode time at the current load, the latency between data halls, and a penalty for duplicating
/// or evicting cached prefixes. The weight of a load report decays with its age in favour of the mean load;
/// calls sent since the report count in full.
///
/// If the measured speeds of the engines differ, the cost is the expected duration of the whole turn at each
/// engine's speed instead, and calls are distributed among the engines close to the best one.
class program_aware_policy final : public policy_interface {
 public:
  explicit program_aware_policy(const policy_settings& settings);

  [[nodiscard]] auto choose(const call_view& call, const std::vector<engine_view>& engines) const
      -> result<decision> override;

 private:
  [[nodiscard]] auto estimate_cost(const call_view& call, const engine_view& engine, std::size_t index,
                                   double mean_load, double total_cached) const -> candidate;
  [[nodiscard]] auto expected_duration(const call_view& call, const engine_view& engine, std::size_t index,
                                       double mean_load) const -> candidate;
  [[nodiscard]] auto estimated_load(const engine_view& engine, double mean_load) const -> double;
  [[nodiscard]] auto priority_of(const call_view& call) const -> int;

  double prefill_per_ms_ = 0;
  double decode_ms_ = 0;
  double queue_weight_ = 0;
  double cache_weight_ = 0;
  double waste_weight_ = 0;
  double crowding_ = 1;
  double eviction_weight_ = 0;
  double half_life_ms_ = 0;
  double hall_ms_ = 0;
  double service_step_ = 0;
};

}  // namespace birchlever
