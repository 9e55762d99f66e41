/// Interface of placement policies.
#pragma once

#include <memory>

#include "birchlever/core/result.h"
#include "birchlever/policy/policy_settings.h"
#include "birchlever/policy/policy_view.h"

namespace birchlever {

/// Decides which engine runs a call. Implementations must be deterministic: equal arguments give equal
/// decisions.
class policy_interface {
 public:
  virtual ~policy_interface() = default;

  /// Selects an engine. Failures: no_upstream when no engine is eligible.
  [[nodiscard]] virtual auto choose(const call_view& call, const std::vector<engine_view>& engines) const
      -> result<decision> = 0;
};

/// Creates one of the built-in policies. Failures: invalid_command.
[[nodiscard]] auto make_policy(const policy_settings& settings) -> result<std::unique_ptr<policy_interface>>;

}  // namespace birchlever
