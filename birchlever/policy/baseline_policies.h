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

/// Selects the engine with the lowest load relative to its capacity. If the measured speeds of the engines
/// differ, selects one close to the lowest expected duration: waiting and service at its own speed.
class least_loaded_policy final : public policy_interface {
 public:
  /// `connection_credit`: load, in calls, that an idle pooled connection to an engine offsets.
  explicit least_loaded_policy(double connection_credit) : connection_credit_{connection_credit} {}

  [[nodiscard]] auto choose(const call_view& call, const std::vector<engine_view>& engines) const
      -> result<decision> override;

 private:
  double connection_credit_ = 0;
};

/// Selects the engine with the longest cached prefix of the prompt, unless that engine is overloaded.
class prefix_affinity_policy final : public policy_interface {
 public:
  explicit prefix_affinity_policy(double overload_factor) : overload_factor_{overload_factor} {}

  [[nodiscard]] auto choose(const call_view& call, const std::vector<engine_view>& engines) const
      -> result<decision> override;

 private:
  double overload_factor_ = 0;
};

/// Selects the least loaded engine and gives priority to programs that have received the least service.
class least_attained_service_policy final : public policy_interface {
 public:
  explicit least_attained_service_policy(double tokens_per_level) : tokens_per_level_{tokens_per_level} {}

  [[nodiscard]] auto choose(const call_view& call, const std::vector<engine_view>& engines) const
      -> result<decision> override;

 private:
  double tokens_per_level_ = 0;
};

}  // namespace birchlever
