/// Choice among engines of different measured speeds, for policies that minimise an expected duration.
#pragma once

#include <vector>

#include "birchlever/policy/policy_view.h"

namespace birchlever {

/// Returns true if the measured speeds of any two candidates differ. Without a difference, policies decide as
/// without speeds.
[[nodiscard]] auto speeds_differ(const std::vector<engine_view>& engines,
                                 const std::vector<candidate>& candidates) -> bool;

/// Returns the load above which a call probably waits for a slot: views lag, so the load may be higher than
/// reported by about its square root. In calls.
[[nodiscard]] auto expected_excess(double load, double capacity) -> double;

/// Returns the engine index of a candidate whose cost is close to the lowest. The candidates must not be
/// empty.
///
/// Daemons that decide concurrently have the same view of the fleet and would all choose the best engine.
/// Therefore the better of two candidates is chosen that are drawn at random, weighted by free capacity and
/// speed, among those with a cost close to the lowest and as much of the prompt cached. A small share of the
/// calls goes to engines without a recent measurement. The choice is determined by the call's seed.
[[nodiscard]] auto choose_near_best(const call_view& call, const std::vector<engine_view>& engines,
                                    const std::vector<candidate>& candidates) -> std::size_t;

}  // namespace birchlever
