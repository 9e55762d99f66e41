/// The faults a stand-in shows, set through its control route.
#pragma once

#include <map>
#include <mutex>
#include <string>

namespace birchlever::stand_ins {

/// Named numbers; a fault that was never set is zero. Thread safe.
class fault_board {
 public:
  auto set(const std::string& name, double level) -> void {
    auto lock = std::lock_guard{mutex_};
    levels_[name] = level;
  }

  [[nodiscard]] auto level(const std::string& name) const -> double {
    auto lock = std::lock_guard{mutex_};
    auto found = levels_.find(name);
    return found == levels_.end() ? 0 : found->second;
  }

  [[nodiscard]] auto on(const std::string& name) const -> bool { return level(name) != 0; }

  /// Takes one of a counted fault; true while there were any left.
  auto take(const std::string& name) -> bool {
    auto lock = std::lock_guard{mutex_};
    auto& left = levels_[name];
    if (left < 1) {
      return false;
    }
    left -= 1;
    return true;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, double> levels_;
};

}  // namespace birchlever::stand_ins
