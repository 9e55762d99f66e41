/// Process-wide test switches for injecting link faults and disabling single mechanisms.
#pragma once

#include <mutex>
#include <set>
#include <string>
#include <string_view>

namespace birchlever {

/// Simulated state of a link.
enum class link_state { healthy, cut, answers_lost };

/// Registry of test switches. Unless test controls are enabled, all links are healthy and all mechanisms are
/// on, at the cost of checking one flag.
class test_switches {
 public:
  /// Returns the switches of this process.
  static auto instance() -> test_switches&;

  /// Enables test controls. Called once at startup if the setting test_controls is on.
  auto enable() -> void;

  /// Returns true if test controls are enabled.
  [[nodiscard]] auto enabled() const -> bool { return enabled_; }

  /// Disables a mechanism, to verify that its scenario fails without it.
  auto disable_mechanism(const std::string& name) -> void;

  auto enable_mechanism(const std::string& name) -> void;

  /// Returns true unless the mechanism is disabled.
  [[nodiscard]] auto mechanism_on(const std::string& name) const -> bool;

  /// Sets the state of the link to a target such as "store" or "127.0.0.2:9000".
  auto set_link(const std::string& target, link_state state) -> void;

  [[nodiscard]] auto link(const std::string& target) const -> link_state;

 private:
  bool enabled_ = false;
  mutable std::mutex mutex_;
  std::set<std::string> disabled_;
  std::set<std::string> cut_;
  std::set<std::string> answers_lost_;
};

}  // namespace birchlever
