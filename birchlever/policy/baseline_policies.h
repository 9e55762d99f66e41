/// Baseline policies that the program-aware policy is compared with.
#pragma once

#include "birchlever/policy/policy_interface.h"

namespace birchlever {

/// Selects engines in rotation. The call's seed is the rotation index.
class round_robin_policy final : public policy_interface {
 public:
  [[nodiscard]] auto choose(const call_view& call, const std::vector<engine_view>& engines) const
      -> result<decision> override;
};

/// Selects the engine with the lowest load relative to its capacity.
class least_loaded_policy final : public policy_interface {
 public:
  /// `connection_worth`: load, in calls, that an idle pooled connection to an engine offsets.
  explicit least_loaded_policy(double connection_worth) : connection_worth_{connection_worth} {}

  [[nodiscard]] auto choose(const call_view& call, const std::vector<engine_view>& engines) const
      -> result<decision> override;

 private:
  double connection_worth_ = 0;
};

/// Selects the engine with the longest cached prefix of the prompt, unless that engine is overloaded.
class prefix_affinity_policy final : public policy_interface {
 public:
  explicit prefix_affinity_policy(double overload) : overload_{overload} {}

  [[nodiscard]] auto choose(const call_view& call, const std::vector<engine_view>& engines) const
      -> result<decision> override;

 private:
  double overload_ = 0;
};

/// Selects the least loaded engine and gives priority to programs that have received the least service.
class least_attained_service_policy final : public policy_interface {
 public:
  explicit least_attained_service_policy(double step) : step_{step} {}

  [[nodiscard]] auto choose(const call_view& call, const std::vector<engine_view>& engines) const
      -> result<decision> override;

 private:
  double step_ = 0;
};

}  // namespace birchlever
