/// The policies that the product's own is compared with.
#pragma once

#include "birchlever/policy/policy_interface.h"

namespace birchlever {

/// Each call to an engine drawn evenly by the call's seed; the seed rises by one a call, so it goes round.
class round_robin_policy final : public policy_interface {
 public:
  [[nodiscard]] auto choose(const call_view& call, const std::vector<engine_view>& engines) const
      -> result<decision> override;
};

/// The engine with the fewest calls for its size.
class least_loaded_policy final : public policy_interface {
 public:
  /// `connection_worth`: calls by which an engine may be fuller when a kept connection to it is free.
  explicit least_loaded_policy(double connection_worth) : connection_worth_{connection_worth} {}

  [[nodiscard]] auto choose(const call_view& call, const std::vector<engine_view>& engines) const
      -> result<decision> override;

 private:
  double connection_worth_ = 0;
};

/// The engine that holds most of the prompt, unless it is overloaded.
class prefix_affinity_policy final : public policy_interface {
 public:
  explicit prefix_affinity_policy(double overload) : overload_{overload} {}

  [[nodiscard]] auto choose(const call_view& call, const std::vector<engine_view>& engines) const
      -> result<decision> override;

 private:
  double overload_ = 0;
};

/// Least loaded, and programs that received the least service run first.
class least_attained_service_policy final : public policy_interface {
 public:
  explicit least_attained_service_policy(double step) : step_{step} {}

  [[nodiscard]] auto choose(const call_view& call, const std::vector<engine_view>& engines) const
      -> result<decision> override;

 private:
  double step_ = 0;
};

}  // namespace birchlever
