/// Named switches that exist only in tests: cut links and turn single mechanisms off.
#pragma once

#include <mutex>
#include <set>
#include <string>
#include <string_view>

namespace birchlever {

/// How a link misbehaves in a test.
enum class link_state { healthy, cut, answers_lost };

/// Holds what a test has switched. All links are healthy and all mechanisms on unless a daemon was started
/// with test controls, so production code pays one relaxed check.
class test_switches {
 public:
  /// The switches of this process.
  static auto instance() -> test_switches&;

  /// Allows switching; called once at start when test controls are set.
  auto enable() -> void;

  /// True when a test may switch things in this process.
  [[nodiscard]] auto enabled() const -> bool { return enabled_; }

  /// Turns a mechanism off by name, to show that its scenario fails without it.
  auto disable_mechanism(const std::string& name) -> void;

  /// Turns a mechanism on again.
  auto enable_mechanism(const std::string& name) -> void;

  /// True unless a test turned the mechanism off.
  [[nodiscard]] auto mechanism_on(const std::string& name) const -> bool;

  /// Sets the state of the link to a target such as "store" or "127.0.0.2:9000".
  auto set_link(const std::string& target, link_state state) -> void;

  /// The state of the link to a target.
  [[nodiscard]] auto link(const std::string& target) const -> link_state;

 private:
  bool enabled_ = false;
  mutable std::mutex mutex_;
  std::set<std::string> disabled_;
  std::set<std::string> cut_;
  std::set<std::string> answers_lost_;
};

}  // namespace birchlever
