/// The policies in force, by name, made once per configuration generation.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "birchlever/policy/policy_interface.h"

namespace birchlever {

/// Thread safe. An unknown name gives the default policy, so that a program whose policy was retired goes on.
class policy_book {
 public:
  policy_book();

  /// Replaces all policies. Shadows are asked beside the policy that acts.
  auto load(const std::map<std::string, policy_settings>& policies, const std::vector<std::string>& shadows)
      -> void;

  /// The policy of that name, or the default one.
  [[nodiscard]] auto find(const std::string& name) const -> std::shared_ptr<const policy_interface>;

  /// The shadow policies.
  [[nodiscard]] auto shadows() const
      -> std::vector<std::pair<std::string, std::shared_ptr<const policy_interface>>>;

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const policy_interface> standard_;
  std::map<std::string, std::shared_ptr<const policy_interface>> policies_;
  std::vector<std::string> shadows_;
};

}  // namespace birchlever
