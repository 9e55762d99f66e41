/// Monotonic time sources.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

namespace birchlever {

/// A duration, or a time point of a monotonic clock, in ms.
using milliseconds = std::int64_t;

/// Interface of a monotonic clock. Coordination code reads the time from it, never from the wall clock.
class clock_interface {
 public:
  virtual ~clock_interface() = default;

  /// Returns the time in ms since an unspecified epoch.
  [[nodiscard]] virtual auto now() const -> milliseconds = 0;
};

/// The system's monotonic clock.
class steady_clock final : public clock_interface {
 public:
  [[nodiscard]] auto now() const -> milliseconds override {
    auto since_start = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_start).count();
  }
};

/// A clock that is advanced explicitly, for deterministic tests.
class manual_clock final : public clock_interface {
 public:
  [[nodiscard]] auto now() const -> milliseconds override { return now_; }

  /// Advances the time by `by` ms.
  auto advance(milliseconds by) -> void { now_ += by; }

 private:
  std::atomic<milliseconds> now_{0};
};

}  // namespace birchlever
