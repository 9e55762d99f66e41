/// How a policy decides: a pure function of what it is shown.
#pragma once

#include <memory>

#include "birchlever/core/result.h"
#include "birchlever/policy/policy_settings.h"
#include "birchlever/policy/policy_view.h"

namespace birchlever {

/// What embedders supply to decide where a call runs. The same arguments give the same decision.
class policy_interface {
 public:
  virtual ~policy_interface() = default;

  /// Chooses an engine. Failures: no_upstream when none is eligible.
  [[nodiscard]] virtual auto choose(const call_view& call, const std::vector<engine_view>& engines) const
      -> result<decision> = 0;
};

/// Makes a policy of the project's own kinds. Failures: invalid_command.
[[nodiscard]] auto make_policy(const policy_settings& settings) -> result<std::unique_ptr<policy_interface>>;

}  // namespace birchlever
