/// Time sources: one interface, the machine's monotonic clock, and a hand-driven one for tests.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

namespace birchlever {

/// Milliseconds on a clock that never goes back.
using milliseconds = std::int64_t;

/// Where coordination parts read the time; never the wall clock.
class clock_interface {
 public:
  virtual ~clock_interface() = default;

  /// Milliseconds since an arbitrary start.
  [[nodiscard]] virtual auto now() const -> milliseconds = 0;
};

/// The machine's monotonic clock.
class steady_clock final : public clock_interface {
 public:
  [[nodiscard]] auto now() const -> milliseconds override {
    auto since_start = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_start).count();
  }
};

/// A clock that moves only when told, for deterministic tests and explorations.
class manual_clock final : public clock_interface {
 public:
  [[nodiscard]] auto now() const -> milliseconds override { return now_; }

  /// Moves time forward.
  auto advance(milliseconds by) -> void { now_ += by; }

 private:
  std::atomic<milliseconds> now_{0};
};

}  // namespace birchlever
