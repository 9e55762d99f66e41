/// The product's own policy: the engine on which the whole program gets on soonest, cache waste counted in.
#pragma once

#include "birchlever/policy/policy_interface.h"

namespace birchlever {

/// Estimates in milliseconds, per engine, the wait for a place, the compute of what its cache lacks, the
/// decode at its load, the way between data halls, and the price of waste. Old views lose weight smoothly:
/// load falls back to what this owner sent itself, cache to where the program's last answer came from.
class program_aware_policy final : public policy_interface {
 public:
  explicit program_aware_policy(const policy_settings& settings);

  [[nodiscard]] auto choose(const call_view& call, const std::vector<engine_view>& engines) const
      -> result<decision> override;

 private:
  [[nodiscard]] auto weigh(const call_view& call, const engine_view& engine, std::size_t index,
                           double mean_load, double held_elsewhere) const -> candidate;
  [[nodiscard]] auto believed_load(const engine_view& engine, double mean_load) const -> double;
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
