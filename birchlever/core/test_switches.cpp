#include "birchlever/core/test_switches.h"

namespace birchlever {

auto test_switches::instance() -> test_switches& {
  static auto switches = test_switches{};
  return switches;
}

auto test_switches::enable() -> void {
  enabled_ = true;
}

auto test_switches::disable_mechanism(const std::string& name) -> void {
  auto lock = std::lock_guard{mutex_};
  disabled_.insert(name);
}

auto test_switches::enable_mechanism(const std::string& name) -> void {
  auto lock = std::lock_guard{mutex_};
  disabled_.erase(name);
}

auto test_switches::mechanism_on(const std::string& name) const -> bool {
  if (!enabled_) {
    return true;
  }
  auto lock = std::lock_guard{mutex_};
  return disabled_.count(name) == 0;
}

auto test_switches::set_link(const std::string& target, link_state state) -> void {
  auto lock = std::lock_guard{mutex_};
  cut_.erase(target);
  answers_lost_.erase(target);
  if (state == link_state::cut) {
    cut_.insert(target);
  }
  if (state == link_state::answers_lost) {
    answers_lost_.insert(target);
  }
}

auto test_switches::link(const std::string& target) const -> link_state {
  if (!enabled_) {
    return link_state::healthy;
  }
  auto lock = std::lock_guard{mutex_};
  if (cut_.count(target) != 0) {
    return link_state::cut;
  }
  return answers_lost_.count(target) != 0 ? link_state::answers_lost : link_state::healthy;
}

}  // namespace birchlever
