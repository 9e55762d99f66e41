/// Registry of the configured policies, rebuilt for each configuration generation.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "birchlever/policy/policy_interface.h"

namespace birchlever {

/// Thread-safe. Unknown names resolve to the default policy, so that programs whose policy was removed keep
/// running.
class policy_registry {
 public:
  policy_registry();

  /// Replaces all policies. Shadow policies are evaluated for comparison; their decisions are not applied.
  auto load(const std::map<std::string, policy_settings>& policies, const std::vector<std::string>& shadows)
      -> void;

  /// Returns the policy with the given name, or the default policy.
  [[nodiscard]] auto find(const std::string& name) const -> std::shared_ptr<const policy_interface>;

  [[nodiscard]] auto shadows() const
      -> std::vector<std::pair<std::string, std::shared_ptr<const policy_interface>>>;

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const policy_interface> default_;
  std::map<std::string, std::shared_ptr<const policy_interface>> policies_;
  std::vector<std::string> shadows_;
};

}  // namespace birchlever
