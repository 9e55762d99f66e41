#include "birchlever/policy/policy_registry.h"

namespace birchlever {

policy_registry::policy_registry() : default_{value(make_policy(policy_settings{}))} {}

auto policy_registry::load(const std::map<std::string, policy_settings>& policies,
                           const std::vector<std::string>& shadows) -> void {
  auto loaded = std::map<std::string, std::shared_ptr<const policy_interface>>{};
  for (const auto& [name, settings] : policies) {
    auto policy = make_policy(settings);
    if (ok(policy)) {
      loaded[name] = std::move(value(policy));
    }
  }
  auto lock = std::lock_guard{mutex_};
  policies_ = std::move(loaded);
  shadows_ = shadows;
}

auto policy_registry::find(const std::string& name) const -> std::shared_ptr<const policy_interface> {
  auto lock = std::lock_guard{mutex_};
  auto found = policies_.find(name);
  return found == policies_.end() ? default_ : found->second;
}

auto policy_registry::shadows() const
    -> std::vector<std::pair<std::string, std::shared_ptr<const policy_interface>>> {
  auto lock = std::lock_guard{mutex_};
  auto list = std::vector<std::pair<std::string, std::shared_ptr<const policy_interface>>>{};
  for (const auto& name : shadows_) {
    auto found = policies_.find(name);
    if (found != policies_.end()) {
      list.emplace_back(name, found->second);
    }
  }
  return list;
}

}  // namespace birchlever
